//! Each member probes the next one in the ring of all names, once a period.
//!
//! Random probes alone find a death in 1.6 periods on average, but one death in a hundred goes unnoticed by all
//! members for 4.6 periods (each period finds it with probability 1 - 1/e). In the ring every member is probed once a
//! period by somebody. The probe is direct only, and a miss is only a suspicion, which the suspect and everybody who
//! reaches it can refute.

use crate::cluster::membership::identity::Identity;
use crate::cluster::membership::local_health::LocalHealth;
use crate::cluster::membership::members::{MemberRecord, MemberState};
use crate::decision::Micros;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::rc::Rc;

/// How long one attempt of a probe waits for its reply.
const ATTEMPT_TIMEOUT: Micros = Micros(200_000);
/// Attempts before the neighbour is suspected: at 10% loss one neighbour in 150 a period is suspected wrongly.
const MAX_ATTEMPTS: u32 = 3;
/// How long an incarnation that was suspected is not probed again. Where only the path from here is cut, others know
/// better, and the suspicion would return every period.
const PAUSE_AFTER_MISS: Micros = Micros(30_000_000);

/// What the caller has to do.
#[derive(Debug, PartialEq, Eq)]
pub enum RingProbeAction {
    /// Nothing now.
    Wait,
    /// Send a probe to this member, with this token.
    Probe(Identity, u64),
    /// Suspect this member: it answered no attempt.
    Suspect(Identity),
}

/// What a step of the ring probe goes by.
pub struct RingContext<'a> {
    /// The time that this process was awake.
    pub awake: Micros,
    /// The probe period.
    pub period: Micros,
    /// This member's name.
    pub own_name: &'a str,
    /// All other members.
    pub records: &'a BTreeMap<Rc<str>, MemberRecord>,
    /// How well this process runs; its time-outs are scaled by it.
    pub health: &'a LocalHealth,
}

/// A probe under way.
#[derive(Debug)]
struct PendingProbe {
    target: Identity,
    token: u64,
    attempts: u32,
    /// When this attempt times out.
    timeout_at: Micros,
}

/// A member that is not probed for a while.
#[derive(Debug)]
struct Paused {
    incarnation: u64,
    until: Micros,
}

/// The ring probe of one member.
#[derive(Debug, Default)]
pub struct RingProber {
    pending: Option<PendingProbe>,
    next_probe_at: Micros,
    paused: BTreeMap<Rc<str>, Paused>,
}

impl RingProber {
    /// Time has passed. `token` marks a probe that begins now; it is unused otherwise.
    pub fn tick(&mut self, context: &RingContext<'_>, token: u64) -> RingProbeAction {
        match self.pending.take() {
            Some(pending) => self.continue_probe(context, pending),
            None => self.begin_probe(context, token),
        }
    }

    fn continue_probe(&mut self, context: &RingContext<'_>, mut pending: PendingProbe) -> RingProbeAction {
        if context.awake < pending.timeout_at {
            self.pending = Some(pending);
            return RingProbeAction::Wait;
        }
        if pending.attempts >= MAX_ATTEMPTS {
            let target = pending.target;
            let paused = Paused { incarnation: target.incarnation, until: context.awake + PAUSE_AFTER_MISS };
            self.paused.insert(target.name.clone(), paused);
            return RingProbeAction::Suspect(target);
        }
        pending.attempts += 1;
        pending.timeout_at = context.awake + context.health.scaled(ATTEMPT_TIMEOUT);
        let action = RingProbeAction::Probe(pending.target.clone(), pending.token);
        self.pending = Some(pending);
        action
    }

    fn begin_probe(&mut self, context: &RingContext<'_>, token: u64) -> RingProbeAction {
        if context.awake < self.next_probe_at {
            return RingProbeAction::Wait;
        }
        self.next_probe_at = context.awake + context.health.scaled(context.period);
        self.paused.retain(|_, paused| context.awake < paused.until);
        let Some(target) = next_alive(context.own_name, context.records) else {
            return RingProbeAction::Wait;
        };
        if self.paused.get(&target.name).is_some_and(|p| p.incarnation == target.incarnation) {
            return RingProbeAction::Wait;
        }
        let timeout_at = context.awake + context.health.scaled(ATTEMPT_TIMEOUT);
        self.pending = Some(PendingProbe { target: target.clone(), token, attempts: 1, timeout_at });
        RingProbeAction::Probe(target, token)
    }

    /// A reply came. One that is late or doubled says nothing new.
    pub fn reply(&mut self, token: u64) {
        if self.pending.as_ref().is_some_and(|pending| pending.token == token) {
            self.pending = None;
        }
    }
}

/// The first member alive after this name, in the ring of names.
fn next_alive(own_name: &str, records: &BTreeMap<Rc<str>, MemberRecord>) -> Option<Identity> {
    let after = records.range::<str, _>((Bound::Excluded(own_name), Bound::Unbounded));
    let mut ring = after.map(|(_, record)| record).chain(records.values());
    ring.find(|record| record.state == MemberState::Alive).map(|record| record.identity.clone())
}
