//! Reads and writes of a TCP stream that are correct whatever part of them one system call does.
//!
//! tokio takes a short read or write as the sign that the socket is drained or full and clears its readiness; with
//! edge-triggered polling (epoll(7)) the rest would never be reported. Here an interrupted call is repeated, and only
//! `EWOULDBLOCK` clears the readiness.

use std::io::{self, ErrorKind, IoSlice};
use std::task::{ready, Context, Poll};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Whether the call did nothing and is to be repeated: at once, or when the socket is ready.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Reads into a buffer. Returns the number of bytes read, 0 at the stream's end.
pub fn poll_read(stream: &TcpStream, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read_buf(buf) {
            Err(error) if is_retryable(&error) => {}
            done => return Poll::Ready(done),
        }
    }
}

/// Writes what the system accepts of a buffer. Returns the number of bytes written.
pub fn poll_write(stream: &TcpStream, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
    poll_write_with(stream, cx, || stream.try_write(buf))
}

/// The same for several buffers (writev(2)).
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
            done => return Poll::Ready(done),
        }
    }
}
