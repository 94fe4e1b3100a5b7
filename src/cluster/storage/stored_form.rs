//! The keys and values on disk. All values are postcard: the order of fields counts.

use crate::cluster::write_queue::LogEntry;
use crate::decision::Micros;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The version of the form of what is stored; another one is as good as nothing.
pub const FORM_VERSION: u32 = 1;

const HEADER: &[u8] = b"head";
const ROLLOUT_COMMAND: &[u8] = b"order";
const QUEUE_VOTE: &[u8] = b"voted/branch";
const LEDGER_VOTE: &[u8] = b"voted/ledger";
/// The first letters of the keys of writes and records; their names follow.
const WRITE: u8 = b'w';
const RECORD: u8 = b'r';

/// What becomes of one key on the disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorageWrite {
    /// The key.
    pub key: Vec<u8>,
    /// Its value; none: it is removed.
    pub value: Option<Vec<u8>>,
}

/// What a key stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredKey<'a> {
    /// Who wrote all the rest: a `StorageHeader`.
    Header,
    /// What is in force of a rollout: a `RolloutCommand`.
    RolloutCommand,
    /// An earlier process had a vote in the branch: all that it acknowledged is stored. No value.
    QueueVote,
    /// The same at the ledger.
    LedgerVote,
    /// A write of the branch of this encoded name: a `StoredWrite`.
    Write(&'a [u8]),
    /// A record of the ledger of this encoded name: a `ReplicaEntry`.
    Record(&'a [u8]),
}

impl<'a> StoredKey<'a> {
    /// Reads a key; none where it stands for nothing.
    pub fn parse(key: &'a [u8]) -> Option<StoredKey<'a>> {
        match key {
            HEADER => Some(StoredKey::Header),
            ROLLOUT_COMMAND => Some(StoredKey::RolloutCommand),
            QUEUE_VOTE => Some(StoredKey::QueueVote),
            LEDGER_VOTE => Some(StoredKey::LedgerVote),
            [WRITE, name @ ..] => Some(StoredKey::Write(name)),
            [RECORD, name @ ..] => Some(StoredKey::Record(name)),
            _ => None,
        }
    }

    /// The key's bytes.
    pub fn to_bytes(self) -> Vec<u8> {
        match self {
            StoredKey::Header => HEADER.to_vec(),
            StoredKey::RolloutCommand => ROLLOUT_COMMAND.to_vec(),
            StoredKey::QueueVote => QUEUE_VOTE.to_vec(),
            StoredKey::LedgerVote => LEDGER_VOTE.to_vec(),
            StoredKey::Write(name) => [&[WRITE], name].concat(),
            StoredKey::Record(name) => [&[RECORD], name].concat(),
        }
    }

    /// Stores a value under the key.
    pub fn put(self, value: Option<Vec<u8>>) -> StorageWrite {
        StorageWrite { key: self.to_bytes(), value }
    }
}

/// By which gateway, on which list of seats, and since which start of the machine storage was written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorageHeader {
    /// `FORM_VERSION`.
    pub form: u32,
    /// The digest of the list of seats.
    pub seat_list: u64,
    /// The seat.
    pub seat: u16,
    /// Names the start of the machine.
    pub boot: u64,
}

impl StorageHeader {
    /// Whether what was stored under this header is this gateway's to read.
    pub fn is_own(&self, own: &StorageHeader) -> bool {
        (self.form, self.seat_list, self.seat) == (own.form, own.seat_list, own.seat)
    }
}

/// A write of the branch, with all times on the machine's clock.
#[derive(Serialize, Deserialize)]
pub struct StoredWrite {
    /// When it was stored.
    pub stored_at: Micros,
    /// The write.
    pub entry: LogEntry,
}

/// Encodes a value. None of ours fails.
pub fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    postcard::to_allocvec(value).ok()
}

/// Decodes a value; none where it is of another form.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
