//! Refuses a client that has waited for too long to be accepted: all connections are held by requests in progress.

use super::client_response::{rejected_response, ClientResponseBody};
use super::connection::{health, HEALTH_PATH};
use super::context::ProxyContext;
use super::idle_connections::IdleConnections;
use super::listener::AcceptedConnection;
use crate::decision::Micros;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;
use tracing::debug;

/// Wait to be accepted after which a client is refused: an answer is due 0.5 s after the time budget at the latest, and
/// the budget is not known before the request is read.
pub const MAX_ACCEPT_WAIT: Micros = Micros(400_000);
/// How long the request of a client may take that is refused.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Largest buffer of such a connection, in bytes: the minimum that hyper accepts.
const BUFFER_BYTES: usize = 8 * 1024;

/// Answers the request of a connection with a refusal, and closes the connection.
pub async fn refuse(
    accepted: AcceptedConnection,
    context: Rc<ProxyContext>,
    idle_connections: Rc<IdleConnections>,
) {
    let (connection, socket) = idle_connections.add(accepted);
    let service = service_fn(|request: Request<Incoming>| {
        let response = match request.uri().path() {
            HEALTH_PATH => health(&context),
            _ => rejected_response(None),
        };
        std::future::ready(Ok::<Response<ClientResponseBody>, Infallible>(response))
    });
    let serving = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .header_read_timeout(None)
        .keep_alive(false)
        .serve_connection(TokioIo::new(socket), service);
    let ended = timeout(REFUSAL_TIMEOUT, serving).await;
    debug!(?connection, is_answered = matches!(ended, Ok(Ok(()))), "client refused: no connection is free");
}
