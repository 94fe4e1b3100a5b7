//! Selects the writes to forward after the uplink has recovered: in causal order, at a bounded rate, each
//! announced to a quorum first.

use super::send_rate::{SendRate, TokenBucket};
use super::settings::WriteQueueSettings;
use super::write::{Dot, WriteOutcome, WriteState};
use super::write_log::{LogEntry, WriteLog};
use crate::decision::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Delay before the first retry of a rejected write; it doubles with each further retry.
const FIRST_RETRY_DELAY: Micros = Micros(200_000);
const MAX_RETRY_DELAY: Micros = Micros(2_000_000);
/// Maximum number of pending writes examined per call, earliest first, and of dependencies examined per write.
const SCAN_LIMIT: usize = 1000;

/// How a forwarded write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// A backend answered with this status.
    Answered(u16),
    /// The cluster rejected the write: it was certainly not executed and may be retried.
    NotExecuted,
    /// No response came; the write may have been executed.
    Unknown,
}

/// The next step for a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplayStep {
    /// Announce that the write is about to be forwarded, then forward it.
    Forward {
        /// Dot of the write.
        dot: Dot,
        /// Number of the attempt.
        attempt: u16,
    },
    /// Announce that the write has ended with this outcome.
    End {
        /// Dot of the write.
        dot: Dot,
        /// Outcome of the write.
        outcome: WriteOutcome,
    },
}

/// Retry time and delay of a rejected write.
#[derive(Debug, Clone, Copy)]
struct Retry {
    not_before: Micros,
    delay: Micros,
}

/// Forwarding state of the gateway that owns the branch's record.
#[derive(Debug, Clone, Default)]
pub struct Replay {
    /// Writes whose forwarding was started here and has not ended.
    in_flight: BTreeSet<Dot>,
    retries: BTreeMap<Dot, Retry>,
    rate: SendRate,
    bucket: TokenBucket,
}

impl Replay {
    /// Returns the number of writes in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Removes a write from those in flight, as it was not forwarded after all.
    pub fn cancel_in_flight(&mut self, dot: Dot) {
        self.in_flight.remove(&dot);
    }

    /// Called when forwarding a write has ended. Returns the new state of the write.
    pub fn on_forwarded(
        &mut self,
        now: Micros,
        dot: Dot,
        attempt: u16,
        outcome: ForwardOutcome,
        settings: &WriteQueueSettings,
    ) -> WriteState {
        self.in_flight.remove(&dot);
        // `SendRate` averages over many sends: a customer over its quota causes occasional rejections, a cluster
        // without capacity many.
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

    /// Returns the steps to take now. `was_never_accepted` tells whether a missing write is known to have never been
    /// accepted, as no quorum holds it.
    pub fn next_steps(
        &mut self,
        now: Micros,
        log: &WriteLog,
        settings: &WriteQueueSettings,
        was_never_accepted: impl Fn(Dot) -> bool,
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
            let Some(step) = next_step(now, log, entry, settings, &was_never_accepted) else { continue };
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

/// Returns the next step for a write that is not in flight here, or `None` if it has to wait or has ended.
fn next_step(
    now: Micros,
    log: &WriteLog,
    entry: &LogEntry,
    settings: &WriteQueueSettings,
    was_never_accepted: &impl Fn(Dot) -> bool,
) -> Option<ReplayStep> {
    let dot = entry.write.dot;
    let attempt = match entry.state {
        // An earlier owner may have forwarded the write and may still announce its outcome.
        WriteState::Sent(_) if entry.first_sent_at.is_some_and(|at| now - at < settings.send_timeout) => {
            return None
        }
        WriteState::Sent(attempt) => {
            return Some(ReplayStep::Forward { dot, attempt: attempt.saturating_add(1) })
        }
        WriteState::Pending(attempts) => attempts,
        WriteState::Ended(_) => return None,
    };
    match readiness(log, &entry.write.dependencies, settings, was_never_accepted) {
        Readiness::Ready => {}
        Readiness::Waiting => return None,
        Readiness::Blocked(by) => return Some(ReplayStep::End { dot, outcome: WriteOutcome::Blocked(by) }),
    }
    let was_sent = entry.first_sent_at.is_some();
    if !was_sent && now - entry.accepted_at >= settings.max_age {
        return Some(ReplayStep::End { dot, outcome: WriteOutcome::Expired });
    }
    if let Some(later_write) = superseding_write(log, entry).filter(|_| !was_sent) {
        return Some(ReplayStep::End { dot, outcome: WriteOutcome::Superseded(later_write) });
    }
    Some(ReplayStep::Forward { dot, attempt })
}

/// Returns a pending concurrent write on the same object with a later position, if there is one. Of concurrent
/// writes on one object the one with the latest position takes precedence, at every gateway alike.
fn superseding_write(log: &WriteLog, entry: &LogEntry) -> Option<Dot> {
    let own = (entry.write.position, entry.write.dot);
    let mut later = log
        .pending_on_object(entry.write.object)
        .filter(|other| (other.write.position, other.write.dot) > own)
        .filter(|other| !depends_on(log, &other.write.dependencies, entry.write.dot));
    later.next().map(|other| other.write.dot)
}

/// Whether the dependencies of a write permit forwarding it.
enum Readiness {
    Ready,
    Waiting,
    Blocked(Dot),
}

/// Returns whether all dependencies have ended in a way that permits forwarding the writes that depend on them.
/// A dependency that expired before it was forwarded implies nothing about its own dependencies, so those are
/// checked as well.
fn readiness(
    log: &WriteLog,
    dependencies: &[Dot],
    settings: &WriteQueueSettings,
    was_never_accepted: &impl Fn(Dot) -> bool,
) -> Readiness {
    let mut to_check = dependencies.to_vec();
    let mut checked = BTreeSet::new();
    while let Some(dot) = to_check.pop().filter(|_| checked.len() < SCAN_LIMIT) {
        if !checked.insert(dot) {
            continue;
        }
        let Some(entry) = log.get(dot) else {
            if was_never_accepted(dot) {
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

/// Returns whether any of these writes is `target` or depends on it, directly or indirectly. A write that is
/// not held here counts as depending on `target`, as its dependencies are unknown.
fn depends_on(log: &WriteLog, dependencies: &[Dot], target: Dot) -> bool {
    let mut to_check = dependencies.to_vec();
    let mut checked = BTreeSet::new();
    while let Some(dot) = to_check.pop() {
        if dot == target {
            return true;
        }
        if checked.insert(dot) {
            let Some(entry) = log.get(dot) else { return true };
            to_check.extend(&entry.write.dependencies);
        }
    }
    false
}
