//! When configured gateways that are not present are called: to join the cluster, and to find again those of whom
//! nobody here knows, as after a partition that outlasted the memory of members that were down.

use crate::decision::Micros;

/// The first call of a gateway that knows nobody comes within this time; then the pause doubles with each call.
const INITIAL_BACKOFF: Micros = Micros(500_000);
/// The longest pause between two calls of a gateway that knows nobody.
const MAX_BACKOFF: Micros = Micros(8_000_000);
/// The mean pause between two calls of a gateway that knows others.
const CONNECTED_INTERVAL: Micros = Micros(2_000_000);
/// Gateways that are called at once by one that knows nobody.
const CALLS_WHILE_ALONE: usize = 3;

/// The schedule of calls.
#[derive(Debug)]
pub struct JoinSchedule {
    due_at: Micros,
    backoff: Micros,
}

impl JoinSchedule {
    /// Begins at a random time, so that hundreds of gateways that start together do not call in step.
    pub fn new(now: Micros, rng: &mut fastrand::Rng) -> JoinSchedule {
        JoinSchedule { due_at: now + Micros(rng.u64(0..INITIAL_BACKOFF.0)), backoff: INITIAL_BACKOFF }
    }

    /// The configured addresses changed: the next call is due now.
    pub fn restart(&mut self, now: Micros) {
        self.due_at = now;
        self.backoff = INITIAL_BACKOFF;
    }

    /// Whether a call is due.
    pub fn is_due(&self, now: Micros) -> bool {
        self.due_at <= now
    }

    /// How many gateways are called at once.
    pub fn calls(is_alone: bool) -> usize {
        if is_alone {
            CALLS_WHILE_ALONE
        } else {
            1
        }
    }

    /// Sets the time of the next call, with a pause between half and one and a half times the mean.
    pub fn schedule_next(&mut self, now: Micros, is_alone: bool, rng: &mut fastrand::Rng) {
        let pause = if is_alone { self.backoff } else { CONNECTED_INTERVAL };
        self.backoff = if is_alone { (pause + pause).min(MAX_BACKOFF) } else { INITIAL_BACKOFF };
        self.due_at = now + Micros(pause.0 / 2 + rng.u64(0..pause.0));
    }
}
