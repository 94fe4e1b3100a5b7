//! What became of writes, told until more than half have it; and, for the branch's owner, what goes out next.

use crate::cluster::write_queue::replica::*;

impl Clerk {
    pub(super) fn hold_of(&self, now: Micros, dot: Dot) -> Option<Message> {
        hold_of(&self.shelf, now, dot)
    }

    /// Looks whether what was said of a write is held by more than half.
    pub(super) fn said(&mut self, dot: Dot, out: &mut Vec<Telling>) {
        let majority = self.terms.majority();
        let Some(saying) = self.saying.get(&dot).filter(|s| s.held.len() >= majority) else { return };
        let (state, then_send) = (saying.state, saying.then_send);
        self.saying.remove(&dot);
        if let (State::Sent(tries), Some(sent), Some(entry)) = (state, then_send, self.shelf.get(dot)) {
            self.tallies.sent += 1;
            out.push(Telling::Send(entry.write.clone(), tries, entry.sent.filter(|_| sent)));
        }
    }

    /// Says what became of a write, until more than half have it.
    pub(super) fn say(
        &mut self,
        now: Micros,
        dot: Dot,
        state: State,
        then_send: Option<bool>,
        out: &mut Vec<Telling>,
    ) {
        let Some(entry) = self.shelf.get(dot) else { return };
        let (write, born) = (entry.write.clone(), entry.born);
        let sent = matches!(state, State::Sent(_)).then_some(now).or(entry.sent);
        self.shelf.take(now, &write, state, born, sent);
        let held = BTreeSet::from([self.own]);
        self.saying.insert(dot, Saying { state, held, said: now, then_send });
        self.say_again(now, dot, out);
        self.said(dot, out);
    }

    pub(super) fn say_again(&self, now: Micros, dot: Dot, out: &mut Vec<Telling>) {
        let Some(hold) = self.hold_of(now, dot) else { return };
        let held = self.saying.get(&dot).map(|s| &s.held);
        let silent = self.others().into_iter().filter(|seat| held.is_none_or(|held| !held.contains(seat)));
        out.extend(silent.map(|seat| Telling::To(seat, hold.clone())));
    }

    pub(super) fn sayings(&mut self, now: Micros, out: &mut Vec<Telling>) {
        let again: Vec<Dot> =
            self.saying.iter().filter(|(_, s)| now - s.said >= AGAIN).map(|(dot, _)| *dot).collect();
        for dot in again {
            self.say_again(now, dot, out);
            self.saying.get_mut(&dot).into_iter().for_each(|s| s.said = now);
        }
    }

    /// A send that was asked for was not begun, as the record was no longer surely this one's. Others may think it was.
    pub fn dropped(&mut self, dot: Dot) {
        self.replay.forget(dot);
    }

    /// A send that was asked for ended.
    pub fn finished(&mut self, now: Micros, dot: Dot, tries: u16, fate: Fate, out: &mut Vec<Telling>) {
        let state = self.replay.finished(now, dot, tries, fate, &self.terms);
        match state {
            State::Ended(End::Done(status)) if status < 400 => self.tallies.done += 1,
            State::Ended(end) => {
                self.tallies.not_done += 1;
                out.push(Telling::NotDone(dot, end));
            }
            _ => {}
        }
        self.say(now, dot, state, None, out);
    }

    /// Sends on what may go: not before more than half told what they hold since this one took the lead.
    pub(super) fn send_on(&mut self, now: Micros, out: &mut Vec<Telling>) {
        let from = match self.led_from {
            Some(from) => from,
            None => {
                // Rounds that had begun before may have missed what an owner before this one said last.
                self.led_from = Some(self.rounds);
                self.walks.values_mut().for_each(|walk| (walk.round, walk.asked) = (0, Micros(0)));
                self.ask_rounds(now, out);
                self.rounds
            }
        };
        if self.terms.seats.len() > 1 && self.rounds < from + 1 {
            return;
        }
        let rounds = self.rounds;
        let missing =
            self.shelf.waiting().flat_map(|e| &e.write.after).filter(|d| self.shelf.get(**d).is_none());
        let missing: BTreeSet<Dot> = missing.copied().collect();
        self.missed.retain(|dot, _| missing.contains(dot));
        for dot in missing {
            self.missed.entry(dot).or_insert(rounds);
        }
        let missed = &self.missed;
        let alone = self.terms.seats.len() == 1;
        let void = |dot: Dot| alone || missed.get(&dot).is_some_and(|since| rounds >= since + 2);
        for step in self.replay.next(now, &self.shelf, &self.terms, void) {
            match step {
                Step::Begin(dot, tries) => {
                    let before = self.shelf.get(dot).is_some_and(|e| matches!(e.state, State::Sent(_)));
                    self.say(now, dot, State::Sent(tries), Some(before), out);
                }
                Step::End(dot, end) => {
                    self.tallies.not_done += 1;
                    out.push(Telling::NotDone(dot, end));
                    self.say(now, dot, State::Ended(end), None, out);
                }
            }
        }
    }
}
