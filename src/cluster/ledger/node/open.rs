//! Opens claims: selects the replicas of a record and contacts them.

use super::{ClaimId, LedgerEffect, LedgerNode, OpenClaim};
use crate::cluster::ledger::client::LedgerClient;
use crate::cluster::ledger::message::LedgerMessage;
use crate::cluster::ledger::placement::{replicas_among, replicas_of};
use crate::cluster::ledger::record::{Ballot, RecordId};
use crate::cluster::ledger::settings::LedgerSettings;
use crate::decision::Micros;

/// Maximum number of open claims; further requests proceed without a record.
const MAX_CLAIMS: usize = 10_000;
/// Minimum number of seats of a group, so that the group tolerates the failure of one of them.
const MIN_GROUP_SEATS: usize = 3;

impl LedgerNode {
    /// Opens a claim of a record. `reachable` tells whether a seat can be contacted. Returns `None` if
    /// `MAX_CLAIMS` claims are open.
    pub fn open(
        &mut self,
        now: Micros,
        id: RecordId,
        request_digest: u64,
        reachable: impl Fn(u16) -> bool,
        out: &mut Vec<LedgerEffect>,
    ) -> Option<ClaimId> {
        let replicas = replicas_of(id, self.seat_list, self.seats, self.settings.replicas);
        self.open_with_replicas(now, id, request_digest, replicas, reachable, out)
    }

    /// Opens a claim of a record whose replicas all belong to a group of seats, so that a quorum within the
    /// group suffices when the rest of the cluster is unreachable. For a group of fewer than three seats the
    /// replicas are chosen from the whole cluster instead.
    pub fn open_in_group(
        &mut self,
        now: Micros,
        id: RecordId,
        group: &[u16],
        reachable: impl Fn(u16) -> bool,
        out: &mut Vec<LedgerEffect>,
    ) -> Option<ClaimId> {
        if group.len() < MIN_GROUP_SEATS {
            return self.open(now, id, 0, reachable, out);
        }
        let count =
            if group.len() < self.settings.replicas { MIN_GROUP_SEATS } else { self.settings.replicas };
        let replicas = replicas_among(id, self.seat_list, group.iter().copied(), count);
        self.open_with_replicas(now, id, 0, replicas, reachable, out)
    }

    fn open_with_replicas(
        &mut self,
        now: Micros,
        id: RecordId,
        request_digest: u64,
        mut replicas: Vec<u16>,
        reachable: impl Fn(u16) -> bool,
        out: &mut Vec<LedgerEffect>,
    ) -> Option<ClaimId> {
        if self.claims.len() >= MAX_CLAIMS {
            return None;
        }
        self.last_claim += 1;
        self.counts.claims += 1;
        let claim = self.last_claim;
        let ballot = Ballot { number: 1, process: self.process, claim };
        let is_unreachable = |seat: u16| seat != self.own_seat && !reachable(seat);
        // The local replica comes first, unreachable replicas last.
        replicas.sort_by_key(|seat| (*seat != self.own_seat, is_unreachable(*seat)));
        let unreachable: Vec<u16> = replicas.iter().copied().filter(|seat| is_unreachable(*seat)).collect();
        let settings = LedgerSettings { replicas: replicas.len(), ..self.settings };
        let mut messages = Vec::new();
        let client = LedgerClient::begin(id, request_digest, ballot, replicas, settings, now, &mut messages);
        self.claims.insert(claim, OpenClaim { client, released_at: None });
        messages.retain(|message| !unreachable.contains(&message.to));
        self.deliver(now, messages, out);
        for seat in unreachable {
            self.on_message(now, seat, LedgerMessage::Abstained { id, ballot }, out);
        }
        Some(claim)
    }
}
