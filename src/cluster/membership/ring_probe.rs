//! Ring probe: each member probes the next alive one in the ring of all names, once a period.
//!
//! Random probes alone detect a crash after 1.6 periods on average, but one crash in a hundred stays undetected by all
//! members for 4.6 periods (each period detects it with probability 1 - 1/e). With the ring probe every member is
//! probed by some other one in each period. The probe is direct only, and a missing reply only raises a suspicion,
//! which the suspect, and every member that reaches it, can refute.

use crate::cluster::membership::identity::Identity;
use crate::cluster::membership::local_health::LocalHealth;
use crate::cluster::membership::members::{MemberRecord, MemberState};
use crate::decision::Micros;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::rc::Rc;

/// Time-out of one probe attempt.
const ATTEMPT_TIMEOUT: Micros = Micros(200_000);
/// Number of attempts before the neighbour is suspected: at 10% loss one neighbour in 150 is wrongly suspected per
/// period.
const MAX_ATTEMPTS: u32 = 3;
/// How long a suspected incarnation is not probed again. If only the path from this member is cut, others refute the
/// suspicion, which would otherwise return every period.
const PAUSE_AFTER_MISS: Micros = Micros(30_000_000);

/// Action that the caller has to take.
#[derive(Debug, PartialEq, Eq)]
pub enum RingProbeAction {
    /// Do nothing now.
    Wait,
    /// Send a probe to this member, with this token.
    Probe(Identity, u64),
    /// Suspect this member, which answered no attempt.
    Suspect(Identity),
}

/// Inputs of a step of the ring probe.
pub struct RingContext<'a> {
    /// Protocol time, which excludes pauses of this process.
    pub protocol_time: Micros,
    /// Probe period.
    pub period: Micros,
    /// Name of this member.
    pub own_name: &'a str,
    /// Records of all other members, by name.
    pub records: &'a BTreeMap<Rc<str>, MemberRecord>,
    /// Health of this process, by which time-outs are scaled.
    pub health: &'a LocalHealth,
}

/// A probe that waits for its reply.
#[derive(Debug)]
struct PendingProbe {
    target: Identity,
    token: u64,
    attempts: u32,
    /// Time at which the current attempt times out.
    timeout_at: Micros,
}

/// An incarnation that is not probed until a given time.
#[derive(Debug)]
struct ProbePause {
    incarnation: u64,
    until: Micros,
}

/// State of one member's ring probe.
#[derive(Debug, Default)]
pub struct RingProber {
    pending: Option<PendingProbe>,
    next_probe_at: Micros,
    paused: BTreeMap<Rc<str>, ProbePause>,
}

impl RingProber {
    /// Advances the probe and returns the next action. `token` identifies a probe that starts in this step and is
    /// unused otherwise.
    pub fn tick(&mut self, context: &RingContext<'_>, token: u64) -> RingProbeAction {
        match self.pending.take() {
            Some(pending) => self.continue_probe(context, pending),
            None => self.start_probe(context, token),
        }
    }

    fn continue_probe(&mut self, context: &RingContext<'_>, mut pending: PendingProbe) -> RingProbeAction {
        if context.protocol_time < pending.timeout_at {
            self.pending = Some(pending);
            return RingProbeAction::Wait;
        }
        if pending.attempts >= MAX_ATTEMPTS {
            let target = pending.target;
            let paused = ProbePause {
                incarnation: target.incarnation,
                until: context.protocol_time + PAUSE_AFTER_MISS,
            };
            self.paused.insert(target.name.clone(), paused);
            return RingProbeAction::Suspect(target);
        }
        pending.attempts += 1;
        pending.timeout_at = context.protocol_time + context.health.scaled(ATTEMPT_TIMEOUT);
        let action = RingProbeAction::Probe(pending.target.clone(), pending.token);
        self.pending = Some(pending);
        action
    }

    fn start_probe(&mut self, context: &RingContext<'_>, token: u64) -> RingProbeAction {
        if context.protocol_time < self.next_probe_at {
            return RingProbeAction::Wait;
        }
        self.next_probe_at = context.protocol_time + context.health.scaled(context.period);
        self.paused.retain(|_, paused| context.protocol_time < paused.until);
        let Some(target) = next_alive(context.own_name, context.records) else {
            return RingProbeAction::Wait;
        };
        if self.paused.get(&target.name).is_some_and(|p| p.incarnation == target.incarnation) {
            return RingProbeAction::Wait;
        }
        let timeout_at = context.protocol_time + context.health.scaled(ATTEMPT_TIMEOUT);
        self.pending = Some(PendingProbe { target: target.clone(), token, attempts: 1, timeout_at });
        RingProbeAction::Probe(target, token)
    }

    /// Called when a reply arrives. Late and duplicate replies have no effect.
    pub fn on_reply(&mut self, token: u64) {
        if self.pending.as_ref().is_some_and(|pending| pending.token == token) {
            self.pending = None;
        }
    }
}

/// Returns the first alive member after `own_name` in the ring of names.
fn next_alive(own_name: &str, records: &BTreeMap<Rc<str>, MemberRecord>) -> Option<Identity> {
    let after = records.range::<str, _>((Bound::Excluded(own_name), Bound::Unbounded));
    let mut ring = after.map(|(_, record)| record).chain(records.values());
    ring.find(|record| record.state == MemberState::Alive).map(|record| record.identity.clone())
}
