//! The name of a claim at the ledger.

use crate::cluster::ledger::ClaimId;

/// Names a claim of this process.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClaimHandle {
    /// In which of this process's participations it was made; in any other it is void.
    pub participation: u64,
    /// The claim.
    pub id: ClaimId,
}
