//! The ledger: records that several gateways hold, that have one owner at a time and outlive that owner.
//!
//! Each record is a register of its own, agreed on by more than half of its holders (Paxos over one value, as
//! CASPaxos does, Rystsov 2018), with a lease for its owner. No I/O, no clock, no global randomness.
//! `docs/decisions/0004-ledger.md` says why it is so, what is promised, and what is not.

mod client;
mod message;
mod node;
mod placement;
mod record;
mod replica;

pub use client::{Change, Claim, Finding, Sends};
pub use message::{Message, Seen};
pub use node::{ClaimId, Desk, Orphan, Out, Tallies};
pub use placement::{holders, holders_among};
pub use record::{Ballot, Record, RecordId, Sent};
pub use replica::{Entry, Holder, Refusals};

use crate::cluster::Micros;
use crate::decision::SettingsError;

/// A claimant counts a promise only if it came within this, and a holder drops a first write that was under way
/// for longer. Ages of records are passed on with no more error than this.
pub const ROUND: Micros = Micros(100_000);
/// A promise that nothing was written on is kept for this long.
pub const PROMISE: Micros = Micros(2_000_000);
/// So many owners a record has at most: with each its age is known by one `ROUND` less exactly.
pub const MOST_OWNERS: u32 = 8;
/// The longest record, in bytes as it goes over the wire: it fits into one datagram with all around it.
pub const LONGEST_RECORD: usize = 900;
/// The longest request that is kept with its record, in bytes: it fits into one datagram with all around it.
pub const LONGEST_REQUEST: usize = 1000;

/// What the ledger is told, the same at every gateway of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Terms {
    /// How many gateways hold each record: 3 or 5.
    pub holders: usize,
    /// How long an owner may act after it last had its record confirmed.
    pub lease: Micros,
    /// How long a record lives.
    pub life: Micros,
}

impl Terms {
    /// Whether these terms make sense for so many seats.
    pub fn check(&self, seats: usize) -> Result<(), SettingsError> {
        let fail = |what: String| Err(SettingsError(what));
        if ![3, 5].contains(&self.holders) || self.holders > seats {
            return fail(format!(
                "ledger.holders: expected 3 or 5, and as many seats, found {}",
                self.holders
            ));
        }
        let ms = self.lease.0 / 1000;
        if !(200..=10_000).contains(&ms) {
            return fail(format!("ledger.lease_ms: expected 200 to 10,000, found {ms}"));
        }
        let ms = self.life.0 / 1000;
        if !(2_000..=60_000).contains(&ms) || self.life <= self.lease {
            return fail(format!("ledger.life_ms: expected 2,000 to 60,000 and above lease_ms, found {ms}"));
        }
        Ok(())
    }

    /// More than half of the holders.
    pub fn majority(&self) -> usize {
        self.holders / 2 + 1
    }
    /// A record's ballots are remembered for so long after its life, until no holder can take it for alive: the
    /// errors in its age at two holders, and clocks that run a twentieth apart.
    pub fn afterlife(&self) -> Micros {
        Micros(2 * u64::from(MOST_OWNERS) * ROUND.0 + self.life.0 / 20)
    }
    /// A holder that starts has no vote for so long: nothing that an earlier life of it said or wrote counts then.
    pub fn mute(&self) -> Micros {
        self.life + self.afterlife() + PROMISE + ROUND
    }
}

/// How long a claimant waits out a lease of which it learns the age from a holder: clocks may run a twentieth apart.
fn waited_out(lease: Micros) -> Micros {
    Micros(lease.0 + lease.0 / 20)
}
