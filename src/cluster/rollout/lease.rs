//! The lease under which a rollout is led.

use crate::cluster::ledger::RecordId;

/// The ledger record whose owner leads the rollout. No customer has this number.
pub const ROLLOUT_RECORD: RecordId = RecordId { customer: u64::MAX, key: 1 };
