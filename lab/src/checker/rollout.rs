//! Compares the gateways' reports on a rollout of rules with each other and with the faults of the run.

use super::invariants::Outages;
use crate::plan::{Action, Microseconds, Plan};
use crate::record::{Record, RolloutObservation};
use std::collections::BTreeMap;

/// Time within which the end of a rollout has to arrive at every reachable gateway.
const END_PROPAGATION_US: Microseconds = 3_000_000;
/// Interval between two polls; a gateway that has just returned from an outage may not have received the end yet.
const POLL_INTERVAL_US: Microseconds = 500_000;

/// Metrics of the last rollout; all zero if there was none.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RolloutMetrics {
    /// Highest stage that a gateway applied.
    pub stage: f64,
    /// Fraction of the gateways' last reports that said `done`.
    pub done: f64,
    /// Fraction of the gateways' last reports that said `halted`.
    pub halted: f64,
    /// Seconds from the first report of a stage in force to the first report of a halt.
    pub after_s: f64,
    /// Seconds from the first report of a halt to the last poll of a gateway that still applied the rollout.
    pub spread_s: f64,
    /// Number of gateway processes that led the rollout.
    pub leaders: f64,
}

fn observations_by_number(record: &Record) -> BTreeMap<u64, Vec<&RolloutObservation>> {
    let mut all: BTreeMap<u64, Vec<&RolloutObservation>> = BTreeMap::new();
    record
        .rollouts
        .iter()
        .for_each(|observation| all.entry(observation.number).or_default().push(observation));
    all
}

/// Measures the last rollout.
pub(super) fn measure(record: &Record) -> RolloutMetrics {
    let all = observations_by_number(record);
    let Some(observations) = all.values().next_back() else { return RolloutMetrics::default() };
    let mut last: BTreeMap<usize, &RolloutObservation> = BTreeMap::new();
    last.extend(observations.iter().map(|observation| (observation.gateway, *observation)));
    let fraction_in_state = |state: &str| {
        last.values().filter(|observation| observation.state == state).count() as f64
            / last.len().max(1) as f64
    };
    let started_at = observations.iter().filter(|s| s.stage > 0).map(|s| s.answered_at).min();
    let halted_at = observations.iter().filter(|s| s.state == "halted").map(|s| s.answered_at).min();
    let (after_us, spread_us) = match (started_at, halted_at) {
        (Some(started_at), Some(halted_at)) => {
            let last_running = observations
                .iter()
                .filter(|s| s.state == "running" && s.asked_at > halted_at)
                .map(|s| s.asked_at)
                .max();
            (halted_at.saturating_sub(started_at), last_running.map_or(0, |asked_at| asked_at - halted_at))
        }
        _ => (0, 0),
    };
    let leaders: std::collections::BTreeSet<(usize, usize)> =
        observations.iter().filter(|s| s.leads).map(|s| (s.gateway, s.life)).collect();
    RolloutMetrics {
        stage: observations.iter().map(|s| f64::from(s.stage)).fold(0.0, f64::max),
        done: fraction_in_state("done"),
        halted: fraction_in_state("halted"),
        after_s: after_us as f64 / 1e6,
        spread_s: spread_us as f64 / 1e6,
        leaders: leaders.len() as f64,
    }
}

/// Returns the time and description of each report in which a reachable gateway still applied a rollout more than 3 s
/// after its end.
pub(super) fn applied_after_end(
    plan: &Plan,
    record: &Record,
    outages: &Outages,
) -> Vec<(Microseconds, String)> {
    let mut violations = Vec::new();
    let is_link_fault = |from: Microseconds, to: Microseconds| {
        let on = plan.steps.iter().filter(|s| matches!(s.action, Action::Link { on: true, .. }));
        let bands = plan.bands.iter().filter(|b| b.name.starts_with("cut") || b.name.starts_with("impair"));
        on.count() > 0
            && bands.clone().any(|b| crate::plan::us(b.from_s) <= to && from <= crate::plan::us(b.to_s))
    };
    for (number, observations) in observations_by_number(record) {
        let ended = observations.iter().filter(|s| s.state != "running");
        let Some(ended_at) = ended.map(|s| s.answered_at).min() else { continue };
        for observation in
            observations.iter().filter(|s| s.state == "running" && s.asked_at > ended_at + END_PROPAGATION_US)
        {
            let from = observation.asked_at - END_PROPAGATION_US - POLL_INTERVAL_US;
            if !outages.any_during(observation.gateway, from, observation.asked_at)
                && !is_link_fault(from, observation.asked_at)
            {
                let after_s = (observation.asked_at - ended_at) as f64 / 1e6;
                let case = format!(
                    "g{} still applied rollout {number} {after_s:.1} s after its end",
                    observation.gateway
                );
                violations.push((observation.asked_at, case));
            }
        }
    }
    violations
}
