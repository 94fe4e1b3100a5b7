//! Staged (canary) rollouts of routing rules. A rollout is halted if the combined outcome counts of all
//! gateways show that the canary is worse, or if a stage does not pass in time.
//!
//! Nothing here does I/O, reads a clock or uses global randomness. `docs/decisions/0007-rules-rollout.md` gives the
//! reasons.
//!
//! * [`RolloutRequest`] is an operator's request; [`RolloutState`] is the replicated state of the rollout.
//! * [`RolloutController`] runs at each gateway: it gossips the rollout's state, counts outcomes, may halt
//!   the rollout, and leads it while it holds the lease.
//! * [`OutcomeCounts`] are the counts of one gateway, [`CollectedCounts`] those of all gateways.
//! * [`sequential_test`] decides whether to halt the rollout and whether to enter the next stage.

mod command_result;
mod controller;
mod count_rows;
mod lease;
mod message;
mod outcome_counts;
mod plan;
pub mod sequential_test;
mod state;

pub use command_result::CommandResult;
pub use controller::report::{RolloutReport, RolloutStatus};
pub use controller::{ControllerEffect, RolloutController, RolloutNotice, TICK_INTERVAL};
pub use count_rows::{ClassRow, CollectedCounts, CountRow};
pub use lease::ROLLOUT_RECORD;
pub use message::RolloutMessage;
pub use outcome_counts::{
    Arm, ClassCounts, OutcomeCounts, OutcomeTotals, PerArm, RequestOutcome, BET_LOG_ODDS,
};
pub use plan::{RolloutRequest, RolloutSettings, RuleConfig, RuleSet, ALL_CUSTOMERS};
pub use state::{HaltReason, Pause, RolloutEnd, RolloutKey, RolloutState};
