//! Counts received from all gateways. For each process and class only the newest counts are kept, so that
//! lost, duplicated, reordered and late messages do no harm.

use super::outcome_counts::{ClassCounts, MAX_CLASSES};
use super::state::RolloutKey;
use crate::decision::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum age of counts on which a stage may pass. Older counts can still halt a rollout.
pub const MAX_COUNTS_AGE: Micros = Micros(2_000_000);
/// Maximum number of processes remembered for one gateway in one rollout.
const MAX_PROCESSES: usize = 16;
/// Maximum number of classes in one message.
pub const MAX_CLASSES_PER_ROW: usize = 5;
/// Maximum length of a zone's name, in bytes.
const MAX_ZONE_BYTES: usize = 32;

/// Outcome counts of one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassRow {
    /// Number of the class.
    pub class: u16,
    /// Outcome counts.
    pub counts: ClassCounts,
}

/// Message of one gateway with the stage that the gateway follows and a part of its counts. Encoded with
/// postcard, so fields must keep their order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CountRow {
    /// Identity of the rollout.
    pub key: RolloutKey,
    /// Random id of the sender's process, drawn when it starts.
    pub process: u64,
    /// Sequence number of the message within that process.
    pub sequence: u64,
    /// Zone of the sender.
    pub zone: String,
    /// Stage that the sender follows.
    pub stage: u8,
    /// Whether the sender knows that the rollout has ended.
    pub has_ended: bool,
    /// Counts by class, at most `MAX_CLASSES_PER_ROW` classes.
    pub classes: Vec<ClassRow>,
}

impl CountRow {
    fn is_valid(&self) -> bool {
        let class_is_valid = |row: &ClassRow| row.class < MAX_CLASSES && row.counts.is_valid();
        self.classes.len() <= MAX_CLASSES_PER_ROW
            && self.zone.len() <= MAX_ZONE_BYTES
            && self.classes.iter().all(class_is_valid)
    }
}

/// A value with the sequence number of its message.
#[derive(Debug, Clone, Default)]
pub struct Sequenced<T> {
    sequence: u64,
    /// The latest value.
    pub value: T,
}

/// Latest state and counts received from one process of a gateway.
#[derive(Debug, Clone)]
pub struct ProcessCounts {
    /// Zone of the process.
    pub zone: String,
    sequence: u64,
    /// Arrival time of the newest message that cannot have been delayed for long, or `None` if no such
    /// message has arrived.
    pub last_received_at: Option<Micros>,
    /// Stage that the process follows, by its newest message.
    pub stage: u8,
    /// Whether the process knows that the rollout has ended, by its newest message.
    pub has_ended: bool,
    /// Counts by class.
    pub classes: BTreeMap<u16, Sequenced<ClassCounts>>,
}

impl ProcessCounts {
    fn new(zone: String) -> ProcessCounts {
        let (sequence, last_received_at, stage, has_ended) = (0, None, 0, false);
        ProcessCounts { zone, sequence, last_received_at, stage, has_ended, classes: BTreeMap::new() }
    }
}

/// Identifies a process of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessKey {
    /// Seat of the gateway.
    pub seat: u16,
    /// Random id of the process.
    pub process: u64,
}

/// All counts received in one rollout.
#[derive(Debug, Clone, Default)]
pub struct CollectedCounts {
    processes: BTreeMap<ProcessKey, ProcessCounts>,
    /// Number of messages rejected as invalid, or because their gateway had too many processes.
    pub rejected: u64,
}

impl CollectedCounts {
    /// Records a gateway's message. `is_prompt` says that the message cannot have been delayed for long.
    pub fn record(&mut self, now: Micros, seat: u16, row: CountRow, is_prompt: bool) {
        let key = ProcessKey { seat, process: row.process };
        if !row.is_valid() || !self.has_capacity(key) {
            self.rejected += 1;
            return;
        }
        let counts = self.processes.entry(key).or_insert_with(|| ProcessCounts::new(row.zone));
        if row.sequence > counts.sequence {
            counts.sequence = row.sequence;
            counts.stage = row.stage;
            counts.has_ended = row.has_ended;
            if is_prompt {
                counts.last_received_at = Some(now);
            }
        }
        for ClassRow { class, counts: value } in row.classes {
            let stored = counts.classes.entry(class).or_default();
            if row.sequence > stored.sequence {
                *stored = Sequenced { sequence: row.sequence, value };
            }
        }
    }

    fn has_capacity(&self, key: ProcessKey) -> bool {
        let first = ProcessKey { process: 0, ..key };
        let last = ProcessKey { process: u64::MAX, ..key };
        self.processes.contains_key(&key) || self.processes.range(first..=last).count() < MAX_PROCESSES
    }

    /// All processes, ordered by seat.
    pub fn processes(&self) -> impl Iterator<Item = (ProcessKey, &ProcessCounts)> {
        self.processes.iter().map(|(key, counts)| (*key, counts))
    }

    /// The seats with a message of the last `MAX_COUNTS_AGE` that cannot have been delayed for long, each
    /// with the process that sent the newest such message.
    pub fn fresh(&self, now: Micros) -> BTreeMap<u16, &ProcessCounts> {
        let mut fresh: BTreeMap<u16, &ProcessCounts> = BTreeMap::new();
        for (key, counts) in &self.processes {
            let Some(at) = counts.last_received_at.filter(|at| now - *at <= MAX_COUNTS_AGE) else { continue };
            let newest = fresh.entry(key.seat).or_insert(counts);
            if newest.last_received_at < Some(at) {
                *newest = counts;
            }
        }
        fresh
    }
}
