//! A write that was accepted, and what became of it.

use serde::{Deserialize, Serialize};

/// The most bytes of a write as it goes over the wire; a longer one is not accepted.
pub const LONGEST: usize = 1000;
/// The most writes that one may be told to come after.
pub const MOST_AFTER: usize = 12;

/// A write's name: the gateway that accepted it, its process, and which of that one's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Dot {
    /// The gateway's seat.
    pub seat: u16,
    /// Its process, drawn at its start.
    pub life: u32,
    /// From 1.
    pub number: u32,
}

impl std::fmt::Display for Dot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}-{:08x}-{}", self.seat, self.life, self.number)
    }
}

impl std::str::FromStr for Dot {
    type Err = ();

    fn from_str(text: &str) -> Result<Dot, ()> {
        let mut parts = text.split('-');
        let mut part = || parts.next().filter(|p| p.bytes().all(|b| b.is_ascii_hexdigit())).ok_or(());
        let seat = part()?.parse().map_err(|_| ())?;
        let life = u32::from_str_radix(part()?, 16).map_err(|_| ())?;
        let number = part()?.parse().map_err(|_| ())?;
        match parts.next() {
            None => Ok(Dot { seat, life, number }),
            Some(_) => Err(()),
        }
    }
}

/// A write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Its name.
    pub dot: Dot,
    /// Whose it is.
    pub customer: u64,
    /// What it is about: stands for its path.
    pub object: u64,
    /// Its class.
    pub class: u16,
    /// Stands for its key and body, where it has a key; else 0.
    pub key: u64,
    /// Its place in an order that agrees with cause and effect.
    pub place: u64,
    /// It comes after these: the customer's and the object's newest when it was accepted.
    pub after: Vec<Dot>,
    /// The request.
    pub payload: Vec<u8>,
}

impl Write {
    /// Whether its size is one that is held.
    pub fn is_sound(&self) -> bool {
        self.after.len() <= MOST_AFTER
            && postcard::to_allocvec(self).is_ok_and(|bytes| bytes.len() <= LONGEST)
    }
}

/// How a write ended. Where two are told the later one here counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum End {
    /// It was never sent on in its time.
    Expired,
    /// It was not sent on, as this one that it comes after was not done.
    Stopped(Dot),
    /// Another, accepted at the same time on the same object, goes before it.
    Superseded(Dot),
    /// It may have run, and may not run again.
    Unknown,
    /// A backend answered with this status.
    Done(u16),
}

/// What is known of a write. It only goes forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It waits, after so many tries that surely never ran.
    Waiting(u16),
    /// It is about to be sent, or was, in this try.
    Sent(u16),
    /// It ended.
    Ended(End),
}

impl State {
    /// Higher is later.
    pub fn rank(self) -> u32 {
        match self {
            State::Waiting(tries) => 2 * u32::from(tries),
            State::Sent(tries) => 2 * u32::from(tries) + 1,
            State::Ended(_) => u32::MAX,
        }
    }
    /// Whether it has ended.
    pub fn is_over(self) -> bool {
        matches!(self, State::Ended(_))
    }
    /// The later of two.
    pub fn merged(self, other: State) -> State {
        match self.rank().cmp(&other.rank()) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal => self.max(other),
        }
    }
}
