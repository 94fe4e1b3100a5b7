//! Whether the branch is cut off: by own attempts, and by what more than half of its gateways say.

use crate::cluster::write_queue::Terms;
use crate::cluster::Micros;
use std::collections::BTreeMap;

/// Another's word counts for so long.
const WORD: Micros = Micros(1_500_000);
/// So many failures in a row, at least, speak for a line that is down.
const FAILURES: u32 = 3;
/// A line that came back is up once it has held for so long, and twice as long after each relapse.
const HOLDS: Micros = Micros(1_000_000);
const LONGEST_HOLD: Micros = Micros(16_000_000);

/// The line, as seen from one gateway.
#[derive(Debug, Clone)]
pub struct Line {
    answered: Micros,
    failures: u32,
    /// Down by the own evidence.
    own_down: bool,
    /// Answers have come again since then.
    up_since: Option<Micros>,
    hold: Micros,
    relapse: Micros,
    others: BTreeMap<u16, (Micros, bool)>,
    cut: bool,
}

impl Line {
    /// A line that is up for all that is known.
    pub fn new(now: Micros) -> Line {
        Line {
            answered: now,
            failures: 0,
            own_down: false,
            up_since: None,
            hold: HOLDS,
            relapse: now,
            others: BTreeMap::new(),
            cut: false,
        }
    }

    /// An attempt, or a look, outside was answered, whatever the answer, or not.
    pub fn saw(&mut self, now: Micros, answered: bool, terms: &Terms) {
        if answered {
            (self.answered, self.failures) = (now, 0);
            if self.own_down {
                let since = *self.up_since.get_or_insert(now);
                if now - since >= self.hold {
                    (self.own_down, self.up_since, self.relapse) = (false, None, now);
                }
            }
            return;
        }
        self.failures = self.failures.saturating_add(1);
        if self.own_down {
            if self.up_since.take().is_some() {
                self.hold = (self.hold + self.hold).min(LONGEST_HOLD);
            }
        } else if self.failures >= FAILURES && now - self.answered >= terms.cut_after {
            // Soon again: it flaps, and is waited for longer.
            let soon = now - self.relapse < LONGEST_HOLD;
            self.hold = if soon && self.relapse > Micros(0) {
                (self.hold + self.hold).min(LONGEST_HOLD)
            } else {
                HOLDS
            };
            self.own_down = true;
            self.up_since = None;
        }
    }

    /// Another gateway of the branch says how its line is.
    pub fn hear(&mut self, now: Micros, seat: u16, down: bool) {
        self.others.insert(seat, (now, down));
    }

    /// Whether the own evidence says down, and how long ago the last answer came.
    pub fn own(&self, now: Micros) -> (bool, Micros) {
        (self.own_down, now - self.answered)
    }

    /// Whether the branch is cut off: down from here, and more than half of the branch say so. Some that have an
    /// answer mean that it is this gateway's own line.
    pub fn update(&mut self, now: Micros, terms: &Terms) -> bool {
        self.others.retain(|_, (at, _)| now - *at < WORD);
        let down = self.others.values().filter(|(_, down)| *down).count() + usize::from(self.own_down);
        self.cut = self.own_down && down >= terms.majority();
        self.cut
    }

    /// What `update` said last.
    pub fn is_cut(&self) -> bool {
        self.cut
    }
}
