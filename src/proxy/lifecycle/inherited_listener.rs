//! The clients' listening socket where the platform holds it and hands it to every process.

use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};

/// Adopts the listening socket with this descriptor number.
pub fn listener(number: RawFd) -> io::Result<TcpListener> {
    let link = std::fs::read_link(format!("/proc/self/fd/{number}"))?;
    if !link.to_string_lossy().starts_with("socket:") {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "not a socket"));
    }
    // SAFETY: the descriptor is open, as /proc has just shown. The platform opened it before the program began
    // and names it to the program alone, which owns it from here on: this is called once, and nothing else in
    // the program takes a descriptor by its number.
    #[allow(unsafe_code)]
    let listener = unsafe { TcpListener::from_raw_fd(number) };
    listener.local_addr()?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
