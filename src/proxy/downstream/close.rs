//! The end of a client's connection (RFC 9112, 9.6): how it is noticed that the client has ended it, and how the
//! gateway ends it after its last answer without tearing that answer away.
//!
//! A socket that is closed while bytes of the peer are unread is reset, and what was not yet delivered of the last
//! answer goes with it. So the gateway first ends its own side alone, reads and drops what still comes for a bounded
//! time, and only then closes. What is read here is never sent on.

use rustix::net::{shutdown, Shutdown};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How long after the last answer the client may take to end its side.
const DRAIN_TIME: Duration = Duration::from_millis(300);
/// The most bytes that are read and dropped; whoever sends more is cut off.
const MOST_DRAINED: usize = 1 << 20;
/// What is read in one go.
const PIECE: usize = 4 * 1024;
/// How often a connection with unread bytes is looked at; the protocol machine reads none behind an open request.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Returns once the client has ended its side, also where bytes that it sent before are not read yet.
pub async fn ended_by_client(stream: &TcpStream) {
    loop {
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => sleep(LOOK_EVERY).await,
            _ => return,
        }
    }
}

/// Ends the own side, and returns when the connection can be closed.
pub async fn end_after_answer(stream: &TcpStream) {
    // A connection that is gone needs no end.
    if shutdown(stream, Shutdown::Write).is_ok() {
        // Past the limit it is closed whatever still comes.
        let _ = timeout(DRAIN_TIME, drain(stream)).await;
    }
}

async fn drain(stream: &TcpStream) {
    let mut piece = [0; PIECE];
    let mut drained = 0;
    while drained < MOST_DRAINED && stream.readable().await.is_ok() {
        match stream.try_read(&mut piece) {
            Ok(0) => return,
            Ok(length) => drained += length,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
