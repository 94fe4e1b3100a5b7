//! How many writes a second are forwarded once the uplink is back: additive increase, multiplicative decrease (Chiu and
//! Jain 1989), so that a branch takes no more than the cluster has left beside live traffic.

use super::settings::WriteQueueSettings;
use crate::decision::Micros;

/// The fraction of the most sends a second with which forwarding begins: many branches may recover in one second.
const INITIAL_FRACTION: f64 = 0.1;
/// Each send that is answered adds this fraction of the rate, until the rate was too high once.
const GROWTH_PER_SEND: f64 = 0.05;
/// After that the rate grows by this fraction of the most sends a second in each second.
const GROWTH_PER_SECOND: f64 = 0.1;
/// Where more than this fraction of the last sends was rejected, the rate is halved.
const MAX_REJECTED_FRACTION: f64 = 0.3;
/// It is halved no more often than this.
const MIN_HALVING_INTERVAL: Micros = Micros(300_000);
/// The least rate, in sends a second.
const MIN_RATE: f64 = 1.0;
/// Weight of the last send in the fraction that was rejected.
const SMOOTHING: f64 = 0.1;
/// The longest burst, in parts of a second.
const BURSTS_PER_SECOND: f64 = 10.0;
/// The least capacity of the bucket, in sends.
const MIN_BURST: f64 = 1.0;

/// The rate at which writes are forwarded, with a token bucket that holds to it.
#[derive(Debug, Clone, Default)]
pub struct SendRate {
    /// Sends a second; none before the first of a recovery.
    rate: Option<f64>,
    rejected_fraction: f64,
    /// When the rate was last halved; 0: not yet.
    halved_at: Micros,
}

impl SendRate {
    /// Sends a second, now.
    pub fn per_second(&self, settings: &WriteQueueSettings) -> f64 {
        let most = f64::from(settings.max_sends_per_second);
        self.rate.unwrap_or(most * INITIAL_FRACTION).clamp(MIN_RATE.min(most), most)
    }

    /// A send ended: `carried` where a backend answered, and not where the cluster rejected it.
    pub fn record(&mut self, now: Micros, carried: bool, settings: &WriteQueueSettings) {
        let rate = self.per_second(settings);
        let rejected = f64::from(u8::from(!carried));
        self.rejected_fraction += SMOOTHING * (rejected - self.rejected_fraction);
        if carried {
            self.rate = Some(rate + self.growth(rate, settings));
        } else if self.rejected_fraction > MAX_REJECTED_FRACTION
            && now - self.halved_at >= MIN_HALVING_INTERVAL
        {
            self.rate = Some(rate / 2.0);
            self.halved_at = now;
        }
    }

    fn growth(&self, rate: f64, settings: &WriteQueueSettings) -> f64 {
        let was_too_high = self.halved_at > Micros(0);
        match was_too_high {
            true => f64::from(settings.max_sends_per_second) * GROWTH_PER_SECOND / rate,
            false => rate * GROWTH_PER_SEND,
        }
    }
}

/// A token bucket: one token a send.
#[derive(Debug, Clone, Default)]
pub struct TokenBucket {
    tokens: f64,
    filled_at: Micros,
}

impl TokenBucket {
    /// Fills it at this rate for the time since it was last filled.
    pub fn fill(&mut self, now: Micros, per_second: f64) {
        let capacity = (per_second / BURSTS_PER_SECOND).max(MIN_BURST);
        self.tokens = (self.tokens + per_second * (now - self.filled_at).secs()).min(capacity);
        self.filled_at = now;
    }

    /// Takes a token, if there is one.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
