//! One call to discovery: the complete endpoint list, or the changes since a revision.

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

/// The buffer of a connection to discovery, in bytes: as long as the head of a response may be.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// The longest pause between two pieces of a list.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// The lowest rate of a list over all of it, in bytes a second: a tenth of the slowest discovery known of. Guards
/// against a peer that sends a byte now and then and so holds a call for ever.
const MIN_BYTES_PER_SECOND: u32 = 2_000;

/// Why a call brought no list.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// No connection came up.
    #[error("no connection: {0}")]
    Unreachable(io::Error),
    /// No connection, or nothing of a response, in time.
    #[error("no answer within {0:?}")]
    Silent(Duration),
    /// The response stopped coming, or came too slowly.
    #[error("the list stopped coming after {received} bytes")]
    Stalled {
        /// Bytes of the list that had come.
        received: usize,
    },
    /// The connection ended before the response did.
    #[error("the connection broke after {received} bytes of the list")]
    Broken {
        /// Bytes of the list that had come.
        received: usize,
    },
    /// The list is longer than one may be.
    #[error("the list is longer than {limit} bytes")]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// Another status than 200.
    #[error("answered with {0}")]
    Status(StatusCode),
    /// Not a list in discovery's form; the error has line and column.
    #[error("not a list of members: {0}")]
    Malformed(serde_json::Error),
}

/// The kinds of failures, as `/stats` counts them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum FailureKind {
    /// No connection came up.
    Unreachable,
    /// Nothing of a response in time.
    Silent,
    /// The response stopped coming.
    Stalled,
    /// The connection ended before the response did.
    Broken,
    /// Longer than a list may be.
    TooLong,
    /// Another status than 200.
    Status,
    /// Not a list.
    Malformed,
    /// A list that does not follow the one that is held.
    OutOfOrder,
}

impl CallFailure {
    /// What the failure counts as.
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

/// A list, and the connection that it came over.
pub struct ListResponse {
    /// The list.
    pub list: EndpointList,
    /// Its length in bytes.
    pub length: usize,
    /// Can carry the next call.
    pub connection: Connection,
}

/// One call.
#[derive(Clone, Copy)]
pub struct Call {
    /// Where discovery listens.
    pub address: SocketAddr,
    /// Asks for the changes since this revision; for the complete list without one.
    pub since: Option<u64>,
    /// How long discovery may hold the call while there is no change.
    pub hold: Duration,
}

impl Call {
    fn request(&self) -> Option<Request<OutboundBody>> {
        let path = match self.since {
            None => "/catalog/members".to_string(),
            Some(revision) => {
                // The protocol knows no hold of 0.
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

    /// Makes the call, over an idle connection if there is one. Its response has to begin within `patience` after the
    /// hold; from then on it is waited for as long as it makes progress.
    ///
    /// # Errors
    /// Where no list came, and at which point the call failed.
    pub async fn make(
        self,
        idle: Option<Connection>,
        patience: Duration,
        progress: Rc<Progress>,
    ) -> Result<ListResponse, CallFailure> {
        let limit = self.hold + patience;
        let begun = timeout(limit, self.begin(idle)).await;
        let (mut connection, body) = begun.unwrap_or(Err(CallFailure::Silent(limit)))?;
        let text = read_body(&mut connection, body, &progress).await?;
        let list = serde_json::from_slice(&text).map_err(CallFailure::Malformed)?;
        Ok(ListResponse { list, length: text.len(), connection })
    }

    /// Writes the call and reads the head of its response.
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
        let response = connection.begin(request, || {}).await.map_err(|_: CallError| broken)?;
        match response.status() {
            StatusCode::OK => Ok((connection, response.into_body())),
            status => Err(CallFailure::Status(status)),
        }
    }
}

/// When any of the calls in flight last brought a piece of a list.
#[derive(Debug, Default)]
pub struct Progress {
    last: Cell<Option<Instant>>,
}

impl Progress {
    /// When a piece last came; `None` before the first.
    pub fn last(&self) -> Option<Instant> {
        self.last.get()
    }
    /// As if nothing had come.
    pub fn forget(&self) {
        self.last.set(None);
    }
}

/// Reads a response's body to its end, for as long as it makes progress.
async fn read_body(
    connection: &mut Connection,
    mut body: Incoming,
    progress: &Progress,
) -> Result<Vec<u8>, CallFailure> {
    let mut text = Vec::new();
    let begun = Instant::now();
    loop {
        let received = text.len();
        let slowest = begun + MAX_PAUSE + Duration::from_secs(received as u64) / MIN_BYTES_PER_SECOND;
        let due = slowest.min(Instant::now() + MAX_PAUSE);
        let frame = timeout_at(due, connection.drive(body.frame())).await;
        let frame = frame.map_err(|_| CallFailure::Stalled { received })?;
        let Some(frame) = frame.ok_or(CallFailure::Broken { received })? else { return Ok(text) };
        let frame = frame.map_err(|_| CallFailure::Broken { received })?;
        // Trailers carry nothing of the list.
        let piece = frame.into_data().unwrap_or_default();
        if received + piece.len() > MAX_LIST_BYTES {
            return Err(CallFailure::TooLong { limit: MAX_LIST_BYTES });
        }
        text.extend_from_slice(&piece);
        progress.last.set(Some(Instant::now()));
    }
}
