//! Numbers of claims of one gateway by outcome.

use super::client::ClaimOutcome;

/// Numbers of claims by outcome. The serialized field names are keys of the JSON served to operators.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct ClaimCounts {
    /// Claims opened.
    pub claims: u64,
    /// Claims that acquired their record.
    #[serde(rename = "clear")]
    pub acquired: u64,
    /// Acquired records that existed before.
    pub taken_over: u64,
    /// Claims that found the request in progress under another claim.
    #[serde(rename = "running")]
    pub in_progress: u64,
    /// Claims that found the request completed.
    #[serde(rename = "answered")]
    pub completed: u64,
    /// Claims that found a different request under the same idempotency key.
    #[serde(rename = "mistakes")]
    pub key_reused: u64,
    /// Claims without a quorum of the replicas.
    #[serde(rename = "unheld")]
    pub unavailable: u64,
    /// Claims whose record was taken over by another owner.
    pub lost: u64,
    /// Requests that proceeded without a record, as its replicas did not confirm in time.
    pub unprotected: u64,
    /// Requests of failed owners that this gateway was asked to finish.
    #[serde(rename = "orphans")]
    pub abandoned: u64,
}

impl ClaimCounts {
    /// Counts the outcome of a claim.
    pub(super) fn record(&mut self, outcome: &ClaimOutcome) {
        match outcome {
            ClaimOutcome::Acquired { existed, .. } => {
                self.acquired += 1;
                self.taken_over += u64::from(*existed);
            }
            ClaimOutcome::InProgress(_) => self.in_progress += 1,
            ClaimOutcome::Completed(_) => self.completed += 1,
            ClaimOutcome::KeyReused => self.key_reused += 1,
            ClaimOutcome::Unavailable => self.unavailable += 1,
            ClaimOutcome::Lost => self.lost += 1,
            ClaimOutcome::Confirmed(_) => {}
        }
    }
}
