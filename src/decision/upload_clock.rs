//! Deadline of a request whose body is still arriving.
//!
//! The time budget of a request starts when its client has handed over the last byte. While a backend does not accept
//! the body, the gateway does not read from the client, so that the last byte may already lie in the system's buffers.
//! The deadline therefore counts from the latest time at which the client is known not to have handed it over.

use super::time::Micros;
use std::collections::VecDeque;

/// How long a backend may hold up the reading of a body at the expense of the gateway rather than of the time budget.
const MAX_HOLD_UP: Micros = Micros(150_000);
/// Upper bound on what a client can have handed over and the gateway has not read, in bytes: the largest send buffer that
/// Linux gives a connection by itself (4 MiB), the gateway's receive buffer (256 KiB) and what exceeds both by a segment.
const MAX_BYTES_IN_TRANSIT: u64 = 9 << 19;
/// Distance between two marks, in bytes.
const MARK_INTERVAL_BYTES: u64 = MAX_BYTES_IN_TRANSIT / 8;

/// What the network knows of the input of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InputProgress {
    /// Number of bytes read so far.
    pub received_bytes: u64,
    /// Latest time at which the client had handed over nothing that was not read.
    pub drained_at: Micros,
}

/// Number of bytes that were read by a time.
#[derive(Clone, Copy, Debug)]
struct Mark {
    received_bytes: u64,
    at: Micros,
}

/// Computes the deadline of a request from the progress of its body.
#[derive(Debug)]
pub struct UploadClock {
    budget: Micros,
    /// Latest time at which the client is known not to have handed over the last byte.
    unfinished_at: Micros,
    /// The oldest mark comes first.
    marks: VecDeque<Mark>,
}

impl UploadClock {
    /// Returns a clock for a request whose head was read by now. `budget` counts from the last byte of the body.
    pub fn new(now: Micros, budget: Micros, progress: InputProgress) -> UploadClock {
        let mark = Mark { received_bytes: progress.received_bytes, at: now };
        UploadClock { budget, unfinished_at: progress.drained_at, marks: VecDeque::from([mark]) }
    }

    /// Records progress while the body has not ended.
    pub fn observe(&mut self, now: Micros, progress: InputProgress) {
        self.unfinished_at = self.unfinished_at.max(progress.drained_at);
        let received_bytes = progress.received_bytes;
        // The last byte is behind all bytes read so far, and at most `MAX_BYTES_IN_TRANSIT` were on their way at a time.
        while self
            .marks
            .front()
            .is_some_and(|mark| mark.received_bytes + MAX_BYTES_IN_TRANSIT <= received_bytes)
        {
            let mark = self.marks.pop_front();
            self.unfinished_at = self.unfinished_at.max(mark.map_or(Micros(0), |mark| mark.at));
        }
        let last = self.marks.back().map_or(0, |mark| mark.received_bytes);
        if last + MARK_INTERVAL_BYTES <= received_bytes || self.marks.is_empty() {
            self.marks.push_back(Mark { received_bytes, at: now });
        }
    }

    /// Returns the deadline as far as it is known. It moves on while the body makes progress.
    pub fn deadline(&self) -> Micros {
        self.unfinished_at + MAX_HOLD_UP + self.budget
    }

    /// Returns the final deadline after the last byte was read.
    pub fn final_deadline(&self, now: Micros) -> Micros {
        self.deadline().min(now + self.budget)
    }
}
