//! Messages between the gateways of a branch.
//!
//! They are encoded with postcard, which is positional: variants and fields must keep their order. Times are
//! sent as spans that end at the moment of sending.

use super::write::{Dot, Write, WriteState};
use crate::decision::Micros;
use serde::{Deserialize, Serialize};

/// A write with its state at the sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedWrite {
    /// Replicated write.
    pub write: Box<Write>,
    /// State of the write.
    pub state: WriteState,
    /// Time since the write was accepted.
    pub age: Micros,
    /// Time since the write was first forwarded, or `None` if it was not.
    pub since_first_send: Option<Micros>,
}

/// The dot of a write with the rank of its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DotRank {
    /// Dot of the write.
    pub dot: Dot,
    /// Rank of the write's state, as returned by `WriteState::rank`.
    pub rank: u32,
}

/// One page of the writes that a replica holds, in the order of their dots.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogPage {
    /// Round of the `QueryPage` that this page replies to.
    pub round: u64,
    /// Writes on the page.
    pub entries: Vec<DotRank>,
    /// Whether the replica holds writes after this page.
    pub has_more: bool,
    /// Whether the sender has a vote.
    pub has_vote: bool,
}

/// A message between two gateways of a branch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum QueueMessage {
    /// Asks for the newest writes of a customer and on an object.
    QueryHeads {
        /// Token that the reply repeats.
        token: u64,
        /// Customer of the new write.
        customer: u64,
        /// Object of the new write.
        object: u64,
    },
    /// Replies to `QueryHeads`.
    Heads {
        /// Token of the query.
        token: u64,
        /// Newest writes of the customer and on the object.
        heads: Vec<Dot>,
        /// Highest position that the sender has received.
        position: u64,
        /// Whether the sender has a vote.
        has_vote: bool,
    },
    /// Asks the receiver to store a write or to merge its state.
    Replicate(ReplicatedWrite),
    /// Acknowledges that the sender, which has a vote, holds a write.
    Acknowledge {
        /// Dot of the write.
        dot: Dot,
        /// State of the write at the sender.
        state: WriteState,
    },
    /// Rejects a write for which the sender has no capacity, or that is too long.
    Rejected {
        /// Dot of the write.
        dot: Dot,
    },
    /// Asks for a page of the writes that the receiver holds.
    QueryPage {
        /// Number of the query, which the reply repeats.
        round: u64,
        /// Last write of the previous page, or `None` to begin with the first write.
        after: Option<Dot>,
    },
    /// Replies to `QueryPage`.
    Page(LogPage),
    /// Asks the receiver to send these writes.
    Fetch(Vec<Dot>),
    /// Reports the state of the sender's uplink.
    UplinkStatus {
        /// Time since the sender's last response from a backend.
        since_response: Micros,
        /// Whether the sender considers its uplink down.
        is_down: bool,
    },
}
