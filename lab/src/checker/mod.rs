//! Checks a finished run: invariants and metrics, computed from the record of the stand-ins alone. Shares no code with
//! the gateway's own decisions, so that an error there can't hide itself here.

mod abandoned_requests;
mod accepted_writes;
mod cluster;
mod earned_weight;
mod histogram;
mod invariants;
mod metrics;
mod quota_replay;
mod request_history;
mod rollout;
#[cfg(test)]
mod tests;
mod timeline;

pub use earned_weight::ServedByName;
pub use invariants::{Rule, RuleViolation};
pub use metrics::Metrics;
pub use timeline::Timeline;

use crate::plan::Plan;
use crate::record::Record;
use serde::Serialize;

/// Overall result of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Word {
    /// No rule was broken and every expectation was met.
    Held,
    /// A rule was broken or an expectation missed.
    Failed,
    /// The lab itself was late or short of resources, so the run proves nothing.
    NotValid,
}

/// Highest 99th percentile of the load generator's delay in a valid run, in milliseconds.
pub const MAX_LATENESS_P99_MS: f64 = 20.0;

/// Result of checking a run.
#[derive(Debug, Clone, Serialize)]
pub struct Verdict {
    /// Overall result.
    pub word: Word,
    /// Rules that were broken.
    pub broken: Vec<RuleViolation>,
    /// Missed expectations, each as a sentence.
    pub missed: Vec<String>,
    /// Event histories of requests that ran too often or were lost.
    pub stories: Vec<String>,
    /// Reasons why the run is not valid; empty if it is.
    pub doubts: Vec<String>,
    /// Metrics of the whole run.
    pub figures: Metrics,
    /// Metrics for each second of the run.
    pub timeline: Timeline,
}

/// Checks a run against the rules and the scenario's expectations.
pub fn check(plan: &Plan, record: &Record) -> Verdict {
    let broken = invariants::violations(plan, record);
    let (figures, timeline) = metrics::measure(plan, record);
    let mut doubts = Vec::new();
    if figures.late_p99_ms > MAX_LATENESS_P99_MS {
        let late = figures.late_p99_ms;
        doubts.push(format!(
            "the load generator was {late:.1} ms late at the 99th percentile; the limit is {MAX_LATENESS_P99_MS} ms"
        ));
    }
    if record.starved > 0 {
        doubts.push(format!("the lab ran out of ports, descriptors or memory {} times", record.starved));
    }
    let mut missed = Vec::new();
    for (key, bound) in &plan.scenario.expect.0 {
        let (metric, is_minimum) = match key.strip_suffix("_min") {
            Some(metric) => (metric, true),
            None => (key.strip_suffix("_max").unwrap_or(key), false),
        };
        let Some(value) = figures.get(metric) else { continue };
        if is_minimum && value < *bound || !is_minimum && value > *bound {
            let relation = if is_minimum { "at least" } else { "at most" };
            missed.push(format!("{metric} is {value:.4}, expected {relation} {bound}"));
        }
    }
    let word = match () {
        () if !doubts.is_empty() => Word::NotValid,
        () if broken.is_empty() && missed.is_empty() => Word::Held,
        () => Word::Failed,
    };
    Verdict {
        word,
        broken,
        missed,
        stories: request_history::histories(plan, record),
        doubts,
        figures,
        timeline,
    }
}
