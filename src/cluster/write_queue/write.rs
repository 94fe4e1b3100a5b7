//! A write, its name, and what is known of it. Wire and disk forms (postcard): the order of variants and fields counts.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;
use std::str::{FromStr, Split};
use thiserror::Error;

/// The most bytes of a write on the wire; a longer one is not accepted.
pub const MAX_WRITE_BYTES: usize = 1000;
/// The most writes that one may depend on.
pub const MAX_DEPENDENCIES: usize = 12;

/// A write's name (a dot of a dotted version vector): the gateway that accepted it, its process, and which of its writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Dot {
    /// The gateway's seat.
    pub seat: u16,
    /// Its process, drawn at random when it starts.
    pub process: u32,
    /// From 1.
    pub number: u32,
}

impl fmt::Display for Dot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:08x}-{}", self.seat, self.process, self.number)
    }
}

/// A text that names no write.
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

/// Guards against signs, which number parsers take.
fn next_part<'a>(parts: &mut Split<'a, char>) -> Result<&'a str, ParseDotError> {
    let part = parts.next().ok_or(ParseDotError)?;
    match part.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        true => Ok(part),
        false => Err(ParseDotError),
    }
}

/// A write that is to be accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriteRequest {
    /// Whose it is.
    pub customer: u64,
    /// A hash of its path.
    pub object: u64,
    /// Its class.
    pub class: u16,
    /// A hash of its idempotency key and body, where it has a key; otherwise 0.
    pub key: u64,
    /// The request.
    pub payload: Vec<u8>,
}

/// A write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Its name.
    pub dot: Dot,
    /// Whose it is.
    pub customer: u64,
    /// What it is about: a hash of its path.
    pub object: u64,
    /// Its class.
    pub class: u16,
    /// A hash of its idempotency key and body, where it has a key; otherwise 0.
    pub key: u64,
    /// Its position in a total order that agrees with the causal order.
    pub position: u64,
    /// The writes that it depends on: the customer's and the object's newest when it was accepted.
    pub dependencies: Vec<Dot>,
    /// The request.
    pub payload: Vec<u8>,
}

impl Write {
    /// Whether it is short enough to be held.
    pub fn fits(&self) -> bool {
        self.dependencies.len() <= MAX_DEPENDENCIES
            && postcard::to_allocvec(self).is_ok_and(|bytes| bytes.len() <= MAX_WRITE_BYTES)
    }
}

/// How a write ended. Where two are known, the later one here counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum WriteOutcome {
    /// It was not forwarded in its time.
    Expired,
    /// It was not forwarded, as this write that it depends on was not completed.
    Blocked(Dot),
    /// Another, accepted concurrently on the same object, goes before it.
    Superseded(Dot),
    /// It may have run, and may not run again.
    Unknown,
    /// A backend answered with this status.
    Completed(u16),
}

impl WriteOutcome {
    /// Whether a backend did what was asked.
    pub fn is_success(self) -> bool {
        matches!(self, WriteOutcome::Completed(status) if status < 400)
    }
}

/// What is known of a write. It only goes forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum WriteState {
    /// It is pending, after so many attempts that surely never ran.
    Pending(u16),
    /// It is about to be forwarded, or was, in this attempt.
    Sent(u16),
    /// It ended.
    Ended(WriteOutcome),
}

impl WriteState {
    /// Higher is later.
    pub fn rank(self) -> u32 {
        match self {
            WriteState::Pending(attempts) => 2 * u32::from(attempts),
            WriteState::Sent(attempt) => 2 * u32::from(attempt) + 1,
            WriteState::Ended(_) => u32::MAX,
        }
    }

    /// Whether it has ended.
    pub fn is_ended(self) -> bool {
        matches!(self, WriteState::Ended(_))
    }

    /// The later of two; commutative, so that all replicas merge to the same.
    pub fn merged(self, other: WriteState) -> WriteState {
        match self.rank().cmp(&other.rank()) {
            Ordering::Less => other,
            Ordering::Greater => self,
            Ordering::Equal => self.max(other),
        }
    }
}
