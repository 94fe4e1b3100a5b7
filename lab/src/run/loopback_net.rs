//! The loopback addresses of a run: one net for each run on this machine.

use std::io;
use std::net::{Ipv4Addr, TcpListener};

/// The second byte of a run's loopback addresses, and what keeps it from other runs on this machine.
pub(super) struct Net {
    pub(super) byte: u8,
    _lock: TcpListener,
}

/// The port on the run's net whose listener says that the net is taken.
const LOCK: u16 = 41_999;

impl Net {
    /// One that no other run has.
    pub(super) fn take() -> io::Result<Net> {
        let first = std::process::id() % NETS;
        let mut last = io::ErrorKind::AddrInUse.into();
        for step in 0..NETS {
            let byte = 16 + ((first + step) % NETS) as u8;
            match TcpListener::bind((Ipv4Addr::new(127, byte, 0, 1), LOCK)) {
                Ok(lock) => return Ok(Net { byte, _lock: lock }),
                Err(error) => last = error,
            }
        }
        Err(last)
    }
}

/// How many nets there are for runs.
const NETS: u32 = 220;

/// The last bytes of the addresses of a gateway's side: its own, and where it reaches the others.
pub(super) mod last_byte {
    pub(in crate::run) const OWN: u8 = 1;
    pub(in crate::run) const AGENT: u8 = 2;
    pub(in crate::run) const COUNTER: u8 = 3;
    pub(in crate::run) const PEERS: u8 = 4;
    pub(in crate::run) const BACKENDS: u8 = 10;
}
