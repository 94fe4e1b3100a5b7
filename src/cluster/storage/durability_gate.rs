//! Delays effects until the changes that they depend on are stored, as a write-ahead log requires.
//!
//! The write queue, the ledger and the rollout change their state in memory at once. Each message or response
//! that follows waits here, in order, until all earlier changes are stored, so that a restarted process
//! remembers everything that the process before it sent.

use crate::decision::Micros;
use std::collections::VecDeque;

/// Maximum number of effects waiting for the storage, each of about 1 kB. Storage that falls further behind
/// is treated as failed.
pub const MAX_WAITING: usize = 8000;
/// Maximum number of waiting effects with which the gateway still begins to accept writes of clients.
pub const MAX_WAITING_FOR_NEW_WRITES: usize = 2000;

/// Identifies the clock of the machine. Stored times are times of this clock, because later processes on the
/// machine read the same clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineId {
    /// Identifier of the current start of the machine.
    pub boot: u64,
    /// Uptime of the machine when this process created its cluster node.
    pub uptime: Micros,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The storage is being opened and read; no state may change yet.
    Opening,
    Working,
    Failed,
}

/// Queue of effects that wait until the changes they depend on are stored.
#[derive(Debug)]
pub struct DurabilityGate<T> {
    state: State,
    machine: MachineId,
    /// Local time at which this process created its cluster node.
    started_at: Micros,
    /// Number of the last batch that was passed to the storage.
    last_batch: u64,
    /// Number of the last batch that is stored.
    stored_batch: u64,
    /// Waiting effects, each with the last batch that it depends on.
    waiting: VecDeque<(u64, T)>,
}

impl<T> DurabilityGate<T> {
    /// Creates a gate for storage that is being opened.
    pub fn new(machine: MachineId, started_at: Micros) -> DurabilityGate<T> {
        DurabilityGate {
            state: State::Opening,
            machine,
            started_at,
            last_batch: 0,
            stored_batch: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Returns whether the storage is being opened and read.
    pub fn is_opening(&self) -> bool {
        self.state == State::Opening
    }

    /// Returns whether the storage is open and has not failed.
    pub fn is_working(&self) -> bool {
        self.state == State::Working
    }

    /// Returns the number of waiting effects.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the identifier of the current start of the machine.
    pub fn boot(&self) -> u64 {
        self.machine.boot
    }

    /// Called when the storage has been opened and read.
    pub fn on_opened(&mut self) {
        self.state = State::Working;
    }

    /// Converts a time of this process to the machine's clock.
    pub fn local_to_machine_time(&self, time: Micros) -> Micros {
        self.machine.uptime + (time - self.started_at)
    }

    /// Converts a time of the machine's clock to the clock of this process. Times before the zero of the
    /// process's clock become zero.
    pub fn machine_to_local_time(&self, time: Micros) -> Micros {
        match time > self.machine.uptime {
            true => self.started_at + (time - self.machine.uptime),
            false => self.started_at - (self.machine.uptime - time),
        }
    }

    /// Allocates the number of the next batch of changes.
    pub fn next_batch(&mut self) -> u64 {
        self.last_batch += 1;
        self.last_batch
    }

    /// Returns the effects at once if all changes are stored or the storage is not working; otherwise keeps
    /// them waiting and returns none.
    pub fn submit(&mut self, effects: Vec<T>) -> Vec<T> {
        let is_caught_up = self.stored_batch == self.last_batch && self.waiting.is_empty();
        if !self.is_working() || is_caught_up {
            return effects;
        }
        let required_batch = self.last_batch;
        self.waiting.extend(effects.into_iter().map(|effect| (required_batch, effect)));
        Vec::new()
    }

    /// Called when all batches up to this one are stored. Returns the effects that may now be emitted.
    pub fn on_stored(&mut self, batch: u64) -> Vec<T> {
        self.stored_batch = self.stored_batch.max(batch.min(self.last_batch));
        let stored = self.stored_batch;
        let released =
            self.waiting.iter().take_while(|(required_batch, _)| *required_batch <= stored).count();
        self.waiting.drain(..released).map(|(_, effect)| effect).collect()
    }

    /// Called when the storage has failed: drops all waiting effects. Returns whether this is the first failure.
    pub fn on_failed(&mut self) -> bool {
        let is_first_failure = self.state != State::Failed;
        self.waiting.clear();
        self.state = State::Failed;
        is_first_failure
    }
}

#[cfg(test)]
mod tests;
