//! What a record says, and by which ballot it was written.

use crate::cluster::Micros;
use serde::{Deserialize, Serialize};

/// A record's name: a customer's, by what tells its requests apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// The customer.
    pub customer: u64,
    /// Its class and key, hashed.
    pub key: u64,
}

/// A claimant's number. No two claimants ever have the same: a process draws its `life` at its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Rises.
    pub number: u32,
    /// The process.
    pub life: u64,
    /// Which of its claims.
    pub claim: u64,
}

/// An attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Sent {
    /// The server.
    pub server: u64,
    /// The record's age when it was about to be sent, in milliseconds, rounded down.
    pub at_ms: u32,
}

/// What the holders keep of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Stands for what the client sent: method, path, body.
    pub digest: u64,
    /// How many owners it had.
    pub fence: u32,
    /// It is owned; else whoever claims it goes on with it.
    pub owned: bool,
    /// For how long its owner may act after a write that more than half confirmed, in milliseconds.
    pub lease_ms: u32,
    /// Attempts that were about to be sent and may have run.
    pub sent: Vec<Sent>,
    /// The answer, once it is known.
    pub answer: Option<Vec<u8>>,
}

impl Record {
    /// For how long an owner may act.
    pub fn lease(&self) -> Micros {
        Micros(u64::from(self.lease_ms) * 1000)
    }
    /// Nobody else may go on with it, so long after it was written last at a holder.
    pub fn is_taken(&self, since: Micros) -> bool {
        self.answer.is_some() || self.owned && since < crate::cluster::ledger::waited_out(self.lease())
    }
    /// Whether its size is one that a holder keeps.
    pub fn is_sound(&self) -> bool {
        postcard::to_allocvec(self).is_ok_and(|bytes| bytes.len() <= crate::cluster::ledger::LONGEST_RECORD)
    }
}
