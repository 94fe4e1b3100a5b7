//! What a client has taken of the bytes that were written to it.

use crate::decision::{Micros, ReadProgress};
use crate::proxy::runtime::clock::Clock;
use crate::proxy::tcp_io::unacknowledged_bytes;
use std::cell::Cell;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Output of one connection, updated by its socket and looked at in intervals while a write waits.
#[derive(Debug)]
pub struct ClientOutput {
    clock: Clock,
    stream: Weak<TcpStream>,
    written_bytes: Cell<u64>,
    /// Whether a write waits for the client.
    write_waits: Cell<bool>,
    progress: Cell<ReadProgress>,
}

impl ClientOutput {
    /// Returns the output of a connection to which nothing was written.
    pub fn new(clock: Clock, stream: &Rc<TcpStream>) -> ClientOutput {
        ClientOutput {
            clock,
            stream: Rc::downgrade(stream),
            written_bytes: Cell::new(0),
            write_waits: Cell::new(false),
            progress: Cell::new(ReadProgress::new(clock.now())),
        }
    }

    /// Called when the system has accepted bytes of a response.
    pub fn written(&self, bytes: usize) {
        self.written_bytes.set(self.written_bytes.get() + bytes as u64);
        self.write_waits.set(false);
    }

    /// Called when a write has to wait until the client has taken more.
    pub fn waits(&self) {
        if self.write_waits.replace(true) {
            return;
        }
        self.observe();
        let mut progress = self.progress.get();
        progress.begin_wait(self.clock.now());
        self.progress.set(progress);
    }

    /// Records what the client's system has taken, if a write waits for it.
    pub fn observe_if_waiting(&self) {
        if self.write_waits.get() {
            self.observe();
        }
    }

    /// Records what the client's system has taken. Where the system does not tell, what was written counts as taken.
    fn observe(&self) {
        let stream = self.stream.upgrade();
        let unacknowledged = stream.and_then(|stream| unacknowledged_bytes(&stream)).unwrap_or(0);
        let mut progress = self.progress.get();
        progress.observe(self.clock.now(), self.written_bytes.get().saturating_sub(unacknowledged));
        self.progress.set(progress);
    }

    /// Returns when the client's system last took bytes, or was first waited for after that.
    pub fn last_progress(&self) -> Instant {
        self.observe();
        self.clock.instant_at(self.progress.get().progressed_at())
    }

    /// Returns for how long the client has read nothing, if a write waits for it, this is `min_silence` or more, and what
    /// it took before does not explain it.
    pub fn silence(&self, min_silence: Micros) -> Option<Micros> {
        let is_waiting = self.write_waits.get();
        self.progress.get().silence(self.clock.now(), min_silence).filter(|_| is_waiting)
    }
}
