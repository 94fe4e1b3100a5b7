//! Serves one client connection and routes its requests by path.

use super::client_response::{error_response, plain_text, ClientResponseBody};
use super::close::{closed_by_client, lingering_close};
use super::context::ProxyContext;
use super::idle_connections::{IdleConnections, OpenRequestGuard};
use super::listener::AcceptedConnection;
use super::request::{handle, WRITES_PATH};
use crate::proxy::admin::metrics::ConnectionCloseReason;
use crate::proxy::cluster_transport::write_queue_sender::{status_text, WriteStatusText};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::task::yield_now;
use tracing::debug;

/// Path of the health check.
pub(super) const HEALTH_PATH: &str = "/_health";
/// Connection permits count as scarce when fewer than one in this many is available.
const SCARCE_DIVISOR: usize = 4;

/// Serves a connection until it is closed.
pub async fn serve_connection(
    accepted: AcceptedConnection,
    context: Rc<ProxyContext>,
    idle_connections: Rc<IdleConnections>,
) {
    // Without TCP_NODELAY responses may be delayed, which is no reason to close the connection. If the call failed
    // because the client has disconnected, that is detected anyway.
    if let Err(error) = accepted.stream.set_nodelay(true) {
        debug!(%error, "setting TCP_NODELAY on a client connection failed; serving it without");
    }
    let (connection, socket) = idle_connections.add(accepted);
    let stream = socket.stream();
    let service = service_fn(|request| {
        let (context, open_request) = (context.clone(), idle_connections.open_request(&connection));
        async move { Ok::<_, Infallible>(respond(request, &context, open_request).await) }
    });
    let serving = http1::Builder::new()
        .max_buf_size(context.memory.buffer_bytes())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(socket), service);
    let reason = tokio::select! {
        biased;
        done = serving => match done {
            Ok(()) => ConnectionCloseReason::Completed,
            Err(error) => {
                debug!(%error, "client connection failed");
                ConnectionCloseReason::Broken
            }
        },
        reason = connection.close_requested() => reason,
        () = closed_by_client(&stream, connection.input()) => ConnectionCloseReason::ClosedByClient,
    };
    debug!(?connection, ?reason, client = ?stream.peer_addr().ok(), "client connection closed");
    context.metrics.connection_closes.increment(reason);
    let may_have_response_in_flight =
        matches!(reason, ConnectionCloseReason::Completed | ConnectionCloseReason::Broken);
    // In the other cases no response can be in flight that a reset would destroy: bytes that arrive during the close
    // stay unread, and the reset tells the client that it may send them again.
    if may_have_response_in_flight && context.permits.available() > 0 {
        lingering_close(&stream).await;
    }
}

async fn respond(
    request: Request<Incoming>,
    context: &ProxyContext,
    open_request: OpenRequestGuard,
) -> Response<ClientResponseBody> {
    if open_request.is_pipelined() {
        // One request in each turn of the loop, so that a client that sends many at once holds up no other.
        yield_now().await;
    }
    let mut response = match request.uri().path() {
        HEALTH_PATH => health(context),
        path if path.starts_with(WRITES_PATH) => write_status(context, request.method(), path),
        // Boxed, so that a connection without a request does not hold the space of one.
        "/api" => Box::pin(handle(request, &open_request, context)).await.unwrap_or_else(error_response),
        _ => plain_text(StatusCode::NOT_FOUND, "no such path\n"),
    };
    response.body_mut().keep_open(open_request);
    let permits = &context.permits;
    // When permits are scarce, a client that keeps its connection open keeps another client out.
    let scarce = permits.available() * SCARCE_DIVISOR < permits.total();
    if context.lifecycle.closes_connections() || scarce {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns the response to a health check.
pub(super) fn health(context: &ProxyContext) -> Response<ClientResponseBody> {
    match context.lifecycle.is_healthy() {
        true => plain_text(StatusCode::OK, "ready\n"),
        false => plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

/// Returns the status of a write that a branch accepted.
fn write_status(context: &ProxyContext, method: &Method, path: &str) -> Response<ClientResponseBody> {
    let cluster = context.cluster.as_ref().filter(|cluster| cluster.belongs_to_branch());
    let Some(cluster) = cluster else { return plain_text(StatusCode::NOT_FOUND, "no such path\n") };
    if *method != Method::GET {
        return plain_text(StatusCode::METHOD_NOT_ALLOWED, "not this path's method\n");
    }
    let write = path.strip_prefix(WRITES_PATH).and_then(|name| name.parse().ok());
    let Some(write) = write else { return plain_text(StatusCode::NOT_FOUND, "no such path\n") };
    let WriteStatusText { is_known, text } = status_text(cluster.write_status(write));
    let status = if is_known { StatusCode::OK } else { StatusCode::NOT_FOUND };
    plain_text(status, text)
}

#[cfg(test)]
mod tests;
