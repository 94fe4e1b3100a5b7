//! The form of a datagram: a prelude with a checksum, a payload, and for some payloads a message behind it.
//!
//! Everything here is a wire form: while an upgrade rolls through the cluster, members of two versions read each other's
//! datagrams. The serialization is positional, so the order of variants and fields counts and their names do not.
//!
//! Nothing here is secret: the checksum tells damage from messages, not attackers from members. The network between the
//! gateways has to be private.

use crate::cluster::ledger::LedgerMessage;
use crate::cluster::quota_lease::view_gossip::Table;
use crate::cluster::rollout::RolloutMessage;
use crate::cluster::write_queue::QueueMessage;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The longest datagram that is sent or taken, in bytes: it crosses any network without being fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The version of the protocol. Datagrams of another one are dropped and counted.
pub const VERSION: u8 = 1;
/// What every datagram of the protocol begins with.
const MAGIC: [u8; 2] = *b"SH";
/// Where the version stands.
const VERSION_AT: usize = MAGIC.len();
/// Where the cluster's tag begins.
const TAG_AT: usize = VERSION_AT + 1;
/// Where the checksum over all that follows it begins.
const CHECKSUM_AT: usize = TAG_AT + size_of::<u32>();
/// The bytes before the payload.
const PRELUDE_BYTES: usize = CHECKSUM_AT + size_of::<u32>();
/// The longest form of `Payload::Swim`: its variant, a `u64` of ten bytes, a flag, and an optional `u16` of three bytes.
const MAX_SWIM_PAYLOAD_BYTES: usize = 1 + 10 + 1 + 4;
/// The most bytes that a datagram adds to a message of the membership protocol.
pub const MAX_OVERHEAD_BYTES: usize = PRELUDE_BYTES + MAX_SWIM_PAYLOAD_BYTES;

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
        message: LedgerMessage,
    },
    /// A message of a rollout of routing rules.
    Rollout {
        /// The digest of the sender's list of seats.
        seat_list: u64,
        /// The sender's seat.
        seat: u16,
        /// The message.
        message: RolloutMessage,
    },
    /// A message among the gateways that share a write queue.
    WriteQueue {
        /// The digest of the sender's list of seats.
        seat_list: u64,
        /// The sender's seat.
        seat: u16,
        /// The message.
        message: QueueMessage,
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
    /// Sound, but not for this member: not requested, or of another list of seats.
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

    /// Its key in `/stats` and `/fleet`.
    pub fn key(self) -> &'static str {
        match self {
            DatagramError::Malformed => "rubbish",
            DatagramError::Oversized => "oversized",
            DatagramError::UnsupportedVersion => "version",
            DatagramError::OtherCluster => "fleet",
            DatagramError::Rejected => "refused",
        }
    }
}

/// What stands for a cluster's name on the wire.
pub fn cluster_tag(cluster: &str) -> u32 {
    xxh3_64(cluster.as_bytes()) as u32
}

fn checksum(body: &[u8]) -> u32 {
    xxh3_64(body) as u32
}

/// Writes a datagram: a payload, and the message behind it. None where it would be too long.
pub fn encode(cluster_tag: u32, payload: &Payload, message: &[u8]) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(MAX_OVERHEAD_BYTES + message.len());
    bytes.extend(MAGIC);
    bytes.push(VERSION);
    bytes.extend(cluster_tag.to_le_bytes());
    bytes.extend([0; size_of::<u32>()]);
    let mut bytes = postcard::to_extend(payload, bytes).ok()?;
    bytes.extend_from_slice(message);
    write_checksum(&mut bytes);
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// Puts the checksum into a datagram that is complete but for it.
pub(super) fn write_checksum(bytes: &mut [u8]) {
    if let Some((prelude, body)) = bytes.split_at_mut_checked(PRELUDE_BYTES) {
        prelude[CHECKSUM_AT..].copy_from_slice(&checksum(body).to_le_bytes());
    }
}

/// Reads a datagram: its payload, and the message behind it.
///
/// # Errors
///
/// Why it is dropped. The cluster's tag is looked at before the checksum, so that another cluster's datagrams are
/// counted as such and not as damage.
pub fn decode(cluster_tag: u32, bytes: &[u8]) -> Result<(Payload, &[u8]), DatagramError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::Oversized);
    }
    let (prelude, body) = bytes.split_at_checked(PRELUDE_BYTES).ok_or(DatagramError::Malformed)?;
    if !prelude.starts_with(&MAGIC) {
        return Err(DatagramError::Malformed);
    }
    if prelude[VERSION_AT] != VERSION {
        return Err(DatagramError::UnsupportedVersion);
    }
    if prelude[TAG_AT..CHECKSUM_AT] != cluster_tag.to_le_bytes() {
        return Err(DatagramError::OtherCluster);
    }
    if prelude[CHECKSUM_AT..] != checksum(body).to_le_bytes() {
        return Err(DatagramError::Malformed);
    }
    postcard::take_from_bytes(body).map_err(|_| DatagramError::Malformed)
}

#[cfg(test)]
mod tests;
