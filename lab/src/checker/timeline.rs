//! Metrics of a run for each second.

use super::earned_weight::{served_fraction, EarnedWeight};
use super::histogram::histogram;
use crate::plan::{Microseconds, Plan};
use crate::record::{End, Outcome, Record};
use serde::Serialize;

/// Length of the span that `worst` looks for, in seconds.
const WORST_SPAN_S: usize = 10;
/// Stands for the served fraction of a second in which nothing was offered to a gateway.
const NOTHING_OFFERED: f64 = -1.0;

/// Metrics of a run, one value for each second.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Timeline {
    /// Priority weight offered within quotas.
    pub offered: Vec<f64>,
    /// Part of the offered weight that was answered in time.
    pub served: Vec<f64>,
    /// Attempts of clients that were rejected.
    pub refused: Vec<f64>,
    /// Attempts of clients that failed or had no answer.
    pub failed: Vec<f64>,
    /// Attempts at backends.
    pub attempts: Vec<f64>,
    /// 99th percentile of the time of answers 200, in milliseconds.
    pub p99_ms: Vec<f64>,
    /// Served fraction by the zone of the gateway asked first.
    pub zones: Vec<(String, Vec<f64>)>,
    /// Served fraction by the gateway asked first; below 0 where nothing was offered.
    pub gateways: Vec<Vec<f64>>,
}

/// Returns the lowest served fraction of any 10 s from the time `from` on, or of the whole of a shorter run.
pub(super) fn worst(timeline: &Timeline, from: Microseconds) -> f64 {
    let from = (from / 1_000_000) as usize;
    let seconds = timeline.offered.len();
    let width = WORST_SPAN_S.min(seconds.saturating_sub(from)).max(1);
    let served_in_span = |first_second: usize| {
        let sum = |values: &[f64]| values.iter().skip(first_second).take(width).sum::<f64>();
        served_fraction(sum(&timeline.served), sum(&timeline.offered))
    };
    (from..=seconds.saturating_sub(width).max(from)).map(served_in_span).fold(1.0, f64::min)
}

/// Returns the timeline of a run; `weights` has one entry for each arrival of the plan, in order.
pub(super) fn timeline(plan: &Plan, record: &Record, weights: &[EarnedWeight]) -> Timeline {
    let seconds = (plan.scenario.length_s.ceil() as usize).max(1);
    let mut timeline = Timeline {
        offered: vec![0.0; seconds],
        served: vec![0.0; seconds],
        refused: vec![0.0; seconds],
        failed: vec![0.0; seconds],
        attempts: vec![0.0; seconds],
        p99_ms: vec![0.0; seconds],
        zones: Vec::new(),
        gateways: Vec::new(),
    };
    timeline.add_weights(plan, weights);
    timeline.add_tries(record);
    timeline.add_attempts(record);
    timeline
}

/// Weight offered and earned in each second.
type WeightBySecond = Vec<WeightSum>;

/// Weight offered and earned in one second.
#[derive(Debug, Clone, Copy, Default)]
struct WeightSum {
    offered: f64,
    earned: f64,
}

impl WeightSum {
    fn add(&mut self, weight: &EarnedWeight) {
        self.offered += weight.offered;
        self.earned += weight.earned;
    }

    fn served_fraction(&self) -> f64 {
        served_fraction(self.earned, self.offered)
    }

    /// Returns the served fraction, or `NOTHING_OFFERED` if nothing was offered.
    fn served_fraction_if_offered(&self) -> f64 {
        if self.offered > 0.0 {
            self.served_fraction()
        } else {
            NOTHING_OFFERED
        }
    }
}

impl Timeline {
    /// Returns the second of a time; times after the end count in the last second.
    fn second(&self, at: Microseconds) -> usize {
        ((at / 1_000_000) as usize).min(self.offered.len() - 1)
    }

    fn add_weights(&mut self, plan: &Plan, weights: &[EarnedWeight]) {
        let seconds = self.offered.len();
        let zones = &plan.scenario.net.zones;
        let mut by_zone: Vec<WeightBySecond> = vec![vec![WeightSum::default(); seconds]; zones.len()];
        let mut by_gateway: Vec<WeightBySecond> =
            vec![vec![WeightSum::default(); seconds]; plan.scenario.gateways.count];
        for (arrival, weight) in plan.arrivals.iter().zip(weights) {
            let second = self.second(arrival.at);
            let gateway = arrival.gateways[0];
            self.offered[second] += weight.offered;
            self.served[second] += weight.earned;
            by_zone[gateway % zones.len()][second].add(weight);
            by_gateway[gateway][second].add(weight);
        }
        for (name, sums) in zones.iter().zip(by_zone) {
            let served = sums.iter().map(WeightSum::served_fraction).collect();
            self.zones.push((name.clone(), served));
        }
        for sums in by_gateway {
            let served = sums.iter().map(WeightSum::served_fraction_if_offered).collect();
            self.gateways.push(served);
        }
    }

    fn add_tries(&mut self, record: &Record) {
        let mut times_us: Vec<Vec<u64>> = vec![Vec::new(); self.offered.len()];
        for client_attempt in &record.tries {
            let second = self.second(client_attempt.due);
            match client_attempt.end {
                End::Answer { status: 200, .. } => {
                    times_us[second].push(client_attempt.ended - client_attempt.due)
                }
                End::Answer { status: 429 | 503, .. } => self.refused[second] += 1.0,
                _ => self.failed[second] += 1.0,
            }
        }
        for (second, times_us) in times_us.into_iter().enumerate() {
            let p99_us = histogram(times_us.into_iter()).value_at_quantile(0.99);
            self.p99_ms[second] = p99_us as f64 / 1000.0;
        }
    }

    fn add_attempts(&mut self, record: &Record) {
        for attempt in record.attempts.iter().filter(|attempt| attempt.outcome != Outcome::Open) {
            let second = self.second(attempt.first);
            self.attempts[second] += 1.0;
        }
    }
}
