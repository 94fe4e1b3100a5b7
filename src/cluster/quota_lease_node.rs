//! Quota lease part of the cluster node: exchange of tables, and the resulting quota shares.

use crate::cluster::datagram::{DatagramError, Payload};
use crate::cluster::event::Effect;
use crate::cluster::membership::identity::Identity;
use crate::cluster::node::ClusterNode;
use crate::cluster::quota_lease::view_gossip::Table;
use std::net::SocketAddr;

impl ClusterNode {
    /// Updates the statements, reports changed quota shares, and requests the table of a random member if that is due.
    pub(super) fn tick_quota_leases(&mut self, out: &mut Vec<Effect>) {
        let Some(leases) = self.quota_leases.as_mut() else { return };
        let own_incarnation = self.swim.own_identity().incarnation;
        leases.update(self.now, own_incarnation, self.swim.records());
        out.extend(leases.changed_shares(self.now, own_incarnation).map(Effect::QuotaSharesChanged));
        let seat_list = leases.seat_list();
        let token = leases.next_request(self.now, self.rng.u64(..));
        let records = self.swim.records().values();
        let present: Vec<&Identity> =
            records.filter(|record| record.state.is_present()).map(|record| &record.identity).collect();
        let to = self.rng.choice(present);
        let (Some(token), Some(to)) = (token, to) else { return };
        if let Some(address) = self.addresses(to).next() {
            self.send_payload(address, &Payload::ViewRequest { seat_list, token }, out);
        }
    }

    /// Answers a request for this member's table. A member with another list of seats gets no reply.
    pub(super) fn answer_view_request(
        &mut self,
        to: SocketAddr,
        seat_list: u64,
        token: u64,
        out: &mut Vec<Effect>,
    ) {
        let now = self.now;
        let Some(leases) = self.quota_leases.as_mut() else { return };
        let Some(table) = leases.reply(seat_list, now) else { return };
        self.send_payload(to, &Payload::ViewReply { seat_list, token, table }, out);
    }

    /// Processes a reply with another member's table. A table that this gateway did not request is rejected.
    pub(super) fn on_view_reply(
        &mut self,
        seat_list: u64,
        token: u64,
        table: &Table,
    ) -> Result<(), DatagramError> {
        let leases = self.quota_leases.as_mut().ok_or(DatagramError::Rejected)?;
        if leases.on_reply(seat_list, token, table) {
            Ok(())
        } else {
            Err(DatagramError::Rejected)
        }
    }
}
