//! How long a connection to a backend rests before it carries another request.
//!
//! A backend that sends a second answer to a request sends bytes that no request asked for: if they arrive after the next
//! request was written, they are taken for its answer. A connection that has rested shows such bytes before it is used.
//! Connections rest once a backend has sent such bytes: its own for longer with each fault, those of other backends until
//! they have shown enough sound ones.

use super::time::Micros;

/// Rest of the connections of other backends after a fault of one. A small second answer may wait in its backend for an
/// acknowledgement, which a system delays by up to 40 ms.
const SUSPICION_REST: Micros = Micros(60_000);
/// Rest of a backend's connections after its first fault.
const FAULT_REST: Micros = Micros(100_000);
/// Longest rest after repeated faults.
const MAX_REST: Micros = Micros(2_000_000);
/// A shorter rest than this is none.
const MIN_REST: Micros = Micros(1_000);
/// Sound connections in a row after which the rest of a backend without a fault is halved.
const SOUND_PER_STEP: u32 = 200;
/// Sound connections in a row after which the rest of a backend with a fault is halved, for each fault so far.
const SOUND_PER_STEP_AND_FAULT: u32 = 1_000;
/// Faults that are counted; further ones lengthen the rest alone.
const MAX_FAULTS: u32 = 100;

/// What the connections of one backend have shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReuseRecord {
    rest: Micros,
    sound_in_a_row: u32,
    faults: u32,
}

impl ReuseRecord {
    /// Returns the record of a backend that has shown nothing, where another one has sent bytes that no request asked
    /// for.
    pub fn suspected() -> ReuseRecord {
        ReuseRecord { rest: SUSPICION_REST, ..ReuseRecord::default() }
    }

    /// Returns how long a connection rests before it is used again.
    pub fn rest(&self) -> Micros {
        self.rest
    }

    /// Records that a connection was used again after its rest, without bytes that no request asked for.
    pub fn record_sound(&mut self) {
        if self.rest == Micros(0) {
            return;
        }
        self.sound_in_a_row += 1;
        let needed = match self.faults {
            0 => SOUND_PER_STEP,
            faults => SOUND_PER_STEP_AND_FAULT * faults,
        };
        if self.sound_in_a_row >= needed {
            self.sound_in_a_row = 0;
            let halved = Micros(self.rest.0 / 2);
            self.rest = if halved < MIN_REST { Micros(0) } else { halved };
        }
    }

    /// Records that a connection held bytes that no request asked for.
    pub fn record_fault(&mut self) {
        self.sound_in_a_row = 0;
        self.faults = (self.faults + 1).min(MAX_FAULTS);
        self.rest = (self.rest + self.rest).max(FAULT_REST).min(MAX_REST);
    }
}
