//! Messages about a rollout. A wire form (postcard): the order of variants and fields counts.

use super::command::RolloutCommand;
use super::count_rows::CountRow;
use serde::{Deserialize, Serialize};

/// What gateways tell each other of a rollout.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RolloutMessage {
    /// What is in force, as the sender knows it.
    Command {
        /// The command.
        command: Box<RolloutCommand>,
        /// The sender leads the rollout.
        is_leader: bool,
    },
    /// The sender's counts.
    Counts(Box<CountRow>),
}
