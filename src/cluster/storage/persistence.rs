//! What the parts of a gateway store, and what they remember from it at the start.

use super::durability_gate::{DurabilityGate, MachineId, MAX_WAITING};
use super::stored_form::{decode, encode, StorageHeader, StorageWrite, StoredKey, StoredWrite, FORM_VERSION};
use crate::cluster::ledger::{LedgerEffect, RecordId, Replica, ReplicaEntry};
use crate::cluster::rollout::RolloutCommand;
use crate::cluster::write_queue::{LogEntry, QueueEffect, QueueReplica};
use crate::decision::Micros;

/// An effect that goes out once the storage holds what it rests on.
#[derive(Debug)]
pub enum GatedEffect {
    /// Of the branch's write queue.
    WriteQueue(QueueEffect),
    /// Of the ledger.
    Ledger(LedgerEffect),
}

/// A gateway's storage, and what is on it that is not asked of the parts again.
pub struct Persistence {
    gate: DurabilityGate<GatedEffect>,
    queue_vote_stored: bool,
    ledger_vote_stored: bool,
    command: Option<RolloutCommand>,
}

/// How a gateway's storage is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StorageStatus {
    /// It is open, and nothing has gone wrong with it.
    pub is_working: bool,
    /// How many effects wait for it.
    pub waiting: usize,
}

/// What earlier processes of this gateway stored.
#[derive(Default)]
pub struct Restored {
    /// Writes of the branch.
    pub writes: Vec<LogEntry>,
    /// They are all that was ever acknowledged in the branch, so that it has its vote at once.
    pub writes_complete: bool,
    /// Records of the ledger.
    pub records: Vec<(RecordId, ReplicaEntry)>,
    /// They are all that was ever promised and accepted at the ledger.
    pub records_complete: bool,
    /// What was in force of a rollout.
    pub command: Option<RolloutCommand>,
    /// Something could not be read.
    has_unreadable: bool,
}

/// Reads what is stored, with its times converted to this process' clock.
struct Reader<'a> {
    gate: &'a DurabilityGate<GatedEffect>,
    now: Micros,
    /// It was written by this gateway.
    is_own: bool,
    /// It was written since the last start of the machine.
    is_same_boot: bool,
}

impl Persistence {
    /// For storage that is being opened.
    pub fn new(machine: MachineId, began: Micros) -> Persistence {
        Persistence {
            gate: DurabilityGate::new(machine, began),
            queue_vote_stored: false,
            ledger_vote_stored: false,
            command: None,
        }
    }

    /// Whether the storage is being opened and read: until then nothing that it may hold is answered or changed.
    pub fn is_opening(&self) -> bool {
        self.gate.is_opening()
    }

    /// Whether the storage is open, and nothing has gone wrong with it.
    pub fn is_working(&self) -> bool {
        self.gate.is_working()
    }

    /// How the storage is doing.
    pub fn status(&self) -> StorageStatus {
        StorageStatus { is_working: self.is_working(), waiting: self.waiting() }
    }

    /// How many effects wait for the storage.
    pub fn waiting(&self) -> usize {
        self.gate.waiting()
    }

    /// Whether more effects wait than a storage that works lets wait.
    pub fn is_overrun(&self) -> bool {
        self.gate.waiting() > MAX_WAITING
    }

    /// The number of a next batch of changes.
    pub fn next_batch(&mut self) -> u64 {
        self.gate.next_batch()
    }

    /// Takes effects, and returns those that rest on nothing that is not stored yet.
    pub fn pass(&mut self, effects: Vec<GatedEffect>) -> Vec<GatedEffect> {
        self.gate.pass(effects)
    }

    /// The storage holds all up to this batch: returns what may go out.
    pub fn on_stored(&mut self, batch: u64) -> Vec<GatedEffect> {
        self.gate.on_stored(batch)
    }

    /// The storage takes nothing any more. Returns whether that is news.
    pub fn on_failed(&mut self) -> bool {
        self.gate.on_failed()
    }

    /// What has changed in the branch's write queue and is to be stored.
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

    /// What has changed in the replica of the ledger and is to be stored.
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

    /// What is in force of a rollout, if it has changed and is to be stored.
    pub fn command_change(&mut self, command: &RolloutCommand) -> Option<StorageWrite> {
        if self.command.as_ref() == Some(command) {
            return None;
        }
        self.command = Some(command.clone());
        Some(StoredKey::RolloutCommand.put(encode(command)))
    }

    /// The storage was opened and held this. Returns what earlier processes of this gateway held, and what is to be stored
    /// for it: the own header, and the removal of what is of other seats or can't be read. Records are removed, too, where
    /// the machine was started since, as their times say nothing then.
    pub fn restore(
        &mut self,
        now: Micros,
        seat_list: u64,
        seat: u16,
        stored: &[StorageWrite],
    ) -> (Restored, Vec<StorageWrite>) {
        self.gate.on_opened();
        let header = StorageHeader { form: FORM_VERSION, seat_list, seat, boot: self.gate.boot() };
        let before = stored_header(stored);
        let is_own = before.as_ref().is_some_and(|before| before.is_own(&header));
        let is_same_boot = is_own && before.is_some_and(|before| before.boot == header.boot);
        let reader = Reader { gate: &self.gate, now, is_own, is_same_boot };
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
        self.command.clone_from(&restored.command);
        (restored, writes)
    }
}

fn stored_header(stored: &[StorageWrite]) -> Option<StorageHeader> {
    let header = stored.iter().find(|one| StoredKey::parse(&one.key) == Some(StoredKey::Header))?;
    decode(header.value.as_deref()?)
}

impl Reader<'_> {
    /// Reads one key and its value; whether it stays on the disk.
    fn read(&self, key: &[u8], value: &[u8], restored: &mut Restored) -> bool {
        match StoredKey::parse(key) {
            Some(StoredKey::Header) => true,
            Some(StoredKey::QueueVote) if self.is_own => {
                restored.writes_complete = true;
                true
            }
            Some(StoredKey::LedgerVote) if self.is_same_boot => {
                restored.records_complete = true;
                true
            }
            Some(StoredKey::RolloutCommand) if self.is_own => {
                restored.command = decode(value);
                restored.command.is_some()
            }
            Some(StoredKey::Write(_)) if self.is_own => {
                let write = self.write(value);
                restored.has_unreadable |= write.is_none();
                let stays = write.is_some();
                restored.writes.extend(write);
                stays
            }
            Some(StoredKey::Record(name)) if self.is_same_boot => {
                let record = self.record(name, value);
                restored.has_unreadable |= record.is_none();
                let stays = record.is_some();
                restored.records.extend(record);
                stays
            }
            _ => false,
        }
    }

    fn write(&self, value: &[u8]) -> Option<LogEntry> {
        let StoredWrite { stored_at, entry } = decode(value)?;
        // Over a start of the machine only the time before it is known.
        Some(entry.with_times(|time| match self.is_same_boot {
            true => self.gate.machine_to_local_time(time),
            false => self.now - (stored_at - time),
        }))
    }

    fn record(&self, name: &[u8], value: &[u8]) -> Option<(RecordId, ReplicaEntry)> {
        let entry: ReplicaEntry = decode(value)?;
        Some((decode(name)?, entry.with_times(|time| self.gate.machine_to_local_time(time))))
    }
}
