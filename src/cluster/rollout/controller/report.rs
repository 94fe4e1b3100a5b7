//! The report of a rollout for operators: the JSON of `GET /rollout`. Its keys and shapes are fixed here (`rename`,
//! `into`).

use super::RolloutController;
use crate::cluster::rollout::count_rows::ProcessCounts;
use crate::cluster::rollout::outcome_counts::OutcomeTotals;
use crate::cluster::rollout::state::{HaltReason, RolloutEnd, RolloutState};
use crate::decision::Micros;
use serde::Serialize;

/// Whether a rollout runs, or how it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RolloutStatus {
    /// The rollout has not ended.
    Running,
    /// All customers have the new rules.
    #[serde(rename = "done")]
    Completed,
    /// Operators aborted the rollout.
    Aborted,
    /// The gateways halted the rollout.
    Halted,
}

/// A stage, counted from 1, and the number of stages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(into = "(u8, usize)")]
pub struct StagePosition {
    /// Number of the stage; 0 before the first stage.
    pub stage: u8,
    /// Number of stages.
    pub stages: usize,
}

impl From<StagePosition> for (u8, usize) {
    fn from(stage: StagePosition) -> (u8, usize) {
        (stage.stage, stage.stages)
    }
}

/// Number of seats that reported recently, and how many of them agree with this gateway on the stage and on
/// whether the rollout has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(into = "(usize, usize)")]
pub struct ReportingSeats {
    /// Number of seats that reported within 2 s.
    pub reporting: usize,
    /// Number of reporting seats that agree with this gateway on the stage and on whether the rollout has
    /// ended.
    pub following: usize,
}

impl From<ReportingSeats> for (usize, usize) {
    fn from(seats: ReportingSeats) -> (usize, usize) {
        (seats.reporting, seats.following)
    }
}

/// The report of a rollout for operators.
#[derive(Debug, Clone, Serialize)]
pub struct RolloutReport {
    /// Number of the rollout.
    pub number: u64,
    /// Whether a quorum of the seats has received the rollout.
    pub confirmed: bool,
    /// The stage in force at this gateway.
    pub stage: StagePosition,
    /// Customers that have the new rules at this gateway, in percent.
    pub percent: f64,
    /// Whether the rollout is paused.
    pub paused: bool,
    /// Whether the rollout runs, or how it ended.
    pub state: RolloutStatus,
    /// Why the rollout was halted, and by which seat.
    #[serde(rename = "why")]
    pub reason: Option<String>,
    /// Whether this gateway leads the rollout.
    pub leads: bool,
    /// Whether this gateway collects the counts; the values below are complete only at collectors.
    pub collects: bool,
    /// Seats that reported recently.
    #[serde(rename = "heard")]
    pub seats: ReportingSeats,
    /// Requests on time, late, failed and rejected, for the baseline and then the canary.
    #[serde(rename = "ends")]
    pub outcomes: [[u64; 4]; 2],
    /// Number of messages rejected as invalid, or because their gateway had too many processes.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl RolloutController {
    /// Returns the report for operators; none before the first rollout.
    pub fn report(&self, now: Micros) -> Option<RolloutReport> {
        let state = self.state.as_ref()?;
        let RolloutState { key, stage, pause, settings, .. } = state;
        let fresh = self.collected.fresh(now);
        let is_following =
            |process: &&&ProcessCounts| process.stage == *stage && process.has_ended != state.is_running();
        Some(RolloutReport {
            number: key.number,
            confirmed: key.confirmed,
            stage: StagePosition { stage: *stage, stages: settings.stage_shares.len() },
            percent: f64::from(state.canary_share()) / 100.0,
            paused: pause.is_paused,
            state: rollout_status(state),
            reason: halt_reason_text(state),
            leads: self.is_leading,
            collects: self.is_collector,
            seats: ReportingSeats {
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
            add_totals(&mut sums[0], counts.value.outcomes.baseline);
            add_totals(&mut sums[1], counts.value.outcomes.canary);
        }
        sums
    }
}

fn add_totals(sums: &mut [u64; 4], totals: OutcomeTotals) {
    for (sum, total) in sums.iter_mut().zip(totals.to_array()) {
        *sum += total;
    }
}

fn rollout_status(state: &RolloutState) -> RolloutStatus {
    match state.end {
        None => RolloutStatus::Running,
        Some(RolloutEnd::Completed) => RolloutStatus::Completed,
        Some(RolloutEnd::Aborted) => RolloutStatus::Aborted,
        Some(RolloutEnd::Halted { .. }) => RolloutStatus::Halted,
    }
}

/// Returns a text of the operators' JSON, whose wording is fixed.
fn halt_reason_text(state: &RolloutState) -> Option<String> {
    let Some(RolloutEnd::Halted { seat, reason }) = &state.end else { return None };
    Some(match reason {
        HaltReason::CanaryWorse { scope, log_evidence, log_threshold } => format!(
            "seat {seat}: the new arm is worse in {scope}: bet {log_evidence:.2}, bound {log_threshold:.2} (logarithms)"
        ),
        HaltReason::Undecided => {
            format!("seat {seat}: not passed within {} s", state.settings.max_stage_s)
        }
    })
}
