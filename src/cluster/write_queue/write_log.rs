//! What a gateway of a branch holds: all writes that it heard of, with what became of them, within bounds.

use crate::cluster::write_queue::{Dot, End, State, Terms, Write};
use crate::cluster::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What ended is kept for so long, so that people can ask.
pub const REMEMBERED: Micros = Micros(600_000_000);
/// So many of those that ended are kept at the most, for each that may wait.
const ENDED: usize = 2;

/// A write, as held.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The write.
    pub write: Write,
    /// What became of it.
    pub state: State,
    /// When it was accepted, on this clock.
    pub born: Micros,
    /// When it was first sent on, or somewhat before.
    pub sent: Option<Micros>,
    /// When it ended, as far as is known here.
    pub over: Option<Micros>,
}

/// All of them.
#[derive(Debug, Clone, Default)]
pub struct Shelf {
    entries: BTreeMap<Dot, Entry>,
    /// Those that have not ended, by place and name.
    open: BTreeMap<(u64, Dot), ()>,
    of_customer: BTreeMap<u64, Vec<Dot>>,
    of_object: BTreeMap<u64, Vec<Dot>>,
    /// The highest place heard of.
    place: u64,
    /// What has changed since it was last asked for, where somebody asks.
    changed: Option<BTreeSet<Dot>>,
}

fn drop_from(index: &mut BTreeMap<u64, Vec<Dot>>, key: u64, dot: Dot) {
    if let Some(dots) = index.get_mut(&key) {
        dots.retain(|held| *held != dot);
        if dots.is_empty() {
            index.remove(&key);
        }
    }
}

impl Shelf {
    /// Notes what changes from now on.
    pub fn note_changes(&mut self) {
        self.changed = Some(BTreeSet::new());
    }
    /// Notes nothing any more.
    pub fn note_no_changes(&mut self) {
        self.changed = None;
    }
    /// What has changed since this was last called: held otherwise than before, or held no more.
    pub fn take_changed(&mut self) -> BTreeSet<Dot> {
        self.changed.as_mut().map(std::mem::take).unwrap_or_default()
    }
    /// A write, if it is held.
    pub fn get(&self, dot: Dot) -> Option<&Entry> {
        self.entries.get(&dot)
    }
    /// A customer's write by its key; one that was given up before it was sent is none.
    pub fn same(&self, customer: u64, key: u64) -> Option<&Entry> {
        let dots = self.of_customer.get(&customer).filter(|_| key > 0)?;
        let mut held = dots.iter().rev().filter_map(|dot| self.get(*dot));
        held.find(|e| e.write.key == key && e.state != State::Ended(End::Expired))
    }
    /// How many have not ended.
    pub fn open(&self) -> usize {
        self.open.len()
    }
    /// Those that have not ended, in their order.
    pub fn waiting(&self) -> impl Iterator<Item = &Entry> {
        self.open.keys().filter_map(|(_, dot)| self.entries.get(dot))
    }
    /// Those on this object that have not ended.
    pub fn on_object(&self, object: u64) -> impl Iterator<Item = &Entry> {
        let dots = self.of_object.get(&object).into_iter().flatten();
        dots.filter_map(|dot| self.get(*dot)).filter(|e| !e.state.is_over())
    }
    /// The highest place heard of.
    pub fn place(&self) -> u64 {
        self.place
    }
    /// Names and ranks behind this one, in the order of names.
    pub fn behind(&self, dot: Option<Dot>, most: usize) -> (Vec<(Dot, u32)>, bool) {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = dot.map_or(Unbounded, Excluded);
        let mut rest = self.entries.range((from, Unbounded)).map(|(dot, e)| (*dot, e.state.rank()));
        let page: Vec<(Dot, u32)> = rest.by_ref().take(most).collect();
        (page, rest.next().is_some())
    }

    /// Those of these that are not held.
    pub fn missing(&self, dots: &[Dot]) -> Vec<Dot> {
        dots.iter().filter(|dot| !self.entries.contains_key(dot)).copied().collect()
    }

    /// Whether a write of this customer or on this object has not ended.
    pub fn lines_up(&self, customer: u64, object: u64) -> bool {
        let open = |dots: Option<&Vec<Dot>>| {
            dots.is_some_and(|dots| dots.iter().any(|d| self.get(*d).is_some_and(|e| !e.state.is_over())))
        };
        open(self.of_customer.get(&customer)) || open(self.of_object.get(&object))
    }

    /// The newest of this customer and on this object: those that no other of them comes after. What will soon be
    /// forgotten is not among them.
    pub fn heads(&self, now: Micros, customer: u64, object: u64) -> Vec<Dot> {
        let mut heads = Vec::new();
        for dots in [self.of_customer.get(&customer), self.of_object.get(&object)].into_iter().flatten() {
            let all: Vec<&Entry> = dots.iter().filter_map(|dot| self.get(*dot)).collect();
            let newest = all.iter().filter(|e| !all.iter().any(|o| o.write.after.contains(&e.write.dot)));
            let kept = newest.filter(|e| e.over.is_none_or(|at| now - at < Micros(REMEMBERED.0 / 2)));
            heads.extend(kept.map(|e| e.write.dot));
        }
        heads.sort_unstable();
        heads.dedup();
        heads
    }

    /// Whether there is room for one more of this customer's.
    pub fn has_room(&self, customer: u64, terms: &Terms) -> bool {
        let dots = self.of_customer.get(&customer).into_iter().flatten();
        let of_one = dots.filter(|dot| self.get(**dot).is_some_and(|e| !e.state.is_over())).count();
        self.open.len() < terms.most && of_one < terms.most_of_one
    }

    /// Takes a write in, or what became of one that is held. Whether anything is new.
    pub fn take(
        &mut self,
        now: Micros,
        write: &Write,
        state: State,
        born: Micros,
        sent: Option<Micros>,
    ) -> bool {
        self.place = self.place.max(write.place);
        let dot = write.dot;
        let changed = |changed: &mut Option<BTreeSet<Dot>>| changed.iter_mut().for_each(|c| c.extend([dot]));
        let Some(entry) = self.entries.get_mut(&dot) else {
            changed(&mut self.changed);
            let over = state.is_over().then_some(now);
            self.entries.insert(dot, Entry { write: write.clone(), state, born, sent, over });
            self.of_customer.entry(write.customer).or_default().push(dot);
            self.of_object.entry(write.object).or_default().push(dot);
            if over.is_none() {
                self.open.insert((write.place, dot), ());
            }
            return true;
        };
        let merged = entry.state.merged(state);
        let earliest = [entry.sent, sent].into_iter().flatten().min();
        let new = merged != entry.state || earliest != entry.sent;
        (entry.state, entry.sent) = (merged, earliest);
        if merged.is_over() && entry.over.is_none() {
            entry.over = Some(now);
            self.open.remove(&(entry.write.place, dot));
        }
        if new {
            changed(&mut self.changed);
        }
        new
    }

    /// Forgets what ended long ago, and the oldest of what ended where there is too much of it.
    pub fn sweep(&mut self, now: Micros, terms: &Terms) {
        let mut over: Vec<(Micros, Dot)> =
            self.entries.iter().filter_map(|(dot, e)| e.over.map(|at| (at, *dot))).collect();
        over.sort_unstable();
        let spare = over.len().saturating_sub(terms.most.saturating_mul(ENDED));
        for (i, (at, dot)) in over.into_iter().enumerate() {
            if i >= spare && now - at < REMEMBERED {
                break;
            }
            if let Some(entry) = self.entries.remove(&dot) {
                self.changed.iter_mut().for_each(|changed| changed.extend([dot]));
                drop_from(&mut self.of_customer, entry.write.customer, dot);
                drop_from(&mut self.of_object, entry.write.object, dot);
            }
        }
    }
}
