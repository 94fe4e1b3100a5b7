//! One gateway's counts of how requests ended, by arm and class, and its bets that the canary is worse.
//!
//! They halt a rollout if the canary fails significantly more often; a false halt has at most the set probability, whenever
//! and however often the counts are looked at.
//!
//! Requests of one class that end at one gateway within about a second are a slice. If the arms are alike, then each
//! failure of a slice falls to the canary by its fraction `p` of the requests. A bet that pays `exp(t)` for each that does,
//! at the price `(1 - p + p exp(t))` for each failure at all, then gains nothing on average (Hoeffding 1963 for draws
//! without replacement). What all bets together gained is therefore over `1 / a` at any time at all in at most the fraction
//! `a` of sound rollouts (Ville 1939), however often it is looked at. Whatever befalls both arms alike - a lost zone, a
//! silent counter, a busy hour - is in the slice's own number of failures and tells nothing.

use crate::decision::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How many odds are bet on.
pub const BETS: usize = 4;
/// The odds that are bet on, as natural logarithms: failures 1.25, 1.6, 2.5 and 6 times as likely.
pub const BET_LOG_ODDS: [f64; BETS] = [0.223, 0.47, 0.916, 1.792];
/// A slice is closed after this, once both arms are in it.
const SLICE_LENGTH: Micros = Micros(1_000_000);
/// A slice with one arm alone is dropped after this.
const MAX_SLICE_LENGTH: Micros = Micros(10_000_000);
/// The most classes that are counted; further ones have no part in the test.
pub const MAX_CLASSES: u16 = 64;
/// Bounds of response times, as fractions of the latency objective; the last bin is what is longer.
const BIN_BOUNDS: [f64; 4] = [0.25, 0.5, 1.0, 2.0];
/// Counts of another gateway that are higher can't be.
const MAX_COUNT: u64 = 1 << 40;
/// What sums in another order may differ by.
const ROUNDING: f64 = 1e-6;

/// Which rules a request went by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arm {
    /// Those before.
    Baseline,
    /// The new ones.
    Canary,
}

/// One value for each arm.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PerArm<T> {
    /// Of the rules before.
    pub baseline: T,
    /// Of the new rules.
    pub canary: T,
}

impl<T> PerArm<T> {
    fn of_mut(&mut self, arm: Arm) -> &mut T {
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
    /// Served later.
    Late,
    /// Sent to an endpoint at least once, and not served.
    Failed,
    /// Rejected before it was ever sent: that depends on quotas, and is counted, not judged.
    Rejected,
}

/// How many requests ended in which way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeTotals {
    /// Served within their latency objective.
    pub on_time: u64,
    /// Served later.
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

    /// Requests that were sent.
    pub fn sent(&self) -> u64 {
        self.on_time.saturating_add(self.failures())
    }

    /// Of those that were sent, the ones that were late or failed.
    pub fn failures(&self) -> u64 {
        self.late.saturating_add(self.failed)
    }

    /// In the order of the wire and of the operators' JSON.
    pub fn to_array(self) -> [u64; 4] {
        [self.on_time, self.late, self.failed, self.rejected]
    }
}

/// The counts of one class. They only grow. A wire form (postcard): the order of fields counts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// How requests ended.
    pub outcomes: PerArm<OutcomeTotals>,
    /// Responses within a quarter, a half, the whole and twice the latency objective, and later.
    pub response_times: PerArm<[u64; BIN_BOUNDS.len() + 1]>,
    /// Failures of the canary that were bet on.
    pub canary_failures: u64,
    /// The price of the bets so far, by their odds, as natural logarithms.
    pub log_prices: [f64; BETS],
}

impl ClassCounts {
    /// Whether counts like these can be. A price is at most what every failure of both arms could cost.
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
            price.is_finite() && *price >= 0.0 && *price <= failures as f64 * log_odds + ROUNDING
        };
        self.canary_failures <= canary.failures()
            && self.log_prices.iter().zip(BET_LOG_ODDS).all(price_is_valid)
    }

    /// What the bets gained, by their odds, as natural logarithms.
    pub fn log_gains(&self) -> [f64; BETS] {
        let mut gains = [0.0; BETS];
        for (gain, (log_odds, price)) in gains.iter_mut().zip(BET_LOG_ODDS.iter().zip(self.log_prices)) {
            *gain = log_odds * self.canary_failures as f64 - price;
        }
        gains
    }
}

/// Requests of one class that ended at about the same time.
#[derive(Debug, Clone, Default)]
struct Slice {
    began_at: Option<Micros>,
    sent: PerArm<u64>,
    failures: PerArm<u64>,
}

impl Slice {
    fn add(&mut self, now: Micros, arm: Arm, outcome: RequestOutcome) {
        self.began_at.get_or_insert(now);
        *self.sent.of_mut(arm) += 1;
        *self.failures.of_mut(arm) += u64::from(outcome != RequestOutcome::OnTime);
    }

    /// Bets on a slice that is full, and forgets it. Whether it is full depends on its requests, never on their ends.
    fn close_if_full(&mut self, now: Micros, counts: &mut ClassCounts) {
        let Some(began_at) = self.began_at else { return };
        let has_both_arms = self.sent.baseline > 0 && self.sent.canary > 0;
        if now - began_at < SLICE_LENGTH || !has_both_arms && now - began_at < MAX_SLICE_LENGTH {
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

/// All of a gateway's counts in one rollout.
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
    /// A request ended, so much of its latency objective after it came.
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
        counts.outcomes.of_mut(arm).add(outcome);
        if matches!(outcome, RequestOutcome::OnTime | RequestOutcome::Late) {
            let bin = BIN_BOUNDS.iter().position(|bound| fraction_of_objective <= *bound);
            counts.response_times.of_mut(arm)[bin.unwrap_or(BIN_BOUNDS.len())] += 1;
        }
        if outcome == RequestOutcome::Rejected {
            return;
        }
        slice.close_if_full(now, counts);
        slice.add(now, arm, outcome);
    }

    /// The counts so far, by class.
    pub fn classes(&mut self, now: Micros) -> impl Iterator<Item = (u16, &ClassCounts)> {
        self.classes.iter_mut().map(move |(class, state)| {
            state.slice.close_if_full(now, &mut state.counts);
            (*class, &state.counts)
        })
    }
}
