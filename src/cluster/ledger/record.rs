//! A record: what it says of a request, its name, and the ballot by which it was written.
//!
//! These are wire and disk forms (postcard): the order of fields counts, their names do not.

use super::settings::{lease_with_drift, MAX_RECORD_BYTES};
use crate::decision::Micros;
use serde::{Deserialize, Serialize};

/// A record's name: the customer, and what tells its requests apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// The customer.
    pub customer: u64,
    /// A hash of the request's class and idempotency key.
    pub key: u64,
}

/// A Paxos ballot. No two claims ever have the same, as each process draws its number at random when it starts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Raised by each further round of one claim, and above those that preempted it.
    pub number: u32,
    /// The process that claims.
    pub process: u64,
    /// Which of that process's claims.
    pub claim: u64,
}

/// An attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SentAttempt {
    /// The endpoint.
    pub endpoint: u64,
    /// The record's age when the attempt was about to be sent, in milliseconds, rounded down.
    pub record_age_ms: u32,
}

/// An attempt of an earlier owner that may have run, on this process's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RecordedAttempt {
    /// The endpoint.
    pub endpoint: u64,
    /// When it was about to be sent.
    pub sent_at: Micros,
}

/// What the replicas hold of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// A digest of what the client sent: method, path, body.
    pub request_digest: u64,
    /// How many owners it has had; rises with each (a fencing token).
    pub fence: u32,
    /// It has an owner; otherwise whoever claims it continues the request.
    pub owned: bool,
    /// How long its owner may act after a write that a quorum confirmed, in milliseconds.
    pub lease_ms: u32,
    /// Attempts that were about to be sent and may have run.
    pub attempts: Vec<SentAttempt>,
    /// The response, once it is known.
    pub response: Option<Vec<u8>>,
}

impl Record {
    /// How long an owner may act.
    pub fn lease(&self) -> Micros {
        Micros(u64::from(self.lease_ms) * 1000)
    }

    /// Whether nobody else may claim it, so long after a replica last accepted a write of it: it is answered, or its
    /// owner's lease may still run.
    pub fn is_locked(&self, since_write: Micros) -> bool {
        self.response.is_some() || self.owned && since_write < lease_with_drift(self.lease())
    }

    /// Whether it is short enough for a replica to hold.
    pub fn fits(&self) -> bool {
        postcard::to_allocvec(self).is_ok_and(|bytes| bytes.len() <= MAX_RECORD_BYTES)
    }
}
