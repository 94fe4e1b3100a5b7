//! Bounded log of all writes that a gateway of a branch has received, with their states.

use super::message::DotRank;
use super::settings::WriteQueueSettings;
use super::write::{Dot, Write, WriteOutcome, WriteState};
use crate::decision::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

/// Retention period of writes that have ended, during which clients can query their outcome.
pub const ENDED_RETENTION: Micros = Micros(600_000_000);
/// Maximum number of retained writes that have ended, as a multiple of the maximum number of pending writes.
const MAX_ENDED_PER_PENDING: usize = 2;

/// A write with its state and times. Stored in postcard, so fields must keep their order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Logged write.
    pub write: Write,
    /// State of the write.
    pub state: WriteState,
    /// Time at which the write was accepted, on the local clock.
    pub accepted_at: Micros,
    /// Time at which the write was first forwarded, or slightly earlier.
    pub first_sent_at: Option<Micros>,
    /// Time at which this gateway learned that the write ended.
    pub ended_at: Option<Micros>,
}

impl LogEntry {
    /// Returns the entry with its times converted to another clock.
    pub fn with_times(self, convert: impl Fn(Micros) -> Micros) -> LogEntry {
        LogEntry {
            accepted_at: convert(self.accepted_at),
            first_sent_at: self.first_sent_at.map(&convert),
            ended_at: self.ended_at.map(&convert),
            ..self
        }
    }
}

/// The writes that a gateway holds, with indexes by state, customer and object.
#[derive(Debug, Clone, Default)]
pub struct WriteLog {
    entries: BTreeMap<Dot, LogEntry>,
    /// Writes that have not ended, by position and dot.
    pending: BTreeSet<(u64, Dot)>,
    by_customer: BTreeMap<u64, Vec<Dot>>,
    by_object: BTreeMap<u64, Vec<Dot>>,
    /// Highest position received.
    highest_position: u64,
    /// Writes changed since the last call of `take_changed`; `None` if changes are not tracked.
    changed: Option<BTreeSet<Dot>>,
}

fn remove_from_index(index: &mut BTreeMap<u64, Vec<Dot>>, key: u64, dot: Dot) {
    if let Some(dots) = index.get_mut(&key) {
        dots.retain(|held| *held != dot);
        if dots.is_empty() {
            index.remove(&key);
        }
    }
}

impl WriteLog {
    /// Starts to track changes for the storage.
    pub fn track_changes(&mut self) {
        self.changed = Some(BTreeSet::new());
    }

    /// Stops tracking changes.
    pub fn stop_tracking_changes(&mut self) {
        self.changed = None;
    }

    /// Returns the writes that were added, changed or removed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<Dot> {
        self.changed.as_mut().map(std::mem::take).unwrap_or_default()
    }

    fn mark_changed(&mut self, dot: Dot) {
        if let Some(changed) = self.changed.as_mut() {
            changed.insert(dot);
        }
    }

    /// Returns a write, or `None` if it is not held.
    pub fn get(&self, dot: Dot) -> Option<&LogEntry> {
        self.entries.get(&dot)
    }

    /// Returns the write of this customer with this key that was received last. A write that expired before it
    /// was forwarded is not returned.
    pub fn find_by_key(&self, customer: u64, key: u64) -> Option<&LogEntry> {
        let dots = self.by_customer.get(&customer).filter(|_| key > 0)?;
        let mut held = dots.iter().rev().filter_map(|dot| self.get(*dot));
        held.find(|entry| entry.write.key == key && entry.state != WriteState::Ended(WriteOutcome::Expired))
    }

    /// Returns the number of writes that have not ended.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Returns the writes that have not ended, by position and dot.
    pub fn pending(&self) -> impl Iterator<Item = &LogEntry> {
        self.pending.iter().filter_map(|(_, dot)| self.entries.get(dot))
    }

    /// Returns the writes on this object that have not ended.
    pub fn pending_on_object(&self, object: u64) -> impl Iterator<Item = &LogEntry> {
        self.entries_of(&self.by_object, object).filter(|entry| !entry.state.is_ended())
    }

    fn entries_of<'a>(
        &'a self,
        index: &'a BTreeMap<u64, Vec<Dot>>,
        key: u64,
    ) -> impl Iterator<Item = &'a LogEntry> {
        index.get(&key).into_iter().flatten().filter_map(|dot| self.get(*dot))
    }

    /// Returns the highest position received.
    pub fn highest_position(&self) -> u64 {
        self.highest_position
    }

    /// Returns up to `limit` writes after this one in the order of dots, and whether there are more.
    pub fn page_after(&self, dot: Option<Dot>, limit: usize) -> (Vec<DotRank>, bool) {
        let from = dot.map_or(Unbounded, Excluded);
        let behind = self.entries.range((from, Unbounded));
        let mut ranks = behind.map(|(dot, entry)| DotRank { dot: *dot, rank: entry.state.rank() });
        let page: Vec<DotRank> = ranks.by_ref().take(limit).collect();
        let has_more = ranks.next().is_some();
        (page, has_more)
    }

    /// Returns those of the given writes that are not held.
    pub fn missing(&self, dots: &[Dot]) -> Vec<Dot> {
        dots.iter().filter(|dot| !self.entries.contains_key(dot)).copied().collect()
    }

    /// Returns whether a write of this customer or on this object has not ended.
    pub fn has_pending_for(&self, customer: u64, object: u64) -> bool {
        let is_pending = |entry: &LogEntry| !entry.state.is_ended();
        self.entries_of(&self.by_customer, customer).any(is_pending)
            || self.entries_of(&self.by_object, object).any(is_pending)
    }

    /// Returns the newest writes of this customer and on this object: those on which no other of these writes
    /// depends. Excludes writes that ended more than half the retention period ago, as they will soon be
    /// removed.
    pub fn heads(&self, now: Micros, customer: u64, object: u64) -> Vec<Dot> {
        let mut heads = Vec::new();
        for (index, key) in [(&self.by_customer, customer), (&self.by_object, object)] {
            let all: Vec<&LogEntry> = self.entries_of(index, key).collect();
            let is_newest = |entry: &&&LogEntry| {
                !all.iter().any(|other| other.write.dependencies.contains(&entry.write.dot))
            };
            let is_retained =
                |entry: &&&LogEntry| entry.ended_at.is_none_or(|at| now - at < Micros(ENDED_RETENTION.0 / 2));
            let newest = all.iter().filter(is_newest).filter(is_retained);
            heads.extend(newest.map(|entry| entry.write.dot));
        }
        heads.sort_unstable();
        heads.dedup();
        heads
    }

    /// Returns whether there is capacity for one more write of this customer.
    pub fn has_capacity(&self, customer: u64, settings: &WriteQueueSettings) -> bool {
        let customer_writes = self.entries_of(&self.by_customer, customer);
        let pending_count = customer_writes.filter(|entry| !entry.state.is_ended()).count();
        self.pending.len() < settings.max_pending && pending_count < settings.max_pending_per_customer
    }

    /// Adds a write, or merges the state into that of a write already held. Returns whether anything changed.
    pub fn merge(
        &mut self,
        now: Micros,
        write: &Write,
        state: WriteState,
        accepted_at: Micros,
        first_sent_at: Option<Micros>,
    ) -> bool {
        self.highest_position = self.highest_position.max(write.position);
        let dot = write.dot;
        let Some(entry) = self.entries.get_mut(&dot) else {
            self.insert(now, write, state, accepted_at, first_sent_at);
            return true;
        };
        let merged = entry.state.merged(state);
        let earliest = [entry.first_sent_at, first_sent_at].into_iter().flatten().min();
        let has_changed = merged != entry.state || earliest != entry.first_sent_at;
        entry.state = merged;
        entry.first_sent_at = earliest;
        if merged.is_ended() && entry.ended_at.is_none() {
            entry.ended_at = Some(now);
            self.pending.remove(&(entry.write.position, dot));
        }
        if has_changed {
            self.mark_changed(dot);
        }
        has_changed
    }

    fn insert(
        &mut self,
        now: Micros,
        write: &Write,
        state: WriteState,
        accepted_at: Micros,
        first_sent_at: Option<Micros>,
    ) {
        let dot = write.dot;
        self.mark_changed(dot);
        let ended_at = state.is_ended().then_some(now);
        let entry = LogEntry { write: write.clone(), state, accepted_at, first_sent_at, ended_at };
        self.entries.insert(dot, entry);
        self.by_customer.entry(write.customer).or_default().push(dot);
        self.by_object.entry(write.object).or_default().push(dot);
        if ended_at.is_none() {
            self.pending.insert((write.position, dot));
        }
    }

    /// Removes writes whose retention period is over, and the oldest ended writes beyond the maximum number.
    pub fn remove_expired(&mut self, now: Micros, settings: &WriteQueueSettings) {
        let with_end = |(dot, entry): (&Dot, &LogEntry)| entry.ended_at.map(|at| (at, *dot));
        let mut ended: Vec<(Micros, Dot)> = self.entries.iter().filter_map(with_end).collect();
        ended.sort_unstable();
        let limit = settings.max_pending.saturating_mul(MAX_ENDED_PER_PENDING);
        let excess = ended.len().saturating_sub(limit);
        for (index, (ended_at, dot)) in ended.into_iter().enumerate() {
            if index >= excess && now - ended_at < ENDED_RETENTION {
                break;
            }
            self.remove(dot);
        }
    }

    fn remove(&mut self, dot: Dot) {
        let Some(entry) = self.entries.remove(&dot) else { return };
        self.mark_changed(dot);
        remove_from_index(&mut self.by_customer, entry.write.customer, dot);
        remove_from_index(&mut self.by_object, entry.write.object, dot);
    }
}
