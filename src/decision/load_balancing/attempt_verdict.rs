//! How an attempt ended, and whether that indicates overload or a fault.

use crate::decision::event::Outcome;
use crate::decision::time::Micros;

/// A response is late if it takes more than this fraction of the latency objective.
const LATE_FRACTION: f64 = 0.85;

/// The result of an attempt by which its endpoint is judged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptVerdict {
    pub(crate) outcome: Outcome,
    pub(crate) elapsed: Micros,
    /// Latency objective of the request's class.
    pub(crate) latency_objective: Micros,
}

impl AttemptVerdict {
    /// Returns whether the endpoint rejected the attempt or did not respond in time.
    pub(crate) fn was_rejected_or_timed_out(&self) -> bool {
        matches!(self.outcome, Outcome::Rejected | Outcome::Timeout)
    }

    /// Returns whether the attempt was answered and this time exceeds the late fraction of the latency
    /// objective.
    pub(crate) fn is_late(&self, time: Micros) -> bool {
        let answered = matches!(self.outcome, Outcome::Success | Outcome::Cancelled);
        answered && time > self.latency_objective.times(LATE_FRACTION)
    }

    /// Returns whether the attempt indicates overload of the endpoints. Uses the response time alone: the
    /// average latency covers all classes, so in a class with a short objective every longer request would
    /// indicate overload of endpoints that are half idle.
    pub(crate) fn indicates_overload(&self) -> bool {
        self.was_rejected_or_timed_out() || self.is_late(self.elapsed)
    }

    /// Returns whether the outcome is no failure of the endpoint.
    pub(super) fn is_neutral_or_success(&self) -> bool {
        matches!(self.outcome, Outcome::Success | Outcome::Cancelled | Outcome::NotSent)
    }

    /// Returns whether the attempt failed or missed the latency objective.
    pub(super) fn failed_or_missed_objective(&self) -> bool {
        !self.is_neutral_or_success() || self.elapsed > self.latency_objective
    }
}
