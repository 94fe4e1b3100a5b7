//! Clock of a run: microseconds since its start, on the system's monotonic clock.

use crate::plan::Microseconds;
use std::sync::{Arc, OnceLock};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::{sleep_until, Duration, Instant};

/// Clock of a run. It reads 0 until it is started; clones share one state.
#[derive(Debug, Clone, Default)]
pub struct Clock(Arc<OnceLock<(Instant, u64)>>);

impl Clock {
    /// Starts the clock. Later calls have no effect.
    pub fn start(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.0.get_or_init(|| (Instant::now(), unix.as_millis() as u64));
    }
    /// Returns the time since the start; 0 before it.
    pub fn now(&self) -> Microseconds {
        self.0.get().map_or(0, |(start, _)| start.elapsed().as_micros() as Microseconds)
    }
    /// Returns the instant of a time. Before the start, the present counts as time 0.
    pub fn instant(&self, at: Microseconds) -> Instant {
        self.0.get().map_or_else(Instant::now, |(start, _)| *start) + Duration::from_micros(at)
    }
    /// Waits until a time.
    pub async fn until(&self, at: Microseconds) {
        sleep_until(self.instant(at)).await;
    }
    /// Converts a time to Unix time in milliseconds.
    pub fn unix_ms(&self, at: Microseconds) -> u64 {
        self.0.get().map_or(0, |(_, unix)| *unix) + at / 1000
    }
}
