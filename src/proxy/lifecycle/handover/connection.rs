//! Connection between two processes of one gateway: messages as lines of JSON, limited in time and length.

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

/// Time-out of one step: until the other process sends its next bytes, or accepts a chunk.
pub(super) const STEP_TIMEOUT: Duration = Duration::from_millis(500);
/// Time-out of a complete line, whatever its length: as long as a process may take to become ready.
const LINE_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit on the size of one endpoint in a snapshot, in bytes.
const MAX_ENDPOINT_BYTES: usize = 1200;
/// Limit on the size of one customer in a snapshot, in bytes.
const MAX_CUSTOMER_BYTES: usize = 800;
/// Limit on the customers in a snapshot: a gateway keeps each for two minutes, with 250 new customers per second.
const MAX_CUSTOMERS: usize = 30_000;
/// A rolling release temporarily doubles the endpoint list.
const MAX_ENTRIES_PER_ENDPOINT: usize = 2;
/// Limit on the length of a line, in bytes: 31.7 MB, the snapshot of a gateway in the largest deployment. The buffer
/// grows as bytes arrive, so it never takes more memory than the line needs.
const MAX_LINE_BYTES: usize =
    MAX_ENTRIES_PER_ENDPOINT * MAX_ENDPOINTS * MAX_ENDPOINT_BYTES + MAX_CUSTOMERS * MAX_CUSTOMER_BYTES;
/// Size of the chunks in which a line is written, in bytes.
const WRITE_CHUNK_BYTES: usize = 64 * 1024;

/// Error that ends the exchange with the other process.
#[derive(Debug, Error)]
pub(super) enum HandoverError {
    /// The other process closed the connection.
    #[error("the other process closed the connection")]
    Closed,
    /// The other process did not send or did not read in time.
    #[error("the other process made no progress within {0:?}")]
    TimedOut(Duration),
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A line exceeded the limit.
    #[error("message too long: got {bytes} bytes, limit {limit}")]
    TooLong {
        /// Bytes received so far.
        bytes: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// A line is not a message known to this build.
    #[error("unknown or malformed message of {bytes} bytes: {error}")]
    Malformed {
        /// Length of the line in bytes.
        bytes: usize,
        /// Reason given by the JSON parser.
        error: serde_json::Error,
    },
    /// A message could not be serialized.
    #[error("message not serialized: {0}")]
    Unwritable(serde_json::Error),
}

impl HandoverError {
    /// Logs errors that only a fault in one of the two builds explains. An exit of the other process is not a fault.
    pub fn log(&self) {
        if matches!(self, HandoverError::TooLong { .. } | HandoverError::Malformed { .. }) {
            warn!(error = %self, "invalid hand-over message from the other process; closing the connection");
        }
    }
}

/// Connection to the other process of the gateway.
pub(super) struct HandoverConnection {
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    /// Bytes of the next line received so far.
    partial_line: Vec<u8>,
}

impl HandoverConnection {
    pub fn new(stream: UnixStream) -> HandoverConnection {
        let (reader, writer) = stream.into_split();
        HandoverConnection { reader: BufReader::new(reader), writer, partial_line: Vec::new() }
    }

    /// Receives the next message. Cancel safe: a partially received message is kept for the next call.
    pub async fn receive(&mut self) -> Result<HandoverMessage, HandoverError> {
        while !self.read_chunk().await? {}
        self.take_message()
    }

    /// Like [`Self::receive`], but fails if the first bytes take longer than `first_timeout`, or if a later pause is
    /// longer than [`STEP_TIMEOUT`].
    pub async fn receive_within(
        &mut self,
        first_timeout: Duration,
    ) -> Result<HandoverMessage, HandoverError> {
        let line = async {
            let mut limit = first_timeout;
            while !within(limit, self.read_chunk()).await?? {
                limit = STEP_TIMEOUT;
            }
            self.take_message()
        };
        within(LINE_TIMEOUT, line).await?
    }

    /// Appends the bytes that have arrived to the next line. Returns whether the line is complete.
    async fn read_chunk(&mut self) -> Result<bool, HandoverError> {
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

    /// Sends a message.
    pub async fn send(&mut self, message: &HandoverMessage) -> Result<(), HandoverError> {
        let mut text = serde_json::to_vec(message).map_err(HandoverError::Unwritable)?;
        text.push(b'\n');
        for chunk in text.chunks(WRITE_CHUNK_BYTES) {
            within(STEP_TIMEOUT, self.writer.write_all(chunk)).await??;
        }
        Ok(())
    }
}

/// Waits for `step` for at most `limit`.
pub(super) async fn within<T>(limit: Duration, step: impl Future<Output = T>) -> Result<T, HandoverError> {
    timeout(limit, step).await.map_err(|_| HandoverError::TimedOut(limit))
}
