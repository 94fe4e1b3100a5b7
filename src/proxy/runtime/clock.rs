//! The clock of the decision module: Unix time, which all gateways share, but never going back.

use crate::decision::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Reads the time for the decision module.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_at_start: Micros,
    start: Instant,
}

impl Clock {
    /// Reads the system's clock once; from then on the monotonic one counts.
    pub fn start() -> Clock {
        Clock { unix_at_start: wall_time(), start: Instant::now() }
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// The time on this clock.
    pub fn at(&self, instant: Instant) -> Micros {
        let elapsed = instant.saturating_duration_since(self.start);
        self.unix_at_start + micros(elapsed)
    }

    /// How long ago a moment of the wall clock was. That clock may have stepped since this process read it, and all
    /// machines read one: by the clock of before and by that of now, the shorter of the two, as an endpoint that has
    /// just started is in slow start.
    pub fn age_of(&self, unix: Micros) -> Micros {
        (self.now() - unix).min(wall_time() - unix)
    }

    /// The instant of a time on this clock.
    pub(super) fn instant(&self, at: Micros) -> Instant {
        self.start + duration(at - self.unix_at_start)
    }
}

fn wall_time() -> Micros {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    micros(unix)
}

/// A span as the decision module has it.
fn micros(span: Duration) -> Micros {
    Micros(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
}

/// A span as the standard library has it.
pub fn duration(span: Micros) -> Duration {
    Duration::from_micros(span.0)
}
