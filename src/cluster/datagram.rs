//! The frame of a datagram: which fleet it is of, a checksum, and what it carries.
//!
//! Nothing here is secret: the checksum tells accidents from messages, not friends from foes.

use crate::cluster::ledger::LedgerMessage;
use crate::cluster::quota_lease::view_gossip::Table;
use crate::cluster::{rollout, write_queue};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The longest datagram that is sent or taken, in bytes.
pub const LONGEST: usize = 1200;
/// The version of the protocol. Another one is dropped and counted.
pub const VERSION: u8 = 1;
/// Bytes before the head: a mark, the version, the fleet, a checksum over all that follows.
const PRELUDE: usize = 2 + 1 + 4 + 4;
const MARK: [u8; 2] = *b"SH";
/// The most bytes that a frame adds to what the membership protocol writes.
pub const OVERHEAD: usize = PRELUDE + 1 + 10 + 1 + 4;

/// What a frame carries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Head {
    /// A message of the membership protocol follows.
    Swim {
        /// The highest incarnation that the sender has on record under the receiver's name; 0: none.
        on_record: u64,
        /// That life is held to live.
        live: bool,
        /// The sender holds the receiver, as it told of itself last by this number, for a suspect.
        doubt: Option<u16>,
    },
    /// Asks whether the receiver is there.
    Knock {
        /// Comes back with the answer.
        token: u64,
    },
    /// Answers that.
    Here {
        /// The knock's.
        token: u64,
    },
    /// Asks for all words on the seats.
    Ask {
        /// What stands for the asker's list of seats.
        list: u64,
        /// Comes back with the answer.
        token: u64,
    },
    /// Answers that.
    Words {
        /// What stands for the answerer's list of seats.
        list: u64,
        /// The question's.
        token: u64,
        /// The words.
        table: Table,
    },
    /// A message of the ledger.
    Ledger {
        /// What stands for the sender's list of seats.
        list: u64,
        /// The sender's seat.
        seat: u16,
        /// What it says.
        message: LedgerMessage,
    },
    /// A message of a rollout of rules.
    Rollout {
        /// What stands for the sender's list of seats.
        list: u64,
        /// The sender's seat.
        seat: u16,
        /// What it says.
        message: rollout::RolloutMessage,
    },
    /// A message within a branch.
    Branch {
        /// What stands for the sender's list of seats.
        list: u64,
        /// The sender's seat.
        seat: u16,
        /// What it says.
        message: write_queue::QueueMessage,
    },
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stranger {
    /// It is no datagram of this protocol, or a part of one.
    Rubbish,
    /// It is longer than any datagram of this protocol.
    Oversized,
    /// Of a version that this program does not speak.
    Version,
    /// Of another fleet.
    Fleet,
    /// Sound, but not what this member may be told.
    Refused,
}

impl Stranger {
    /// All kinds.
    pub const ALL: [Stranger; 5] =
        [Stranger::Rubbish, Stranger::Oversized, Stranger::Version, Stranger::Fleet, Stranger::Refused];

    /// Its name in figures.
    pub fn name(self) -> &'static str {
        match self {
            Stranger::Rubbish => "rubbish",
            Stranger::Oversized => "oversized",
            Stranger::Version => "version",
            Stranger::Fleet => "fleet",
            Stranger::Refused => "refused",
        }
    }
}

/// What stands for a fleet's name on the wire.
pub fn tag(fleet: &str) -> u32 {
    xxh3_64(fleet.as_bytes()) as u32
}

/// Writes a frame. `None` where it would be too long.
pub fn write(tag: u32, head: &Head, rest: &[u8]) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(OVERHEAD + rest.len());
    bytes.extend(MARK);
    bytes.push(VERSION);
    bytes.extend(tag.to_le_bytes());
    bytes.extend([0; 4]);
    let mut bytes = postcard::to_extend(head, bytes).ok()?;
    bytes.extend_from_slice(rest);
    seal(&mut bytes);
    (bytes.len() <= LONGEST).then_some(bytes)
}

/// Puts in the checksum of a frame that is whole but for it.
pub(super) fn seal(bytes: &mut [u8]) {
    if let Some((prelude, body)) = bytes.split_at_mut_checked(PRELUDE) {
        prelude[PRELUDE - 4..].copy_from_slice(&(xxh3_64(body) as u32).to_le_bytes());
    }
}

/// Reads a frame.
pub fn read(tag: u32, bytes: &[u8]) -> Result<(Head, &[u8]), Stranger> {
    if bytes.len() > LONGEST {
        return Err(Stranger::Oversized);
    }
    let (prelude, body) = bytes.split_at_checked(PRELUDE).ok_or(Stranger::Rubbish)?;
    let word = |from: usize| prelude.get(from..from + 4).map_or([0; 4], |w| w.try_into().unwrap_or([0; 4]));
    if prelude.get(..2) != Some(&MARK[..]) {
        return Err(Stranger::Rubbish);
    }
    if prelude.get(2) != Some(&VERSION) {
        return Err(Stranger::Version);
    }
    if word(3) != tag.to_le_bytes() {
        return Err(Stranger::Fleet);
    }
    if word(7) != (xxh3_64(body) as u32).to_le_bytes() {
        return Err(Stranger::Rubbish);
    }
    postcard::take_from_bytes(body).map_err(|_| Stranger::Rubbish)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_frame_comes_back_and_every_changed_or_cut_one_is_a_stranger() {
        let head = Head::Swim { on_record: 77, live: true, doubt: Some(3) };
        let whole = write(tag("norte"), &head, b"inner").expect("short enough");
        assert_eq!(read(tag("norte"), &whole), Ok((head.clone(), &b"inner"[..])));
        assert_eq!(read(tag("sur"), &whole), Err(Stranger::Fleet));
        for cut in 0..whole.len() {
            assert!(read(tag("norte"), &whole[..cut]).is_err(), "cut at {cut}");
        }
        for at in 0..whole.len() {
            let mut bent = whole.clone();
            bent[at] ^= 0x10;
            assert!(read(tag("norte"), &bent).is_err(), "changed at {at}");
        }
        assert_eq!(read(tag("norte"), &[0; LONGEST + 1]), Err(Stranger::Oversized));
        assert_eq!(write(tag("norte"), &head, &[0; LONGEST]), None);
    }
}
