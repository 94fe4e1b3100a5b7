//! The token bucket (RFC 2697 calls it a committed bucket): what quotas and allowances save up.

use super::time::Micros;

/// Units that are saved up at a rate, up to a capacity. Callers may take the level below zero.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenBucket {
    /// Units saved up.
    pub(crate) level: f64,
    /// The most units that it holds.
    pub(crate) capacity: f64,
    /// Units a second that come in.
    pub(crate) rate: f64,
    /// When it was last filled.
    pub(crate) filled_at: Micros,
}

impl TokenBucket {
    /// Adds what has come in since the last time.
    pub(crate) fn fill(&mut self, now: Micros) {
        self.level = (self.level + self.rate * (now - self.filled_at).secs()).min(self.capacity);
        self.filled_at = now.max(self.filled_at);
    }

    /// Takes units if the bucket holds as many.
    pub(crate) fn try_take(&mut self, now: Micros, units: f64) -> bool {
        self.fill(now);
        let enough = self.level >= units;
        if enough {
            self.level -= units;
        }
        enough
    }
}
