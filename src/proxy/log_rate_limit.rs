//! Limits how often a line is logged that any request could cause.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The least time between two lines of one kind.
const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// Whether a line of one kind may be logged.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    last: Cell<Option<Instant>>,
}

impl LogRateLimiter {
    /// Whether the line may be logged now. Where it may, it counts as logged.
    pub fn allows(&self, now: Instant) -> bool {
        let allows = self.last.get().is_none_or(|last| now >= last + MIN_INTERVAL);
        if allows {
            self.last.set(Some(now));
        }
        allows
    }
}

#[cfg(test)]
mod tests;
