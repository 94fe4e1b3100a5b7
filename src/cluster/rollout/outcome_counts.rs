//! One gateway's counts of request outcomes, by arm and class, and its bets that the canary is worse.
//!
//! The bets halt a rollout if the canary fails significantly more often; the probability of a false halt is at most the
//! configured rate, whenever and however often the counts are evaluated.
//!
//! Requests of one class that end at one gateway within about a second form a slice. If the arms are alike, then each
//! failure of a slice falls to the canary with probability `p`, its fraction of the slice's requests. A bet that pays
//! `exp(t)` for each failure of the canary, at the price `(1 - p + p exp(t))` for each failure of either arm, then
//! gains nothing on average (Hoeffding 1963 for draws without replacement). The combined gain of all bets therefore
//! ever exceeds `1 / a` in at most the fraction `a` of sound rollouts (Ville 1939), however often it is evaluated.
//! Faults that affect both arms alike, such as a lost zone, an unresponsive counter or a busy hour, only change the
//! slice's total number of failures and are no evidence.

use crate::decision::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of odds that are bet on.
pub const BET_COUNT: usize = 4;
/// The odds that are bet on, as natural logarithms: failures 1.25, 1.6, 2.5 and 6 times as likely.
pub const BET_LOG_ODDS: [f64; BET_COUNT] = [0.223, 0.47, 0.916, 1.792];
/// Minimum length of a slice; it is closed after this once it has requests of both arms.
const SLICE_LENGTH: Micros = Micros(1_000_000);
/// A slice with requests of only one arm is dropped after this.
const MAX_SLICE_LENGTH: Micros = Micros(10_000_000);
/// Limit of the classes that are counted; requests of further classes are not tested.
pub const MAX_CLASSES: u16 = 64;
/// Upper bounds of the response-time bins, as fractions of the latency objective; the last bin holds longer times.
const BIN_BOUNDS: [f64; 4] = [0.25, 0.5, 1.0, 2.0];
/// Counts from another gateway are invalid from this value on.
const MAX_COUNT: u64 = 1 << 40;
/// Tolerance for the rounding of sums that were added up in a different order.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The set of rules that a request followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arm {
    /// The previous rules.
    Baseline,
    /// The new rules.
    Canary,
}

/// One value for each arm.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PerArm<T> {
    /// Value of the previous rules.
    pub baseline: T,
    /// Value of the new rules.
    pub canary: T,
}

impl<T> PerArm<T> {
    fn get_mut(&mut self, arm: Arm) -> &mut T {
        match arm {
            Arm::Baseline => &mut self.baseline,
            Arm::Canary => &mut self.canary,
        }
    }
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served within its latency objective.
    OnTime,
    /// Served after its latency objective.
    Late,
    /// Sent to an endpoint at least once, and not served.
    Failed,
    /// Rejected before it was ever sent. Rejections depend on quotas, so they are counted but not tested.
    Rejected,
}

/// Numbers of requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeTotals {
    /// Served within their latency objective.
    pub on_time: u64,
    /// Served after their latency objective.
    pub late: u64,
    /// Sent to an endpoint at least once, and not served.
    pub failed: u64,
    /// Rejected before they were ever sent.
    pub rejected: u64,
}

impl OutcomeTotals {
    fn add(&mut self, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::OnTime => self.on_time += 1,
            RequestOutcome::Late => self.late += 1,
            RequestOutcome::Failed => self.failed += 1,
            RequestOutcome::Rejected => self.rejected += 1,
        }
    }

    /// Number of requests that were sent.
    pub fn sent(&self) -> u64 {
        self.on_time.saturating_add(self.failures())
    }

    /// Number of requests that were sent and were late or failed.
    pub fn failures(&self) -> u64 {
        self.late.saturating_add(self.failed)
    }

    /// The totals in the order of the wire form and of the operators' JSON.
    pub fn to_array(self) -> [u64; 4] {
        [self.on_time, self.late, self.failed, self.rejected]
    }
}

/// Counts of one class, which only grow. A postcard wire form: the order of fields counts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// Request outcomes.
    pub outcomes: PerArm<OutcomeTotals>,
    /// Numbers of responses within a quarter, a half, the whole and twice the latency objective, and later.
    pub response_times: PerArm<[u64; BIN_BOUNDS.len() + 1]>,
    /// Failures of the canary in slices that were bet on.
    pub canary_failures: u64,
    /// Cumulative price of the bets, by odds, as natural logarithms.
    pub log_prices: [f64; BET_COUNT],
}

impl ClassCounts {
    /// Whether such counts are possible. A price is at most what a bet on every failure of both arms would have cost.
    pub fn is_valid(&self) -> bool {
        let PerArm { baseline, canary } = &self.outcomes;
        let totals = baseline.to_array().into_iter().chain(canary.to_array());
        let times = self.response_times.baseline.iter().chain(&self.response_times.canary);
        let mut counts = totals.chain(times.copied()).chain([self.canary_failures]);
        if !counts.all(|count| count < MAX_COUNT) {
            return false;
        }
        let failures = baseline.failures() + canary.failures();
        let price_is_valid = |(price, log_odds): (&f64, f64)| {
            price.is_finite() && *price >= 0.0 && *price <= failures as f64 * log_odds + ROUNDING_TOLERANCE
        };
        self.canary_failures <= canary.failures()
            && self.log_prices.iter().zip(BET_LOG_ODDS).all(price_is_valid)
    }

    /// Gains of the bets, by odds, as natural logarithms.
    pub fn log_gains(&self) -> [f64; BET_COUNT] {
        let mut gains = [0.0; BET_COUNT];
        for (gain, (log_odds, price)) in gains.iter_mut().zip(BET_LOG_ODDS.iter().zip(self.log_prices)) {
            *gain = log_odds * self.canary_failures as f64 - price;
        }
        gains
    }
}

/// Requests of one class that ended at about the same time.
#[derive(Debug, Clone, Default)]
struct Slice {
    started_at: Option<Micros>,
    sent: PerArm<u64>,
    failures: PerArm<u64>,
}

impl Slice {
    fn add(&mut self, now: Micros, arm: Arm, outcome: RequestOutcome) {
        self.started_at.get_or_insert(now);
        *self.sent.get_mut(arm) += 1;
        *self.failures.get_mut(arm) += u64::from(outcome != RequestOutcome::OnTime);
    }

    /// Bets on a slice that is due to close, and resets it. Whether it is due depends on when requests ended and on
    /// their arms, never on their outcomes.
    fn close_if_due(&mut self, now: Micros, counts: &mut ClassCounts) {
        let Some(started_at) = self.started_at else { return };
        let has_both_arms = self.sent.baseline > 0 && self.sent.canary > 0;
        if now - started_at < SLICE_LENGTH || !has_both_arms && now - started_at < MAX_SLICE_LENGTH {
            return;
        }
        if has_both_arms {
            self.bet(counts);
        }
        *self = Slice::default();
    }

    fn bet(&self, counts: &mut ClassCounts) {
        let sent = (self.sent.baseline + self.sent.canary) as f64;
        let failures = (self.failures.baseline + self.failures.canary) as f64;
        let canary_fraction = self.sent.canary as f64 / sent;
        counts.canary_failures += self.failures.canary;
        for (price, log_odds) in counts.log_prices.iter_mut().zip(BET_LOG_ODDS) {
            *price += failures * (1.0 - canary_fraction + canary_fraction * log_odds.exp()).ln();
        }
    }
}

/// All counts of one gateway in one rollout.
#[derive(Debug, Clone, Default)]
pub struct OutcomeCounts {
    classes: BTreeMap<u16, ClassState>,
}

#[derive(Debug, Clone, Default)]
struct ClassState {
    counts: ClassCounts,
    slice: Slice,
}

impl OutcomeCounts {
    /// Counts a request that ended. `fraction_of_objective` is its duration as a fraction of its latency objective.
    pub fn record(
        &mut self,
        now: Micros,
        class: u16,
        arm: Arm,
        outcome: RequestOutcome,
        fraction_of_objective: f64,
    ) {
        if class >= MAX_CLASSES {
            return;
        }
        let ClassState { counts, slice } = self.classes.entry(class).or_default();
        counts.outcomes.get_mut(arm).add(outcome);
        if matches!(outcome, RequestOutcome::OnTime | RequestOutcome::Late) {
            let bin = BIN_BOUNDS.iter().position(|bound| fraction_of_objective <= *bound);
            counts.response_times.get_mut(arm)[bin.unwrap_or(BIN_BOUNDS.len())] += 1;
        }
        if outcome == RequestOutcome::Rejected {
            return;
        }
        slice.close_if_due(now, counts);
        slice.add(now, arm, outcome);
    }

    /// The counts so far, by class, after closing the slices that are due.
    pub fn classes(&mut self, now: Micros) -> impl Iterator<Item = (u16, &ClassCounts)> {
        self.classes.iter_mut().map(move |(class, state)| {
            state.slice.close_if_due(now, &mut state.counts);
            (*class, &state.counts)
        })
    }
}
