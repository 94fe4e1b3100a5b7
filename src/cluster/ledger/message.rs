//! What claimants and holders say to each other.

use crate::cluster::ledger::{Ballot, Record, RecordId};
use crate::cluster::Micros;
use serde::{Deserialize, Serialize};

/// A record as a holder has it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seen {
    /// By which it was written.
    pub ballot: Ballot,
    /// Which of the writes by that ballot.
    pub seq: u32,
    /// What it says.
    pub record: Record,
    /// How old the record is.
    pub age: Micros,
    /// How long ago it was written last here.
    pub since: Micros,
}

/// A message of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A claimant asks for a promise: to write nothing of a lower ballot.
    Prepare(RecordId, Ballot),
    /// The holder promises, and tells what it has.
    Promise(RecordId, Ballot, Option<Seen>),
    /// It does not promise: the record is owned, or answered.
    Taken(RecordId, Ballot, Seen),
    /// It promised to a higher ballot, this one.
    Passed(RecordId, Ballot, Ballot),
    /// It has no vote, or no room.
    Silent(RecordId, Ballot),
    /// A claimant with promises writes.
    Write {
        /// Which record.
        id: RecordId,
        /// By which ballot.
        ballot: Ballot,
        /// Which of the writes by it, from 1.
        seq: u32,
        /// How long ago the claimant had this holder's promise.
        held: Micros,
        /// How old the record is.
        age: Micros,
        /// What it says now.
        record: Record,
    },
    /// The holder wrote it.
    Written(RecordId, Ballot, u32),
    /// The request itself goes with its owner's first write, for whoever finishes it should the owner die and its client
    /// not come again. It is not answered; a holder that lacks it finishes nothing.
    Request(RecordId, Ballot, Vec<u8>),
}

impl Message {
    /// Whether it is for a holder.
    pub fn is_asked(&self) -> bool {
        matches!(self, Message::Prepare(..) | Message::Write { .. } | Message::Request(..))
    }
}
