//! Rate at which writes are forwarded after the uplink has recovered. It follows additive increase and multiplicative
//! decrease (Chiu and Jain 1989), so that a branch uses only the capacity that live traffic leaves.

use super::settings::WriteQueueSettings;
use crate::decision::Micros;

/// Initial rate as a fraction of the maximum rate; it is low because many branches may recover in the same second.
const INITIAL_FRACTION: f64 = 0.1;
/// Fraction of the rate that each answered send adds until the rate has been halved for the first time.
const GROWTH_PER_SEND: f64 = 0.05;
/// Fraction of the maximum rate by which the rate grows per second after it has been halved.
const GROWTH_PER_SECOND: f64 = 0.1;
/// Fraction of rejected sends above which the rate is halved.
const MAX_REJECTED_FRACTION: f64 = 0.3;
/// Minimum time between two halvings of the rate.
const MIN_HALVING_INTERVAL: Micros = Micros(300_000);
/// Minimum rate, in sends per second.
const MIN_RATE: f64 = 1.0;
/// Weight of the latest send in the moving average of the rejected fraction.
const SMOOTHING: f64 = 0.1;
/// Divisor of the rate per second that gives the capacity of the token bucket.
const BURSTS_PER_SECOND: f64 = 10.0;
/// Minimum capacity of the token bucket, in sends.
const MIN_BURST: f64 = 1.0;

/// Adaptive rate at which writes are forwarded.
#[derive(Debug, Clone, Default)]
pub struct SendRate {
    /// Rate in sends per second; `None` before the first send of a recovery.
    rate: Option<f64>,
    rejected_fraction: f64,
    /// Time at which the rate was last halved; 0 if never.
    halved_at: Micros,
}

impl SendRate {
    /// Returns the current rate in sends per second.
    pub fn per_second(&self, settings: &WriteQueueSettings) -> f64 {
        let max_rate = f64::from(settings.max_sends_per_second);
        self.rate.unwrap_or(max_rate * INITIAL_FRACTION).clamp(MIN_RATE.min(max_rate), max_rate)
    }

    /// Records the end of a send. `answered` is true if a backend responded, and false if the cluster rejected
    /// the write or no response came.
    pub fn record(&mut self, now: Micros, answered: bool, settings: &WriteQueueSettings) {
        let rate = self.per_second(settings);
        let rejected = f64::from(u8::from(!answered));
        self.rejected_fraction += SMOOTHING * (rejected - self.rejected_fraction);
        if answered {
            self.rate = Some(rate + self.growth(rate, settings));
        } else if self.rejected_fraction > MAX_REJECTED_FRACTION
            && now - self.halved_at >= MIN_HALVING_INTERVAL
        {
            self.rate = Some(rate / 2.0);
            self.halved_at = now;
        }
    }

    fn growth(&self, rate: f64, settings: &WriteQueueSettings) -> f64 {
        let was_halved = self.halved_at > Micros(0);
        match was_halved {
            true => f64::from(settings.max_sends_per_second) * GROWTH_PER_SECOND / rate,
            false => rate * GROWTH_PER_SEND,
        }
    }
}

/// Token bucket with one token per send.
#[derive(Debug, Clone, Default)]
pub struct TokenBucket {
    tokens: f64,
    filled_at: Micros,
}

impl TokenBucket {
    /// Adds the tokens for the time since the last call at this rate, up to the capacity.
    pub fn fill(&mut self, now: Micros, per_second: f64) {
        let capacity = (per_second / BURSTS_PER_SECOND).max(MIN_BURST);
        self.tokens = (self.tokens + per_second * (now - self.filled_at).secs()).min(capacity);
        self.filled_at = now;
    }

    /// Takes a token. Returns false if there is none.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
