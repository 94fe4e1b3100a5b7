//! Effects that go out only once this gateway's storage holds the changes that they rest on (a write-ahead log's rule).
//!
//! Parts change what they hold at once, in memory; each message and answer that follows waits here, in its order, until
//! all changes before it are stored. So whatever a process has sent, the next one under its name remembers.

use crate::decision::Micros;
use std::collections::VecDeque;

/// So many effects wait for the storage at most, each of about 1 kB; one that stands still for longer has failed.
pub const MAX_WAITING: usize = 8000;
/// With so many waiting, no write of a client's is begun.
pub const BUSY_WAITING: usize = 2000;

/// The machine's own clock, by which times are stored: the next process on it reads the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineId {
    /// Names this start of the machine.
    pub boot: u64,
    /// How long it was up when this process' part in the cluster began.
    pub uptime: Micros,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// It is being opened and read: nothing may be changed before.
    Opening,
    Working,
    Failed,
}

/// Holds effects back until the storage has what they rest on.
#[derive(Debug)]
pub struct DurabilityGate<T> {
    state: State,
    machine: MachineId,
    /// When this process' part in the cluster began.
    began: Micros,
    /// The last batch that was given to the storage, and the last that it holds.
    last_batch: u64,
    stored_batch: u64,
    /// Each with the batch that it rests on.
    waiting: VecDeque<(u64, T)>,
}

impl<T> DurabilityGate<T> {
    /// For storage that is being opened.
    pub fn new(machine: MachineId, began: Micros) -> DurabilityGate<T> {
        DurabilityGate {
            state: State::Opening,
            machine,
            began,
            last_batch: 0,
            stored_batch: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Whether the storage is being opened and read.
    pub fn is_opening(&self) -> bool {
        self.state == State::Opening
    }

    /// Whether the storage is open, and nothing has gone wrong with it.
    pub fn is_working(&self) -> bool {
        self.state == State::Working
    }

    /// How many effects wait for it.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Names this start of the machine.
    pub fn boot(&self) -> u64 {
        self.machine.boot
    }

    /// The storage was opened and read.
    pub fn on_opened(&mut self) {
        self.state = State::Working;
    }

    /// A time of this process on the machine's clock.
    pub fn local_to_machine_time(&self, at: Micros) -> Micros {
        self.machine.uptime + (at - self.began)
    }

    /// A time of the machine's clock on this process' clock; what is older than that clock, at its beginning.
    pub fn machine_to_local_time(&self, at: Micros) -> Micros {
        match at > self.machine.uptime {
            true => self.began + (at - self.machine.uptime),
            false => self.began - (self.machine.uptime - at),
        }
    }

    /// The number of a next batch of changes.
    pub fn next_batch(&mut self) -> u64 {
        self.last_batch += 1;
        self.last_batch
    }

    /// Takes effects, and returns those that rest on nothing that is not stored yet.
    pub fn pass(&mut self, effects: Vec<T>) -> Vec<T> {
        let nothing_waits = self.stored_batch == self.last_batch && self.waiting.is_empty();
        if !self.is_working() || nothing_waits {
            return effects;
        }
        let rests_on = self.last_batch;
        self.waiting.extend(effects.into_iter().map(|effect| (rests_on, effect)));
        Vec::new()
    }

    /// The storage holds all up to this batch: returns what may go out.
    pub fn on_stored(&mut self, batch: u64) -> Vec<T> {
        self.stored_batch = self.stored_batch.max(batch.min(self.last_batch));
        let stored = self.stored_batch;
        let released = self.waiting.iter().take_while(|(rests_on, _)| *rests_on <= stored).count();
        self.waiting.drain(..released).map(|(_, effect)| effect).collect()
    }

    /// The storage takes nothing any more: what waits never goes out. Returns whether that is news.
    pub fn on_failed(&mut self) -> bool {
        let is_news = self.state != State::Failed;
        self.waiting.clear();
        self.state = State::Failed;
        is_news
    }
}

#[cfg(test)]
mod tests;
