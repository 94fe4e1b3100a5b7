//! Whether a peer still reads what is written to it.
//!
//! A write that waits says little about the reader: the system of a peer that reads steadily takes more bytes only once a
//! large part of its receive buffer is free, and the system of the writer calls a connection writable only once a large
//! part of the send buffer is. A reader counts as silent once its system has taken nothing for longer than it needs to read
//! at the minimum rate what its system took before.

use super::time::Micros;

/// Time allowed to a client for each byte that it sends or reads, in nanoseconds: a minimum rate one fifth below the
/// 64 kB/s promised to clients.
pub const NANOS_PER_CLIENT_BYTE: u64 = 19_500;
/// Longest time that the bytes taken so far allow a reader to take nothing. Bounds how long a client that has stopped
/// reading keeps its connection while connections are scarce.
const MAX_READ_TIME: Micros = Micros(10_000_000);

/// How late a reader on a busy machine may be with what it has taken.
const MAX_READER_DELAY: Micros = Micros(500_000);

/// Progress of the reader of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadProgress {
    taken_bytes: u64,
    /// When the reader's system last took bytes, or was first waited for after that.
    progressed_at: Micros,
    /// When a reader at the minimum rate has read all bytes that its system has taken.
    read_by: Micros,
}

impl ReadProgress {
    /// Returns the progress of a reader to which nothing was written.
    pub fn new(now: Micros) -> ReadProgress {
        ReadProgress { taken_bytes: 0, progressed_at: now, read_by: now }
    }

    /// Records how many bytes the reader's system has taken so far.
    pub fn observe(&mut self, now: Micros, taken_bytes: u64) {
        let Some(newly_taken) = taken_bytes.checked_sub(self.taken_bytes).filter(|bytes| *bytes > 0) else {
            return;
        };
        let read_time = Micros(newly_taken.saturating_mul(NANOS_PER_CLIENT_BYTE) / 1_000);
        self.taken_bytes = taken_bytes;
        self.progressed_at = now;
        self.read_by = (self.read_by.max(now) + read_time).min(now + MAX_READ_TIME);
    }

    /// Records that a write begins to wait for the reader, which was not waited for until now.
    pub fn begin_wait(&mut self, now: Micros) {
        self.progressed_at = now;
    }

    /// Returns when the reader's system last took bytes, or was first waited for after that.
    pub fn progressed_at(&self) -> Micros {
        self.progressed_at
    }

    /// Returns for how long the reader has been silent at least, while a write waits for it, if this is `min_silence` or
    /// more and the bytes taken before don't explain it.
    pub fn silence(&self, now: Micros, min_silence: Micros) -> Option<Micros> {
        let silence = now - self.progressed_at;
        (silence >= min_silence && now >= self.read_by + MAX_READER_DELAY).then_some(silence)
    }
}
