//! One connection of a client, and the paths that clients may ask for.

use super::client_response::{of_error, plain_text, ClientResponseBody};
use super::close::{closed_by_client, lingering_close};
use super::context::ProxyContext;
use super::idle_connections::{IdleConnections, OpenRequestGuard};
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
use tokio::net::TcpStream;
use tracing::debug;

/// Permits for connections are scarce where less than one in so many is free.
const SCARCE_DIVISOR: usize = 4;

/// Serves a connection to its end.
pub async fn serve_connection(stream: TcpStream, context: Rc<ProxyContext>, idle: Rc<IdleConnections>) {
    // Without it responses may come late, which is no reason to close. A client that is gone is noticed anyway.
    if let Err(error) = stream.set_nodelay(true) {
        debug!(%error, "a client's connection stays without TCP_NODELAY");
    }
    let stream = Rc::new(stream);
    let (connection, socket) = idle.add(stream.clone());
    let service = service_fn(|request| {
        let (context, open_request) = (context.clone(), idle.open_request(&connection));
        async move { Ok::<_, Infallible>(respond(request, &context, open_request).await) }
    });
    let serving = http1::Builder::new()
        .max_buf_size(context.memory.buffer())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(socket), service);
    let reason = tokio::select! {
        biased;
        done = serving => match done {
            Ok(()) => ConnectionCloseReason::Completed,
            Err(error) => {
                debug!(%error, "a client's connection broke");
                ConnectionCloseReason::Broken
            }
        },
        () = connection.close_requested() => ConnectionCloseReason::Idle,
        () = closed_by_client(&stream) => ConnectionCloseReason::ClosedByClient,
    };
    debug!(?reason, client = ?stream.peer_addr().ok(), "a client's connection is closed");
    context.metrics.connection_closes.increment(reason);
    let had_last_response =
        matches!(reason, ConnectionCloseReason::Completed | ConnectionCloseReason::Broken);
    // Where no response can be in flight there is nothing to guard: bytes that cross the close are left unread, and the
    // reset tells the client that it may send them once more.
    if had_last_response && context.permits.available() > 0 {
        lingering_close(&stream).await;
    }
}

async fn respond(
    request: Request<Incoming>,
    context: &ProxyContext,
    open_request: OpenRequestGuard,
) -> Response<ClientResponseBody> {
    let mut response = match request.uri().path() {
        "/_health" => health(context),
        path if path.starts_with(WRITES_PATH) => write_status(context, request.method(), path),
        "/api" => handle(request, open_request.body_wait(), context).await.unwrap_or_else(of_error),
        _ => plain_text(StatusCode::NOT_FOUND, "no such path\n"),
    };
    response.body_mut().keep_open(open_request);
    let permits = &context.permits;
    // Where permits are scarce a client that keeps its connection keeps another out.
    let scarce = permits.available() * SCARCE_DIVISOR < permits.total();
    if context.lifecycle.closes_connections() || scarce {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn health(context: &ProxyContext) -> Response<ClientResponseBody> {
    match context.lifecycle.is_healthy() {
        true => plain_text(StatusCode::OK, "ready\n"),
        false => plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

/// What became of a write that a branch accepted.
fn write_status(context: &ProxyContext, method: &Method, path: &str) -> Response<ClientResponseBody> {
    let cluster = context.cluster.as_ref().filter(|cluster| cluster.is_of_branch());
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
