//! Rules of routing that are rolled out in stages, and halted by what all gateways together see of them.
//!
//! No I/O, no clock, no global randomness. `docs/decisions/0007-rules-rollout.md` says why it is so.

mod command;
mod controller;
mod count_rows;
mod outcome_counts;
mod plan;
mod sequential_test;

pub use command::{End, Key, Order, Why};
pub use controller::{Report, Steward, Telling, Told};
pub use count_rows::{Row, Rows, FRESH};
pub use outcome_counts::{Arm, Cell, Ended, Tally, TILTS};
pub use plan::{Rule, Rules, Start, Terms, ALL};
pub use sequential_test::{halts, passes, Open};

use crate::cluster::ledger::RecordId;
use serde::{Deserialize, Serialize};

/// The record whose owner leads a rollout. No customer has this number.
pub const RECORD: RecordId = RecordId { customer: u64::MAX, key: 1 };
/// How often a gateway's part in a rollout is to be called.
pub const TICK: crate::cluster::Micros = crate::cluster::Micros(500_000);

/// What gateways say to each other of a rollout.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The order as the sender knows it, and whether the sender leads it.
    Order(Box<Order>, bool),
    /// The sender's counts.
    Row(Box<Row>),
}
