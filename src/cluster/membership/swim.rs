//! Membership protocol of one gateway: SWIM as implemented by the crate `foca`, driven by protocol time.
//!
//! Protocol time does not advance while the process is paused (see [`LocalHealth`]), so that a process that resumes
//! does not suspect all other members. Errors of `foca` about outdated timers have no effect and are ignored.

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

/// The gossip parameters are adapted once the number of members differs from `configured_size` by more than
/// `configured_size` divided by this divisor.
const RESIZE_DIVISOR: usize = 4;

/// A message to be sent.
pub struct OutgoingMessage {
    /// Receiver of the message.
    pub to: Identity,
    /// Encoded message.
    pub message: bytes::Bytes,
    /// If the message queries a suspect: the protocol incarnation number with which the receiver is suspected.
    pub suspicion: Option<u16>,
}

/// Why a message was rejected.
#[derive(Debug, thiserror::Error)]
#[error("membership protocol rejected a message: {0}")]
pub struct SwimError(#[from] foca::Error);

/// Membership protocol of one gateway.
pub struct Swim {
    foca: Foca<Identity, CheckedCodec, SmallRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Identity>,
    observations: Rc<RefCell<Observations>>,
    probe_period: Duration,
    max_message_bytes: usize,
    health: LocalHealth,
    now: Micros,
    protocol_time: Micros,
    timers: TimerQueue,
    /// Token that `foca` puts on its current timers; timers with an older token are outdated.
    timer_token: Option<foca::TimerToken>,
    members: MemberTable,
    suspicions: Suspicions,
    /// Whether a probe was sent whose outcome is not recorded yet.
    is_probing: bool,
    /// Number of consecutive probes that were not acknowledged.
    unacknowledged_probes: u32,
    /// Number of members that the gossip parameters are set for.
    configured_size: usize,
    /// Time at which this member last came to know another one after it knew none; `None` while it knows
    /// none.
    connected_at: Option<Micros>,
    has_left: bool,
}

/// Converts a duration to microseconds, saturating.
pub fn micros(span: Duration) -> Micros {
    Micros(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
}

impl Swim {
    /// Creates a member that knows no others yet.
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
            protocol_time: Micros(0),
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

    /// Current identity of this process.
    pub fn own_identity(&self) -> &Identity {
        self.foca.identity()
    }

    /// Health of this process itself.
    pub fn health(&self) -> &LocalHealth {
        &self.health
    }

    /// Protocol time, which excludes pauses of this process.
    pub fn protocol_time(&self) -> Micros {
        self.protocol_time
    }

    /// Time at which this member last came to know another one after it knew none, or `None` if it knows none
    /// now.
    pub fn connected_at(&self) -> Option<Micros> {
        self.connected_at
    }

    /// Records of all other members, by name.
    pub fn records(&self) -> &BTreeMap<Rc<str>, MemberRecord> {
        self.members.records()
    }

    /// Returns the incarnation that this member knows under a name.
    pub fn known_incarnation(&self, name: &str) -> KnownIncarnation {
        self.records().get(name).map_or(KnownIncarnation::default(), |record| KnownIncarnation {
            incarnation: record.identity.incarnation,
            is_present: record.state.is_present(),
        })
    }

    /// Takes out the highest incarnation that messages named under this member's name, if it is later than
    /// this member's own.
    pub fn take_later_own_incarnation(&mut self) -> Option<KnownIncarnation> {
        self.observations.borrow_mut().later_own_incarnation.take()
    }

    /// Takes out the sender of the last message, if it is the latest incarnation of its name.
    pub fn take_sender(&mut self) -> Option<Identity> {
        self.observations.borrow_mut().sender.take()
    }

    /// Takes out the last sender that was an outdated incarnation of its name.
    pub fn take_outdated_sender(&mut self) -> Option<OutdatedSender> {
        let mut observations = self.observations.borrow_mut();
        let identity = observations.outdated_sender.take()?;
        let latest = observations.latest_incarnations.get(&identity.name).copied()?;
        Some(OutdatedSender { identity, latest })
    }

    /// Advances the clock and runs all due timers.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<OutgoingMessage>) {
        self.advance_clock(now);
        // An empty update makes the protocol re-evaluate whether it is connected. Otherwise a process that rejoined
        // would probe no member until it next receives a message; if all others crashed meanwhile, it would consider
        // them alive forever.
        let _ = self.foca.apply_many(std::iter::empty(), false, &mut self.runtime);
        self.drain_runtime(out);
        while let Some(timer) = self.timers.pop_due(self.protocol_time) {
            if matches!(timer, Timer::ProbeRandomMember(_)) {
                self.record_probe_outcome();
            }
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.drain_runtime(out);
        }
        for identity in self.timers.take_due_removals(self.protocol_time) {
            let _ = self.foca.handle_timer(Timer::RemoveDown(identity), &mut self.runtime);
            self.members.mark_stale();
        }
        self.drain_runtime(out);
        if self.members.is_refresh_due(self.now) {
            self.refresh_members();
        }
        self.query_suspects(out);
    }

    fn advance_clock(&mut self, now: Micros) {
        self.now = self.now.max(now);
        self.protocol_time = self.health.advance(self.now);
    }

    /// Records the outcome of the previous probe when a new one starts: by then it was acknowledged, or never will be.
    fn record_probe_outcome(&mut self) {
        if !std::mem::take(&mut self.is_probing) {
            return;
        }
        let acknowledged = std::mem::take(&mut self.observations.borrow_mut().acknowledged);
        self.unacknowledged_probes = if acknowledged { 0 } else { self.unacknowledged_probes + 1 };
        // A single missed reply points to the probed member; several in a row point to this process.
        if self.unacknowledged_probes != 1 {
            self.health.on_probe_ended(acknowledged);
        }
        if !acknowledged {
            self.members.mark_stale();
        }
    }

    /// Queries the suspected members that are due for a query.
    fn query_suspects(&mut self, out: &mut Vec<OutgoingMessage>) {
        for suspicion in self.suspicions.take_due(self.protocol_time, self.members.records()) {
            let first_new = out.len();
            let _ = self.foca.announce(suspicion.suspect, &mut self.runtime);
            self.drain_runtime(out);
            for query in &mut out[first_new..] {
                query.suspicion = Some(suspicion.number);
            }
        }
    }

    /// Suspects a member that did not reply to this one.
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
        self.query_suspects(out);
    }

    /// Called when another member suspects this member and queries it. Makes the protocol refute the
    /// suspicion before it replies to the query, so that the reply contains the refutation.
    pub fn on_suspected(&mut self, number: u16, out: &mut Vec<OutgoingMessage>) {
        if !self.suspicions.is_new_suspicion_of_us(number) {
            return;
        }
        self.health.on_suspected();
        let own = Member::new(self.own_identity().clone(), number, State::Suspect);
        let _ = self.foca.apply_many(std::iter::once(own), false, &mut self.runtime);
        self.drain_runtime(out);
    }

    /// Processes a received message.
    ///
    /// # Errors
    ///
    /// Fails if the message is malformed or names members that are rejected.
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

    /// Announces this member to another one of which only the name is known, in order to join the cluster.
    pub fn announce_to(&mut self, name: &str, out: &mut Vec<OutgoingMessage>) {
        let _ = self.foca.announce(Identity::unknown(name), &mut self.runtime);
        self.drain_runtime(out);
    }

    /// Changes this member's incarnation to one above both its own and `other`.
    pub fn raise_incarnation_above(&mut self, other: u64, out: &mut Vec<OutgoingMessage>) {
        self.change_identity(self.own_identity().with_incarnation_above(other), out);
    }

    /// Announces that this member leaves on purpose. It answers no messages from then on.
    pub fn leave(&mut self, out: &mut Vec<OutgoingMessage>) {
        if std::mem::replace(&mut self.has_left, true) {
            return;
        }
        let leaving = Identity { leaving: true, ..self.own_identity().with_incarnation_above(0) };
        self.change_identity(leaving, out);
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain_runtime(out);
    }

    /// Gossips the pending updates to some members immediately.
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

    /// Executes the actions that the protocol has queued: messages, timers and notifications.
    fn drain_runtime(&mut self, out: &mut Vec<OutgoingMessage>) {
        while let Some((to, message)) = self.runtime.to_send() {
            out.push(OutgoingMessage { to, message, suspicion: None });
        }
        while let Some((delay, timer)) = self.runtime.to_schedule() {
            self.schedule(micros(delay), timer);
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

    fn schedule(&mut self, delay: Micros, timer: Timer<Identity>) {
        let mut delay = delay;
        match &timer {
            Timer::ProbeRandomMember(token) => {
                self.timer_token = Some(*token);
                delay = self.health.scaled(delay);
            }
            Timer::SendIndirectProbe { .. } => {
                self.is_probing = true;
                delay = self.health.scaled(delay);
            }
            Timer::ChangeSuspectToDown { member_id, incarnation, .. } => {
                self.members.mark_stale();
                self.suspicions.add(member_id.clone(), *incarnation, self.protocol_time);
                delay = self.health.scaled(delay);
            }
            Timer::RemoveDown(identity) => {
                self.timers.schedule_removal(self.protocol_time + delay, identity.clone());
                return;
            }
            _ => {}
        }
        self.timers.schedule(self.protocol_time + delay, timer);
    }

    fn adapt_to_size(&mut self) {
        let members = self.foca.num_members() + 1;
        if members.abs_diff(self.configured_size) * RESIZE_DIVISOR > self.configured_size {
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
