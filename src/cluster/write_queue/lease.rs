//! Ledger record that serves as the lease for forwarding the writes of a branch.

use crate::cluster::ledger::RecordId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Customer number that no customer has.
const NO_CUSTOMER: u64 = u64::MAX;
/// Hash seed that separates these record keys from those of other kinds of records.
const HASH_SEED: u64 = 2;

/// Returns the ledger record whose owner forwards the writes of the branch with these seats. Every branch has a
/// separate record, and all gateways compute the same one.
pub fn queue_record(branch_seats: &[u16]) -> RecordId {
    let mut sorted = branch_seats.to_vec();
    sorted.sort_unstable();
    let bytes: Vec<u8> = sorted.iter().flat_map(|seat| seat.to_le_bytes()).collect();
    RecordId { customer: NO_CUSTOMER, key: xxh3_64_with_seed(&bytes, HASH_SEED) }
}
