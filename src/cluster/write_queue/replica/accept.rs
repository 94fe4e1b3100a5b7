//! Writes that wait for their votes: asked for, held by more than half, then accepted, or given up.

use crate::cluster::write_queue::replica::*;

impl Clerk {
    /// A write is to be accepted; whether it is, is told later under this name. None: it can't be.
    pub fn accept(
        &mut self,
        now: Micros,
        (customer, object, class, key): (u64, u64, u16, u64),
        payload: Vec<u8>,
        out: &mut Vec<Telling>,
    ) -> Option<Dot> {
        // A client that comes again with its key meets its write, once more than half hold it.
        if let Some(held) = self.shelf.same(customer, key).filter(|_| self.votes) {
            let (write, dot) = (held.write.clone(), held.write.dot);
            self.token += 1;
            let held = Some(BTreeSet::from([self.own]));
            let (since, said) = (now, Micros(0));
            self.opening.insert(self.token, Opening { write, since, said, heads: BTreeMap::new(), held });
            self.go_on(now, self.token, out);
            return Some(dot);
        }
        let room = self.votes && self.opening.len() < MOST_OPEN && self.shelf.has_room(customer, &self.terms);
        let dot = Dot { seat: self.own, life: self.life, number: self.number.checked_add(1)? };
        let write = Write { dot, customer, object, class, key, place: 0, after: Vec::new(), payload };
        if !room || postcard::to_allocvec(&write).map_or(true, |b| b.len() + 120 > LONGEST) {
            self.tallies.refused += 1;
            return None;
        }
        self.number = dot.number;
        self.token += 1;
        let token = self.token;
        let own = (self.shelf.heads(now, customer, object), self.shelf.place());
        let heads = BTreeMap::from([(self.own, own)]);
        let opening = Opening { write, since: now, said: now, heads, held: None };
        let ask = |seat| Telling::To(seat, Message::Ask(token, customer, object));
        out.extend(self.others().into_iter().map(ask));
        self.opening.insert(token, opening);
        self.go_on(now, token, out);
        Some(dot)
    }

    /// Looks whether an opening has the votes for its next step.
    pub(super) fn go_on(&mut self, now: Micros, token: u64, out: &mut Vec<Telling>) {
        let majority = self.terms.majority();
        let Some(opening) = self.opening.get_mut(&token) else { return };
        if opening.held.is_none() && opening.heads.len() >= majority {
            // Whatever was accepted before is known to one of them.
            let mut after: Vec<Dot> =
                opening.heads.values().flat_map(|(heads, _)| heads.iter().copied()).collect();
            after.sort_unstable();
            after.dedup();
            if after.len() > MOST_AFTER {
                // Too many at one time; the client comes again.
                let dot = opening.write.dot;
                self.opening.remove(&token);
                self.tallies.refused += 1;
                return out.push(Telling::Accepted(dot, false));
            }
            // It is held with all that it comes after, or that could be lost behind one that nobody accepted.
            let mut lacks = false;
            for (seat, (heads, _)) in &opening.heads {
                let missing = self.shelf.missing(heads);
                lacks |= !missing.is_empty();
                if !missing.is_empty() && *seat != self.own {
                    out.push(Telling::To(*seat, Message::Fetch(missing)));
                }
            }
            if lacks {
                return;
            }
            let place = opening.heads.values().map(|(_, place)| *place).max().unwrap_or(0).saturating_add(1);
            (opening.write.after, opening.write.place) = (after, place);
            opening.held = Some(BTreeSet::from([self.own]));
            let write = opening.write.clone();
            self.shelf.take(now, &write, State::Waiting(0), now, None);
            let hold = Message::Hold(Box::new(write), State::Waiting(0), Micros(0), None);
            out.extend(self.others().into_iter().map(|seat| Telling::To(seat, hold.clone())));
        }
        let Some(opening) = self.opening.get(&token) else { return };
        if opening.held.as_ref().is_some_and(|held| held.len() >= majority) {
            let dot = opening.write.dot;
            self.opening.remove(&token);
            self.tallies.accepted += 1;
            out.push(Telling::Accepted(dot, true));
        }
    }

    pub(super) fn held(&mut self, now: Micros, seat: u16, dot: Dot, state: State, out: &mut Vec<Telling>) {
        let opened = self.opening.iter_mut().find(|(_, o)| o.write.dot == dot);
        if let Some((token, held)) = opened.and_then(|(t, o)| Some((*t, o.held.as_mut()?))) {
            if state == State::Ended(End::Expired) {
                // It was withdrawn meanwhile.
                self.opening.remove(&token);
                self.tallies.refused += 1;
                out.push(Telling::Accepted(dot, false));
            } else {
                held.insert(seat);
                self.go_on(now, token, out);
            }
        }
        let Some(saying) = self.saying.get_mut(&dot) else { return };
        if state.rank() > saying.state.rank() {
            // Another knows better.
            self.saying.remove(&dot);
            return;
        }
        if state == saying.state {
            saying.held.insert(seat);
            self.said(dot, out);
        }
    }

    pub(super) fn openings(&mut self, now: Micros, out: &mut Vec<Telling>) {
        let late: Vec<u64> =
            self.opening.iter().filter(|(_, o)| now - o.since >= ACCEPT).map(|(token, _)| *token).collect();
        for token in late {
            if let Some(opening) = self.opening.remove(&token) {
                self.tallies.refused += 1;
                let dot = opening.write.dot;
                out.push(Telling::Accepted(dot, false));
                // Some may hold it: its client was told that it was not taken, and may come again.
                self.say(now, dot, State::Ended(End::Expired), None, out);
            }
        }
        let others = self.others();
        let lacking: Vec<u64> = self
            .opening
            .iter()
            .filter(|(_, o)| now - o.said >= AGAIN && o.held.is_none())
            .map(|(token, _)| *token)
            .collect();
        lacking.into_iter().for_each(|token| self.go_on(now, token, out));
        for (token, opening) in self.opening.iter_mut().filter(|(_, o)| now - o.said >= AGAIN) {
            opening.said = now;
            let write = &opening.write;
            for seat in &others {
                match &opening.held {
                    None if !opening.heads.contains_key(seat) => {
                        out.push(Telling::To(*seat, Message::Ask(*token, write.customer, write.object)));
                    }
                    Some(held) if !held.contains(seat) => {
                        out.extend(hold_of(&self.shelf, now, write.dot).map(|hold| Telling::To(*seat, hold)));
                    }
                    _ => {}
                }
            }
        }
    }
}
