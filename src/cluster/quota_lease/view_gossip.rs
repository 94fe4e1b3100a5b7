//! Gossip of every member's current view and its age.
//!
//! Ages need no synchronized clocks. Statements are sent in replies only, and a reply is made after its request was
//! sent: its statements are at most as old as it says plus the time since the request. The age of a reply that waited
//! in a socket's buffer while the process was paused is therefore not underestimated.

use crate::cluster::quota_lease::view::{SeatStatement, View};
use crate::decision::Micros;
use serde::{Deserialize, Serialize};

/// How long a statement is valid after it was made.
pub const STATEMENT_VALIDITY: Micros = Micros(10_000_000);
/// Number of steps into which a table divides `STATEMENT_VALIDITY` to encode ages.
const AGE_STEPS: u64 = 15;
/// Number of low bits of an entry that hold the age; the high bits hold the index of the view's digest.
const AGE_BITS: u8 = 4;
const AGE_MASK: u8 = (1 << AGE_BITS) - 1;
/// Entry of a seat without a valid statement.
const NO_ENTRY: u8 = 0xff;
/// Maximum number of views that are stored, and that the entries of a table can refer to.
const MAX_VIEWS: usize = 15;
/// Number of complete views sent with a table.
const VIEWS_IN_TABLE: usize = 2;
/// Maximum accepted view number, which no cluster reaches. A forged higher one could leave no room for the next number.
const MAX_VIEW_NUMBER: u64 = u64::MAX / 2;

/// Table of all statements known to a member. The order of the fields is the wire form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Digests of the views that entries refer to; the sender's own is the first.
    digests: Vec<u64>,
    /// For each seat the index of its view's digest (high four bits) and the view's age in steps (low four bits), or
    /// 0xff.
    entries: Vec<u8>,
    /// Some of the views, complete.
    views: Vec<View>,
}

/// Last known view of a seat.
#[derive(Debug, Clone, Copy)]
struct SeatEntry {
    /// Time at or after which the view was stated.
    stated_at: Micros,
    digest: u64,
}

/// A view and its digest.
#[derive(Debug)]
struct KnownView {
    digest: u64,
    view: View,
}

/// Views of all members, as far as they are known to this one.
#[derive(Debug, Default)]
pub struct ViewGossip {
    seats: Vec<Option<SeatEntry>>,
    views: Vec<KnownView>,
}

impl ViewGossip {
    /// Creates an empty state for `seats` seats.
    pub fn new(seats: usize) -> ViewGossip {
        ViewGossip { seats: vec![None; seats], views: Vec::new() }
    }

    /// Records the current view of this member, which has seat `seat`.
    pub fn record_own_view(&mut self, seat: usize, view: &View, now: Micros) {
        let digest = view.digest();
        self.store_view(digest, view);
        if let Some(entry) = self.seats.get_mut(seat) {
            *entry = Some(SeatEntry { stated_at: now, digest });
        }
    }

    /// Stores a view; if there are too many, it replaces the one that the fewest seats state.
    fn store_view(&mut self, digest: u64, view: &View) {
        if view.seats() != self.seats.len() || self.views.iter().any(|known| known.digest == digest) {
            return;
        }
        if self.views.len() >= MAX_VIEWS {
            let supporters = |index: &usize| self.seats_last_stating(self.views[*index].digest);
            if let Some(least_stated) = (0..self.views.len()).min_by_key(supporters) {
                self.views.swap_remove(least_stated);
            }
        }
        self.views.push(KnownView { digest, view: view.clone() });
    }

    /// Number of seats whose last known view is this one, regardless of its age.
    fn seats_last_stating(&self, digest: u64) -> usize {
        self.seats.iter().flatten().filter(|entry| entry.digest == digest).count()
    }

    /// Highest number of all known views.
    pub fn highest_number(&self) -> u64 {
        self.views.iter().map(|known| known.view.number).max().unwrap_or(0)
    }

    /// Returns the highest number, above that of `own`, under which others make the same statements.
    pub fn higher_number_of_same_statements(&self, own: &View) -> Option<u64> {
        let views = self.views.iter().map(|known| &known.view);
        let matching = views.filter(|view| view.has_same_statements(own) && view.number > own.number);
        matching.map(|view| view.number).max()
    }

    fn valid_entries(&self, now: Micros) -> impl Iterator<Item = &SeatEntry> {
        self.seats.iter().flatten().filter(move |entry| now < entry.stated_at + STATEMENT_VALIDITY)
    }

    /// Number of seats with valid statements.
    pub fn seats_reporting(&self, now: Micros) -> usize {
        self.valid_entries(now).count()
    }

    /// Number of seats whose valid statements are exactly this view.
    pub fn seats_stating(&self, digest: u64, now: Micros) -> usize {
        self.valid_entries(now).filter(|entry| entry.digest == digest).count()
    }

    /// Returns the time until which more than half of all seats make this statement on a seat; `None` if they do not.
    pub fn majority_until(&self, seat: usize, statement: SeatStatement, now: Micros) -> Option<Micros> {
        let makes_statement = |digest: u64| {
            let known = self.views.iter().find(|known| known.digest == digest);
            known.is_some_and(|known| known.view.statement(seat) == statement)
        };
        let valid_entries = self.valid_entries(now).filter(|entry| makes_statement(entry.digest));
        let mut times: Vec<Micros> = valid_entries.map(|entry| entry.stated_at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let majority = self.seats.len() / 2 + 1;
        // The majority lasts until the oldest of the most recent statements that form it expires.
        times.get(majority - 1).map(|stated_at| *stated_at + STATEMENT_VALIDITY)
    }

    /// Builds the table for a reply.
    pub fn table(&self, now: Micros, own: &View) -> Table {
        let mut digests: Vec<u64> = vec![own.digest()];
        let entries = self.seats.iter().map(|entry| encode_entry(*entry, now, &mut digests)).collect();
        let mut others: Vec<&KnownView> =
            self.views.iter().filter(|known| known.digest != digests[0]).collect();
        others.sort_by_key(|known| std::cmp::Reverse(self.seats_last_stating(known.digest)));
        let mut views: Vec<View> = vec![own.clone()];
        views.extend(others.into_iter().take(VIEWS_IN_TABLE - 1).map(|known| known.view.clone()));
        Table { digests, entries, views }
    }

    /// Merges the table of a reply to a request that was sent at `requested_at`, except for the entry of this member's
    /// own seat. Returns whether the table was valid; an invalid one is ignored entirely.
    pub fn merge(&mut self, table: &Table, requested_at: Micros, own_seat: usize) -> bool {
        if !self.is_valid(table) {
            return false;
        }
        for view in &table.views {
            self.store_view(view.digest(), view);
        }
        for (seat, &encoded) in table.entries.iter().enumerate() {
            if seat == own_seat {
                continue;
            }
            let Some(entry) = decode_entry(encoded, &table.digests, requested_at) else { continue };
            let known = &mut self.seats[seat];
            if known.is_none_or(|known| known.stated_at < entry.stated_at) {
                *known = Some(entry);
            }
        }
        true
    }

    fn is_valid(&self, table: &Table) -> bool {
        let seats = self.seats.len();
        let is_view_valid = |view: &View| view.seats() == seats && view.number <= MAX_VIEW_NUMBER;
        table.entries.len() == seats && table.views.iter().all(is_view_valid)
    }
}

/// Encodes a seat's entry of a table. Ages are rounded up, so that a statement is never considered more recent than it
/// is.
fn encode_entry(entry: Option<SeatEntry>, now: Micros, digests: &mut Vec<u64>) -> u8 {
    let Some(entry) = entry.filter(|entry| now < entry.stated_at + STATEMENT_VALIDITY) else {
        return NO_ENTRY;
    };
    let steps = ((now - entry.stated_at).0 * AGE_STEPS).div_ceil(STATEMENT_VALIDITY.0);
    let Some(index) = index_of_digest(entry.digest, digests) else { return NO_ENTRY };
    if steps >= AGE_STEPS {
        return NO_ENTRY;
    }
    (index as u8) << AGE_BITS | steps as u8
}

/// Returns the index of a digest, after adding the digest if it is missing and there is room for it.
fn index_of_digest(digest: u64, digests: &mut Vec<u64>) -> Option<usize> {
    if let Some(index) = digests.iter().position(|known| *known == digest) {
        return Some(index);
    }
    if digests.len() >= MAX_VIEWS {
        return None;
    }
    digests.push(digest);
    Some(digests.len() - 1)
}

fn decode_entry(encoded: u8, digests: &[u64], requested_at: Micros) -> Option<SeatEntry> {
    if encoded == NO_ENTRY {
        return None;
    }
    let digest = *digests.get(usize::from(encoded >> AGE_BITS))?;
    let steps = u64::from(encoded & AGE_MASK);
    // Plus one microsecond, because the division rounds down.
    let age = steps * STATEMENT_VALIDITY.0 / AGE_STEPS + u64::from(steps != 0);
    let stated_at = Micros(requested_at.0.checked_sub(age)?);
    Some(SeatEntry { stated_at, digest })
}

#[cfg(test)]
mod tests;
