//! The client listening socket: its options, and what the system knows of a connection before it is accepted.

use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::net::{listen, recv, RecvFlags};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tracing::warn;

/// Connections that may wait to be accepted. Beyond it the system drops the first packet of a connection, and the client
/// repeats it only after a second or more.
const ACCEPT_BACKLOG: i32 = 1024;
/// Receive buffer of a client connection, in bytes; the system doubles it for its own accounting.
const RECEIVE_BUFFER_BYTES: usize = 128 * 1024;

/// Bounds how many connections may wait to be accepted, and what each may send ahead of what is read.
pub fn set_options(listener: &TcpListener) {
    if let Err(error) = listen(listener, ACCEPT_BACKLOG) {
        warn!(%error, "setting the backlog of the listening socket failed; its present length applies");
    }
    if let Err(error) = set_socket_recv_buffer_size(listener, RECEIVE_BUFFER_BYTES) {
        warn!(%error, "setting the receive buffer of client connections failed; the system's own size applies");
    }
}

/// A connection that was accepted and is not served yet.
#[derive(Debug)]
pub struct AcceptedConnection {
    /// The connection.
    pub stream: TcpStream,
    /// When the client last sent something, or connected.
    pub last_arrival: Instant,
    /// Whether the client has sent something.
    pub has_input: bool,
}

impl AcceptedConnection {
    /// Reads what the system knows of a connection.
    pub fn new(stream: TcpStream) -> AcceptedConnection {
        let waited = time_since_last_arrival(&stream).unwrap_or_default();
        let has_input = has_unread_bytes(&stream);
        let now = Instant::now();
        AcceptedConnection { stream, last_arrival: now.checked_sub(waited).unwrap_or(now), has_input }
    }
}

fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    let peeked = recv(stream, &mut byte[..], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    peeked.is_ok_and(|(_, length)| length > 0)
}

/// Returns how long ago the client last sent something, or connected, where the system tells (tcp(7), `TCP_INFO`).
#[cfg(target_os = "linux")]
fn time_since_last_arrival(stream: &TcpStream) -> Option<Duration> {
    use std::os::fd::AsRawFd;
    let mut info = std::mem::MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open for as long as `stream` exists, and the system writes at most `length` bytes. Every
    // bit pattern, zeros included, is a valid `tcp_info`.
    #[allow(unsafe_code)]
    let (result, info) = unsafe {
        let option = (libc::IPPROTO_TCP, libc::TCP_INFO);
        let value = info.as_mut_ptr().cast();
        let result = libc::getsockopt(stream.as_raw_fd(), option.0, option.1, value, &raw mut length);
        (result, info.assume_init())
    };
    (result == 0).then(|| Duration::from_millis(info.tcpi_last_data_recv.into()))
}

#[cfg(not(target_os = "linux"))]
fn time_since_last_arrival(_: &TcpStream) -> Option<Duration> {
    None
}
