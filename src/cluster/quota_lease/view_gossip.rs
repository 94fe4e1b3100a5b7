//! Every member's current view and its age, passed on from member to member.
//!
//! Ages need no common clock. Statements travel in replies only, and a reply is made after its request was sent: what it
//! holds is at most as old as it says plus the time since the request. So a reply that lay in a socket's buffer while
//! the process was paused is taken for as old as it is.

use crate::cluster::quota_lease::view::{SeatStatement, View};
use crate::decision::Micros;
use serde::{Deserialize, Serialize};

/// How long a statement counts after it was made.
pub const STATEMENT_VALIDITY: Micros = Micros(10_000_000);
/// The parts of `STATEMENT_VALIDITY` in which a table gives ages.
const AGE_PARTS: u64 = 15;
/// The bits of an entry that hold the age; those above hold the view's place among the digests.
const AGE_BITS: u8 = 4;
const AGE_MASK: u8 = (1 << AGE_BITS) - 1;
/// The entry of a seat that states nothing that still counts.
const NO_ENTRY: u8 = 0xff;
/// The most views that are kept, and that a table's entries can point at.
const MAX_VIEWS: usize = 15;
/// Views that go out whole with a table.
const VIEWS_IN_TABLE: usize = 2;
/// No cluster reaches a view's number above this. A forged higher one would leave no room for the next number.
const MAX_VIEW_NUMBER: u64 = u64::MAX / 2;

/// What a member knows of all statements. The order of the fields is the wire form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The digests of the views that entries point at; the sender's own is the first.
    digests: Vec<u64>,
    /// For each seat the view's place among the digests (high four bits) and its age in parts (low four), or 0xff.
    entries: Vec<u8>,
    /// Some of the views, whole.
    views: Vec<View>,
}

/// A seat's last view that is known here.
#[derive(Debug, Clone, Copy)]
struct SeatEntry {
    /// It was stated then or later.
    stated_at: Micros,
    digest: u64,
}

/// A view and its digest.
#[derive(Debug)]
struct KnownView {
    digest: u64,
    view: View,
}

/// All members' views, as far as they are known here.
#[derive(Debug, Default)]
pub struct ViewGossip {
    seats: Vec<Option<SeatEntry>>,
    views: Vec<KnownView>,
}

impl ViewGossip {
    /// For this many seats.
    pub fn new(seats: usize) -> ViewGossip {
        ViewGossip { seats: vec![None; seats], views: Vec::new() }
    }

    /// This member, in this seat, states its view now.
    pub fn state(&mut self, seat: usize, view: &View, now: Micros) {
        let digest = view.digest();
        self.keep_view(digest, view);
        if let Some(entry) = self.seats.get_mut(seat) {
            *entry = Some(SeatEntry { stated_at: now, digest });
        }
    }

    /// Keeps a view; where there are too many, the one that the fewest seats state gives way.
    fn keep_view(&mut self, digest: u64, view: &View) {
        if view.seats() != self.seats.len() || self.views.iter().any(|known| known.digest == digest) {
            return;
        }
        if self.views.len() >= MAX_VIEWS {
            let stated = |i: &usize| self.stated_by(self.views[*i].digest);
            if let Some(least) = (0..self.views.len()).min_by_key(stated) {
                self.views.swap_remove(least);
            }
        }
        self.views.push(KnownView { digest, view: view.clone() });
    }

    /// How many seats stated this view last, at whatever age.
    fn stated_by(&self, digest: u64) -> usize {
        self.seats.iter().flatten().filter(|entry| entry.digest == digest).count()
    }

    /// The highest number of any view that is known.
    pub fn highest_number(&self) -> u64 {
        self.views.iter().map(|known| known.view.number).max().unwrap_or(0)
    }

    /// The highest number above this view's under which others state the same.
    pub fn higher_number_of_same(&self, own: &View) -> Option<u64> {
        let views = self.views.iter().map(|known| &known.view);
        let same = views.filter(|view| view.has_same_statements(own) && view.number > own.number);
        same.map(|view| view.number).max()
    }

    fn current(&self, now: Micros) -> impl Iterator<Item = &SeatEntry> {
        self.seats.iter().flatten().filter(move |entry| now < entry.stated_at + STATEMENT_VALIDITY)
    }

    /// How many seats' statements still count.
    pub fn seats_reporting(&self, now: Micros) -> usize {
        self.current(now).count()
    }

    /// How many of them state exactly this view.
    pub fn seats_stating(&self, digest: u64, now: Micros) -> usize {
        self.current(now).filter(|entry| entry.digest == digest).count()
    }

    /// Until when more than half of all seats state this of a seat; nothing where they do not.
    pub fn majority_until(&self, seat: usize, statement: SeatStatement, now: Micros) -> Option<Micros> {
        let states_it = |digest: u64| {
            let known = self.views.iter().find(|known| known.digest == digest);
            known.is_some_and(|known| known.view.statement(seat) == statement)
        };
        let current = self.current(now).filter(|entry| states_it(entry.digest));
        let mut times: Vec<Micros> = current.map(|entry| entry.stated_at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let majority = self.seats.len() / 2 + 1;
        // The majority ends once the oldest of the youngest statements that make it up counts no more.
        times.get(majority - 1).map(|at| *at + STATEMENT_VALIDITY)
    }

    /// What goes out in a reply.
    pub fn table(&self, now: Micros, own: &View) -> Table {
        let mut digests: Vec<u64> = vec![own.digest()];
        let entries = self.seats.iter().map(|entry| encode_entry(*entry, now, &mut digests)).collect();
        let mut others: Vec<&KnownView> =
            self.views.iter().filter(|known| known.digest != digests[0]).collect();
        others.sort_by_key(|known| std::cmp::Reverse(self.stated_by(known.digest)));
        let mut views: Vec<View> = vec![own.clone()];
        views.extend(others.into_iter().take(VIEWS_IN_TABLE - 1).map(|known| known.view.clone()));
        Table { digests, entries, views }
    }

    /// Takes the reply to a request that was sent at `requested_at`. The own seat's entry stays as it is. Returns
    /// whether the table was valid; of an invalid one nothing is taken.
    pub fn merge(&mut self, table: &Table, requested_at: Micros, own_seat: usize) -> bool {
        if !self.is_valid(table) {
            return false;
        }
        for view in &table.views {
            self.keep_view(view.digest(), view);
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

/// A seat's entry in a table. Ages are rounded up: a statement may be taken for older than it is, never for younger.
fn encode_entry(entry: Option<SeatEntry>, now: Micros, digests: &mut Vec<u64>) -> u8 {
    let Some(entry) = entry.filter(|entry| now < entry.stated_at + STATEMENT_VALIDITY) else {
        return NO_ENTRY;
    };
    let parts = ((now - entry.stated_at).0 * AGE_PARTS).div_ceil(STATEMENT_VALIDITY.0);
    let Some(place) = place_of(entry.digest, digests) else { return NO_ENTRY };
    if parts >= AGE_PARTS {
        return NO_ENTRY;
    }
    (place as u8) << AGE_BITS | parts as u8
}

/// The place of a digest, which is added where there is room for it.
fn place_of(digest: u64, digests: &mut Vec<u64>) -> Option<usize> {
    if let Some(place) = digests.iter().position(|known| *known == digest) {
        return Some(place);
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
    let parts = u64::from(encoded & AGE_MASK);
    // One microsecond more than the division yields, as that rounds down.
    let age = parts * STATEMENT_VALIDITY.0 / AGE_PARTS + u64::from(parts != 0);
    let stated_at = Micros(requested_at.0.checked_sub(age)?);
    Some(SeatEntry { stated_at, digest })
}

#[cfg(test)]
mod tests;
