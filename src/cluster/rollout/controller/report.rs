//! What operators read of a rollout: the JSON of `GET /rollout`. Its keys and shapes are fixed here (`rename`, `into`).

use super::RolloutController;
use crate::cluster::rollout::command::{HaltReason, RolloutCommand, RolloutEnd};
use crate::cluster::rollout::count_rows::ProcessCounts;
use crate::cluster::rollout::outcome_counts::OutcomeTotals;
use crate::decision::Micros;
use serde::Serialize;

/// Whether a rollout runs, or how it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RolloutState {
    /// It runs.
    Running,
    /// All customers have the new rules.
    #[serde(rename = "done")]
    Completed,
    /// Operators aborted it.
    Aborted,
    /// It was halted.
    Halted,
}

/// A stage, from 1, and how many there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(into = "(u8, usize)")]
pub struct StageOfAll {
    /// The stage; 0: before the first.
    pub stage: u8,
    /// How many there are.
    pub stages: usize,
}

impl From<StageOfAll> for (u8, usize) {
    fn from(stage: StageOfAll) -> (u8, usize) {
        (stage.stage, stage.stages)
    }
}

/// Seats that reported lately, and of them those that go by the same stage and end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(into = "(usize, usize)")]
pub struct SeatsHeard {
    /// Seats that reported within 2 s.
    pub reporting: usize,
    /// Of them those that go by this stage and end.
    pub following: usize,
}

impl From<SeatsHeard> for (usize, usize) {
    fn from(seats: SeatsHeard) -> (usize, usize) {
        (seats.reporting, seats.following)
    }
}

/// What operators read of a rollout.
#[derive(Debug, Clone, Serialize)]
pub struct RolloutReport {
    /// The rollout's number.
    pub number: u64,
    /// A quorum of the seats has known it.
    pub confirmed: bool,
    /// The stage here.
    pub stage: StageOfAll,
    /// The customers that have the new rules here, in percent.
    pub percent: f64,
    /// It is paused.
    pub paused: bool,
    /// Whether it runs.
    pub state: RolloutState,
    /// Why it was halted, and by whom.
    #[serde(rename = "why")]
    pub reason: Option<String>,
    /// This gateway leads it.
    pub leads: bool,
    /// This gateway collects the counts: the rest is known at collectors alone.
    pub collects: bool,
    /// Seats that reported lately.
    #[serde(rename = "heard")]
    pub seats: SeatsHeard,
    /// By arm (baseline, canary): requests on time, late, failed, rejected.
    #[serde(rename = "ends")]
    pub outcomes: [[u64; 4]; 2],
    /// Messages of others that could not be valid.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl RolloutController {
    /// What operators read; none before the first rollout.
    pub fn report(&self, now: Micros) -> Option<RolloutReport> {
        let command = self.command.as_ref()?;
        let RolloutCommand { key, stage, pause, settings, .. } = command;
        let fresh = self.collected.fresh(now);
        let is_following =
            |process: &&&ProcessCounts| process.stage == *stage && process.has_ended != command.is_running();
        Some(RolloutReport {
            number: key.number,
            confirmed: key.confirmed,
            stage: StageOfAll { stage: *stage, stages: settings.stage_shares.len() },
            percent: f64::from(command.share()) / 100.0,
            paused: pause.is_paused,
            state: state_of(command),
            reason: reason_of(command),
            leads: self.is_leading,
            collects: self.is_collector,
            seats: SeatsHeard {
                reporting: fresh.len(),
                following: fresh.values().filter(is_following).count(),
            },
            outcomes: self.outcome_sums(),
            rejected: self.collected.rejected,
        })
    }

    fn outcome_sums(&self) -> [[u64; 4]; 2] {
        let mut sums = [[0; 4]; 2];
        let classes = self.collected.processes().flat_map(|(_, process)| process.classes.values());
        for counts in classes {
            add(&mut sums[0], counts.value.outcomes.baseline);
            add(&mut sums[1], counts.value.outcomes.canary);
        }
        sums
    }
}

fn add(sums: &mut [u64; 4], totals: OutcomeTotals) {
    for (sum, total) in sums.iter_mut().zip(totals.to_array()) {
        *sum += total;
    }
}

fn state_of(command: &RolloutCommand) -> RolloutState {
    match command.end {
        None => RolloutState::Running,
        Some(RolloutEnd::Completed) => RolloutState::Completed,
        Some(RolloutEnd::Aborted) => RolloutState::Aborted,
        Some(RolloutEnd::Halted { .. }) => RolloutState::Halted,
    }
}

/// A text of the operators' JSON: its wording is fixed.
fn reason_of(command: &RolloutCommand) -> Option<String> {
    let Some(RolloutEnd::Halted { seat, reason }) = &command.end else { return None };
    Some(match reason {
        HaltReason::CanaryWorse { scope, log_evidence, log_threshold } => format!(
            "seat {seat}: the new arm is worse in {scope}: bet {log_evidence:.2}, bound {log_threshold:.2} (logarithms)"
        ),
        HaltReason::Undecided => {
            format!("seat {seat}: not passed within {} s", command.settings.max_stage_s)
        }
    })
}
