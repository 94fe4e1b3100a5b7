//! Messages between ledger clients and replicas.
//!
//! They are encoded with postcard, which is positional: variants and fields must keep their order.

use super::record::{Ballot, Record, RecordId};
use crate::decision::Micros;
use serde::{Deserialize, Serialize};

/// A record with its ballot and age, as stored at one replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordSnapshot {
    /// Ballot of the last accepted write.
    pub ballot: Ballot,
    /// Sequence number of that write within its ballot.
    pub sequence: u32,
    /// Contents of the record.
    pub record: Record,
    /// Age of the record.
    pub age: Micros,
    /// Time since the replica accepted the write.
    pub since_write: Micros,
}

/// A ledger message. `id` names the record and `ballot` is that of the client's claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LedgerMessage {
    /// Asks a replica to promise that it accepts no write of a lower ballot (Paxos phase 1).
    Prepare {
        /// Record that is claimed.
        id: RecordId,
        /// Ballot of the claim.
        ballot: Ballot,
    },
    /// Reply of a replica that makes the promise, with the record that it holds.
    Promise {
        /// Record that is claimed.
        id: RecordId,
        /// Ballot to which the replica promised.
        ballot: Ballot,
        /// Record held by the replica, unless there is none or it has expired.
        held: Option<RecordSnapshot>,
    },
    /// Reply of a replica that makes no promise, as the record is completed or its owner's lease may still run.
    Locked {
        /// Record that is claimed.
        id: RecordId,
        /// Ballot of the prepare message that this replies to.
        ballot: Ballot,
        /// Record held by the replica.
        held: RecordSnapshot,
    },
    /// Reply of a replica that has promised to a higher ballot.
    Preempted {
        /// Record that is claimed.
        id: RecordId,
        /// Ballot of the prepare message or the write that this replies to.
        ballot: Ballot,
        /// Higher ballot to which the replica promised.
        promised: Ballot,
    },
    /// Reply of a replica that has no vote or no capacity.
    Abstained {
        /// Record that is claimed.
        id: RecordId,
        /// Ballot of the prepare message or the write that this replies to.
        ballot: Ballot,
    },
    /// Asks a replica to accept a write (Paxos phase 2).
    Accept {
        /// Record that is written.
        id: RecordId,
        /// Ballot of the write.
        ballot: Ballot,
        /// Sequence number of the write within its ballot, from 1.
        sequence: u32,
        /// Time since the client received this replica's promise.
        since_promise: Micros,
        /// Age of the record.
        age: Micros,
        /// New contents of the record.
        record: Record,
    },
    /// Reply of a replica that accepted the write.
    Accepted {
        /// Record that was written.
        id: RecordId,
        /// Ballot of the write.
        ballot: Ballot,
        /// Sequence number of the write within its ballot.
        sequence: u32,
    },
    /// Asks a replica to store the request itself, so that another gateway can finish it if the owner fails and the
    /// client does not retry. Sent with the owner's first write and not answered; a replica that did not receive the
    /// request never offers it.
    StoreRequest {
        /// Record of the request.
        id: RecordId,
        /// Ballot of the owner.
        ballot: Ballot,
        /// Encoded request.
        request: Vec<u8>,
    },
}

impl LedgerMessage {
    /// Returns the ballot that a replica replies to, or `None` for messages addressed to replicas.
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
