//! Wire format of datagrams: a prelude with a checksum, a payload, and for some payloads a message after it.
//!
//! During a rolling upgrade members of two versions read each other's datagrams, so the format has to stay compatible.
//! The serialization is positional: the order of variants and fields matters, their names do not.
//!
//! The checksum detects damaged datagrams, but does not authenticate the sender, and nothing is encrypted. The network
//! between the gateways has to be private.

use crate::cluster::ledger::LedgerMessage;
use crate::cluster::quota_lease::view_gossip::Table;
use crate::cluster::rollout::RolloutMessage;
use crate::cluster::write_queue::QueueMessage;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum length of a datagram, in bytes, which any network carries without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Version of the protocol. Datagrams of other versions are dropped and counted.
pub const VERSION: u8 = 1;
/// First bytes of every datagram.
const MAGIC: [u8; 2] = *b"SH";
/// Offset of the version.
const VERSION_OFFSET: usize = MAGIC.len();
/// Offset of the cluster's tag.
const TAG_OFFSET: usize = VERSION_OFFSET + 1;
/// Offset of the checksum, which covers all bytes after it.
const CHECKSUM_OFFSET: usize = TAG_OFFSET + size_of::<u32>();
/// Length of the prelude before the payload, in bytes.
const PRELUDE_BYTES: usize = CHECKSUM_OFFSET + size_of::<u32>();
/// Maximum encoded length of `Payload::Swim`, in bytes: its variant, a `u64` of up to ten bytes, a flag, and an
/// optional `u16` of up to three bytes after its own flag.
const MAX_SWIM_PAYLOAD_BYTES: usize = 1 + 10 + 1 + 4;
/// Maximum number of bytes that a datagram adds to a message of the membership protocol.
pub const MAX_OVERHEAD_BYTES: usize = PRELUDE_BYTES + MAX_SWIM_PAYLOAD_BYTES;

/// Payload of a datagram. The order of variants and fields is the wire form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// Header of a message of the membership protocol, which follows the payload.
    Swim {
        /// Highest incarnation that the sender knows under the receiver's name; 0 if none.
        known_incarnation: u64,
        /// Whether the sender considers that incarnation present.
        is_present: bool,
        /// If the sender suspects the receiver: the suspected incarnation number of the protocol itself.
        suspicion: Option<u16>,
    },
    /// Ring probe: asks the receiver for a reply.
    RingProbe {
        /// Token that the reply repeats.
        token: u64,
    },
    /// Reply to a ring probe.
    RingProbeReply {
        /// Token of the probe.
        token: u64,
    },
    /// Requests the table of all statements on the seats.
    ViewRequest {
        /// Digest of the sender's list of seats.
        seat_list: u64,
        /// Token that the reply repeats.
        token: u64,
    },
    /// Reply to a request for the table.
    ViewReply {
        /// Digest of the sender's list of seats.
        seat_list: u64,
        /// Token of the request.
        token: u64,
        /// Table of all statements known to the sender.
        table: Table,
    },
    /// Message of the ledger.
    Ledger {
        /// Digest of the sender's list of seats.
        seat_list: u64,
        /// Seat of the sender.
        seat: u16,
        /// Message of the sender.
        message: LedgerMessage,
    },
    /// Message of a rollout of routing rules.
    Rollout {
        /// Digest of the sender's list of seats.
        seat_list: u64,
        /// Seat of the sender.
        seat: u16,
        /// Message of the sender.
        message: RolloutMessage,
    },
    /// Message between gateways that share a write queue.
    WriteQueue {
        /// Digest of the sender's list of seats.
        seat_list: u64,
        /// Seat of the sender.
        seat: u16,
        /// Message of the sender.
        message: QueueMessage,
    },
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is damaged, truncated, or not of this protocol.
    #[error("malformed: damaged, truncated, or not of this protocol")]
    Malformed,
    /// The datagram exceeds `MAX_DATAGRAM_BYTES`.
    #[error("longer than {MAX_DATAGRAM_BYTES} bytes")]
    Oversized,
    /// The datagram has a protocol version that this program does not support.
    #[error("unsupported protocol version, expected {VERSION}")]
    UnsupportedVersion,
    /// The datagram belongs to another cluster.
    #[error("belongs to another cluster")]
    OtherCluster,
    /// The datagram is well-formed but not accepted: an invalid message, not requested, or of another list of seats.
    #[error("well-formed, but not accepted by this member")]
    Rejected,
}

impl DatagramError {
    /// All reasons.
    pub const ALL: [DatagramError; 5] = [
        DatagramError::Malformed,
        DatagramError::Oversized,
        DatagramError::UnsupportedVersion,
        DatagramError::OtherCluster,
        DatagramError::Rejected,
    ];

    /// Key of the reason in `/stats` and `/fleet`.
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

/// Returns the tag that represents a cluster's name on the wire.
pub fn cluster_tag(cluster: &str) -> u32 {
    xxh3_64(cluster.as_bytes()) as u32
}

fn checksum(body: &[u8]) -> u32 {
    xxh3_64(body) as u32
}

/// Encodes a datagram from a payload and the message after it. Returns `None` if it would be too long.
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

/// Writes the checksum into a datagram that is otherwise complete.
pub(super) fn write_checksum(bytes: &mut [u8]) {
    if let Some((prelude, body)) = bytes.split_at_mut_checked(PRELUDE_BYTES) {
        prelude[CHECKSUM_OFFSET..].copy_from_slice(&checksum(body).to_le_bytes());
    }
}

/// Decodes a datagram into its payload and the message after it.
///
/// # Errors
///
/// Returns the reason for which the datagram is dropped. The cluster's tag is checked before the checksum, so that
/// datagrams of another cluster are counted as such and not as damaged.
pub fn decode(cluster_tag: u32, bytes: &[u8]) -> Result<(Payload, &[u8]), DatagramError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::Oversized);
    }
    let (prelude, body) = bytes.split_at_checked(PRELUDE_BYTES).ok_or(DatagramError::Malformed)?;
    if !prelude.starts_with(&MAGIC) {
        return Err(DatagramError::Malformed);
    }
    if prelude[VERSION_OFFSET] != VERSION {
        return Err(DatagramError::UnsupportedVersion);
    }
    if prelude[TAG_OFFSET..CHECKSUM_OFFSET] != cluster_tag.to_le_bytes() {
        return Err(DatagramError::OtherCluster);
    }
    if prelude[CHECKSUM_OFFSET..] != checksum(body).to_le_bytes() {
        return Err(DatagramError::Malformed);
    }
    postcard::take_from_bytes(body).map_err(|_| DatagramError::Malformed)
}

#[cfg(test)]
mod tests;
