//! Who says what, and how old each word is at most: every member's view, passed on from member to member.
//!
//! Ages need no common clock. Words travel in answers only: an answer was made after its question was sent, so
//! what it holds is at most as old as it says plus the time since the question. A word read off a socket after a
//! pause is as old as it is.

use crate::cluster::quota_lease::view::{Say, View};
use crate::cluster::Micros;
use serde::{Deserialize, Serialize};

/// A word counts for so long after it was said.
pub const VALID: Micros = Micros(10_000_000);
/// What one byte of a table says of an age: whole parts of `VALID`.
const PARTS: u64 = 15;
/// No word.
const NONE: u8 = 0xff;
/// Views that are kept, the own one among them.
const MOST_VIEWS: usize = 15;
/// No fleet comes to a number above this, and each has room for one more.
const HIGHEST: u64 = u64::MAX / 2;
/// Views that go out whole with a table.
const WHOLE: usize = 2;

/// What a member knows of all words, as it goes over the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The digests of the views that entries point at.
    digests: Vec<u64>,
    /// For each seat: the view's place (high four bits) and the age in parts (low four), or 0xff.
    entries: Vec<u8>,
    /// Some of the views, whole.
    views: Vec<View>,
}

/// One member's last word here.
#[derive(Debug, Clone, Copy)]
struct Word {
    /// It was said then or later.
    at: Micros,
    digest: u64,
}

/// All words that a member knows.
#[derive(Debug, Default)]
pub struct Census {
    words: Vec<Option<Word>>,
    views: Vec<(u64, View)>,
}

impl Census {
    /// For so many seats.
    pub fn new(seats: usize) -> Census {
        Census { words: vec![None; seats], views: Vec::new() }
    }

    /// The own word, now.
    pub fn say(&mut self, seat: usize, view: &View, now: Micros) {
        let digest = view.digest();
        self.keep(digest, view);
        if let Some(word) = self.words.get_mut(seat) {
            *word = Some(Word { at: now, digest });
        }
    }

    fn keep(&mut self, digest: u64, view: &View) {
        if view.len() != self.words.len() || self.views.iter().any(|(d, _)| *d == digest) {
            return;
        }
        if self.views.len() >= MOST_VIEWS {
            let used = |d: u64| self.words.iter().flatten().filter(|w| w.digest == d).count();
            let least = (0..self.views.len()).min_by_key(|&i| used(self.views[i].0));
            least.into_iter().for_each(|i| drop(self.views.swap_remove(i)));
        }
        self.views.push((digest, view.clone()));
    }

    /// The highest number of any view that is known.
    pub fn highest(&self) -> u64 {
        self.views.iter().map(|(_, view)| view.number).max().unwrap_or(0)
    }
    /// A view that says the same by a higher number.
    pub fn same_higher(&self, own: &View) -> Option<u64> {
        let same = |v: &&(u64, View)| v.1.same(own) && v.1.number > own.number;
        self.views.iter().filter(same).map(|(_, view)| view.number).max()
    }

    fn fresh(&self, now: Micros) -> impl Iterator<Item = &Word> {
        self.words.iter().flatten().filter(move |word| now < word.at + VALID)
    }
    /// How many seats' words still count.
    pub fn heard(&self, now: Micros) -> usize {
        self.fresh(now).count()
    }
    /// How many of them say exactly this.
    pub fn holding(&self, digest: u64, now: Micros) -> usize {
        self.fresh(now).filter(|word| word.digest == digest).count()
    }

    /// Until when more than half of all seats say this of a seat; nothing where they do not.
    pub fn majority(&self, seat: usize, say: Say, now: Micros) -> Option<Micros> {
        let says = |digest: u64| {
            self.views.iter().find(|(d, _)| *d == digest).is_some_and(|(_, view)| view.say(seat) == say)
        };
        let mut times: Vec<Micros> = self.fresh(now).filter(|w| says(w.digest)).map(|w| w.at).collect();
        let needed = self.words.len() / 2 + 1;
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(needed - 1).map(|at| *at + VALID)
    }

    /// What goes out in an answer.
    pub fn table(&self, now: Micros, own: &View) -> Table {
        let mut digests: Vec<u64> = vec![own.digest()];
        let mut entries = Vec::with_capacity(self.words.len());
        for word in &self.words {
            // Rounded up: a word may be taken for older than it is, never for younger.
            let fresh = word.filter(|w| now < w.at + VALID);
            let parts = fresh.map(|w| ((now - w.at).0 * PARTS).div_ceil(VALID.0));
            let place = fresh.and_then(|w| {
                let known = digests.iter().position(|d| *d == w.digest);
                known.or_else(|| {
                    (digests.len() < MOST_VIEWS).then(|| {
                        digests.push(w.digest);
                        digests.len() - 1
                    })
                })
            });
            entries.push(match (place, parts) {
                (Some(place), Some(parts)) if parts < PARTS => (place as u8) << 4 | parts as u8,
                _ => NONE,
            });
        }
        let mut views: Vec<View> = vec![own.clone()];
        let used = |d: u64| self.words.iter().flatten().filter(|w| w.digest == d).count();
        let mut others: Vec<&(u64, View)> = self.views.iter().filter(|(d, _)| *d != digests[0]).collect();
        others.sort_by_key(|(d, _)| std::cmp::Reverse(used(*d)));
        views.extend(others.into_iter().take(WHOLE - 1).map(|(_, view)| view.clone()));
        Table { digests, entries, views }
    }

    /// Takes an answer to a question that was sent then. The own word stays the own. Returns whether the table
    /// made sense.
    pub fn learn(&mut self, table: &Table, asked: Micros, own: usize) -> bool {
        let seats = self.words.len();
        if table.entries.len() != seats || table.views.iter().any(|v| v.len() != seats || v.number > HIGHEST)
        {
            return false;
        }
        table.views.iter().for_each(|view| self.keep(view.digest(), view));
        for (seat, &entry) in table.entries.iter().enumerate().filter(|(seat, _)| *seat != own) {
            let place = usize::from(entry >> 4);
            let Some(&digest) = table.digests.get(place).filter(|_| entry != NONE) else { continue };
            let age = Micros(u64::from(entry & 15) * VALID.0 / PARTS + u64::from(entry & 15 != 0));
            let Some(at) = asked.0.checked_sub(age.0).map(Micros) else { continue };
            let word = &mut self.words[seat];
            if word.is_none_or(|held| held.at < at) {
                *word = Some(Word { at, digest });
            }
        }
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_table_is_refused_whole_that_no_fleet_can_have() {
        let own = View::silent(3);
        let good = Census::new(3).table(VALID, &own);
        let learns = |table: &Table| Census::new(3).learn(table, VALID, 0);
        assert!(learns(&good));
        // A number without room for the next one would have it start again from nothing.
        let mut top = own.clone();
        top.number = u64::MAX;
        assert!(!learns(&Table { views: vec![top], ..good.clone() }));
        assert!(!learns(&Table { views: vec![View::silent(4)], ..good.clone() }));
        assert!(!learns(&Table { entries: vec![0; 2], ..good.clone() }));
        // An entry that points at no view, and one older than the clock, say nothing.
        let mut census = Census::new(3);
        assert!(census.learn(&Table { entries: vec![0xff, 0x90, 0x0e], ..good }, Micros(1), 0));
        assert_eq!(census.heard(Micros(2)), 0);
    }
}
