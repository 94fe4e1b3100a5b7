//! One call to discovery: the whole list, or the changes since a version.

use super::list::{MemberList, LONGEST_LIST};
use crate::net::http::{CallError, Connection};
use crate::net::upload::Sending;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{header, Request, StatusCode};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use strum::{IntoStaticStr, VariantArray};
use thiserror::Error;
use tokio::time::timeout;

/// The buffer of a connection to discovery, in bytes: as long as the head of an answer may be.
const READ_BUFFER: usize = 64 * 1024;

/// Why a call brought no list.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// No connection came up.
    #[error("no connection: {0}")]
    Unreachable(io::Error),
    /// The call was given up.
    #[error("no answer in time, {received} bytes of it came")]
    TimedOut {
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
    /// Given up.
    TimedOut,
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
            CallFailure::TimedOut { .. } => FailureKind::TimedOut,
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
    fn request(&self) -> Option<Request<Sending>> {
        let path = match self.since {
            None => "/catalog/members".to_string(),
            Some(revision) => {
                // A hold of nothing at all is not a hold that the protocol names.
                let hold_ms = self.hold.as_millis().max(1);
                format!("/catalog/members?from={revision}&hold_ms={hold_ms}")
            }
        };
        let mut request = Request::new(Sending::empty());
        *request.uri_mut() = path.parse().ok()?;
        let host = self.address.to_string().parse().ok()?;
        request.headers_mut().insert(header::HOST, host);
        Some(request)
    }

    async fn exchange(
        self,
        resting: Option<Connection>,
        received: &Cell<usize>,
    ) -> Result<Answer, CallFailure> {
        let mut connection = match resting {
            Some(connection) => connection,
            None => Connection::open(self.address, READ_BUFFER).await.map_err(CallFailure::Unreachable)?,
        };
        let broken = |received: &Cell<usize>| CallFailure::Broken { received: received.get() };
        let request = self.request().ok_or_else(|| broken(received))?;
        let response = connection.begin(request, || {}).await.map_err(|_: CallError| broken(received))?;
        if response.status() != StatusCode::OK {
            return Err(CallFailure::Status(response.status()));
        }
        let text = read(&mut connection, response.into_body(), received).await?;
        let list = serde_json::from_slice(&text).map_err(CallFailure::Malformed)?;
        Ok(Answer { list, length: text.len(), connection })
    }

    /// Makes the call, over a connection that rests if there is one.
    pub async fn make(self, resting: Option<Connection>, patience: Duration) -> Result<Answer, CallFailure> {
        let received = Cell::new(0);
        let answer = timeout(self.hold + patience, self.exchange(resting, &received)).await;
        answer.unwrap_or(Err(CallFailure::TimedOut { received: received.get() }))
    }
}

/// Reads an answer's body to its end.
async fn read(
    connection: &mut Connection,
    mut body: Incoming,
    received: &Cell<usize>,
) -> Result<Vec<u8>, CallFailure> {
    let mut text = Vec::new();
    loop {
        let frame = connection.drive(body.frame()).await;
        let Some(frame) = frame.ok_or(CallFailure::Broken { received: received.get() })? else {
            return Ok(text);
        };
        let frame = frame.map_err(|_| CallFailure::Broken { received: received.get() })?;
        // Trailers say nothing of the list.
        let piece = frame.into_data().unwrap_or_default();
        if text.len() + piece.len() > LONGEST_LIST {
            return Err(CallFailure::TooLong { limit: LONGEST_LIST });
        }
        text.extend_from_slice(&piece);
        received.set(text.len());
    }
}
