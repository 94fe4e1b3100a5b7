//! Routing rules that are rolled out in stages (a canary release), and halted by what all gateways together see of them.
//!
//! No I/O, no clock, no global randomness. `docs/decisions/0007-rules-rollout.md` gives the reasons.
//!
//! * [`RolloutRequest`] is what operators ask for; [`RolloutCommand`] is what is in force of it.
//! * [`RolloutController`] is one gateway's part: it passes the command on, counts, halts, and leads.
//! * [`OutcomeCounts`] are one gateway's counts, [`CollectedCounts`] those of all.
//! * [`sequential_test`] decides on a halt, and on the next stage.

mod command;
mod command_result;
mod controller;
mod count_rows;
mod lease;
mod message;
mod outcome_counts;
mod plan;
pub mod sequential_test;

pub use command::{HaltReason, Pause, RolloutCommand, RolloutEnd, RolloutKey};
pub use command_result::CommandResult;
pub use controller::report::{RolloutReport, RolloutState};
pub use controller::{ControllerEffect, RolloutController, RolloutNotice, TICK_INTERVAL};
pub use count_rows::{ClassRow, CollectedCounts, CountRow};
pub use lease::ROLLOUT_RECORD;
pub use message::RolloutMessage;
pub use outcome_counts::{
    Arm, ClassCounts, OutcomeCounts, OutcomeTotals, PerArm, RequestOutcome, BET_LOG_ODDS,
};
pub use plan::{RolloutRequest, RolloutSettings, RuleConfig, RuleSet, ALL_CUSTOMERS};
