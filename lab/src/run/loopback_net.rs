//! Loopback addresses of a run: each run on a machine uses a separate network.

use std::io;
use std::net::{Ipv4Addr, TcpListener};

/// A loopback network that is reserved for one run, with the lock that keeps other runs on this machine from it.
pub(super) struct LoopbackNet {
    /// Second byte of the network's addresses.
    pub(super) second_byte: u8,
    _lock: TcpListener,
}

/// Port on which a listener marks the network as taken.
const LOCK_PORT: u16 = 41_999;

impl LoopbackNet {
    /// Reserves a network that no other run uses.
    pub(super) fn reserve() -> io::Result<LoopbackNet> {
        let first = std::process::id() % NETWORK_COUNT;
        let mut last_error = io::ErrorKind::AddrInUse.into();
        for offset in 0..NETWORK_COUNT {
            let second_byte = 16 + ((first + offset) % NETWORK_COUNT) as u8;
            match TcpListener::bind((Ipv4Addr::new(127, second_byte, 0, 1), LOCK_PORT)) {
                Ok(lock) => return Ok(LoopbackNet { second_byte, _lock: lock }),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }
}

/// Number of networks available to runs.
const NETWORK_COUNT: u32 = 220;

/// Last bytes of the addresses on a gateway's side: the address of the gateway, and those at which it reaches others.
pub(super) mod last_byte {
    pub(in crate::run) const OWN: u8 = 1;
    pub(in crate::run) const AGENT: u8 = 2;
    pub(in crate::run) const COUNTER: u8 = 3;
    pub(in crate::run) const PEERS: u8 = 4;
    pub(in crate::run) const BACKENDS: u8 = 10;
}
