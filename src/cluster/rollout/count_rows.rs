//! The counts received of all gateways: of each process the newest, so that loss, duplicates, order and late messages
//! change nothing.

use super::command::RolloutKey;
use super::outcome_counts::{ClassCounts, MAX_CLASSES};
use crate::decision::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Older counts say nothing of now: no stage is passed on them. They still speak against a rollout.
pub const FRESHNESS: Micros = Micros(2_000_000);
/// The most processes of one gateway that are remembered in one rollout.
const MAX_PROCESSES: usize = 16;
/// The most classes in one message.
pub const MAX_CLASSES_PER_ROW: usize = 5;
/// The longest name of a zone, in bytes.
const MAX_ZONE_BYTES: usize = 32;

/// The counts of one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassRow {
    /// The class.
    pub class: u16,
    /// Its counts.
    pub counts: ClassCounts,
}

/// One gateway's message: what it goes by, and a part of its counts. A wire form (postcard): the order of fields counts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CountRow {
    /// Of which rollout.
    pub key: RolloutKey,
    /// Its process, drawn at random when it starts.
    pub process: u64,
    /// Which message of that process's; rises.
    pub sequence: u64,
    /// Its zone.
    pub zone: String,
    /// The stage that it goes by.
    pub stage: u8,
    /// It knows the rollout's end.
    pub has_ended: bool,
    /// Counts by class, at most `MAX_CLASSES_PER_ROW` of them.
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

/// A value with the number of the message that it came with.
#[derive(Debug, Clone, Default)]
pub struct Sequenced<T> {
    sequence: u64,
    /// The value.
    pub value: T,
}

/// What was received of one process of a gateway.
#[derive(Debug, Clone)]
pub struct ProcessCounts {
    /// Its zone.
    pub zone: String,
    sequence: u64,
    /// When the newest message came; none where it may have been delayed.
    pub heard_at: Option<Micros>,
    /// By that message, the stage that it goes by.
    pub stage: u8,
    /// By that message, it knows the end.
    pub has_ended: bool,
    /// Counts by class.
    pub classes: BTreeMap<u16, Sequenced<ClassCounts>>,
}

impl ProcessCounts {
    fn new(zone: String) -> ProcessCounts {
        let (sequence, heard_at, stage, has_ended) = (0, None, 0, false);
        ProcessCounts { zone, sequence, heard_at, stage, has_ended, classes: BTreeMap::new() }
    }
}

/// Which process of which gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessKey {
    /// The gateway's seat.
    pub seat: u16,
    /// Its process.
    pub process: u64,
}

/// All counts that were received.
#[derive(Debug, Clone, Default)]
pub struct CollectedCounts {
    processes: BTreeMap<ProcessKey, ProcessCounts>,
    /// Messages that could not be valid.
    pub rejected: u64,
}

impl CollectedCounts {
    /// Takes a gateway's message. `prompt`: it was surely not under way for long.
    pub fn record(&mut self, now: Micros, seat: u16, row: CountRow, prompt: bool) {
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
            if prompt {
                counts.heard_at = Some(now);
            }
        }
        for ClassRow { class, counts: value } in row.classes {
            let held = counts.classes.entry(class).or_default();
            if row.sequence > held.sequence {
                *held = Sequenced { sequence: row.sequence, value };
            }
        }
    }

    fn has_capacity(&self, key: ProcessKey) -> bool {
        let first = ProcessKey { process: 0, ..key };
        let last = ProcessKey { process: u64::MAX, ..key };
        self.processes.contains_key(&key) || self.processes.range(first..=last).count() < MAX_PROCESSES
    }

    /// All processes, by seat.
    pub fn processes(&self) -> impl Iterator<Item = (ProcessKey, &ProcessCounts)> {
        self.processes.iter().map(|(key, counts)| (*key, counts))
    }

    /// The seats whose newest message is fresh, each with its process that reported last.
    pub fn fresh(&self, now: Micros) -> BTreeMap<u16, &ProcessCounts> {
        let mut fresh: BTreeMap<u16, &ProcessCounts> = BTreeMap::new();
        for (key, counts) in &self.processes {
            let Some(at) = counts.heard_at.filter(|at| now - *at <= FRESHNESS) else { continue };
            let newest = fresh.entry(key.seat).or_insert(counts);
            if newest.heard_at < Some(at) {
                *newest = counts;
            }
        }
        fresh
    }
}
