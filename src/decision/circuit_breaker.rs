//! The circuit breaker between a gateway and the counter service (Nygard, "Release It!").

use super::time::Micros;

/// Failure streak at which the breaker opens.
const FAILURES_TO_OPEN: f64 = 3.0;
/// Time after opening during which no call is allowed.
const COOLDOWN: Micros = Micros(5_000_000);

/// A circuit breaker: closed, open, or half open while one probe is in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct CircuitBreaker {
    /// Number of consecutive failures; each success halves it.
    pub(crate) failure_streak: f64,
    /// Time of the last opening; `None`: the breaker is closed.
    pub(crate) opened_at: Option<Micros>,
    /// Whether the breaker is half open, with a probe in flight.
    pub(crate) probing: bool,
}

impl CircuitBreaker {
    /// Whether the breaker is open or half open.
    pub(crate) fn is_open(&self) -> bool {
        self.opened_at.is_some()
    }

    /// Whether a call may be made: the breaker is closed, or the cooldown has passed and no probe is in flight.
    pub(crate) fn allows_call(&self, now: Micros) -> bool {
        self.opened_at.is_none_or(|opened_at| !self.probing && now >= opened_at + COOLDOWN)
    }

    /// Called when a call is made. While the breaker is open, that call is the probe.
    pub(crate) fn call_started(&mut self) {
        self.probing |= self.is_open();
    }

    /// Called when a call failed.
    pub(crate) fn call_failed(&mut self, now: Micros, was_probe: bool) {
        self.failure_streak += 1.0;
        let threshold_reached = !self.is_open() && self.failure_streak >= FAILURES_TO_OPEN;
        let probe_failed = was_probe && self.probing;
        if threshold_reached || probe_failed {
            self.opened_at = Some(now);
            self.probing = false;
        }
    }

    /// Called when a call succeeded. While the breaker is closed, a success halves the failure streak rather than
    /// clearing it: otherwise a slow counter that answers now and then would never open the breaker, though most
    /// calls fail.
    pub(crate) fn call_succeeded(&mut self, was_probe: bool) {
        if was_probe && self.probing {
            *self = CircuitBreaker::default();
        } else if !self.is_open() {
            self.failure_streak /= 2.0;
        }
    }
}
