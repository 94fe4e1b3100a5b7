//! What the others hold: asked for page by page, again and again; a gateway that starts has no vote before it has it all.

use crate::cluster::write_queue::replica::*;

impl Clerk {
    /// What another was asked for is here, as far as it is to be had.
    pub(super) fn has_come(&mut self, seat: u16, dot: Dot) {
        if let Some(walk) = self.walks.get_mut(&seat) {
            walk.missing.remove(&dot);
        }
    }

    /// A page of what another holds.
    pub(super) fn page(
        &mut self,
        now: Micros,
        seat: u16,
        page: (u64, Vec<(Dot, u32)>, bool, bool),
        out: &mut Vec<Telling>,
    ) {
        let (round, names, more, votes) = page;
        let shelf = &self.shelf;
        let Some(walk) = self.walks.get_mut(&seat).filter(|w| w.round == round && round > 0) else { return };
        if names.len() > PAGE {
            return;
        }
        walk.voted = votes;
        let behind =
            names.iter().filter(|(dot, rank)| shelf.get(*dot).is_none_or(|e| e.state.rank() < *rank));
        walk.missing = behind.map(|(dot, _)| *dot).collect();
        walk.last = !more;
        walk.to = names.last().map(|(dot, _)| *dot).or(walk.after);
        walk.asked = now;
        let missing: Vec<Dot> = walk.missing.iter().copied().collect();
        out.extend(missing.chunks(FETCH).map(|some| Telling::To(seat, Message::Fetch(some.to_vec()))));
        self.walk_on(now, seat, out);
    }

    /// Goes on to the next page once all of this one is here.
    pub(super) fn walk_on(&mut self, now: Micros, seat: u16, out: &mut Vec<Telling>) {
        let Some(walk) = self.walks.get_mut(&seat).filter(|w| w.round > 0 && w.missing.is_empty()) else {
            return;
        };
        // A page has come: there is somewhere to go on from, or nothing at all.
        if walk.to == walk.after && !walk.last {
            return;
        }
        walk.after = walk.to;
        if walk.last {
            (walk.round, walk.last) = (0, false);
            walk.ended += 1;
            self.rounds_over(now);
        } else {
            walk.asked = now;
            self.token += 1;
            walk.round = self.token;
            out.push(Telling::To(seat, Message::Want(walk.round, walk.after)));
        }
    }

    /// Counts rounds that more than half, this one among them, have ended, and votes once that is enough.
    pub(super) fn rounds_over(&mut self, now: Micros) {
        let mut ended: Vec<u64> = self.walks.values().map(|w| w.ended).collect();
        ended.sort_unstable_by(|a, b| b.cmp(a));
        let others = self.terms.majority() - 1;
        self.rounds = others.checked_sub(1).and_then(|i| ended.get(i)).copied().unwrap_or(self.rounds);
        if self.votes || self.barred {
            return;
        }
        // What more than half hold is held by one of so many that have a vote, whoever this one was before.
        let sure = self.walks.values().filter(|w| w.ended > 0 && w.voted).count();
        let asked = self.walks.values().filter(|w| w.ended > 0).count();
        let none_votes = self.walks.values().all(|w| !w.voted) && asked >= others;
        let enough = self.terms.seats.len() - self.terms.majority() + 1;
        self.votes = sure >= enough.min(self.walks.len()) || none_votes && now - self.born >= ALL_NEW;
    }

    /// Begins a round at each other one again and again, and asks again where an answer was lost.
    pub(super) fn ask_rounds(&mut self, now: Micros, out: &mut Vec<Telling>) {
        for (seat, walk) in &mut self.walks {
            let due = match walk.round {
                0 => now - walk.asked >= ROUND || walk.asked == Micros(0),
                _ => now - walk.asked >= AGAIN + AGAIN,
            };
            if !due {
                continue;
            }
            if walk.round == 0 {
                (walk.after, walk.to) = (None, None);
            }
            self.token += 1;
            (walk.round, walk.asked, walk.last, walk.to) = (self.token, now, false, walk.after);
            walk.missing.clear();
            out.push(Telling::To(*seat, Message::Want(walk.round, walk.after)));
        }
    }
}
