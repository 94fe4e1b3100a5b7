//! The operators' listener. It has connections of its own, so that neither clients nor idle callers can keep an operator
//! waiting.

use super::call::{answer, AdminContext};
use crate::proxy::control_plane::config::socket_limits::MAX_OPERATOR_CONNECTIONS;
use crate::proxy::downstream::accept::AcceptBackoff;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tracing::debug;

/// The longest time from the accept to the end of a call's head; its response must be written within twice as long.
const HEAD_TIMEOUT: Duration = Duration::from_millis(800);
/// The longest head of a call, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// The connections that are open, oldest first. Dropping it ends none: they end with the process.
#[derive(Default)]
struct OpenConnections(VecDeque<AbortHandle>);

impl OpenConnections {
    /// Adds a connection. Guards against callers that say nothing: where all places are taken, the oldest connection
    /// is closed for it.
    fn add(&mut self, connection: AbortHandle) {
        self.0.push_back(connection);
    }

    fn make_room(&mut self) {
        self.0.retain(|connection| !connection.is_finished());
        if self.0.len() >= MAX_OPERATOR_CONNECTIONS {
            if let Some(oldest) = self.0.pop_front() {
                oldest.abort();
            }
        }
    }
}

/// Answers operators for as long as the process lives.
pub async fn serve(listener: TcpListener, context: Rc<AdminContext>) {
    let mut connections = OpenConnections::default();
    let mut backoff = AcceptBackoff::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                backoff.failed(&error).await;
                continue;
            }
        };
        backoff.succeeded();
        connections.make_room();
        let serving = tokio::task::spawn_local(serve_connection(stream, context.clone()));
        connections.add(serving.abort_handle());
    }
}

async fn serve_connection(stream: TcpStream, context: Rc<AdminContext>) {
    let service = service_fn(|request| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(answer(request, &context).await.into_response()) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    match timeout(HEAD_TIMEOUT * 2, connection).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!(%error, "an operator's connection ended with an error"),
        Err(_) => debug!(limit = ?HEAD_TIMEOUT * 2, "an operator's call timed out"),
    }
}
