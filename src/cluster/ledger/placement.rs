//! Which seats hold a record: drawn by rendezvous over all seats, never over those who are visible.

use crate::cluster::ledger::RecordId;
use xxhash_rust::xxh3::xxh3_64;

/// The `count` seats out of so many that hold a record, the same at every gateway with this list of seats.
pub fn holders(id: RecordId, list: u64, seats: usize, count: usize) -> Vec<u16> {
    holders_among(id, list, 0..seats as u16, count)
}

/// The same out of a group of them.
pub fn holders_among(id: RecordId, list: u64, group: impl Iterator<Item = u16>, count: usize) -> Vec<u16> {
    let mut drawn: Vec<(u64, u16)> = group
        .map(|seat| {
            let mut key = [0; 26];
            key[..8].copy_from_slice(&id.customer.to_le_bytes());
            key[8..16].copy_from_slice(&id.key.to_le_bytes());
            key[16..24].copy_from_slice(&list.to_le_bytes());
            key[24..].copy_from_slice(&seat.to_le_bytes());
            (xxh3_64(&key), seat)
        })
        .collect();
    let count = count.min(drawn.len());
    if count > 0 {
        drawn.select_nth_unstable(count - 1);
    }
    drawn.truncate(count);
    drawn.into_iter().map(|(_, seat)| seat).collect()
}
