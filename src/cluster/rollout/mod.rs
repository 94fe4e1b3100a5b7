//! Staged (canary) rollouts of routing rules, which are halted by the combined outcome counts of all gateways.
//!
//! Nothing here does I/O, reads a clock or uses global randomness. `docs/decisions/0007-rules-rollout.md` gives the
//! reasons.
//!
//! * [`RolloutRequest`] is an operator's request; [`RolloutCommand`] is the replicated state of the rollout.
//! * [`RolloutController`] runs at each gateway: it gossips, counts, halts and, under the lease, leads.
//! * [`OutcomeCounts`] are the counts of one gateway, [`CollectedCounts`] those of all gateways.
//! * [`sequential_test`] decides whether to halt the rollout and whether to enter the next stage.

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
