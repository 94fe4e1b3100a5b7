//! The close of a client's connection (RFC 9112, 9.6): how it is noticed that the client has closed its side, and how the
//! gateway closes after its last response without losing that response.
//!
//! A socket that is closed while bytes of the peer are unread is reset, and what was not yet delivered of the last
//! response goes with it. So the gateway first shuts down its own side alone, reads and drops what still comes for a bounded
//! time, and only then closes (a lingering close). What is read here is never forwarded.

use rustix::net::{shutdown, Shutdown};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How long after the last response the client may take to close its side.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// The most bytes that are read and dropped; whoever sends more is cut off.
const MAX_DRAINED_BYTES: usize = 1 << 20;
/// The most bytes that one call reads.
const READ_BUFFER_BYTES: usize = 4 * 1024;
/// How often a connection with unread bytes is looked at; hyper reads none behind an open request.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns once the client has closed its side, also where bytes that it sent before are not read yet.
pub async fn closed_by_client(stream: &TcpStream) {
    loop {
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => sleep(POLL_INTERVAL).await,
            _ => return,
        }
    }
}

/// Shuts down the own side, and returns when the connection can be closed.
pub async fn lingering_close(stream: &TcpStream) {
    // A connection that is gone needs no close.
    if shutdown(stream, Shutdown::Write).is_ok() {
        // Past the limit it is closed whatever still comes.
        let _ = timeout(LINGER_TIMEOUT, discard_input(stream)).await;
    }
}

async fn discard_input(stream: &TcpStream) {
    let mut piece = [0; READ_BUFFER_BYTES];
    let mut drained = 0;
    while drained < MAX_DRAINED_BYTES && stream.readable().await.is_ok() {
        match stream.try_read(&mut piece) {
            Ok(0) => return,
            Ok(length) => drained += length,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
