//! The rate at which this gateway forwards.

use crate::decision::time::Micros;
use crate::decision::token_bucket::TokenBucket;

/// Units forwarded longer ago than this count less by the factor e, in seconds.
const AVERAGING_SECONDS: f64 = 2.0;

/// Units a second that this gateway forwards, over the last moments.
#[derive(Clone, Debug, Default)]
pub(crate) struct ForwardRate {
    /// Its level is the units forwarded, older ones weighing less. Its capacity and rate are not used, but another
    /// process that hands the gateway over may send them, and they are handed on.
    pub(crate) units: TokenBucket,
}

impl ForwardRate {
    /// The rate now, in units a second.
    pub(crate) fn units_per_second(&self, now: Micros) -> f64 {
        let age = (now - self.units.filled_at).secs();
        self.units.level / AVERAGING_SECONDS * (-age / AVERAGING_SECONDS).exp()
    }

    /// An attempt is sent.
    pub(crate) fn forwarded(&mut self, now: Micros, units: f64) {
        self.units.level = self.units_per_second(now) * AVERAGING_SECONDS + units;
        self.units.filled_at = now;
    }
}
