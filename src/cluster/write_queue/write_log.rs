//! What a gateway of a branch holds: all writes that it received, with what became of them, within bounds.

use super::message::DotRank;
use super::settings::WriteQueueSettings;
use super::write::{Dot, Write, WriteOutcome, WriteState};
use crate::decision::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

/// Writes that ended are held for so long, so that clients can ask.
pub const ENDED_RETENTION: Micros = Micros(600_000_000);
/// So many of those that ended are held at most, for each that may be pending.
const MAX_ENDED_PER_PENDING: usize = 2;

/// A write, as held. A disk form: the order of fields counts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The write.
    pub write: Write,
    /// What became of it.
    pub state: WriteState,
    /// When it was accepted, on this clock.
    pub accepted_at: Micros,
    /// When it was first forwarded, or somewhat before.
    pub first_sent_at: Option<Micros>,
    /// When it ended, as far as is known here.
    pub ended_at: Option<Micros>,
}

impl LogEntry {
    /// The same with its times converted to another clock.
    pub fn with_times(self, convert: impl Fn(Micros) -> Micros) -> LogEntry {
        LogEntry {
            accepted_at: convert(self.accepted_at),
            first_sent_at: self.first_sent_at.map(&convert),
            ended_at: self.ended_at.map(&convert),
            ..self
        }
    }
}

/// All writes that a gateway holds.
#[derive(Debug, Clone, Default)]
pub struct WriteLog {
    entries: BTreeMap<Dot, LogEntry>,
    /// Those that have not ended, by position and dot.
    pending: BTreeSet<(u64, Dot)>,
    by_customer: BTreeMap<u64, Vec<Dot>>,
    by_object: BTreeMap<u64, Vec<Dot>>,
    /// The highest position received.
    highest_position: u64,
    /// What has changed since it was last asked for; none where the gateway has no storage.
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
    /// Notes what changes from now on.
    pub fn track_changes(&mut self) {
        self.changed = Some(BTreeSet::new());
    }

    /// Notes nothing any more.
    pub fn stop_tracking_changes(&mut self) {
        self.changed = None;
    }

    /// What has changed since this was last called: held otherwise than before, or held no more.
    pub fn take_changed(&mut self) -> BTreeSet<Dot> {
        self.changed.as_mut().map(std::mem::take).unwrap_or_default()
    }

    fn mark_changed(&mut self, dot: Dot) {
        if let Some(changed) = self.changed.as_mut() {
            changed.insert(dot);
        }
    }

    /// A write, if it is held.
    pub fn get(&self, dot: Dot) -> Option<&LogEntry> {
        self.entries.get(&dot)
    }

    /// A customer's write by its key; one that expired before it was forwarded is none.
    pub fn find_by_key(&self, customer: u64, key: u64) -> Option<&LogEntry> {
        let dots = self.by_customer.get(&customer).filter(|_| key > 0)?;
        let mut held = dots.iter().rev().filter_map(|dot| self.get(*dot));
        held.find(|entry| entry.write.key == key && entry.state != WriteState::Ended(WriteOutcome::Expired))
    }

    /// How many have not ended.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Those that have not ended, in their order.
    pub fn pending(&self) -> impl Iterator<Item = &LogEntry> {
        self.pending.iter().filter_map(|(_, dot)| self.entries.get(dot))
    }

    /// Those on this object that have not ended.
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

    /// The highest position received.
    pub fn highest_position(&self) -> u64 {
        self.highest_position
    }

    /// The writes behind this one, in the order of dots, at most `limit`, and whether there are more.
    pub fn page_after(&self, dot: Option<Dot>, limit: usize) -> (Vec<DotRank>, bool) {
        let from = dot.map_or(Unbounded, Excluded);
        let behind = self.entries.range((from, Unbounded));
        let mut ranks = behind.map(|(dot, entry)| DotRank { dot: *dot, rank: entry.state.rank() });
        let page: Vec<DotRank> = ranks.by_ref().take(limit).collect();
        let has_more = ranks.next().is_some();
        (page, has_more)
    }

    /// Those of these that are not held.
    pub fn missing(&self, dots: &[Dot]) -> Vec<Dot> {
        dots.iter().filter(|dot| !self.entries.contains_key(dot)).copied().collect()
    }

    /// Whether a write of this customer or on this object is pending.
    pub fn has_pending_for(&self, customer: u64, object: u64) -> bool {
        let is_pending = |entry: &LogEntry| !entry.state.is_ended();
        self.entries_of(&self.by_customer, customer).any(is_pending)
            || self.entries_of(&self.by_object, object).any(is_pending)
    }

    /// The newest writes of this customer and on this object: those on which no other of them depends. What will soon be
    /// removed is not among them.
    pub fn heads(&self, now: Micros, customer: u64, object: u64) -> Vec<Dot> {
        let mut heads = Vec::new();
        for (index, key) in [(&self.by_customer, customer), (&self.by_object, object)] {
            let all: Vec<&LogEntry> = self.entries_of(index, key).collect();
            let is_newest =
                |entry: &&&LogEntry| !all.iter().any(|o| o.write.dependencies.contains(&entry.write.dot));
            let is_retained =
                |entry: &&&LogEntry| entry.ended_at.is_none_or(|at| now - at < Micros(ENDED_RETENTION.0 / 2));
            let newest = all.iter().filter(is_newest).filter(is_retained);
            heads.extend(newest.map(|entry| entry.write.dot));
        }
        heads.sort_unstable();
        heads.dedup();
        heads
    }

    /// Whether there is capacity for one more of this customer's.
    pub fn has_capacity(&self, customer: u64, settings: &WriteQueueSettings) -> bool {
        let of_customer = self.entries_of(&self.by_customer, customer);
        let of_customer = of_customer.filter(|entry| !entry.state.is_ended()).count();
        self.pending.len() < settings.max_pending && of_customer < settings.max_pending_per_customer
    }

    /// Adds a write, or merges what became of one that is held. Whether anything is new.
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
        let is_new = merged != entry.state || earliest != entry.first_sent_at;
        entry.state = merged;
        entry.first_sent_at = earliest;
        if merged.is_ended() && entry.ended_at.is_none() {
            entry.ended_at = Some(now);
            self.pending.remove(&(entry.write.position, dot));
        }
        if is_new {
            self.mark_changed(dot);
        }
        is_new
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

    /// Removes what ended long ago, and the oldest of what ended where there is too much of it.
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
