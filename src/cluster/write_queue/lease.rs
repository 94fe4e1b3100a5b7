//! The lease under which a branch's writes are forwarded.

use crate::cluster::ledger::RecordId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// No customer has this number.
const NO_CUSTOMER: u64 = u64::MAX;
/// Keeps the hash apart from those of other kinds of records.
const HASH_SEED: u64 = 2;

/// The ledger record whose owner forwards a branch's writes: each branch has its own. All gateways compute the same.
pub fn queue_record(branch_seats: &[u16]) -> RecordId {
    let mut sorted = branch_seats.to_vec();
    sorted.sort_unstable();
    let bytes: Vec<u8> = sorted.iter().flat_map(|seat| seat.to_le_bytes()).collect();
    RecordId { customer: NO_CUSTOMER, key: xxh3_64_with_seed(&bytes, HASH_SEED) }
}
