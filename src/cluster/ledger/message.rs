//! Messages between claims and replicas. A wire form (postcard): the order of variants and fields counts.

use super::record::{Ballot, Record, RecordId};
use crate::decision::Micros;
use serde::{Deserialize, Serialize};

/// A record as a replica holds it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordSnapshot {
    /// The ballot by which it was written.
    pub ballot: Ballot,
    /// Which of the writes by that ballot.
    pub sequence: u32,
    /// What it says.
    pub record: Record,
    /// How old the record is.
    pub age: Micros,
    /// How long ago the replica accepted the write.
    pub since_write: Micros,
}

/// A message of the ledger. `id` names the record, `ballot` is the claim's.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LedgerMessage {
    /// To a replica: promise to accept nothing of a lower ballot (Paxos phase 1).
    Prepare {
        /// Which record.
        id: RecordId,
        /// By which ballot.
        ballot: Ballot,
    },
    /// The replica promises, and says what it holds.
    Promise {
        /// Which record.
        id: RecordId,
        /// To which ballot.
        ballot: Ballot,
        /// What it holds, unless that has expired.
        held: Option<RecordSnapshot>,
    },
    /// The replica does not promise: the record is answered, or its owner's lease runs.
    Locked {
        /// Which record.
        id: RecordId,
        /// The ballot that asked.
        ballot: Ballot,
        /// What it holds.
        held: RecordSnapshot,
    },
    /// The replica has promised to a higher ballot.
    Preempted {
        /// Which record.
        id: RecordId,
        /// The ballot that asked.
        ballot: Ballot,
        /// The higher one.
        promised: Ballot,
    },
    /// The replica has no vote, or no capacity.
    Abstained {
        /// Which record.
        id: RecordId,
        /// The ballot that asked.
        ballot: Ballot,
    },
    /// To a replica: accept this write (Paxos phase 2).
    Accept {
        /// Which record.
        id: RecordId,
        /// By which ballot.
        ballot: Ballot,
        /// Which of the writes by it, from 1.
        sequence: u32,
        /// How long ago the claim received this replica's promise.
        since_promise: Micros,
        /// How old the record is.
        age: Micros,
        /// What it says now.
        record: Record,
    },
    /// The replica accepted the write.
    Accepted {
        /// Which record.
        id: RecordId,
        /// By which ballot.
        ballot: Ballot,
        /// Which of the writes by it.
        sequence: u32,
    },
    /// To a replica: the request itself, sent with its owner's first write, for whoever finishes it if the owner dies
    /// and its client does not come again. It is not answered; a replica that lacks it finishes nothing.
    StoreRequest {
        /// Which record.
        id: RecordId,
        /// By which ballot.
        ballot: Ballot,
        /// The request.
        request: Vec<u8>,
    },
}

impl LedgerMessage {
    /// The ballot to which a replica's reply belongs; none for messages to replicas.
    pub fn reply_ballot(&self) -> Option<Ballot> {
        match self {
            LedgerMessage::Promise { ballot, .. }
            | LedgerMessage::Locked { ballot, .. }
            | LedgerMessage::Preempted { ballot, .. }
            | LedgerMessage::Abstained { ballot, .. }
            | LedgerMessage::Accepted { ballot, .. } => Some(*ballot),
            LedgerMessage::Prepare { .. }
            | LedgerMessage::Accept { .. }
            | LedgerMessage::StoreRequest { .. } => None,
        }
    }
}
