//! Requests whose owner is gone: offered to be finished, by one replica after the other.

use super::Replica;
use crate::cluster::ledger::record::RecordId;
use crate::cluster::ledger::settings::lease_with_drift;
use crate::decision::Micros;

/// How long the client of a gateway that died has to come again before others finish its request.
const CLIENT_RETURN_TIME: Micros = Micros(300_000);
/// How much longer each replica of a record waits than the one before.
const REPLICA_STAGGER: Micros = Micros(400_000);
/// An offer is made again after this: who was to finish the request may have died too.
const OFFER_AGAIN_AFTER: Micros = Micros(1_500_000);
/// A request is not continued when its record expires within this.
const MIN_REMAINING_LIFE: Micros = Micros(500_000);

/// A request that its owner left with the replicas of its record, and that may be finished by another gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AbandonedRequest {
    /// Its record.
    pub id: RecordId,
    /// The digest of what its client sent.
    pub request_digest: u64,
    /// The request.
    pub request: Vec<u8>,
}

impl Replica {
    /// Requests whose owner's lease is over for some time, without a response and without a message that it released
    /// the record: its client had that time to come again. `rank` is this replica's among the record's; each later one
    /// waits longer, so that one of them continues.
    pub fn take_abandoned(&mut self, now: Micros, rank: impl Fn(RecordId) -> usize) -> Vec<AbandonedRequest> {
        if !self.has_vote(now) {
            return Vec::new();
        }
        let lifetime = self.settings.record_lifetime;
        let mut abandoned = Vec::new();
        for (id, entry) in &mut self.entries {
            let (Some(write), Some(request)) = (&entry.accepted, &entry.request) else { continue };
            let record = &write.record;
            if !record.owned || record.is_locked(now - write.at) {
                continue;
            }
            let stagger = Micros(REPLICA_STAGGER.0 * rank(*id) as u64);
            let patience = lease_with_drift(record.lease()) + CLIENT_RETURN_TIME + stagger;
            let is_due =
                now - write.at >= patience && now - write.record_began + MIN_REMAINING_LIFE < lifetime;
            let offered_lately = entry.offered_at.is_some_and(|at| now - at < OFFER_AGAIN_AFTER);
            if is_due && !offered_lately {
                entry.offered_at = Some(now);
                let request_digest = record.request_digest;
                abandoned.push(AbandonedRequest { id: *id, request_digest, request: request.clone() });
            }
        }
        abandoned
    }

    /// A record was found answered elsewhere: its request needs nobody to finish it.
    pub fn drop_request(&mut self, id: RecordId) {
        if let Some(request) = self.entries.get_mut(&id).and_then(|entry| entry.request.take()) {
            self.bytes -= request.len();
            self.mark_changed(id);
        }
    }
}
