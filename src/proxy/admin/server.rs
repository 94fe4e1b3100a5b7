//! The admin server's listener. Its connections are limited separately, so that neither clients nor idle callers can
//! keep an operator waiting.

use super::call::{handle_request, AdminContext};
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

/// Time limit from accepting a connection to the end of the request head; the response must be written within twice
/// this time.
const HEAD_TIMEOUT: Duration = Duration::from_millis(800);
/// Size limit of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// The open connections, oldest first. Dropping the list closes none of them: they end with the process.
#[derive(Default)]
struct OpenConnections(VecDeque<AbortHandle>);

impl OpenConnections {
    /// Adds a connection, after `evict_oldest_if_full` has ensured that the limit allows another one.
    fn add(&mut self, connection: AbortHandle) {
        self.0.push_back(connection);
    }

    /// Closes the oldest connection if the maximum number is open, so that callers that send nothing cannot block the
    /// server.
    fn evict_oldest_if_full(&mut self) {
        self.0.retain(|connection| !connection.is_finished());
        if self.0.len() >= MAX_OPERATOR_CONNECTIONS {
            if let Some(oldest) = self.0.pop_front() {
                oldest.abort();
            }
        }
    }
}

/// Serves operators until the process ends.
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
        connections.evict_oldest_if_full();
        let serving = tokio::task::spawn_local(serve_connection(stream, context.clone()));
        connections.add(serving.abort_handle());
    }
}

async fn serve_connection(stream: TcpStream, context: Rc<AdminContext>) {
    let service = service_fn(|request| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(handle_request(request, &context).await.into_response()) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    match timeout(HEAD_TIMEOUT * 2, connection).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!(%error, "admin connection ended with an error"),
        Err(_) => debug!(limit = ?HEAD_TIMEOUT * 2, "admin call timed out; its connection is closed"),
    }
}
