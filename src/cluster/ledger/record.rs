//! Ledger records, their identifiers and Paxos ballots.
//!
//! These types are sent and stored in postcard, which is positional: fields must keep their order, not their names.

use super::settings::{lease_with_drift, MAX_RECORD_BYTES};
use crate::decision::Micros;
use serde::{Deserialize, Serialize};

/// Identifier of a record: the customer and a hash that distinguishes its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// Customer that sent the request.
    pub customer: u64,
    /// Hash of the request's class and idempotency key.
    pub key: u64,
}

/// A Paxos ballot. Ballots of different claims never collide, as each process draws its number at random when it
/// starts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Round number: raised by each further round of one claim, and above the ballots that preempted it.
    pub number: u32,
    /// Random number of the claiming process.
    pub process: u64,
    /// Number of the claim within that process.
    pub claim: u64,
}

/// An attempt that may have been executed, as stored in a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SentAttempt {
    /// Endpoint of the attempt.
    pub endpoint: u64,
    /// Age of the record when the attempt was about to be sent, in milliseconds, rounded down.
    pub record_age_ms: u32,
}

/// An attempt of an earlier owner that may have been executed, timed on the clock of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RecordedAttempt {
    /// Endpoint of the attempt.
    pub endpoint: u64,
    /// Time at which the attempt was about to be sent.
    pub sent_at: Micros,
}

/// State of a request that is replicated in the ledger.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Digest of the client's request: method, path and body.
    pub request_digest: u64,
    /// Fencing token: the number of owners so far.
    pub fence: u32,
    /// Whether the record has an owner. Otherwise the next claim may continue the request at once.
    pub owned: bool,
    /// Duration of the owner's lease, counted from each write that a quorum confirmed, in milliseconds.
    pub lease_ms: u32,
    /// Attempts that were about to be sent and may have been executed.
    pub attempts: Vec<SentAttempt>,
    /// Encoded response, once it is known.
    pub response: Option<Vec<u8>>,
}

impl Record {
    /// Returns the duration of the owner's lease.
    pub fn lease(&self) -> Micros {
        Micros(u64::from(self.lease_ms) * 1000)
    }

    /// Returns whether other claims are refused `since_write` after a replica last accepted a write: the request is
    /// completed, or the owner's lease may still run.
    pub fn is_locked(&self, since_write: Micros) -> bool {
        self.response.is_some() || self.owned && since_write < lease_with_drift(self.lease())
    }

    /// Returns whether the encoded record is within `MAX_RECORD_BYTES`.
    pub fn fits(&self) -> bool {
        postcard::to_allocvec(self).is_ok_and(|bytes| bytes.len() <= MAX_RECORD_BYTES)
    }
}
