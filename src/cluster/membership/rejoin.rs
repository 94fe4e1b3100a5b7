//! Who is where under which name: absent gateways are called, addresses followed, and two lives under one name told apart.

use crate::cluster::*;

impl ClusterNode {
    pub(in crate::cluster) fn meet_rival(&mut self, sends: &mut Vec<Outgoing>, out: &mut Vec<Effect>) {
        if let Some((incarnation, live)) = self.swim.rival() {
            if self.yielded.is_none() && !self.left && incarnation > self.own().incarnation {
                let _ = self.meet(incarnation, live, sends, out);
            }
        }
    }

    /// Others know a later life under this name. One that is dead, or that this process came after with a
    /// clock set back, is outlived; to one that lives an established process yields.
    pub(in crate::cluster) fn meet(
        &mut self,
        incarnation: u64,
        live: bool,
        sends: &mut Vec<Outgoing>,
        out: &mut Vec<Effect>,
    ) -> Result<(), DatagramError> {
        let established = self.swim.connected().is_some_and(|at| self.now - at >= ESTABLISHED);
        if live && established {
            let own = self.own().incarnation;
            self.yielded = Some(incarnation);
            (self.desk, self.steward, self.branch, self.keeping) = (None, None, None, None);
            if self.quota_leases.take().is_some() {
                out.push(Effect::QuotaSharesChanged(QuotaShares::default()));
            }
            out.push(Effect::Notify(ClusterNotice::SeatYielded { own, other: incarnation }));
        } else {
            self.swim.outlive(incarnation, sends);
        }
        Ok(())
    }

    /// Tells what changed since it was told last.
    pub(in crate::cluster) fn tell(&mut self, out: &mut Vec<Effect>) {
        for (name, record) in self.swim.records() {
            if self.told.get(name) != Some(&record.state) {
                self.told.insert(name.clone(), record.state);
                let (name, state, reason) = (name.to_string(), record.state, record.reason);
                out.push(Effect::Notify(ClusterNotice::MemberStateChanged { name, state, reason }));
            }
        }
        let records = self.swim.records();
        self.told.retain(|name, _| records.contains_key(name));
        self.heard_at.retain(|name, _| records.contains_key(name));
    }

    /// Where a member's datagrams come from is where it is, if its own word or the map says so too: anybody
    /// can send a datagram again from elsewhere.
    pub(in crate::cluster) fn hear_at(&mut self, sender: &Identity, from: SocketAddr) {
        let mapped = self.settings.peers.get(&*sender.name) == Some(&from);
        if mapped || sender.metadata.advertise == Some(from) {
            self.heard_at.insert(sender.name.clone(), from);
        }
    }

    /// Where to send what is for a member: where it was heard, else where the map has it, else where it says.
    /// One that is not known to be there is tried at both.
    pub(in crate::cluster) fn addresses(&self, to: &Identity) -> impl Iterator<Item = SocketAddr> {
        // An older life that still sends is answered where it says that it is.
        let older = |r: &&MemberRecord| to.incarnation > 0 && to.incarnation < r.identity.incarnation;
        let record = self.swim.records().get(&to.name).filter(|r| !older(r));
        let told = record.map_or(to.metadata.advertise, |r| r.identity.metadata.advertise);
        let mapped = self.settings.peers.get(&*to.name).copied();
        let known = |at: &&SocketAddr| Some(**at) == mapped || Some(**at) == told;
        let heard = self.heard_at.get(&to.name).filter(|_| record.is_some()).filter(known).copied();
        let there = record.is_some_and(|r| r.state == MemberState::Alive);
        let first = heard.or(mapped).or(told);
        let other = if first == mapped { told } else { mapped };
        first.into_iter().chain(other.filter(|at| !there && Some(*at) != first))
    }

    /// A life that is not the latest of its name sends. Once may be a datagram that was under way for long; when
    /// it goes on, two processes live.
    pub(in crate::cluster) fn watch_rivals(&mut self, out: &mut Vec<Effect>) {
        let Some((older, newer)) = self.swim.older() else { return };
        let now = self.now;
        if self.rivals.len() >= MAX_MEMBERS {
            return;
        }
        let seen = self.rivals.entry(older.name.to_string()).or_insert(Rivals {
            older: older.incarnation,
            newer,
            since: now,
            sure: false,
        });
        if seen.older != older.incarnation {
            *seen = Rivals { older: older.incarnation, newer, since: now, sure: false };
        }
        if !seen.sure && now - seen.since >= UNDER_WAY {
            seen.sure = true;
            let name = older.name.to_string();
            out.push(Effect::Notify(ClusterNotice::DuplicateName { name, older: older.incarnation, newer }));
        }
    }

    /// Calls configured gateways that are not present: to join, and to find again those that nobody here knows.
    pub(in crate::cluster) fn call_absent(&mut self, sends: &mut Vec<Outgoing>) {
        let records = self.swim.records();
        let absent = |name: &&String| {
            **name != self.settings.name && records.get(name.as_str()).is_none_or(|r| !r.state.is_present())
        };
        let absent: Vec<String> = self.settings.peers.keys().filter(absent).cloned().collect();
        let alone = self.swim.connected().is_none();
        let calls = if alone { CALLS } else { 1 };
        for name in self.rng.choose_multiple(absent.iter(), calls) {
            self.swim.call(name, sends);
        }
        let step = if alone { self.call_step } else { CALL_ABSENT };
        self.call_step = (self.call_step + self.call_step).min(LONGEST_CALL);
        if !alone {
            self.call_step = FIRST_CALL;
        }
        self.call_at = Some(self.now + Micros(step.0 / 2 + self.rng.u64(0..step.0)));
    }
}
