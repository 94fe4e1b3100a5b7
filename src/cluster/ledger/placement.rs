//! Selects the seats that hold a record by rendezvous hashing (Thaler and Ravishankar 1998).
//!
//! The hash covers all seats of a list, never the reachable ones alone, so that all gateways place a record
//! alike even when their views of the membership differ.

use super::record::RecordId;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the `count` seats out of `seats` that hold a record, the same at every gateway with this list of seats.
/// `seat_list` is the digest of the list.
pub fn replicas_of(id: RecordId, seat_list: u64, seats: usize, count: usize) -> Vec<u16> {
    replicas_among(id, seat_list, 0..seats as u16, count)
}

/// Returns the `count` seats out of `group` that hold a record, the same at every gateway with this list of seats.
pub fn replicas_among(
    id: RecordId,
    seat_list: u64,
    group: impl Iterator<Item = u16>,
    count: usize,
) -> Vec<u16> {
    let mut ranked: Vec<(u64, u16)> = group.map(|seat| (score(id, seat_list, seat), seat)).collect();
    let count = count.min(ranked.len());
    if count > 0 {
        ranked.select_nth_unstable(count - 1);
    }
    ranked.truncate(count);
    ranked.into_iter().map(|(_, seat)| seat).collect()
}

/// Returns the score of a seat for a record; the seats with the lowest scores hold it. All gateways must compute the
/// same score, so the hash input is part of the wire protocol.
fn score(id: RecordId, seat_list: u64, seat: u16) -> u64 {
    let mut input = [0; 26];
    input[..8].copy_from_slice(&id.customer.to_le_bytes());
    input[8..16].copy_from_slice(&id.key.to_le_bytes());
    input[16..24].copy_from_slice(&seat_list.to_le_bytes());
    input[24..].copy_from_slice(&seat.to_le_bytes());
    xxh3_64(&input)
}
