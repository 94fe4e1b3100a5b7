//! Messages within a branch. A wire form (postcard): the order of variants and fields counts. Times are spans up to the
//! moment of sending.

use super::write::{Dot, Write, WriteState};
use crate::decision::Micros;
use serde::{Deserialize, Serialize};

/// A write, and what its sender knows of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedWrite {
    /// The write.
    pub write: Box<Write>,
    /// What became of it.
    pub state: WriteState,
    /// How long ago it was accepted.
    pub age: Micros,
    /// How long ago it was first forwarded; none: it was not.
    pub since_first_send: Option<Micros>,
}

/// A write's name with the rank of its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DotRank {
    /// The write.
    pub dot: Dot,
    /// `WriteState::rank`.
    pub rank: u32,
}

/// A part of what a replica holds, in the order of dots.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogPage {
    /// The question's round.
    pub round: u64,
    /// What it holds.
    pub entries: Vec<DotRank>,
    /// There are more behind these.
    pub has_more: bool,
    /// The sender has a vote.
    pub has_vote: bool,
}

/// A message within a branch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum QueueMessage {
    /// Which are the newest writes of this customer and on this object?
    QueryHeads {
        /// Comes back with the answer.
        token: u64,
        /// The customer.
        customer: u64,
        /// The object.
        object: u64,
    },
    /// Answers that.
    Heads {
        /// The question's.
        token: u64,
        /// The newest writes.
        heads: Vec<Dot>,
        /// The highest position in the order.
        position: u64,
        /// The sender has a vote.
        has_vote: bool,
    },
    /// Hold this write.
    Replicate(ReplicatedWrite),
    /// The sender holds the write in this state, and says so with a vote.
    Acknowledge {
        /// The write.
        dot: Dot,
        /// Its state there.
        state: WriteState,
    },
    /// The sender has no capacity for the write, or it is too long.
    Rejected {
        /// The write.
        dot: Dot,
    },
    /// What does the receiver hold behind this write?
    QueryPage {
        /// Comes back with the answer.
        round: u64,
        /// The last write of the page before; none: from the first.
        after: Option<Dot>,
    },
    /// Answers that.
    Page(LogPage),
    /// Send these writes.
    Fetch(Vec<Dot>),
    /// The sender's uplink.
    UplinkStatus {
        /// How long ago it last had a response from a backend.
        since_response: Micros,
        /// It holds the uplink for down.
        is_down: bool,
    },
}
