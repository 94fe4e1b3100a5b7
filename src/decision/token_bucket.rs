//! Token bucket used for quotas and allowances (the committed bucket of RFC 2697).

use super::time::Micros;

/// A token bucket: fills at a constant rate up to its capacity. Callers may take the level below zero.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenBucket {
    /// Tokens in the bucket, in units.
    pub(crate) level: f64,
    /// Maximum level, in units.
    pub(crate) capacity: f64,
    /// Fill rate, in units per second.
    pub(crate) rate: f64,
    /// Time of the last fill.
    pub(crate) filled_at: Micros,
}

impl TokenBucket {
    /// Adds the tokens accrued since the last fill.
    pub(crate) fn fill(&mut self, now: Micros) {
        self.level = (self.level + self.rate * (now - self.filled_at).secs()).min(self.capacity);
        self.filled_at = now.max(self.filled_at);
    }

    /// Takes `units` if the bucket holds at least that many. Returns whether the units were taken.
    pub(crate) fn try_take(&mut self, now: Micros, units: f64) -> bool {
        self.fill(now);
        let has_enough = self.level >= units;
        if has_enough {
            self.level -= units;
        }
        has_enough
    }
}
