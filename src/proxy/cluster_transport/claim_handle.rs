//! The handle of a ledger claim.

use crate::cluster::ledger::ClaimId;

/// Identifies a claim of this process.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClaimHandle {
    /// Number of the participation in which the claim was opened; in any other the handle is invalid.
    pub participation: u64,
    /// Number of the claim.
    pub id: ClaimId,
}
