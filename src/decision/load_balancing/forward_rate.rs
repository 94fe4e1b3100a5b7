//! The rate at which this gateway forwards.

use crate::decision::time::Micros;
use crate::decision::token_bucket::TokenBucket;

/// Time constant of the exponential average, in seconds.
const AVERAGING_SECONDS: f64 = 2.0;

/// Smoothed rate of the units that this gateway forwards.
#[derive(Clone, Debug, Default)]
pub(crate) struct ForwardRate {
    /// The level is the number of units forwarded, where older ones weigh less. The capacity and rate are not
    /// used, but a process that hands the gateway over may send them, so they are kept for the next
    /// hand-over.
    pub(crate) units: TokenBucket,
}

impl ForwardRate {
    /// Returns the current rate in units a second.
    pub(crate) fn units_per_second(&self, now: Micros) -> f64 {
        let age = (now - self.units.filled_at).secs();
        self.units.level / AVERAGING_SECONDS * (-age / AVERAGING_SECONDS).exp()
    }

    /// Adds the units of an attempt that is sent.
    pub(crate) fn record(&mut self, now: Micros, units: f64) {
        self.units.level = self.units_per_second(now) * AVERAGING_SECONDS + units;
        self.units.filled_at = now;
    }
}
