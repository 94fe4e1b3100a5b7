//! Checks a run: invariants and metrics, from what the stand-ins saw and nothing else. It shares no code with the
//! program's own decisions.

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

pub use earned_weight::Row;
pub use invariants::{Broken, Rule};
pub use metrics::Metrics;
pub use timeline::Timeline;

use crate::plan::Plan;
use crate::record::Record;
use serde::Serialize;

/// What a run came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Word {
    /// Every rule held, and every expectation.
    Held,
    /// A rule was broken or an expectation missed.
    Failed,
    /// The lab itself ran late or short, so that the run says nothing.
    NotValid,
}

/// Above this 99th percentile the generator was too late for a run to be valid, in milliseconds.
pub const LATENESS_BOUND_MS: f64 = 20.0;

/// The result of checking a run.
#[derive(Debug, Clone, Serialize)]
pub struct Verdict {
    /// The word on it.
    pub word: Word,
    /// Rules broken.
    pub broken: Vec<Broken>,
    /// Expectations missed, each as a sentence.
    pub missed: Vec<String>,
    /// What became of single requests that ran too often or are lost.
    pub stories: Vec<String>,
    /// Why it is not valid, where it is not.
    pub doubts: Vec<String>,
    /// The figures.
    pub figures: Metrics,
    /// How it went, second by second.
    pub timeline: Timeline,
}

/// Checks a run.
pub fn check(plan: &Plan, record: &Record) -> Verdict {
    let broken = invariants::broken(plan, record);
    let (figures, timeline) = metrics::measure(plan, record);
    let mut doubts = Vec::new();
    if figures.late_p99_ms > LATENESS_BOUND_MS {
        let late = figures.late_p99_ms;
        doubts.push(format!(
            "the generator was {late:.1} ms late at the 99th percentile, {LATENESS_BOUND_MS} at most"
        ));
    }
    if record.starved > 0 {
        doubts.push(format!("the lab lacked ports, descriptors or memory {} times", record.starved));
    }
    let mut missed = Vec::new();
    for (key, bound) in &plan.scenario.expect.0 {
        let (figure, least) = match key.strip_suffix("_min") {
            Some(figure) => (figure, true),
            None => (key.strip_suffix("_max").unwrap_or(key), false),
        };
        let Some(value) = figures.get(figure) else { continue };
        if least && value < *bound || !least && value > *bound {
            let wanted = if least { "at least" } else { "at most" };
            missed.push(format!("{figure} is {value:.4}, expected {wanted} {bound}"));
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
        stories: request_history::stories(plan, record),
        doubts,
        figures,
        timeline,
    }
}
