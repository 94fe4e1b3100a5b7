//! Which writes are forwarded next, once the uplink is back: in causal order, at a bounded rate, each announced first.

use super::send_rate::{SendRate, TokenBucket};
use super::settings::WriteQueueSettings;
use super::write::{Dot, WriteOutcome, WriteState};
use super::write_log::{LogEntry, WriteLog};
use crate::decision::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A write that was rejected is tried again after this, doubled each time.
const FIRST_RETRY_DELAY: Micros = Micros(200_000);
const MAX_RETRY_DELAY: Micros = Micros(2_000_000);
/// So many pending writes are looked at each time, the earliest first; and so many dependencies of one.
const SCAN_LIMIT: usize = 1000;

/// How a forwarded write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// A backend answered with this status.
    Answered(u16),
    /// It was rejected here: it surely never ran, and may be tried again.
    NotExecuted,
    /// It may have run, and nobody answered.
    Unknown,
}

/// What is done with a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplayStep {
    /// Announce that it is about to be forwarded in this attempt, then forward it.
    Forward {
        /// The write.
        dot: Dot,
        /// Which attempt.
        attempt: u16,
    },
    /// Announce that it ended.
    End {
        /// The write.
        dot: Dot,
        /// How.
        outcome: WriteOutcome,
    },
}

/// When a write that was rejected may be tried again.
#[derive(Debug, Clone, Copy)]
struct Retry {
    not_before: Micros,
    delay: Micros,
}

/// The forwarding of a branch's writes, at the gateway that owns the branch's record.
#[derive(Debug, Clone, Default)]
pub struct Replay {
    /// Begun and not ended here.
    in_flight: BTreeSet<Dot>,
    retries: BTreeMap<Dot, Retry>,
    rate: SendRate,
    bucket: TokenBucket,
}

impl Replay {
    /// How many writes are in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// One that was begun was not forwarded from here.
    pub fn forget(&mut self, dot: Dot) {
        self.in_flight.remove(&dot);
    }

    /// A forwarded write ended; its state from now on.
    pub fn on_forwarded(
        &mut self,
        now: Micros,
        dot: Dot,
        attempt: u16,
        outcome: ForwardOutcome,
        settings: &WriteQueueSettings,
    ) -> WriteState {
        self.in_flight.remove(&dot);
        // A customer beyond its quota is rejected now and then; a cluster without capacity rejects many.
        self.rate.record(now, matches!(outcome, ForwardOutcome::Answered(_)), settings);
        match outcome {
            ForwardOutcome::Answered(status) => WriteState::Ended(WriteOutcome::Completed(status)),
            ForwardOutcome::Unknown => WriteState::Ended(WriteOutcome::Unknown),
            ForwardOutcome::NotExecuted => {
                self.retry_later(now, dot);
                WriteState::Pending(attempt.saturating_add(1))
            }
        }
    }

    fn retry_later(&mut self, now: Micros, dot: Dot) {
        let doubled = |retry: &Retry| (retry.delay + retry.delay).min(MAX_RETRY_DELAY);
        let delay = self.retries.get(&dot).map_or(FIRST_RETRY_DELAY, doubled);
        self.retries.insert(dot, Retry { not_before: now + delay, delay });
    }

    /// What to do now. `is_void`: no quorum holds this write, so that it was never accepted.
    pub fn next_steps(
        &mut self,
        now: Micros,
        log: &WriteLog,
        settings: &WriteQueueSettings,
        is_void: impl Fn(Dot) -> bool,
    ) -> Vec<ReplayStep> {
        if self.in_flight.is_empty() && log.pending_count() == 0 {
            self.rate = SendRate::default();
        }
        self.bucket.fill(now, self.rate.per_second(settings));
        self.retries.retain(|dot, _| log.get(*dot).is_some_and(|entry| !entry.state.is_ended()));
        let mut steps = Vec::new();
        for entry in log.pending().take(SCAN_LIMIT) {
            let dot = entry.write.dot;
            let must_wait = self.retries.get(&dot).is_some_and(|retry| now < retry.not_before);
            if must_wait || self.in_flight.contains(&dot) {
                continue;
            }
            let Some(step) = next_step(now, log, entry, settings, &is_void) else { continue };
            if let ReplayStep::Forward { .. } = step {
                if self.in_flight.len() >= settings.max_in_flight || !self.bucket.try_take() {
                    break;
                }
                self.in_flight.insert(dot);
            }
            steps.push(step);
        }
        steps
    }
}

/// What is to be done with a write that is not in flight here.
fn next_step(
    now: Micros,
    log: &WriteLog,
    entry: &LogEntry,
    settings: &WriteQueueSettings,
    is_void: &impl Fn(Dot) -> bool,
) -> Option<ReplayStep> {
    let dot = entry.write.dot;
    let attempt = match entry.state {
        // An owner before this one may have forwarded it, and may yet learn how that ends.
        WriteState::Sent(_) if entry.first_sent_at.is_some_and(|at| now - at < settings.send_timeout) => {
            return None
        }
        WriteState::Sent(attempt) => {
            return Some(ReplayStep::Forward { dot, attempt: attempt.saturating_add(1) })
        }
        WriteState::Pending(attempts) => attempts,
        WriteState::Ended(_) => return None,
    };
    match readiness(log, &entry.write.dependencies, settings, is_void) {
        Readiness::Ready => {}
        Readiness::Waiting => return None,
        Readiness::Blocked(by) => return Some(ReplayStep::End { dot, outcome: WriteOutcome::Blocked(by) }),
    }
    let was_sent = entry.first_sent_at.is_some();
    if !was_sent && now - entry.accepted_at >= settings.max_age {
        return Some(ReplayStep::End { dot, outcome: WriteOutcome::Expired });
    }
    if let Some(rival) = superseding(log, entry).filter(|_| !was_sent) {
        return Some(ReplayStep::End { dot, outcome: WriteOutcome::Superseded(rival) });
    }
    Some(ReplayStep::Forward { dot, attempt })
}

/// Of two concurrent writes on one object the later position stands, at every gateway alike.
fn superseding(log: &WriteLog, entry: &LogEntry) -> Option<Dot> {
    let own = (entry.write.position, entry.write.dot);
    let mut later = log
        .pending_on_object(entry.write.object)
        .filter(|other| (other.write.position, other.write.dot) > own)
        .filter(|other| !depends_on(log, &other.write.dependencies, entry.write.dot));
    later.next().map(|other| other.write.dot)
}

/// Whether a write's dependencies let it go.
enum Readiness {
    Ready,
    Waiting,
    Blocked(Dot),
}

/// Whether all of these have an end, and one that lets the writes behind them go. One that expired before its turn says
/// nothing of those that it depends on: these are looked at as well.
fn readiness(
    log: &WriteLog,
    dependencies: &[Dot],
    settings: &WriteQueueSettings,
    is_void: &impl Fn(Dot) -> bool,
) -> Readiness {
    let mut to_check = dependencies.to_vec();
    let mut checked = BTreeSet::new();
    while let Some(dot) = to_check.pop().filter(|_| checked.len() < SCAN_LIMIT) {
        if !checked.insert(dot) {
            continue;
        }
        let Some(entry) = log.get(dot) else {
            if is_void(dot) {
                continue;
            }
            return Readiness::Waiting;
        };
        let WriteState::Ended(outcome) = entry.state else { return Readiness::Waiting };
        match outcome {
            WriteOutcome::Completed(_) if outcome.is_success() => {}
            WriteOutcome::Superseded(_) => {}
            WriteOutcome::Expired if entry.first_sent_at.is_none() => {
                to_check.extend(&entry.write.dependencies);
            }
            _ if settings.blocking_classes.contains(&entry.write.class) => return Readiness::Blocked(dot),
            _ => {}
        }
    }
    Readiness::Ready
}

/// Whether one of these depends on that write, however far back, or may: what is not held here can't be looked through.
fn depends_on(log: &WriteLog, dependencies: &[Dot], on: Dot) -> bool {
    let mut to_check = dependencies.to_vec();
    let mut checked = BTreeSet::new();
    while let Some(dot) = to_check.pop() {
        if dot == on {
            return true;
        }
        if checked.insert(dot) {
            let Some(entry) = log.get(dot) else { return true };
            to_check.extend(&entry.write.dependencies);
        }
    }
    false
}
