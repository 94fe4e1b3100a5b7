//! Clock of the decision module: monotonic Unix time, so that gateways can compare timestamps and time never goes
//! back.

use crate::decision::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Monotonic clock set to Unix time at the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_at_start: Micros,
    start: Instant,
}

impl Clock {
    /// Reads the wall clock once; later readings advance with the monotonic clock.
    pub fn start() -> Clock {
        Clock { unix_at_start: wall_time(), start: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Micros {
        self.time_at(Instant::now())
    }

    /// Converts an instant to a time on this clock.
    pub fn time_at(&self, instant: Instant) -> Micros {
        let elapsed = instant.saturating_duration_since(self.start);
        self.unix_at_start + micros(elapsed)
    }

    /// Returns how long ago a wall-clock time was. The wall clock may have stepped since the process started, so the
    /// age is computed from this clock and from the present wall clock, and the shorter one is returned: an endpoint
    /// that has just started must be in slow start.
    pub fn elapsed_since_unix(&self, unix: Micros) -> Micros {
        (self.now() - unix).min(wall_time() - unix)
    }

    /// Converts a time on this clock to an instant.
    pub(in crate::proxy) fn instant_at(&self, time: Micros) -> Instant {
        self.start + duration(time - self.unix_at_start)
    }
}

fn wall_time() -> Micros {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    micros(unix)
}

/// Converts a duration to the decision module's type.
pub fn micros(span: Duration) -> Micros {
    Micros(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
}

/// Converts a duration of the decision module to the standard library's type.
pub fn duration(span: Micros) -> Duration {
    Duration::from_micros(span.0)
}
