//! A run second by second.

use super::earned_weight::{served_fraction, EarnedWeight};
use super::histogram::histogram;
use crate::plan::{Microseconds, Plan};
use crate::record::{End, Outcome, Record};
use serde::Serialize;

/// Second by second.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Timeline {
    /// Worth asked for inside quotas.
    pub offered: Vec<f64>,
    /// Of it, answered in time.
    pub served: Vec<f64>,
    /// Tries refused.
    pub refused: Vec<f64>,
    /// Tries that failed or had no answer.
    pub failed: Vec<f64>,
    /// Attempts.
    pub attempts: Vec<f64>,
    /// 99th percentile of the time of answers 200, in milliseconds.
    pub p99_ms: Vec<f64>,
    /// Served share by zone.
    pub zones: Vec<(String, Vec<f64>)>,
    /// Served share by the gateway asked first; below 0: nothing was asked.
    pub gateways: Vec<Vec<f64>>,
}

/// The least served share over 10 s, or over the whole of a shorter run.
pub(super) fn worst(timeline: &Timeline, from: Microseconds) -> f64 {
    let from = (from / 1_000_000) as usize;
    let seconds = timeline.offered.len();
    let width = 10.min(seconds.saturating_sub(from)).max(1);
    let over = |at: usize| {
        let sum = |values: &[f64]| values.iter().skip(at).take(width).sum::<f64>();
        served_fraction(sum(&timeline.served), sum(&timeline.offered))
    };
    (from..=seconds.saturating_sub(width).max(from)).map(over).fold(1.0, f64::min)
}

/// The timeline of a run.
pub(super) fn timeline(plan: &Plan, record: &Record, worths: &[EarnedWeight]) -> Timeline {
    let seconds = (plan.scenario.length_s.ceil() as usize).max(1);
    let zones = &plan.scenario.net.zones;
    let flat = || vec![0.0; seconds];
    let second = |at: Microseconds| ((at / 1_000_000) as usize).min(seconds - 1);
    let mut all = Timeline {
        offered: flat(),
        served: flat(),
        refused: flat(),
        failed: flat(),
        attempts: flat(),
        p99_ms: flat(),
        zones: Vec::new(),
        gateways: vec![vec![-1.0; seconds]; plan.scenario.gateways.count],
    };
    let mut by_gateway = vec![vec![(0.0, 0.0); seconds]; plan.scenario.gateways.count];
    let mut by_zone = vec![vec![(0.0, 0.0); seconds]; zones.len()];
    for (arrival, worth) in plan.arrivals.iter().zip(worths) {
        let at = second(arrival.at);
        all.offered[at] += worth.offered;
        all.served[at] += worth.earned;
        let zone = &mut by_zone[arrival.gateways[0] % zones.len()][at];
        zone.0 += worth.earned;
        zone.1 += worth.offered;
        let gateway = &mut by_gateway[arrival.gateways[0]][at];
        gateway.0 += worth.earned;
        gateway.1 += worth.offered;
    }
    let of = |(name, sums): (&String, Vec<(f64, f64)>)| {
        (name.clone(), sums.into_iter().map(|(earned, offered)| served_fraction(earned, offered)).collect())
    };
    all.zones = zones.iter().zip(by_zone).map(of).collect();
    let mut times: Vec<Vec<u64>> = vec![Vec::new(); seconds];
    for one in &record.tries {
        let at = second(one.due);
        match one.end {
            End::Answer { status: 200, .. } => times[at].push(one.ended - one.due),
            End::Answer { status: 429 | 503, .. } => all.refused[at] += 1.0,
            _ => all.failed[at] += 1.0,
        }
    }
    for (at, times) in times.into_iter().enumerate() {
        all.p99_ms[at] = histogram(times.into_iter()).value_at_quantile(0.99) as f64 / 1000.0;
    }
    for (gateway, sums) in by_gateway.into_iter().enumerate() {
        for (at, (earned, offered)) in sums.into_iter().enumerate().filter(|(_, (_, offered))| *offered > 0.0)
        {
            all.gateways[gateway][at] = served_fraction(earned, offered);
        }
    }
    for attempt in record.attempts.iter().filter(|a| a.outcome != Outcome::Open) {
        all.attempts[second(attempt.first)] += 1.0;
    }
    all
}
