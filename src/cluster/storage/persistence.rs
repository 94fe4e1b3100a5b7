//! Stores changes of the write queue, the ledger replica and the rollout, and restores them at start.

use super::durability_gate::{DurabilityGate, MachineId, MAX_WAITING};
use super::stored_format::{
    decode, encode, StorageHeader, StorageWrite, StoredKey, StoredWrite, FORMAT_VERSION,
};
use crate::cluster::ledger::{LedgerEffect, RecordId, Replica, ReplicaEntry};
use crate::cluster::rollout::RolloutState;
use crate::cluster::write_queue::{LogEntry, QueueEffect, QueueReplica};
use crate::decision::Micros;

/// An effect that is emitted once the changes that it depends on are stored.
#[derive(Debug)]
pub enum GatedEffect {
    /// Effect of the branch's write queue.
    WriteQueue(QueueEffect),
    /// Effect of the ledger.
    Ledger(LedgerEffect),
}

/// Durability gate of a gateway, with the votes and the rollout state that are already stored.
pub struct Persistence {
    gate: DurabilityGate<GatedEffect>,
    queue_vote_stored: bool,
    ledger_vote_stored: bool,
    rollout_state: Option<RolloutState>,
}

/// Status of a gateway's storage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StorageStatus {
    /// Whether the storage is open and has not failed.
    pub is_working: bool,
    /// Number of effects that wait for the storage.
    pub waiting: usize,
}

/// State that earlier processes of this gateway stored.
#[derive(Default)]
pub struct Restored {
    /// Writes of the branch's write queue.
    pub writes: Vec<LogEntry>,
    /// Whether the writes are all that this gateway ever acknowledged in the branch, so that it has its vote at once.
    pub writes_complete: bool,
    /// Entries of the ledger replica.
    pub records: Vec<(RecordId, ReplicaEntry)>,
    /// Whether the entries are all that this gateway's replica ever promised and accepted.
    pub records_complete: bool,
    /// Rollout state that was in force.
    pub rollout_state: Option<RolloutState>,
    /// Whether any stored value could not be decoded.
    has_unreadable: bool,
}

/// Decodes stored values and converts their times to the clock of this process.
struct StorageReader<'a> {
    gate: &'a DurabilityGate<GatedEffect>,
    now: Micros,
    /// Whether the storage was written by this gateway.
    is_same_gateway: bool,
    /// Whether the storage was written since the last start of the machine.
    is_same_boot: bool,
}

impl Persistence {
    /// Creates the state for storage that is being opened.
    pub fn new(machine: MachineId, started_at: Micros) -> Persistence {
        Persistence {
            gate: DurabilityGate::new(machine, started_at),
            queue_vote_stored: false,
            ledger_vote_stored: false,
            rollout_state: None,
        }
    }

    /// Returns whether the storage is still being opened and read. Until it is, nothing that it may contain is
    /// sent or changed.
    pub fn is_opening(&self) -> bool {
        self.gate.is_opening()
    }

    /// Returns whether the storage is open and has not failed.
    pub fn is_working(&self) -> bool {
        self.gate.is_working()
    }

    /// Returns the status of the storage.
    pub fn status(&self) -> StorageStatus {
        StorageStatus { is_working: self.is_working(), waiting: self.waiting() }
    }

    /// Returns the number of effects that wait for the storage.
    pub fn waiting(&self) -> usize {
        self.gate.waiting()
    }

    /// Returns whether more than `MAX_WAITING` effects wait, so that the storage is to be treated as failed.
    pub fn is_overrun(&self) -> bool {
        self.gate.waiting() > MAX_WAITING
    }

    /// Allocates the number of the next batch of changes.
    pub fn next_batch(&mut self) -> u64 {
        self.gate.next_batch()
    }

    /// Returns the effects at once if all changes are stored or the storage is not working; otherwise keeps
    /// them waiting and returns none.
    pub fn submit(&mut self, effects: Vec<GatedEffect>) -> Vec<GatedEffect> {
        self.gate.submit(effects)
    }

    /// Called when all batches up to this one are stored. Returns the effects that may now be emitted.
    pub fn on_stored(&mut self, batch: u64) -> Vec<GatedEffect> {
        self.gate.on_stored(batch)
    }

    /// Called when the storage has failed. Returns whether this is the first failure.
    pub fn on_failed(&mut self) -> bool {
        self.gate.on_failed()
    }

    /// Returns the changes of the branch's write queue that are to be stored.
    pub fn queue_changes(&mut self, now: Micros, queue: &mut QueueReplica) -> Vec<StorageWrite> {
        let stored_at = self.gate.local_to_machine_time(now);
        let mut writes = Vec::new();
        for (dot, entry) in queue.take_changed() {
            let value = entry.and_then(|entry| {
                let entry = entry.with_times(|time| self.gate.local_to_machine_time(time));
                encode(&StoredWrite { stored_at, entry })
            });
            writes.push(StoredKey::Write(&encode(&dot).unwrap_or_default()).put(value));
        }
        if queue.has_vote() && !self.queue_vote_stored {
            self.queue_vote_stored = true;
            writes.push(StoredKey::QueueVote.put(Some(Vec::new())));
        }
        writes
    }

    /// Returns the changes of the ledger replica that are to be stored.
    pub fn ledger_changes(&mut self, now: Micros, replica: &mut Replica) -> Vec<StorageWrite> {
        let mut writes = Vec::new();
        for (id, entry) in replica.take_changed() {
            let value = entry
                .and_then(|entry| encode(&entry.with_times(|time| self.gate.local_to_machine_time(time))));
            writes.push(StoredKey::Record(&encode(&id).unwrap_or_default()).put(value));
        }
        if replica.has_vote(now) && !self.ledger_vote_stored {
            self.ledger_vote_stored = true;
            writes.push(StoredKey::LedgerVote.put(Some(Vec::new())));
        }
        writes
    }

    /// Returns the rollout state to store, or `None` if it has not changed.
    pub fn rollout_state_change(&mut self, rollout_state: &RolloutState) -> Option<StorageWrite> {
        if self.rollout_state.as_ref() == Some(rollout_state) {
            return None;
        }
        self.rollout_state = Some(rollout_state.clone());
        Some(StoredKey::RolloutState.put(encode(rollout_state)))
    }

    /// Called with the contents of the storage once it is open. Returns the state of earlier processes of this
    /// gateway and the changes to store: the current header, and the removal of entries that belong to other
    /// seats or cannot be decoded. Ledger records are also removed if the machine was restarted since, as their
    /// times are then meaningless.
    pub fn restore(
        &mut self,
        now: Micros,
        seat_list: u64,
        seat: u16,
        stored: &[StorageWrite],
    ) -> (Restored, Vec<StorageWrite>) {
        self.gate.on_opened();
        let header = StorageHeader { format: FORMAT_VERSION, seat_list, seat, boot: self.gate.boot() };
        let previous = stored_header(stored);
        let is_same_gateway = previous.as_ref().is_some_and(|previous| previous.is_same_gateway(&header));
        let is_same_boot = is_same_gateway && previous.is_some_and(|previous| previous.boot == header.boot);
        let reader = StorageReader { gate: &self.gate, now, is_same_gateway, is_same_boot };
        let mut writes = vec![StoredKey::Header.put(encode(&header))];
        let mut restored = Restored::default();
        for StorageWrite { key, value } in stored {
            let value = value.as_deref().unwrap_or_default();
            if !reader.read(key, value, &mut restored) {
                writes.push(StorageWrite { key: key.clone(), value: None });
            }
        }
        restored.writes_complete &= !restored.has_unreadable;
        restored.records_complete &= !restored.has_unreadable;
        self.queue_vote_stored = restored.writes_complete;
        self.ledger_vote_stored = restored.records_complete;
        self.rollout_state.clone_from(&restored.rollout_state);
        (restored, writes)
    }
}

fn stored_header(stored: &[StorageWrite]) -> Option<StorageHeader> {
    let header = stored.iter().find(|write| StoredKey::parse(&write.key) == Some(StoredKey::Header))?;
    decode(header.value.as_deref()?)
}

impl StorageReader<'_> {
    /// Adds one stored key and value to the restored state. Returns whether the key is kept in the storage.
    fn read(&self, key: &[u8], value: &[u8], restored: &mut Restored) -> bool {
        match StoredKey::parse(key) {
            Some(StoredKey::Header) => true,
            Some(StoredKey::QueueVote) if self.is_same_gateway => {
                restored.writes_complete = true;
                true
            }
            Some(StoredKey::LedgerVote) if self.is_same_boot => {
                restored.records_complete = true;
                true
            }
            Some(StoredKey::RolloutState) if self.is_same_gateway => {
                restored.rollout_state = decode(value);
                restored.rollout_state.is_some()
            }
            Some(StoredKey::Write(_)) if self.is_same_gateway => {
                let write = self.write(value);
                restored.has_unreadable |= write.is_none();
                let is_readable = write.is_some();
                restored.writes.extend(write);
                is_readable
            }
            Some(StoredKey::Record(identifier)) if self.is_same_boot => {
                let record = self.record(identifier, value);
                restored.has_unreadable |= record.is_none();
                let is_readable = record.is_some();
                restored.records.extend(record);
                is_readable
            }
            _ => false,
        }
    }

    fn write(&self, value: &[u8]) -> Option<LogEntry> {
        let StoredWrite { stored_at, entry } = decode(value)?;
        // The machine's clock restarts with the machine, so only spans up to the time of storing are known.
        Some(entry.with_times(|time| match self.is_same_boot {
            true => self.gate.machine_to_local_time(time),
            false => self.now - (stored_at - time),
        }))
    }

    fn record(&self, identifier: &[u8], value: &[u8]) -> Option<(RecordId, ReplicaEntry)> {
        let entry: ReplicaEntry = decode(value)?;
        Some((decode(identifier)?, entry.with_times(|time| self.gate.machine_to_local_time(time))))
    }
}
