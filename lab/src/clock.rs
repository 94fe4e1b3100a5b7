//! The run's clock: microseconds since its first moment, on the system's monotonic clock.

use crate::plan::Microseconds;
use std::sync::{Arc, OnceLock};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::{sleep_until, Duration, Instant};

/// Shows 0 until it is started; its copies are one clock.
#[derive(Debug, Clone, Default)]
pub struct Clock(Arc<OnceLock<(Instant, u64)>>);

impl Clock {
    /// Starts it; a second start changes nothing.
    pub fn start(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.0.get_or_init(|| (Instant::now(), unix.as_millis() as u64));
    }
    /// The time now; 0 before the start.
    pub fn now(&self) -> Microseconds {
        self.0.get().map_or(0, |(start, _)| start.elapsed().as_micros() as Microseconds)
    }
    /// The instant of a time; before the start, as if it started now.
    pub fn instant(&self, at: Microseconds) -> Instant {
        self.0.get().map_or_else(Instant::now, |(start, _)| *start) + Duration::from_micros(at)
    }
    /// Waits for a time.
    pub async fn until(&self, at: Microseconds) {
        sleep_until(self.instant(at)).await;
    }
    /// A time as Unix time in milliseconds.
    pub fn unix_ms(&self, at: Microseconds) -> u64 {
        self.0.get().map_or(0, |(_, unix)| *unix) + at / 1000
    }
}
