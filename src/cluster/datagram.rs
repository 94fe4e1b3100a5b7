//! The frame of a datagram: which fleet it is of, a checksum, and what it carries.
//!
//! Nothing here is secret: the checksum tells accidents from messages, not friends from foes.

use crate::cluster::ledger::Message;
use crate::cluster::quota_lease::view_gossip::Table;
use crate::cluster::{rollout, write_queue};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The longest datagram that is sent or taken, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The version of the protocol. Another one is dropped and counted.
pub const VERSION: u8 = 1;
/// Bytes before the head: a mark, the version, the fleet, a checksum over all that follows.
const PRELUDE: usize = 2 + 1 + 4 + 4;
const MARK: [u8; 2] = *b"SH";
/// The most bytes that a frame adds to what the membership protocol writes.
pub const OVERHEAD: usize = PRELUDE + 1 + 10 + 1 + 4;

/// What a datagram carries. The order of variants and fields is the wire form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// A message of the membership protocol follows.
    Swim {
        /// The highest incarnation that the sender knows under the receiver's name; 0: none.
        known_incarnation: u64,
        /// The sender takes that incarnation for present.
        is_present: bool,
        /// The sender suspects the receiver, at this number of the protocol's own incarnations.
        suspicion: Option<u16>,
    },
    /// Asks whether the receiver is there.
    RingProbe {
        /// Comes back with the reply.
        token: u64,
    },
    /// Answers that.
    RingProbeReply {
        /// The probe's.
        token: u64,
    },
    /// Asks for all statements on the seats.
    ViewRequest {
        /// The digest of the sender's list of seats.
        seat_list: u64,
        /// Comes back with the reply.
        token: u64,
    },
    /// Answers that.
    ViewReply {
        /// The digest of the sender's list of seats.
        seat_list: u64,
        /// The request's.
        token: u64,
        /// The statements.
        table: Table,
    },
    /// A message of the ledger.
    Ledger {
        /// The digest of the sender's list of seats.
        seat_list: u64,
        /// The sender's seat.
        seat: u16,
        /// The message.
        message: Message,
    },
    /// A message of a rollout of routing rules.
    Rollout {
        /// The digest of the sender's list of seats.
        seat_list: u64,
        /// The sender's seat.
        seat: u16,
        /// The message.
        message: rollout::Message,
    },
    /// A message among the gateways that share a write queue.
    WriteQueue {
        /// The digest of the sender's list of seats.
        seat_list: u64,
        /// The sender's seat.
        seat: u16,
        /// The message.
        message: write_queue::Message,
    },
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DatagramError {
    /// It is no datagram of this protocol, or a part of one.
    #[error("not a whole datagram of this protocol")]
    Malformed,
    /// It is longer than any datagram of this protocol.
    #[error("longer than {MAX_DATAGRAM_BYTES} bytes")]
    Oversized,
    /// Of a version that this program does not speak.
    #[error("of another version of the protocol than {VERSION}")]
    UnsupportedVersion,
    /// Of another cluster.
    #[error("of another cluster")]
    OtherCluster,
    /// Sound, but not what this member may be told.
    #[error("sound, but not for this member")]
    Rejected,
}

impl DatagramError {
    /// All kinds.
    pub const ALL: [DatagramError; 5] = [
        DatagramError::Malformed,
        DatagramError::Oversized,
        DatagramError::UnsupportedVersion,
        DatagramError::OtherCluster,
        DatagramError::Rejected,
    ];

    /// Its name in figures.
    pub fn name(self) -> &'static str {
        match self {
            DatagramError::Malformed => "rubbish",
            DatagramError::Oversized => "oversized",
            DatagramError::UnsupportedVersion => "version",
            DatagramError::OtherCluster => "fleet",
            DatagramError::Rejected => "refused",
        }
    }
}

/// What stands for a fleet's name on the wire.
pub fn cluster_tag(fleet: &str) -> u32 {
    xxh3_64(fleet.as_bytes()) as u32
}

/// Writes a frame. `None` where it would be too long.
pub fn encode(tag: u32, payload: &Payload, rest: &[u8]) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(OVERHEAD + rest.len());
    bytes.extend(MARK);
    bytes.push(VERSION);
    bytes.extend(tag.to_le_bytes());
    bytes.extend([0; 4]);
    let mut bytes = postcard::to_extend(payload, bytes).ok()?;
    bytes.extend_from_slice(rest);
    write_checksum(&mut bytes);
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// Puts in the checksum of a frame that is whole but for it.
pub(super) fn write_checksum(bytes: &mut [u8]) {
    if let Some((prelude, body)) = bytes.split_at_mut_checked(PRELUDE) {
        prelude[PRELUDE - 4..].copy_from_slice(&(xxh3_64(body) as u32).to_le_bytes());
    }
}

/// Reads a frame.
pub fn decode(tag: u32, bytes: &[u8]) -> Result<(Payload, &[u8]), DatagramError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::Oversized);
    }
    let (prelude, body) = bytes.split_at_checked(PRELUDE).ok_or(DatagramError::Malformed)?;
    let word = |from: usize| prelude.get(from..from + 4).map_or([0; 4], |w| w.try_into().unwrap_or([0; 4]));
    if prelude.get(..2) != Some(&MARK[..]) {
        return Err(DatagramError::Malformed);
    }
    if prelude.get(2) != Some(&VERSION) {
        return Err(DatagramError::UnsupportedVersion);
    }
    if word(3) != tag.to_le_bytes() {
        return Err(DatagramError::OtherCluster);
    }
    if word(7) != (xxh3_64(body) as u32).to_le_bytes() {
        return Err(DatagramError::Malformed);
    }
    postcard::take_from_bytes(body).map_err(|_| DatagramError::Malformed)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_frame_comes_back_and_every_changed_or_cut_one_is_a_stranger() {
        let payload = Payload::Swim { known_incarnation: 77, is_present: true, suspicion: Some(3) };
        let whole = encode(cluster_tag("norte"), &payload, b"inner").expect("short enough");
        assert_eq!(decode(cluster_tag("norte"), &whole), Ok((payload.clone(), &b"inner"[..])));
        assert_eq!(decode(cluster_tag("sur"), &whole), Err(DatagramError::OtherCluster));
        for cut in 0..whole.len() {
            assert!(decode(cluster_tag("norte"), &whole[..cut]).is_err(), "cut at {cut}");
        }
        for at in 0..whole.len() {
            let mut bent = whole.clone();
            bent[at] ^= 0x10;
            assert!(decode(cluster_tag("norte"), &bent).is_err(), "changed at {at}");
        }
        assert_eq!(decode(cluster_tag("norte"), &[0; MAX_DATAGRAM_BYTES + 1]), Err(DatagramError::Oversized));
        assert_eq!(encode(cluster_tag("norte"), &payload, &[0; MAX_DATAGRAM_BYTES]), None);
    }
}
