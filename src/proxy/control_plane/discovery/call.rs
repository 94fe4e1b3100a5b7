//! One call to discovery: the whole list, or the changes since a version.

use crate::proxy::control_plane::discovery::endpoint_list::{MemberList, LONGEST_LIST};
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

/// The buffer of a connection to discovery, in bytes: as long as the head of an answer may be.
const READ_BUFFER: usize = 64 * 1024;
/// A list that has begun to come goes on coming while no piece of it keeps the gateway waiting for longer than this.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// The slowest that a list may come beside that, in bytes a second: a tenth of the slowest discovery known of. Guards
/// against a peer that sends a byte now and then and so holds a call for ever.
const SLOWEST: usize = 2_000;

/// Why a call brought no list.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// No connection came up.
    #[error("no connection: {0}")]
    Unreachable(io::Error),
    /// No connection, or nothing of an answer, in time.
    #[error("no answer within {0:?}")]
    Silent(Duration),
    /// The answer stopped coming, or came too slowly.
    #[error("the list stopped coming after {received} bytes")]
    Stalled {
        /// Bytes of the list that had come.
        received: usize,
    },
    /// The connection ended before the answer did.
    #[error("the connection broke after {received} bytes of the list")]
    Broken {
        /// Bytes of the list that had come.
        received: usize,
    },
    /// The list is longer than one may be.
    #[error("the list is longer than {limit} bytes")]
    TooLong {
        /// The bound.
        limit: usize,
    },
    /// Another status than 200.
    #[error("answered with {0}")]
    Status(StatusCode),
    /// Not a list in discovery's form; the error has line and column.
    #[error("not a list of members: {0}")]
    Malformed(serde_json::Error),
}

/// The kinds of failures, as they are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum FailureKind {
    /// No connection came up.
    Unreachable,
    /// Nothing of an answer in time.
    Silent,
    /// The answer stopped coming.
    Stalled,
    /// The connection ended before the answer did.
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
pub struct Answer {
    /// The list.
    pub list: MemberList,
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
    /// Changes since this version; the whole list without one.
    pub since: Option<u64>,
    /// How long discovery may wait for news.
    pub hold: Duration,
}

impl Call {
    fn request(&self) -> Option<Request<OutboundBody>> {
        let path = match self.since {
            None => "/catalog/members".to_string(),
            Some(revision) => {
                // A hold of nothing at all is not a hold that the protocol names.
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

    /// Makes the call, over a connection that rests if there is one. Its answer has to begin within `patience` after its
    /// hold; from then on it is waited for as long as it makes progress.
    pub async fn make(
        self,
        resting: Option<Connection>,
        patience: Duration,
        progress: Rc<Progress>,
    ) -> Result<Answer, CallFailure> {
        let limit = self.hold + patience;
        let begun = timeout(limit, self.begin(resting)).await;
        let (mut connection, body) = begun.unwrap_or(Err(CallFailure::Silent(limit)))?;
        let text = read(&mut connection, body, &progress).await?;
        let list = serde_json::from_slice(&text).map_err(CallFailure::Malformed)?;
        Ok(Answer { list, length: text.len(), connection })
    }

    /// Writes the call and reads the head of its answer.
    async fn begin(self, resting: Option<Connection>) -> Result<(Connection, Incoming), CallFailure> {
        let mut connection = match resting {
            Some(connection) => connection,
            None => Connection::open(self.address, READ_BUFFER).await.map_err(CallFailure::Unreachable)?,
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

/// When a call last brought something.
#[derive(Debug, Default)]
pub struct Progress {
    last: Cell<Option<Instant>>,
}

impl Progress {
    /// When a piece of a list last came; `None` before its first.
    pub fn last(&self) -> Option<Instant> {
        self.last.get()
    }
    /// As if nothing had come.
    pub fn forget(&self) {
        self.last.set(None);
    }
}

/// Reads an answer's body to its end, for as long as it makes progress.
async fn read(
    connection: &mut Connection,
    mut body: Incoming,
    progress: &Progress,
) -> Result<Vec<u8>, CallFailure> {
    let (mut text, begun) = (Vec::new(), Instant::now());
    loop {
        let received = text.len();
        let slowest = begun + LONGEST_PAUSE + Duration::from_secs(received as u64) / SLOWEST as u32;
        let due = slowest.min(Instant::now() + LONGEST_PAUSE);
        let frame = timeout_at(due, connection.drive(body.frame())).await;
        let frame = frame.map_err(|_| CallFailure::Stalled { received })?;
        let Some(frame) = frame.ok_or(CallFailure::Broken { received })? else { return Ok(text) };
        let frame = frame.map_err(|_| CallFailure::Broken { received })?;
        // Trailers say nothing of the list.
        let piece = frame.into_data().unwrap_or_default();
        if received + piece.len() > LONGEST_LIST {
            return Err(CallFailure::TooLong { limit: LONGEST_LIST });
        }
        text.extend_from_slice(&piece);
        progress.last.set(Some(Instant::now()));
    }
}
