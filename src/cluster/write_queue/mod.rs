//! Writes that a branch accepts while its line to the backends is down, and sends on in causal order once it is back.
//!
//! All gateways of the branch hold all of its writes; more than half of them decide. No I/O, no clock, no global
//! randomness. `docs/decisions/0006-branch-queue.md` says why it is so, which order is promised, and which is not.

mod replay;
mod replica;
mod uplink;
mod write;
mod write_log;

pub use replay::Fate;
pub use replica::{Clerk, Status, Tallies, Telling};
pub use uplink::Line;
pub use write::{Dot, End, State, Write, LONGEST};
pub use write_log::{Entry, Shelf};

use crate::cluster::ledger::RecordId;
use crate::cluster::Micros;
use crate::decision::SettingsError;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The record whose owner sends a branch's writes on: each branch has its own. No customer has this number.
pub fn record(seats: &[u16]) -> RecordId {
    let mut sorted = seats.to_vec();
    sorted.sort_unstable();
    let bytes: Vec<u8> = sorted.iter().flat_map(|seat| seat.to_le_bytes()).collect();
    RecordId { customer: u64::MAX, key: xxh3_64_with_seed(&bytes, 2) }
}

/// What a branch is told, the same at each of its gateways.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// Its gateways, by seat: 1 to 15 of them, this one among them.
    pub seats: Vec<u16>,
    /// The most writes that wait, of all and of one customer.
    pub most: usize,
    /// The most of one customer.
    pub most_of_one: usize,
    /// A write that was never sent on is given up after this.
    pub longest: Micros,
    /// The line is down after so long without an answer, while attempts fail.
    pub cut_after: Micros,
    /// A send has ended after this, however it ended.
    pub patience: Micros,
    /// The most writes that are out at once after the heal.
    pub out: usize,
    /// The most that are begun each second.
    pub per_s: u32,
    /// Writes that come after one of these classes that was not done are not sent on either; those of other classes are.
    pub stop: Vec<u16>,
}

impl Terms {
    /// Whether these terms make sense for a gateway in this seat of so many.
    pub fn check(&self, own: u16, seats: usize) -> Result<(), SettingsError> {
        let fail = |what: &str| Err(SettingsError(format!("branch.{what}")));
        let mut sorted = self.seats.clone();
        sorted.sort_unstable();
        sorted.dedup();
        let known = sorted.iter().all(|seat| usize::from(*seat) < seats);
        if sorted.len() != self.seats.len() || !known || sorted.len() > 15 {
            return fail("seats: expected 1 to 15 of the fleet's seats, each once");
        }
        if !self.seats.contains(&own) {
            return fail("seats: expected this gateway among them");
        }
        if !(1..=20_000).contains(&self.most) || !(1..=self.most).contains(&self.most_of_one) {
            return fail("writes, of_one: expected 1 to 20,000, and no more of one than of all");
        }
        if self.longest.0 < 1_000_000 || self.longest.0 > 86_400_000_000 {
            return fail("longest_s: expected 1 to 86,400");
        }
        if !(200_000..=60_000_000).contains(&self.cut_after.0) {
            return fail("cut_after_ms: expected 200 to 60,000");
        }
        if !(1..=1000).contains(&self.out) || !(1..=10_000).contains(&self.per_s) {
            return fail("out, per_s: expected 1 to 1,000, and 1 to 10,000");
        }
        Ok(())
    }

    /// More than half of the branch.
    pub fn majority(&self) -> usize {
        self.seats.len() / 2 + 1
    }
}

/// What the gateways of a branch say to each other. Times are spans up to the moment of sending.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// What does the receiver have of this customer, and on this object? The number comes back.
    Ask(u64, u64, u64),
    /// Answers that: the newest writes of them, the highest place in the order, and whether the sender has a vote.
    Heads(u64, Vec<Dot>, u64, bool),
    /// A write, what is known of it, how old it is, and how long ago it was first sent on.
    Hold(Box<Write>, State, Micros, Option<Micros>),
    /// The receiver has it, and says so with a vote.
    Held(Dot, State),
    /// The receiver has no room or no vote.
    Full(Dot),
    /// What does the receiver have behind this one? The number comes back.
    Want(u64, Option<Dot>),
    /// Answers that: names with the rank of their states; whether there are more; whether the sender has a vote.
    Page(u64, Vec<(Dot, u32)>, bool, bool),
    /// Send these.
    Fetch(Vec<Dot>),
    /// The sender's line: how long ago it last had an answer from outside, and whether it holds the line for down.
    Line(Micros, bool),
}
