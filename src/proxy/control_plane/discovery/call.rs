//! A single call to discovery, which returns the complete endpoint list or the changes since a revision.

use super::endpoint_list::{EndpointList, MAX_LIST_BYTES};
use crate::proxy::downstream::request_body::OutboundBody;
use crate::proxy::upstream::connection::{CallError, Connection};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{header, Request, StatusCode};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use strum::{IntoStaticStr, VariantArray};
use thiserror::Error;
use tokio::time::{timeout, timeout_at, Instant};

/// Size of the read buffer of a connection to discovery, in bytes; also the limit on the head of a response.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Time-out between two chunks of a list.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// Minimum average rate of a list, in bytes per second: a tenth of the rate of the slowest known discovery. Without
/// this limit a peer that sends a byte now and then could keep a call open for ever.
const MIN_BYTES_PER_SECOND: u32 = 2_000;

/// Error of a call that returned no list.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// The connection could not be opened.
    #[error("no connection: {0}")]
    Unreachable(io::Error),
    /// The connection was not opened, or the response did not start, in time.
    #[error("no response within {0:?}")]
    Silent(Duration),
    /// The response stalled, or arrived too slowly.
    #[error("the endpoint list stalled after {received} bytes")]
    Stalled {
        /// Bytes of the list received so far.
        received: usize,
    },
    /// The connection failed before the end of the response.
    #[error("the connection failed after {received} bytes of the endpoint list")]
    Broken {
        /// Bytes of the list received so far.
        received: usize,
    },
    /// The list exceeds the limit.
    #[error("the endpoint list is longer than {limit} bytes")]
    TooLong {
        /// Limit in bytes.
        limit: usize,
    },
    /// The status of the response is not 200.
    #[error("unexpected response status {0}")]
    Status(StatusCode),
    /// The response is not an endpoint list; the error has line and column.
    #[error("invalid endpoint list: {0}")]
    Malformed(serde_json::Error),
}

/// Kind of failure, as counted in `/stats`. The names of the variants are part of its keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum FailureKind {
    /// The connection could not be opened.
    Unreachable,
    /// The response did not start in time.
    Silent,
    /// The response stalled, or arrived too slowly.
    Stalled,
    /// The connection failed before the end of the response.
    Broken,
    /// The list exceeds the limit on its length.
    TooLong,
    /// The status of the response is not 200.
    Status,
    /// The response is not an endpoint list.
    Malformed,
    /// The list is older than the current one, or contains changes to an unknown list.
    OutOfOrder,
}

impl CallFailure {
    /// Returns the kind under which the failure is counted.
    pub fn kind(&self) -> FailureKind {
        match self {
            CallFailure::Unreachable(_) => FailureKind::Unreachable,
            CallFailure::Silent(_) => FailureKind::Silent,
            CallFailure::Stalled { .. } => FailureKind::Stalled,
            CallFailure::Broken { .. } => FailureKind::Broken,
            CallFailure::TooLong { .. } => FailureKind::TooLong,
            CallFailure::Status(_) => FailureKind::Status,
            CallFailure::Malformed(_) => FailureKind::Malformed,
        }
    }
}

/// Endpoint list, and the connection over which it was received.
pub struct ListResponse {
    /// The endpoint list.
    pub list: EndpointList,
    /// Length of the response body in bytes.
    pub length: usize,
    /// Connection that can be reused by the next call.
    pub connection: Connection,
}

/// Parameters of one call to discovery.
#[derive(Clone, Copy)]
pub struct Call {
    /// Address of discovery.
    pub address: SocketAddr,
    /// Revision since which changes are requested; `None` requests the complete list.
    pub since: Option<u64>,
    /// How long discovery may hold the call while the list does not change.
    pub hold: Duration,
}

impl Call {
    fn request(&self) -> Option<Request<OutboundBody>> {
        let path = match self.since {
            None => "/catalog/members".to_string(),
            Some(revision) => {
                // The protocol does not allow a hold of 0.
                let hold_ms = self.hold.as_millis().max(1);
                format!("/catalog/members?from={revision}&hold_ms={hold_ms}")
            }
        };
        let mut request = Request::new(OutboundBody::empty());
        *request.uri_mut() = path.parse().ok()?;
        let host = self.address.to_string().parse().ok()?;
        request.headers_mut().insert(header::HOST, host);
        Some(request)
    }

    /// Makes the call, over the idle connection if one is given. The response must start within `response_timeout`
    /// after the hold; once started, it may take as long as it makes progress.
    ///
    /// # Errors
    /// Returns an error that says at which step the call failed if no list was received.
    pub async fn make(
        self,
        idle: Option<Connection>,
        response_timeout: Duration,
        progress: Rc<Progress>,
    ) -> Result<ListResponse, CallFailure> {
        let limit = self.hold + response_timeout;
        let started = timeout(limit, self.begin(idle)).await;
        let (mut connection, body) = started.unwrap_or(Err(CallFailure::Silent(limit)))?;
        let text = read_body(&mut connection, body, &progress).await?;
        let list = serde_json::from_slice(&text).map_err(CallFailure::Malformed)?;
        Ok(ListResponse { list, length: text.len(), connection })
    }

    /// Sends the request and reads the head of the response.
    async fn begin(self, idle: Option<Connection>) -> Result<(Connection, Incoming), CallFailure> {
        let mut connection = match idle {
            Some(connection) => connection,
            None => {
                let opened = Connection::open(self.address, READ_BUFFER_BYTES).await;
                opened.map_err(CallFailure::Unreachable)?
            }
        };
        let broken = CallFailure::Broken { received: 0 };
        let Some(request) = self.request() else { return Err(broken) };
        let response = connection.send(request, || {}).await.map_err(|_: CallError| broken)?;
        match response.status() {
            StatusCode::OK => Ok((connection, response.into_body())),
            status => Err(CallFailure::Status(status)),
        }
    }
}

/// Time at which any call in flight last received a chunk of a list.
#[derive(Debug, Default)]
pub struct Progress {
    last: Cell<Option<Instant>>,
}

impl Progress {
    /// Returns when a chunk was last received, or `None` before the first.
    pub fn last(&self) -> Option<Instant> {
        self.last.get()
    }
    /// Clears the time, as if no chunk had been received.
    pub fn reset(&self) {
        self.last.set(None);
    }
}

/// Reads the body of a response to its end, as long as it makes progress.
async fn read_body(
    connection: &mut Connection,
    mut body: Incoming,
    progress: &Progress,
) -> Result<Vec<u8>, CallFailure> {
    let mut text = Vec::new();
    let started = Instant::now();
    loop {
        let received = text.len();
        let rate_deadline = started + MAX_PAUSE + Duration::from_secs(received as u64) / MIN_BYTES_PER_SECOND;
        let chunk_deadline = rate_deadline.min(Instant::now() + MAX_PAUSE);
        let frame = timeout_at(chunk_deadline, connection.drive(body.frame())).await;
        let frame = frame.map_err(|_| CallFailure::Stalled { received })?;
        let Some(frame) = frame.ok_or(CallFailure::Broken { received })? else { return Ok(text) };
        let frame = frame.map_err(|_| CallFailure::Broken { received })?;
        // Trailers contain no part of the list.
        let chunk = frame.into_data().unwrap_or_default();
        if received + chunk.len() > MAX_LIST_BYTES {
            return Err(CallFailure::TooLong { limit: MAX_LIST_BYTES });
        }
        text.extend_from_slice(&chunk);
        progress.last.set(Some(Instant::now()));
    }
}
