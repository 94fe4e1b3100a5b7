//! Reads and writes a TCP stream correctly even if a system call is interrupted or transfers only part of the bytes.
//!
//! tokio takes a short read or write to mean that the socket is drained or full, and clears its readiness. With
//! edge-triggered polling (epoll(7)) the remaining bytes would then never be reported. Here an interrupted call is
//! repeated, and only `EWOULDBLOCK` clears the readiness.

use std::io::{self, ErrorKind, IoSlice};
use std::task::{ready, Context, Poll};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Returns whether the call had no effect and must be repeated, at once or when the socket is ready.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Reads into a buffer. Returns the number of bytes read, which is 0 at the end of the stream.
pub fn poll_read(stream: &TcpStream, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read_buf(buf) {
            Err(error) if is_retryable(&error) => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Writes as much of a buffer as the system accepts. Returns the number of bytes written.
pub fn poll_write(stream: &TcpStream, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
    poll_write_with(stream, cx, || stream.try_write(buf))
}

/// Writes as much of several buffers (writev(2)) as the system accepts. Returns the number of bytes written.
pub fn poll_write_vectored(
    stream: &TcpStream,
    cx: &mut Context,
    bufs: &[IoSlice],
) -> Poll<io::Result<usize>> {
    poll_write_with(stream, cx, || stream.try_write_vectored(bufs))
}

fn poll_write_with(
    stream: &TcpStream,
    cx: &mut Context,
    write: impl Fn() -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match write() {
            Err(error) if is_retryable(&error) => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Returns how many of the bytes written to a stream the peer's system has not acknowledged, where this system tells
/// (tcp(7), `SIOCOUTQ`).
#[cfg(target_os = "linux")]
pub fn unacknowledged_bytes(stream: &TcpStream) -> Option<u64> {
    use std::os::fd::AsRawFd;
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open for as long as `stream` exists, and the system writes one integer.
    #[allow(unsafe_code)]
    let result = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    u64::try_from(bytes).ok().filter(|_| result == 0)
}

/// Returns `None`: this system does not tell.
#[cfg(not(target_os = "linux"))]
pub fn unacknowledged_bytes(_: &TcpStream) -> Option<u64> {
    None
}
