//! The circuit breaker between a gateway and the counter service (Nygard, "Release It!").

use super::time::Micros;

/// Failures in a row that open the breaker.
const FAILURES_TO_OPEN: f64 = 3.0;
/// How long an open breaker allows no call.
const COOLDOWN: Micros = Micros(5_000_000);

/// A circuit breaker: closed, open, or half open while one probe is in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct CircuitBreaker {
    /// Failures in a row, fewer by half for each success between them.
    pub(crate) failure_streak: f64,
    /// When it opened; `None`: it is closed.
    pub(crate) opened_at: Option<Micros>,
    /// It is half open: a probe is in flight.
    pub(crate) probing: bool,
}

impl CircuitBreaker {
    /// It is open or half open.
    pub(crate) fn is_open(&self) -> bool {
        self.opened_at.is_some()
    }

    /// A call may be made: it is closed, or open for the cooldown and without a probe in flight.
    pub(crate) fn allows_call(&self, now: Micros) -> bool {
        self.opened_at.is_none_or(|at| !self.probing && now >= at + COOLDOWN)
    }

    /// A call is made; while the breaker is open it is the probe.
    pub(crate) fn call_started(&mut self) {
        self.probing |= self.is_open();
    }

    /// A call failed.
    pub(crate) fn call_failed(&mut self, now: Micros, was_probe: bool) {
        self.failure_streak += 1.0;
        let too_many = !self.is_open() && self.failure_streak >= FAILURES_TO_OPEN;
        let probe_failed = was_probe && self.probing;
        if too_many || probe_failed {
            self.opened_at = Some(now);
            self.probing = false;
        }
    }

    /// A call succeeded. While closed, that halves the streak instead of clearing it: guards against a slow
    /// counter that answers now and then, whose calls mostly fail without ever opening the breaker.
    pub(crate) fn call_succeeded(&mut self, was_probe: bool) {
        if was_probe && self.probing {
            *self = CircuitBreaker::default();
        } else if !self.is_open() {
            self.failure_streak /= 2.0;
        }
    }
}
