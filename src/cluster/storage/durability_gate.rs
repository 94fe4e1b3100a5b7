//! What goes out only once this gateway's disk holds what it rests on, where the gateway has a disk.
//!
//! Parts change what they hold at once, in memory; every word, answer or send that follows waits here, in its order, until
//! all changes before it are on the disk. So whatever a process has said, the next one under its name remembers.

use crate::cluster::Micros;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// So many words wait for the disk at the most, each of about 1 kB; one that stands still for longer has failed.
pub const MOST_HELD: usize = 8000;
/// With so many waiting, no write of a client's is begun.
pub const BUSY: usize = 2000;

/// What becomes of one key on the disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: Vec<u8>,
    /// Its value; none: it is forgotten.
    pub value: Option<Vec<u8>>,
}

/// The machine's own time, by which what is on the disk is dated: the next process on it reads the same clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Machine {
    /// Stands for this start of the machine.
    pub boot: u64,
    /// How long it was up when this process' fleet part began.
    pub uptime: Micros,
}

/// On which list of seats, in which seat, and since which start of the machine a disk was written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The form of all that follows.
    pub form: u32,
    /// Stands for the list of seats.
    pub list: u64,
    /// The seat.
    pub seat: u16,
    /// Stands for the start of the machine.
    pub boot: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// It is being opened and read: nothing may be changed before.
    Awaited,
    Works,
    Failed,
}

/// The way of all that rests on the disk.
#[derive(Debug)]
pub struct Durable<T> {
    state: State,
    machine: Machine,
    /// When this fleet part began.
    began: Micros,
    /// The last batch given to the disk, and the last that it holds.
    given: u64,
    kept: u64,
    held: VecDeque<(u64, T)>,
}

impl<T> Durable<T> {
    /// A disk that is being opened.
    pub fn new(machine: Machine, began: Micros) -> Durable<T> {
        Durable { state: State::Awaited, machine, began, given: 0, kept: 0, held: VecDeque::new() }
    }

    /// It is being opened and read.
    pub fn is_awaited(&self) -> bool {
        self.state == State::Awaited
    }
    /// It is open, and nothing has gone wrong with it.
    pub fn works(&self) -> bool {
        self.state == State::Works
    }
    /// How many words wait for it.
    pub fn waits(&self) -> usize {
        self.held.len()
    }
    /// Which start of the machine this is.
    pub fn boot(&self) -> u64 {
        self.machine.boot
    }
    /// It was opened and read.
    pub fn opened(&mut self) {
        self.state = State::Works;
    }

    /// This moment as the machine counts.
    pub fn dated(&self, at: Micros) -> Micros {
        self.machine.uptime + (at - self.began)
    }
    /// What was dated so, on this process' clock; what is older than that clock, at its beginning.
    pub fn undated(&self, dated: Micros) -> Micros {
        match dated > self.machine.uptime {
            true => self.began + (dated - self.machine.uptime),
            false => self.began - (self.machine.uptime - dated),
        }
    }

    /// Changes go to the disk as one batch, of this number.
    pub fn give(&mut self) -> u64 {
        self.given += 1;
        self.given
    }

    /// Takes what was to go out, and returns what rests on nothing that the disk does not hold yet.
    pub fn hold(&mut self, things: Vec<T>) -> Vec<T> {
        if self.state != State::Works || self.kept == self.given && self.held.is_empty() {
            return things;
        }
        let given = self.given;
        self.held.extend(things.into_iter().map(|thing| (given, thing)));
        Vec::new()
    }

    /// The disk holds all up to this batch: returns what may go out.
    pub fn holds(&mut self, batch: u64) -> Vec<T> {
        self.kept = self.kept.max(batch.min(self.given));
        let free = self.held.iter().take_while(|(rests_on, _)| *rests_on <= self.kept).count();
        self.held.drain(..free).map(|(_, thing)| thing).collect()
    }

    /// It takes nothing any more: what waits is never said. Returns whether that is news.
    pub fn fail(&mut self) -> bool {
        self.held.clear();
        std::mem::replace(&mut self.state, State::Failed) != State::Failed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_wait_for_all_changes_before_them_and_keep_their_order() {
        let mut disk: Durable<u32> = Durable::new(Machine { boot: 1, uptime: Micros(50) }, Micros(1000));
        disk.opened();
        assert_eq!(disk.hold(vec![1, 2]), [1, 2], "nothing was changed");
        let first = disk.give();
        assert!(disk.hold(vec![3]).is_empty());
        let second = disk.give();
        assert!(disk.hold(vec![4, 5]).is_empty());
        assert_eq!(disk.holds(first), [3]);
        assert!(disk.hold(vec![6]).is_empty(), "behind those before it");
        assert_eq!(disk.holds(second + 7), [4, 5, 6], "no batch that was never given counts");
        let third = disk.give();
        assert!(disk.hold(vec![7]).is_empty());
        assert!(disk.fail() && !disk.fail());
        assert_eq!(
            (disk.holds(third), disk.waits()),
            (vec![], 0),
            "what a broken disk did not hold is never said"
        );
        assert_eq!((disk.dated(Micros(1010)), disk.undated(Micros(60))), (Micros(60), Micros(1010)));
        assert_eq!(disk.undated(Micros(20)), Micros(970), "from before this process");
    }
}
