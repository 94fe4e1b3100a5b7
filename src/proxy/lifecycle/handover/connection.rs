//! The connection between two processes of one gateway: messages as lines of JSON, with limits on time and length.

use super::message::HandoverMessage;
use crate::proxy::control_plane::discovery::endpoint_list::MAX_ENDPOINTS;
use std::future::Future;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::UnixStream;
use tokio::time::timeout;
use tracing::warn;

/// The longest wait for any one step of the other process: for its next bytes, or for it to take some.
pub(super) const STEP_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest wait for a whole line, however long: as long as a process may take until it is ready.
const LINE_TIMEOUT: Duration = Duration::from_secs(10);
/// The most bytes of an endpoint and of a customer in a snapshot.
const MAX_ENDPOINT_BYTES: usize = 1200;
const MAX_CUSTOMER_BYTES: usize = 800;
/// Customers of a gateway within the two minutes in which it remembers them, at 250 new ones a second.
const MAX_CUSTOMERS: usize = 30_000;
/// A rolling release doubles the endpoint list for a while.
const MAX_ENTRIES_PER_ENDPOINT: usize = 2;
/// The longest line, in bytes: 31.7 MB, the snapshot of a gateway of the largest deployment. Read as it comes, so that
/// no more memory is taken than the line has.
const MAX_LINE_BYTES: usize =
    MAX_ENTRIES_PER_ENDPOINT * MAX_ENDPOINTS * MAX_ENDPOINT_BYTES + MAX_CUSTOMERS * MAX_CUSTOMER_BYTES;
/// Bytes that are written in one step.
const WRITE_CHUNK_BYTES: usize = 64 * 1024;

/// Why the exchange with the other process can't go on.
#[derive(Debug, Error)]
pub(super) enum HandoverError {
    /// The other process has ended.
    #[error("the other process closed the connection")]
    Closed,
    /// The other process is silent, or does not read.
    #[error("the other process did nothing within {0:?}")]
    TimedOut(Duration),
    /// The connection broke.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A line that never ends.
    #[error("a message of {bytes} bytes, longer than {limit}")]
    TooLong {
        /// Bytes that had come.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// A line that this build does not know.
    #[error("a message of {bytes} bytes that is unknown or malformed: {error}")]
    Malformed {
        /// The length of the line.
        bytes: usize,
        /// Why.
        error: serde_json::Error,
    },
    /// A message that could not be put into a line.
    #[error("a message could not be written: {0}")]
    Unwritable(serde_json::Error),
}

impl HandoverError {
    /// Logs what only a fault of one of the two builds explains. That the other process has gone is no fault.
    pub fn log(&self) {
        if matches!(self, HandoverError::TooLong { .. } | HandoverError::Malformed { .. }) {
            warn!(error = %self, "invalid hand-over message from the other process");
        }
    }
}

/// The two ends of the connection.
pub(super) struct HandoverConnection {
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    /// What has come of the next line.
    partial_line: Vec<u8>,
}

impl HandoverConnection {
    pub fn new(stream: UnixStream) -> HandoverConnection {
        let (reader, writer) = stream.into_split();
        HandoverConnection { reader: BufReader::new(reader), writer, partial_line: Vec::new() }
    }

    /// The next message. Cancel safe: what has come of it is kept for the next call.
    pub async fn receive(&mut self) -> Result<HandoverMessage, HandoverError> {
        while !self.read_piece().await? {}
        self.take_message()
    }

    /// The same where the other process is to begin within this time and then not to pause for longer than
    /// [`STEP_TIMEOUT`].
    pub async fn receive_within(&mut self, first: Duration) -> Result<HandoverMessage, HandoverError> {
        let line = async {
            let mut limit = first;
            while !within(limit, self.read_piece()).await?? {
                limit = STEP_TIMEOUT;
            }
            self.take_message()
        };
        within(LINE_TIMEOUT, line).await?
    }

    /// Reads what has come of the next line; whether that is all of it.
    async fn read_piece(&mut self) -> Result<bool, HandoverError> {
        let received = self.reader.fill_buf().await?;
        if received.is_empty() {
            return Err(HandoverError::Closed);
        }
        let end = received.iter().position(|byte| *byte == b'\n');
        let length = end.map_or(received.len(), |end| end + 1);
        self.partial_line.extend_from_slice(&received[..length]);
        self.reader.consume(length);
        let bytes = self.partial_line.len();
        if bytes > MAX_LINE_BYTES {
            return Err(HandoverError::TooLong { bytes, limit: MAX_LINE_BYTES });
        }
        Ok(end.is_some())
    }

    fn take_message(&mut self) -> Result<HandoverMessage, HandoverError> {
        let line = std::mem::take(&mut self.partial_line);
        let message = serde_json::from_slice(&line);
        message.map_err(|error| HandoverError::Malformed { bytes: line.len(), error })
    }

    /// Writes a message.
    pub async fn send(&mut self, message: &HandoverMessage) -> Result<(), HandoverError> {
        let mut text = serde_json::to_vec(message).map_err(HandoverError::Unwritable)?;
        text.push(b'\n');
        for chunk in text.chunks(WRITE_CHUNK_BYTES) {
            within(STEP_TIMEOUT, self.writer.write_all(chunk)).await??;
        }
        Ok(())
    }
}

/// Waits for no longer than `limit`.
pub(super) async fn within<T>(limit: Duration, step: impl Future<Output = T>) -> Result<T, HandoverError> {
    timeout(limit, step).await.map_err(|_| HandoverError::TimedOut(limit))
}
