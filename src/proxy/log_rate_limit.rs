//! Limits the rate of log lines that any request could cause.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time between two log lines of one kind.
const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// Rate limit for log lines of one kind.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    last_logged_at: Cell<Option<Instant>>,
}

impl LogRateLimiter {
    /// Returns whether a line may be logged now. If so, the line counts as logged.
    pub fn try_log(&self, now: Instant) -> bool {
        let is_allowed = self.last_logged_at.get().is_none_or(|last| now >= last + MIN_INTERVAL);
        if is_allowed {
            self.last_logged_at.set(Some(now));
        }
        is_allowed
    }
}

#[cfg(test)]
mod tests;
