//! Finds requests whose owner has failed and reports them to be finished, at one replica after the other.

use super::Replica;
use crate::cluster::ledger::record::RecordId;
use crate::cluster::ledger::settings::lease_with_drift;
use crate::decision::Micros;

/// Time after the end of a lease in which the client of a failed gateway may retry before another gateway
/// finishes its request.
const CLIENT_RETRY_TIME: Micros = Micros(300_000);
/// Additional waiting time for each rank among the replicas of a record.
const REPLICA_STAGGER: Micros = Micros(400_000);
/// Interval at which a request is reported again, as the gateway that was to finish it may have failed too.
const REPORT_INTERVAL: Micros = Micros(1_500_000);
/// Minimum remaining lifetime of a record for its request to be continued.
const MIN_REMAINING_LIFETIME: Micros = Micros(500_000);

/// A request that its failed owner stored at the replicas of its record, and that another gateway may finish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AbandonedRequest {
    /// Identifier of the request's record.
    pub id: RecordId,
    /// Digest of the client's request.
    pub request_digest: u64,
    /// Encoded request.
    pub request: Vec<u8>,
}

impl Replica {
    /// Returns requests whose owner neither completed nor released the record and whose lease ended long enough
    /// ago that the client had time to retry. `rank` is the rank of this replica among those of the record;
    /// each later replica waits longer, so that normally only one of them continues the request.
    pub fn take_abandoned(&mut self, now: Micros, rank: impl Fn(RecordId) -> usize) -> Vec<AbandonedRequest> {
        if !self.has_vote(now) {
            return Vec::new();
        }
        let lifetime = self.settings.record_lifetime;
        let mut abandoned = Vec::new();
        for (id, entry) in &mut self.entries {
            let (Some(write), Some(request)) = (&entry.accepted, &entry.request) else { continue };
            let record = &write.record;
            if !record.owned || record.is_locked(now - write.accepted_at) {
                continue;
            }
            let stagger = Micros(REPLICA_STAGGER.0 * rank(*id) as u64);
            let waiting_time = lease_with_drift(record.lease()) + CLIENT_RETRY_TIME + stagger;
            let is_due = now - write.accepted_at >= waiting_time
                && now - write.record_created_at + MIN_REMAINING_LIFETIME < lifetime;
            let reported_recently =
                entry.reported_at.is_some_and(|reported_at| now - reported_at < REPORT_INTERVAL);
            if is_due && !reported_recently {
                entry.reported_at = Some(now);
                let request_digest = record.request_digest;
                abandoned.push(AbandonedRequest { id: *id, request_digest, request: request.clone() });
            }
        }
        abandoned
    }

    /// Drops the stored request of a record. Called when a claim finds the record completed.
    pub fn drop_request(&mut self, id: RecordId) {
        if let Some(request) = self.entries.get_mut(&id).and_then(|entry| entry.request.take()) {
            self.bytes -= request.len();
            self.mark_changed(id);
        }
    }
}
