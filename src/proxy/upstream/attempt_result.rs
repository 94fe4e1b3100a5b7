//! Result of an attempt at a backend.

use super::streamed_response::StreamedResponseBody;
use crate::decision::{LoadReport, Outcome};
use crate::proxy::admin::metrics::NotSentReason;
use crate::proxy::memory_budget::MemoryReservation;
use bytes::Bytes;
use tokio::time::Instant;

/// Result of an attempt that has ended, or whose streamed response has started.
pub struct AttemptResult {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Body of a 200 response.
    pub body: Option<UpstreamResponseBody>,
    /// When the last byte of the request was written, if it was.
    pub request_sent_at: Option<Instant>,
    /// When the first bytes of a streamed response arrived.
    pub response_started_at: Option<Instant>,
    /// Load report of the backend.
    pub report: LoadReport,
    /// Why nothing was written, if the gateway itself decided that.
    pub not_sent: Option<NotSentReason>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            body: None,
            request_sent_at: None,
            response_started_at: None,
            report: LoadReport::default(),
            not_sent: None,
        }
    }
}

/// Body of a 200 response.
pub enum UpstreamResponseBody {
    /// Complete body, and the memory reserved for it.
    Buffered(Bytes, Option<MemoryReservation>),
    /// Body whose start has arrived and whose rest is read as it arrives.
    Streamed(Box<StreamedResponseBody>),
}
