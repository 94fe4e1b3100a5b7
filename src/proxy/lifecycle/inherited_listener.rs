//! Client listening socket that the platform opens and passes to each process of the gateway.

use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};

/// Takes ownership of the listening socket with this descriptor number. Must be called only once.
///
/// # Errors
/// Returns an error if the descriptor is not open or is not a socket.
pub fn adopt(descriptor: RawFd) -> io::Result<TcpListener> {
    let target = std::fs::read_link(format!("/proc/self/fd/{descriptor}"))?;
    if !target.to_string_lossy().starts_with("socket:") {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "inherited descriptor is not a socket"));
    }
    // SAFETY: the descriptor is open, as the lookup in /proc has just shown. The platform opened it before the
    // program started and passed its number to this program alone. This function is called once and no other code
    // takes a descriptor by number, so the listener is the only owner.
    #[allow(unsafe_code)]
    let listener = unsafe { TcpListener::from_raw_fd(descriptor) };
    listener.local_addr()?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
