//! Membership part of the cluster node: sent and received datagrams, probes, joining and leaving.

use crate::cluster::datagram::{self, DatagramError, Payload};
use crate::cluster::event::{ClusterNotice, Effect};
use crate::cluster::membership::codec::KnownIncarnation;
use crate::cluster::membership::identity::Identity;
use crate::cluster::membership::join::JoinSchedule;
use crate::cluster::membership::ring_probe::{RingContext, RingProbeAction};
use crate::cluster::membership::swim::{micros, OutgoingMessage};
use crate::cluster::node::ClusterNode;
use crate::cluster::quota_lease::seat_lease::QuotaShares;
use crate::decision::Micros;
use std::net::SocketAddr;

/// A process that has known other members for this time is established under its name: it then yields to a
/// newer process instead of taking a higher incarnation itself.
const ESTABLISHED_AFTER: Micros = Micros(10_000_000);
/// Number of ticks in which a leaving gateway gossips again that it leaves.
const LEAVE_REPEATS: u32 = 4;

impl ClusterNode {
    /// Advances membership and the quota leases.
    pub(super) fn tick_membership(&mut self, messages: &mut Vec<OutgoingMessage>, out: &mut Vec<Effect>) {
        self.swim.tick(self.now, messages);
        self.check_own_incarnation(messages, out);
        if self.is_leaving {
            if self.leave_repeats > 0 {
                self.leave_repeats -= 1;
                self.swim.gossip(messages);
            }
            return;
        }
        if self.join_schedule.is_due(self.now) {
            self.announce_to_absent_gateways(messages);
        }
        self.tick_ring_probe(messages, out);
        self.notify_member_changes(out);
        self.tick_quota_leases(out);
    }

    /// Leaves the cluster on purpose.
    pub(super) fn leave(&mut self, messages: &mut Vec<OutgoingMessage>) {
        self.is_leaving = true;
        self.leave_repeats = LEAVE_REPEATS;
        self.swim.leave(messages);
    }

    /// Advances the ring prober: probes the next member in the ring of names, or suspects one that did not
    /// reply.
    fn tick_ring_probe(&mut self, messages: &mut Vec<OutgoingMessage>, out: &mut Vec<Effect>) {
        let token = self.rng.u64(..);
        let context = RingContext {
            protocol_time: self.swim.protocol_time(),
            period: micros(self.settings.probe_period),
            own_name: &self.settings.name,
            records: self.swim.records(),
            health: self.swim.health(),
        };
        match self.ring_prober.tick(&context, token) {
            RingProbeAction::Wait => {}
            RingProbeAction::Probe(target, token) => {
                let addresses: Vec<SocketAddr> = self.addresses(&target).collect();
                if let Some(bytes) = self.encode(&Payload::RingProbe { token }, &[]) {
                    for address in addresses {
                        self.send_datagram(address, bytes.clone(), out);
                    }
                }
            }
            RingProbeAction::Suspect(member) => self.swim.suspect(&member, messages),
        }
    }

    /// Announces this gateway to configured gateways that are not present.
    fn announce_to_absent_gateways(&mut self, messages: &mut Vec<OutgoingMessage>) {
        let records = self.swim.records();
        let is_absent = |name: &&String| {
            let record = records.get(name.as_str());
            **name != self.settings.name && record.is_none_or(|record| !record.state.is_present())
        };
        let absent: Vec<String> = self.address_book.configured_names().filter(is_absent).cloned().collect();
        let is_disconnected = self.swim.connected_at().is_none();
        for name in self.rng.choose_multiple(absent.iter(), JoinSchedule::fanout(is_disconnected)) {
            self.swim.announce_to(name, messages);
        }
        self.join_schedule.schedule_next(self.now, is_disconnected, &mut self.rng);
    }

    /// Emits a notice for each member whose state changed since the last notice.
    fn notify_member_changes(&mut self, out: &mut Vec<Effect>) {
        let records = self.swim.records();
        for (name, record) in records {
            if self.notified_states.get(name) != Some(&record.state) {
                self.notified_states.insert(name.clone(), record.state);
                let (name, state, reason) = (name.to_string(), record.state, record.reason);
                out.push(Effect::Notify(ClusterNotice::MemberStateChanged { name, state, reason }));
            }
        }
        self.notified_states.retain(|name, _| records.contains_key(name));
        self.address_book.retain_known(records);
    }

    /// Processes a received datagram and counts it.
    pub(super) fn receive(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        messages: &mut Vec<OutgoingMessage>,
        out: &mut Vec<Effect>,
    ) {
        let result = self.dispatch(from, bytes, messages, out);
        if let Some(sender) = self.swim.take_sender() {
            self.address_book.observe(&sender, from);
        }
        self.check_own_incarnation(messages, out);
        self.check_duplicate_name(out);
        match result {
            Ok(()) => {
                self.traffic.received += 1;
                self.traffic.received_bytes += bytes.len() as u64;
            }
            Err(error) => *self.traffic.dropped.entry(error).or_default() += 1,
        }
    }

    fn dispatch(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        messages: &mut Vec<OutgoingMessage>,
        out: &mut Vec<Effect>,
    ) -> Result<(), DatagramError> {
        let (payload, rest) = datagram::decode(self.cluster_tag, bytes)?;
        if !self.accepts(&payload) {
            return Ok(());
        }
        match payload {
            Payload::Ledger { seat_list, seat, message } => {
                self.on_ledger_message(seat_list, seat, message, out)
            }
            Payload::Rollout { seat_list, seat, message } => {
                self.on_rollout_message(seat_list, seat, message, out)
            }
            Payload::WriteQueue { seat_list, seat, message } => {
                self.on_queue_message(seat_list, seat, message, out)
            }
            Payload::Swim { known_incarnation, is_present, suspicion } => {
                let known = KnownIncarnation { incarnation: known_incarnation, is_present };
                self.receive_swim(known, suspicion, rest, messages, out)
            }
            Payload::RingProbe { token } => {
                self.send_payload(from, &Payload::RingProbeReply { token }, out);
                Ok(())
            }
            Payload::RingProbeReply { token } => {
                self.ring_prober.on_reply(token);
                Ok(())
            }
            Payload::ViewRequest { seat_list, token } => {
                self.answer_view_request(from, seat_list, token, out);
                Ok(())
            }
            Payload::ViewReply { seat_list, token, table } => self.on_view_reply(seat_list, token, &table),
        }
    }

    /// Whether a payload is processed. A process that yielded processes none. A leaving one still takes part in the
    /// ledger and the write queue, to hand over its own work and the records of others.
    fn accepts(&self, payload: &Payload) -> bool {
        let is_hand_over = matches!(payload, Payload::Ledger { .. } | Payload::WriteQueue { .. });
        self.yielded_to.is_none() && (!self.is_leaving || is_hand_over)
    }

    /// Processes a message of the membership protocol. `known` is the incarnation that the sender knows under
    /// this gateway's name.
    fn receive_swim(
        &mut self,
        known: KnownIncarnation,
        suspicion: Option<u16>,
        message: &[u8],
        messages: &mut Vec<OutgoingMessage>,
        out: &mut Vec<Effect>,
    ) -> Result<(), DatagramError> {
        let own = self.own_identity().incarnation;
        if known.incarnation > own {
            self.yield_or_raise_incarnation(known, messages, out);
            return Ok(());
        }
        if let Some(number) = suspicion.filter(|_| known.incarnation == own) {
            self.swim.on_suspected(number, messages);
        }
        self.swim.receive(self.now, message, messages).map_err(|_| DatagramError::Rejected)
    }

    /// Checks whether messages named a later incarnation under this member's own name.
    fn check_own_incarnation(&mut self, messages: &mut Vec<OutgoingMessage>, out: &mut Vec<Effect>) {
        let Some(later) = self.swim.take_later_own_incarnation() else { return };
        if self.yielded_to.is_none()
            && !self.is_leaving
            && later.incarnation > self.own_identity().incarnation
        {
            self.yield_or_raise_incarnation(later, messages, out);
        }
    }

    /// Called when other members know a later incarnation under this gateway's name.
    ///
    /// If the later incarnation is present and this process is established, two processes run under the name.
    /// This process, the older one, then yields; otherwise the two would declare each other down forever. In
    /// all other cases the process of the later incarnation has crashed, or this process started after it
    /// with a clock that was set back; this process then takes a higher incarnation.
    fn yield_or_raise_incarnation(
        &mut self,
        other: KnownIncarnation,
        messages: &mut Vec<OutgoingMessage>,
        out: &mut Vec<Effect>,
    ) {
        let connected_at = self.swim.connected_at();
        let is_established = connected_at.is_some_and(|at| self.now - at >= ESTABLISHED_AFTER);
        if !other.is_present || !is_established {
            self.swim.raise_incarnation_above(other.incarnation, messages);
            return;
        }
        let own = self.own_identity().incarnation;
        self.yielded_to = Some(other.incarnation);
        self.ledger = None;
        self.rollout = None;
        self.write_queue = None;
        self.persistence = None;
        if self.quota_leases.take().is_some() {
            out.push(Effect::QuotaSharesChanged(QuotaShares::default()));
        }
        out.push(Effect::Notify(ClusterNotice::SeatYielded { own, other: other.incarnation }));
    }

    /// Checks whether the last message came from an outdated incarnation of its sender's name.
    fn check_duplicate_name(&mut self, out: &mut Vec<Effect>) {
        let Some(sender) = self.swim.take_outdated_sender() else { return };
        if let Some(duplicate) = self.duplicate_names.observe(&sender, self.now) {
            out.push(Effect::Notify(ClusterNotice::DuplicateName {
                name: sender.identity.name.to_string(),
                older: duplicate.older,
                newer: duplicate.newer,
            }));
        }
    }

    /// Sends messages of the membership protocol.
    pub(super) fn send_messages(&mut self, messages: Vec<OutgoingMessage>, out: &mut Vec<Effect>) {
        for OutgoingMessage { to, message, suspicion } in messages {
            let KnownIncarnation { incarnation, is_present } = self.swim.known_incarnation(&to.name);
            let payload = Payload::Swim { known_incarnation: incarnation, is_present, suspicion };
            let Some(bytes) = self.encode(&payload, &message) else { continue };
            let addresses: Vec<SocketAddr> = self.addresses(&to).collect();
            self.traffic.unaddressed += u64::from(addresses.is_empty());
            for address in addresses {
                self.send_datagram(address, bytes.clone(), out);
            }
        }
    }

    /// Returns the addresses to try for a member, the most likely one first.
    pub(super) fn addresses(&self, to: &Identity) -> impl Iterator<Item = SocketAddr> {
        self.address_book.candidates(to, self.swim.records())
    }

    /// Sends a datagram whose payload is followed by no message.
    pub(super) fn send_payload(&mut self, to: SocketAddr, payload: &Payload, out: &mut Vec<Effect>) {
        if let Some(bytes) = self.encode(payload, &[]) {
            self.send_datagram(to, bytes, out);
        }
    }

    fn encode(&self, payload: &Payload, message: &[u8]) -> Option<Vec<u8>> {
        datagram::encode(self.cluster_tag, payload, message)
    }

    /// Sends an encoded datagram and counts it.
    pub(super) fn send_datagram(&mut self, to: SocketAddr, bytes: Vec<u8>, out: &mut Vec<Effect>) {
        self.traffic.sent += 1;
        self.traffic.sent_bytes += bytes.len() as u64;
        out.push(Effect::Send { to, bytes });
    }
}
