//! What gateways said of a rollout of rules, against each other and against the faults of the run.

use super::invariants::Absences;
use crate::plan::{Action, Microseconds, Plan};
use crate::record::{Record, RolloutObservation};
use std::collections::BTreeMap;

/// An end reaches every gateway that can be reached within this.
const REACHED: Microseconds = 3_000_000;
/// Looks are so far apart, and a gateway that has just come back may not have been told.
const LOOK: Microseconds = 500_000;

/// The figures; all zero where there was no rollout.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Staged {
    /// The highest stage that a gateway went by.
    pub stage: f64,
    /// Of the gateways' last words, the part that said `done`.
    pub done: f64,
    /// The same of `halted`.
    pub halted: f64,
    /// Seconds from the first stage in force until somebody said that it was halted.
    pub after_s: f64,
    /// Seconds from then until the last gateway that went by it still.
    pub spread_s: f64,
    /// How many gateways led it, one after another.
    pub leaders: f64,
}

fn by_number(record: &Record) -> BTreeMap<u64, Vec<&RolloutObservation>> {
    let mut all: BTreeMap<u64, Vec<&RolloutObservation>> = BTreeMap::new();
    record.rollouts.iter().for_each(|seen| all.entry(seen.number).or_default().push(seen));
    all
}

/// The figures of the last rollout.
pub(super) fn staged(record: &Record) -> Staged {
    let all = by_number(record);
    let Some(looks) = all.values().next_back() else { return Staged::default() };
    let mut last: BTreeMap<usize, &RolloutObservation> = BTreeMap::new();
    last.extend(looks.iter().map(|seen| (seen.gateway, *seen)));
    let part = |state: &str| {
        last.values().filter(|seen| seen.state == state).count() as f64 / last.len().max(1) as f64
    };
    let begun = looks.iter().filter(|s| s.stage > 0).map(|s| s.at).min();
    let halted = looks.iter().filter(|s| s.state == "halted").map(|s| s.at).min();
    let (after, spread) = match (begun, halted) {
        (Some(begun), Some(halted)) => {
            let still =
                looks.iter().filter(|s| s.state == "running" && s.asked > halted).map(|s| s.asked).max();
            (halted.saturating_sub(begun), still.map_or(0, |at| at - halted))
        }
        _ => (0, 0),
    };
    let leaders: std::collections::BTreeSet<(usize, usize)> =
        looks.iter().filter(|s| s.leads).map(|s| (s.gateway, s.life)).collect();
    Staged {
        stage: looks.iter().map(|s| f64::from(s.stage)).fold(0.0, f64::max),
        done: part("done"),
        halted: part("halted"),
        after_s: after as f64 / 1e6,
        spread_s: spread as f64 / 1e6,
        leaders: leaders.len() as f64,
    }
}

/// Gateways that went by a rollout for longer than they may after its end, each with when and what.
pub(super) fn went_on(plan: &Plan, record: &Record, absences: &Absences) -> Vec<(Microseconds, String)> {
    let mut found = Vec::new();
    let cut = |from: Microseconds, to: Microseconds| {
        let on = plan.steps.iter().filter(|s| matches!(s.action, Action::Link { on: true, .. }));
        let bands = plan.bands.iter().filter(|b| b.name.starts_with("cut") || b.name.starts_with("impair"));
        on.count() > 0
            && bands.clone().any(|b| crate::plan::us(b.from_s) <= to && from <= crate::plan::us(b.to_s))
    };
    for (number, looks) in by_number(record) {
        let ends = looks.iter().filter(|s| s.state != "running");
        let Some(end) = ends.map(|s| s.at).min() else { continue };
        for seen in looks.iter().filter(|s| s.state == "running" && s.asked > end + REACHED) {
            let from = seen.asked - REACHED - LOOK;
            if !absences.excuses(seen.gateway, from, seen.asked) && !cut(from, seen.asked) {
                let after = (seen.asked - end) as f64 / 1e6;
                let case = format!("g{} went by rollout {number} {after:.1} s after its end", seen.gateway);
                found.push((seen.asked, case));
            }
        }
    }
    found
}
