//! The lease of the rollout's leader.

use crate::cluster::ledger::RecordId;

/// Ledger record whose owner leads the rollout. No customer has this number.
pub const ROLLOUT_RECORD: RecordId = RecordId { customer: u64::MAX, key: 1 };
