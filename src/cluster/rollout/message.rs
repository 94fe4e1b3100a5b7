//! Messages about a rollout, encoded with postcard: the order of variants and fields is part of the wire form.

use super::command::RolloutCommand;
use super::count_rows::CountRow;
use serde::{Deserialize, Serialize};

/// A message between the rollout controllers of two gateways.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RolloutMessage {
    /// The rollout's state as the sender knows it.
    Command {
        /// The rollout's state.
        command: Box<RolloutCommand>,
        /// Whether the sender leads the rollout.
        is_leader: bool,
    },
    /// Outcome counts of the sender.
    Counts(Box<CountRow>),
}
