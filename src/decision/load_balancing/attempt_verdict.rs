//! How an attempt ended, and what that speaks for.

use crate::decision::event::Outcome;
use crate::decision::time::Micros;

/// A response is late if it takes more than this fraction of the latency objective.
const LATE_FRACTION: f64 = 0.85;

/// How an attempt ended, as far as its endpoint is judged by it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptVerdict {
    pub(crate) outcome: Outcome,
    pub(crate) elapsed: Micros,
    /// The latency objective of the request's class.
    pub(crate) latency_objective: Micros,
}

impl AttemptVerdict {
    /// The endpoint did not take it, or did not respond.
    pub(crate) fn was_rejected_or_timed_out(&self) -> bool {
        matches!(self.outcome, Outcome::Rejected | Outcome::Timeout)
    }

    /// It was answered, and this time is most of the latency objective.
    pub(crate) fn is_late(&self, time: Micros) -> bool {
        let answered = matches!(self.outcome, Outcome::Success | Outcome::Cancelled);
        answered && time > self.latency_objective.times(LATE_FRACTION)
    }

    /// It speaks for overload of the endpoints. The response time alone counts: the usual time is that of all
    /// classes, and in a class with a short objective every longer piece of work would speak for overload of
    /// endpoints that are half idle.
    pub(crate) fn indicates_overload(&self) -> bool {
        self.was_rejected_or_timed_out() || self.is_late(self.elapsed)
    }

    /// It says nothing against the endpoint.
    pub(super) fn is_neutral_or_success(&self) -> bool {
        matches!(self.outcome, Outcome::Success | Outcome::Cancelled | Outcome::NotSent)
    }

    /// It failed, or missed the latency objective.
    pub(super) fn is_bad(&self) -> bool {
        !self.is_neutral_or_success() || self.elapsed > self.latency_objective
    }
}
