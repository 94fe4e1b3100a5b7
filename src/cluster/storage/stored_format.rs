//! Keys and values on disk. All values are encoded with postcard, which is positional: fields must keep their order.

use crate::cluster::write_queue::LogEntry;
use crate::decision::Micros;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Version of the storage format. Data of another version is ignored and removed.
pub const FORMAT_VERSION: u32 = 1;

const HEADER: &[u8] = b"head";
const ROLLOUT_STATE: &[u8] = b"order";
const QUEUE_VOTE: &[u8] = b"voted/branch";
const LEDGER_VOTE: &[u8] = b"voted/ledger";
/// First bytes of the keys of writes and records; the encoded identifier follows.
const WRITE: u8 = b'w';
const RECORD: u8 = b'r';

/// A change of one key in the storage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorageWrite {
    /// Key to set or remove.
    pub key: Vec<u8>,
    /// New value, or `None` to remove the key.
    pub value: Option<Vec<u8>>,
}

/// A storage key, by the kind of its value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredKey<'a> {
    /// Identifies the gateway that wrote the storage. The value is a `StorageHeader`.
    Header,
    /// Rollout state in force. The value is a `RolloutState`.
    RolloutState,
    /// Marks that an earlier process had a vote in the branch, so that all writes it acknowledged are stored.
    /// The value is empty.
    QueueVote,
    /// Marks that an earlier process had a vote at the ledger. The value is empty.
    LedgerVote,
    /// Write of the branch with this encoded dot. The value is a `StoredWrite`.
    Write(&'a [u8]),
    /// Ledger record with this encoded identifier. The value is a `ReplicaEntry`.
    Record(&'a [u8]),
}

impl<'a> StoredKey<'a> {
    /// Parses a key. Returns `None` if the key is unknown.
    pub fn parse(key: &'a [u8]) -> Option<StoredKey<'a>> {
        match key {
            HEADER => Some(StoredKey::Header),
            ROLLOUT_STATE => Some(StoredKey::RolloutState),
            QUEUE_VOTE => Some(StoredKey::QueueVote),
            LEDGER_VOTE => Some(StoredKey::LedgerVote),
            [WRITE, identifier @ ..] => Some(StoredKey::Write(identifier)),
            [RECORD, identifier @ ..] => Some(StoredKey::Record(identifier)),
            _ => None,
        }
    }

    /// Returns the encoded key.
    pub fn to_bytes(self) -> Vec<u8> {
        match self {
            StoredKey::Header => HEADER.to_vec(),
            StoredKey::RolloutState => ROLLOUT_STATE.to_vec(),
            StoredKey::QueueVote => QUEUE_VOTE.to_vec(),
            StoredKey::LedgerVote => LEDGER_VOTE.to_vec(),
            StoredKey::Write(identifier) => [&[WRITE], identifier].concat(),
            StoredKey::Record(identifier) => [&[RECORD], identifier].concat(),
        }
    }

    /// Returns the change that sets the key to a value, or removes the key if there is none.
    pub fn put(self, value: Option<Vec<u8>>) -> StorageWrite {
        StorageWrite { key: self.to_bytes(), value }
    }
}

/// Identifies the gateway, the list of seats and the machine start under which the storage was written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorageHeader {
    /// `FORMAT_VERSION` at the time of writing.
    pub format: u32,
    /// Digest of the list of seats.
    pub seat_list: u64,
    /// Seat of the gateway.
    pub seat: u16,
    /// Identifier of the machine start.
    pub boot: u64,
}

impl StorageHeader {
    /// Returns whether the storage with this header was written by the gateway with the `current` header, in the same
    /// format.
    pub fn is_same_gateway(&self, current: &StorageHeader) -> bool {
        (self.format, self.seat_list, self.seat) == (current.format, current.seat_list, current.seat)
    }
}

/// A write of the branch as stored, with all times on the machine's clock.
#[derive(Serialize, Deserialize)]
pub struct StoredWrite {
    /// Time at which the write was stored.
    pub stored_at: Micros,
    /// Write with its state.
    pub entry: LogEntry,
}

/// Encodes a value. The types of this module never fail to encode.
pub fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    postcard::to_allocvec(value).ok()
}

/// Decodes a value. Returns `None` if the bytes do not have the expected format.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
