//! The membership protocol of one gateway: SWIM by the crate `foca`, driven by this process's awake time.
//!
//! Protocol time stands still while the process is paused (see [`LocalHealth`]), so that a process that wakes up does
//! not accuse everybody; `foca`'s errors about outdated timers change nothing and are dropped.

use crate::cluster::membership::codec::{CheckedCodec, KnownIncarnation, Observations, OutdatedSender};
use crate::cluster::membership::identity::Identity;
use crate::cluster::membership::local_health::LocalHealth;
use crate::cluster::membership::members::{MemberRecord, MemberTable};
use crate::cluster::membership::parameters::{self, SUSPICION_PERIODS};
use crate::cluster::membership::suspicion::Suspicions;
use crate::cluster::membership::timers::TimerQueue;
use crate::decision::Micros;
use foca::{AccumulatingRuntime, Foca, Member, NoCustomBroadcast, OwnedNotification, State, Timer};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The gossip parameters follow the number of members once it differs by more than one part in this many.
const RESIZE_PARTS: usize = 4;

/// A message that is to be sent.
pub struct OutgoingMessage {
    /// The receiver.
    pub to: Identity,
    /// The message.
    pub message: bytes::Bytes,
    /// The number by which the receiver is suspected, where this asks it about that.
    pub suspicion: Option<u16>,
}

/// Why a message was not taken.
#[derive(Debug, thiserror::Error)]
#[error("message of the membership protocol: {0}")]
pub struct SwimError(#[from] foca::Error);

/// The membership protocol of one gateway.
pub struct Swim {
    foca: Foca<Identity, CheckedCodec, SmallRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Identity>,
    observations: Rc<RefCell<Observations>>,
    probe_period: Duration,
    max_message_bytes: usize,
    health: LocalHealth,
    now: Micros,
    awake: Micros,
    timers: TimerQueue,
    /// `foca`'s mark on its timers; those with an older one are outdated.
    timer_token: Option<foca::TimerToken>,
    members: MemberTable,
    suspicions: Suspicions,
    /// A probe was sent, and its outcome is not noted yet.
    is_probing: bool,
    /// Probes in a row that nobody acknowledged.
    unacknowledged_probes: u32,
    /// The number of members that the gossip parameters are set for.
    configured_size: usize,
    /// Since when others are known.
    connected_at: Option<Micros>,
    has_left: bool,
}

/// A span in microseconds.
pub fn micros(span: Duration) -> Micros {
    Micros(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
}

impl Swim {
    /// A member that knows nobody yet.
    pub fn new(own: Identity, seed: u64, probe_period: Duration, max_message_bytes: usize) -> Swim {
        let observations = Rc::new(RefCell::new(Observations::new(own.clone())));
        let codec = CheckedCodec::new(observations.clone());
        let config = parameters::config(1, probe_period, max_message_bytes);
        Swim {
            foca: Foca::new(own, config, SmallRng::seed_from_u64(seed), codec),
            runtime: AccumulatingRuntime::new(),
            observations,
            probe_period,
            max_message_bytes,
            health: LocalHealth::default(),
            now: Micros(0),
            awake: Micros(0),
            timers: TimerQueue::default(),
            timer_token: None,
            members: MemberTable::new(),
            suspicions: Suspicions::default(),
            is_probing: false,
            unacknowledged_probes: 0,
            configured_size: 1,
            connected_at: None,
            has_left: false,
        }
    }

    /// This process's identity now.
    pub fn own(&self) -> &Identity {
        self.foca.identity()
    }

    /// How well this process itself runs.
    pub fn health(&self) -> &LocalHealth {
        &self.health
    }

    /// The time that this process was awake.
    pub fn awake(&self) -> Micros {
        self.awake
    }

    /// Since when it has known others, if it does.
    pub fn connected_at(&self) -> Option<Micros> {
        self.connected_at
    }

    /// All other members, by name.
    pub fn records(&self) -> &BTreeMap<Rc<str>, MemberRecord> {
        self.members.records()
    }

    /// The incarnation that this member knows of a name.
    pub fn known_incarnation(&self, name: &str) -> KnownIncarnation {
        self.records().get(name).map_or(KnownIncarnation::default(), |record| KnownIncarnation {
            incarnation: record.identity.incarnation,
            is_present: record.state.is_present(),
        })
    }

    /// Takes out the highest later incarnation under the own name that messages named.
    pub fn take_later_own_incarnation(&mut self) -> Option<KnownIncarnation> {
        self.observations.borrow_mut().later_own_incarnation.take()
    }

    /// Takes out the sender of the last message, where it is the latest incarnation of its name.
    pub fn take_sender(&mut self) -> Option<Identity> {
        self.observations.borrow_mut().sender.take()
    }

    /// Takes out the last sender that was not the latest incarnation of its name.
    pub fn take_outdated_sender(&mut self) -> Option<OutdatedSender> {
        let mut observations = self.observations.borrow_mut();
        let identity = observations.outdated_sender.take()?;
        let latest = observations.latest_incarnations.get(&identity.name).copied()?;
        Some(OutdatedSender { identity, latest })
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<OutgoingMessage>) {
        self.advance_clock(now);
        // An empty update makes the protocol look at its connection. Without it a process that rejoined probes nobody
        // until it next receives a message; if all died meanwhile, it would take them for alive for ever.
        let _ = self.foca.apply_many(std::iter::empty(), false, &mut self.runtime);
        self.drain_runtime(out);
        while let Some(timer) = self.timers.pop_due(self.awake) {
            if matches!(timer, Timer::ProbeRandomMember(_)) {
                self.note_probe_outcome();
            }
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.drain_runtime(out);
        }
        for identity in self.timers.take_due_removals(self.awake) {
            let _ = self.foca.handle_timer(Timer::RemoveDown(identity), &mut self.runtime);
            self.members.mark_stale();
        }
        self.drain_runtime(out);
        if self.members.is_refresh_due(self.now) {
            self.refresh_members();
        }
        self.ask_suspects(out);
    }

    fn advance_clock(&mut self, now: Micros) {
        self.now = self.now.max(now);
        self.awake = self.health.advance(self.now);
    }

    /// A new probe begins: the one before it was acknowledged by now, or never will be.
    fn note_probe_outcome(&mut self) {
        if !std::mem::take(&mut self.is_probing) {
            return;
        }
        let acknowledged = std::mem::take(&mut self.observations.borrow_mut().acknowledged);
        self.unacknowledged_probes = if acknowledged { 0 } else { self.unacknowledged_probes + 1 };
        // One probe without an answer tells of the probed member; several in a row tell of this process.
        if self.unacknowledged_probes != 1 {
            self.health.probe_ended(acknowledged);
        }
        if !acknowledged {
            self.members.mark_stale();
        }
    }

    /// Asks those whom this member suspects whether they live.
    fn ask_suspects(&mut self, out: &mut Vec<OutgoingMessage>) {
        for suspicion in self.suspicions.take_due(self.awake, self.members.records()) {
            let first_new = out.len();
            let _ = self.foca.announce(suspicion.suspect, &mut self.runtime);
            self.drain_runtime(out);
            for question in &mut out[first_new..] {
                question.suspicion = Some(suspicion.number);
            }
        }
    }

    /// This member itself had no answer from another.
    pub fn suspect(&mut self, identity: &Identity, out: &mut Vec<OutgoingMessage>) {
        let is_alive = |m: &&Member<Identity>| m.id() == identity && m.state() == State::Alive;
        let Some(number) = self.foca.iter_members().find(is_alive).map(Member::incarnation) else { return };
        let Some(token) = self.timer_token else { return };
        let suspect = Member::new(identity.clone(), number, State::Suspect);
        let _ = self.foca.apply_many(std::iter::once(suspect), true, &mut self.runtime);
        let timer = Timer::ChangeSuspectToDown { member_id: identity.clone(), incarnation: number, token };
        foca::Runtime::submit_after(&mut self.runtime, timer, self.probe_period * SUSPICION_PERIODS);
        self.drain_runtime(out);
        self.refresh_members();
        self.ask_suspects(out);
    }

    /// Another member suspects this one and asks. The answer to its question carries the refutation.
    pub fn suspected(&mut self, number: u16, out: &mut Vec<OutgoingMessage>) {
        if !self.suspicions.is_new_suspicion_of_us(number) {
            return;
        }
        self.health.was_suspected();
        let own = Member::new(self.own().clone(), number, State::Suspect);
        let _ = self.foca.apply_many(std::iter::once(own), false, &mut self.runtime);
        self.drain_runtime(out);
    }

    /// A message was received.
    ///
    /// # Errors
    ///
    /// It was malformed, or named members that this one does not take.
    pub fn receive(
        &mut self,
        now: Micros,
        message: &[u8],
        out: &mut Vec<OutgoingMessage>,
    ) -> Result<(), SwimError> {
        self.advance_clock(now);
        let result = self.foca.handle_data(message, &mut self.runtime);
        self.drain_runtime(out);
        Ok(result?)
    }

    /// Calls a member of which only the name is known, to join it.
    pub fn announce_to(&mut self, name: &str, out: &mut Vec<OutgoingMessage>) {
        let _ = self.foca.announce(Identity::unknown(name), &mut self.runtime);
        self.drain_runtime(out);
    }

    /// Goes on as an incarnation above `other`.
    pub fn outlive(&mut self, other: u64, out: &mut Vec<OutgoingMessage>) {
        self.change_identity(self.own().above(other), out);
    }

    /// Announces that this member leaves on purpose. It answers nobody from now on.
    pub fn leave(&mut self, out: &mut Vec<OutgoingMessage>) {
        if std::mem::replace(&mut self.has_left, true) {
            return;
        }
        let leaving = Identity { leaving: true, ..self.own().above(0) };
        self.change_identity(leaving, out);
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain_runtime(out);
    }

    /// Gossips the updates that there are to some members, now.
    pub fn gossip(&mut self, out: &mut Vec<OutgoingMessage>) {
        let _ = self.foca.gossip(&mut self.runtime);
        self.drain_runtime(out);
    }

    fn change_identity(&mut self, identity: Identity, out: &mut Vec<OutgoingMessage>) {
        self.identity_changed(identity.clone());
        let _ = self.foca.change_identity(identity, &mut self.runtime);
        self.drain_runtime(out);
    }

    fn identity_changed(&mut self, identity: Identity) {
        self.observations.borrow_mut().own = Some(identity);
        self.suspicions.identity_changed();
    }

    /// Takes out what the protocol wants done.
    fn drain_runtime(&mut self, out: &mut Vec<OutgoingMessage>) {
        while let Some((to, message)) = self.runtime.to_send() {
            out.push(OutgoingMessage { to, message, suspicion: None });
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.schedule(micros(after), timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.members.mark_stale();
            match notification {
                OwnedNotification::Active => self.connected_at = self.connected_at.or(Some(self.now)),
                OwnedNotification::Idle => self.connected_at = None,
                OwnedNotification::Rejoin(identity) => self.identity_changed(identity),
                _ => {}
            }
        }
        self.adapt_to_size();
        if std::mem::take(&mut self.observations.borrow_mut().suspicion_seen) {
            self.members.mark_stale();
        }
    }

    fn schedule(&mut self, after: Micros, timer: Timer<Identity>) {
        let mut after = after;
        match &timer {
            Timer::ProbeRandomMember(token) => {
                self.timer_token = Some(*token);
                after = self.health.scaled(after);
            }
            Timer::SendIndirectProbe { .. } => {
                self.is_probing = true;
                after = self.health.scaled(after);
            }
            Timer::ChangeSuspectToDown { member_id, incarnation, .. } => {
                self.members.mark_stale();
                self.suspicions.add(member_id.clone(), *incarnation, self.awake);
                after = self.health.scaled(after);
            }
            Timer::RemoveDown(identity) => {
                self.timers.schedule_removal(self.awake + after, identity.clone());
                return;
            }
            _ => {}
        }
        self.timers.schedule(self.awake + after, timer);
    }

    fn adapt_to_size(&mut self) {
        let members = self.foca.num_members() + 1;
        if members.abs_diff(self.configured_size) * RESIZE_PARTS > self.configured_size {
            self.configured_size = members;
            let config = parameters::config(members, self.probe_period, self.max_message_bytes);
            let _ = self.foca.set_config(config);
        }
    }

    fn refresh_members(&mut self) {
        let members = self.foca.iter_membership_state();
        self.members.refresh(members, self.now, self.connected_at);
        let records = self.members.records();
        self.observations.borrow_mut().latest_incarnations.retain(|name, _| records.contains_key(name));
    }
}
