//! What may go wrong with every request is logged now and then, not each time.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// How long nothing more is said.
const SILENCE: Duration = Duration::from_secs(10);

/// Whether a line of one kind is to be logged.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    last: Cell<Option<Instant>>,
}

impl LogRateLimiter {
    /// Whether it is time to log it again; then it counts as logged.
    pub fn speaks(&self, now: Instant) -> bool {
        let speaks = self.last.get().is_none_or(|last| now >= last + SILENCE);
        if speaks {
            self.last.set(Some(now));
        }
        speaks
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_makes_one_line_in_ten_seconds() {
        let (sparing, start) = (LogRateLimiter::default(), Instant::now());
        let lines = (0..250).filter(|i| sparing.speaks(start + Duration::from_millis(100 * i))).count();
        assert_eq!(lines, 3, "at 0, 10 and 20 s");
    }
}
