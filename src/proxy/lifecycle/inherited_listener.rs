//! The clients' listening socket where the platform holds it and hands it to every process of the gateway.

use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};

/// Adopts the listening socket with this descriptor number. To be called once.
///
/// # Errors
/// The descriptor is not open, or is not a socket that listens.
pub fn adopt(descriptor: RawFd) -> io::Result<TcpListener> {
    let target = std::fs::read_link(format!("/proc/self/fd/{descriptor}"))?;
    if !target.to_string_lossy().starts_with("socket:") {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "not a socket"));
    }
    // SAFETY: the descriptor is open, as /proc has just shown. The platform opened it before the program began
    // and names it to the program alone, which owns it from here on: this is called once, and nothing else in
    // the program takes a descriptor by its number.
    #[allow(unsafe_code)]
    let listener = unsafe { TcpListener::from_raw_fd(descriptor) };
    listener.local_addr()?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
