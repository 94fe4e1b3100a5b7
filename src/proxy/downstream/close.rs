//! Closing of client connections (RFC 9112, 9.6): detects that the client has closed its side, and closes the
//! connection after the last response without losing that response.
//!
//! Closing a socket while bytes from the peer are unread resets the connection, and the part of the last response that
//! is not yet delivered is lost. The gateway therefore first shuts down its sending side only, reads and discards input
//! for a bounded time, and then closes the socket (a lingering close). Bytes read here are never forwarded.

use super::client_input::ClientInput;
use rustix::net::{shutdown, Shutdown};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How long the client may take to close its side after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of bytes that are read and discarded; the connection of a client that sends more is reset.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Maximum number of bytes that one read call returns.
const READ_BUFFER_BYTES: usize = 4 * 1024;
/// Interval between checks of a connection with unread bytes, which hyper does not read while a request is open.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns once the client has closed its side, even if bytes that it sent before are still unread. Records in `input`
/// that bytes have arrived.
pub async fn closed_by_client(stream: &TcpStream, input: &ClientInput) {
    loop {
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => {
                input.arrived();
                sleep(POLL_INTERVAL).await;
            }
            _ => return,
        }
    }
}

/// Shuts down the sending side, and returns when the connection can be closed.
pub async fn lingering_close(stream: &TcpStream) {
    // If the shutdown fails, the connection no longer exists.
    if shutdown(stream, Shutdown::Write).is_ok() {
        // After the time-out the connection is closed even if the client still sends.
        let _ = timeout(LINGER_TIMEOUT, discard_input(stream)).await;
    }
}

async fn discard_input(stream: &TcpStream) {
    // Not part of the future, which each open connection holds.
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES && stream.readable().await.is_ok() {
        match stream.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(length) => discarded += length,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
