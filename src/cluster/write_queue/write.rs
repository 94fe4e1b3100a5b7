//! Queued writes, their dots and their states.
//!
//! These types are sent and stored in postcard, which is positional: variants and fields must keep their order.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;
use std::str::{FromStr, Split};
use thiserror::Error;

/// Maximum encoded size of a write, in bytes; a longer one is not accepted.
pub const MAX_WRITE_BYTES: usize = 1000;
/// Maximum number of dependencies of a write.
pub const MAX_DEPENDENCIES: usize = 12;

/// Identifier of a write, a dot of a dotted version vector: the gateway and process that accepted it, and its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Dot {
    /// Seat of the gateway.
    pub seat: u16,
    /// Random number that the gateway's process drew at its start.
    pub process: u32,
    /// Number of the write within the process, from 1.
    pub number: u32,
}

impl fmt::Display for Dot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:08x}-{}", self.seat, self.process, self.number)
    }
}

/// Error for a text that is not a dot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected <seat>-<process in hexadecimal>-<number>")]
pub struct ParseDotError;

impl FromStr for Dot {
    type Err = ParseDotError;

    fn from_str(text: &str) -> Result<Dot, ParseDotError> {
        let mut parts = text.split('-');
        let seat = next_part(&mut parts)?.parse().map_err(|_| ParseDotError)?;
        let process = u32::from_str_radix(next_part(&mut parts)?, 16).map_err(|_| ParseDotError)?;
        let number = next_part(&mut parts)?.parse().map_err(|_| ParseDotError)?;
        match parts.next() {
            None => Ok(Dot { seat, process, number }),
            Some(_) => Err(ParseDotError),
        }
    }
}

/// Returns the next part if it is hexadecimal digits only, as number parsers would accept a sign.
fn next_part<'a>(parts: &mut Split<'a, char>) -> Result<&'a str, ParseDotError> {
    let part = parts.next().ok_or(ParseDotError)?;
    match part.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        true => Ok(part),
        false => Err(ParseDotError),
    }
}

/// A write that a client asks to be accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriteRequest {
    /// Customer that sent the write.
    pub customer: u64,
    /// Object of the write: a hash of its path.
    pub object: u64,
    /// Class of the request.
    pub class: u16,
    /// Hash of the idempotency key and the body, or 0 without a key.
    pub key: u64,
    /// Encoded request.
    pub payload: Vec<u8>,
}

/// Whether a submitted write is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// A quorum holds the write.
    Accepted,
    /// The write is not accepted and will not be forwarded.
    Rejected,
    /// Some gateways may hold the write, and one of them may have accepted it for a repeat. It may be forwarded.
    Unconfirmed,
}

/// A write in the queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Identifier of the write.
    pub dot: Dot,
    /// Customer that sent the write.
    pub customer: u64,
    /// Object of the write: a hash of its path.
    pub object: u64,
    /// Class of the request.
    pub class: u16,
    /// Hash of the idempotency key and the body, or 0 without a key.
    pub key: u64,
    /// Position in a total order that is consistent with the causal order.
    pub position: u64,
    /// Causal dependencies: the newest writes of the customer and on the object when this one was accepted.
    pub dependencies: Vec<Dot>,
    /// Encoded request.
    pub payload: Vec<u8>,
}

impl Write {
    /// Returns whether the write is within `MAX_DEPENDENCIES` and `MAX_WRITE_BYTES`.
    pub fn fits(&self) -> bool {
        self.dependencies.len() <= MAX_DEPENDENCIES
            && postcard::to_allocvec(self).is_ok_and(|bytes| bytes.len() <= MAX_WRITE_BYTES)
    }
}

/// How a write ended. If replicas know different outcomes, the later variant in this order takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum WriteOutcome {
    /// The write was not forwarded before it expired, or was withdrawn because no quorum accepted it in time.
    Expired,
    /// The write was not forwarded because this dependency was not completed.
    Blocked(Dot),
    /// The write was not forwarded because this concurrent write on the same object takes precedence.
    Superseded(Dot),
    /// The write may have been executed and must not be executed again.
    Unknown,
    /// A backend answered with this status.
    Completed(u16),
}

impl WriteOutcome {
    /// Returns whether a backend executed the write successfully.
    pub fn is_success(self) -> bool {
        matches!(self, WriteOutcome::Completed(status) if status < 400)
    }
}

/// Known state of a write. Its rank never decreases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum WriteState {
    /// The write is pending after this many attempts that were certainly not executed.
    Pending(u16),
    /// The write is about to be forwarded, or has been, in this attempt.
    Sent(u16),
    /// The write has ended with this outcome.
    Ended(WriteOutcome),
}

impl WriteState {
    /// Returns the rank of the state; a later state has a higher rank.
    pub fn rank(self) -> u32 {
        match self {
            WriteState::Pending(attempts) => 2 * u32::from(attempts),
            WriteState::Sent(attempt) => 2 * u32::from(attempt) + 1,
            WriteState::Ended(_) => u32::MAX,
        }
    }

    /// Returns whether the write has ended.
    pub fn is_ended(self) -> bool {
        matches!(self, WriteState::Ended(_))
    }

    /// Returns the later of two states. The merge is commutative, so that all replicas converge.
    pub fn merged(self, other: WriteState) -> WriteState {
        match self.rank().cmp(&other.rank()) {
            Ordering::Less => other,
            Ordering::Greater => self,
            Ordering::Equal => self.max(other),
        }
    }
}
