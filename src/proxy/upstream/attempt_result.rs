//! How an attempt at a backend ended.

use super::streamed_response::StreamedResponseBody;
use crate::decision::{LoadReport, Outcome};
use crate::proxy::admin::metrics::NotSentReason;
use bytes::Bytes;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// How an attempt ended, or that its response has started.
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The body of a 200.
    pub body: Option<UpstreamResponseBody>,
    /// When the last byte of the request was written, if it was.
    pub request_sent_at: Option<Instant>,
    /// When the first bytes of a streamed response came.
    pub response_started_at: Option<Instant>,
    /// What the backend said of its load.
    pub report: LoadReport,
    /// Why nothing was written, where the gateway itself decided so.
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

/// The body of a 200.
pub enum UpstreamResponseBody {
    /// All of it, and the memory reserved for it.
    Buffered(Bytes, Option<OwnedSemaphorePermit>),
    /// Its beginning, and the rest as it comes.
    Streamed(Box<StreamedResponseBody>),
}
