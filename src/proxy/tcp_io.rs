//! Reads and writes of a TCP stream that hold whatever part of them the system does at once: an interrupted call is made
//! again, and a short one does not count as a sign that the socket is drained or full, which the runtime's own calls take it
//! for (a stream that is only told of changes would then never be told of the rest).

use std::io::{self, ErrorKind, IoSlice};
use std::task::{ready, Context, Poll};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Nothing was done, and the call is to be made again: at once, or when the socket is ready.
fn comes_again(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Reads into a buffer; returns how many bytes came, none at the stream's end.
pub fn poll_read(stream: &TcpStream, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read_buf(buf) {
            Err(error) if comes_again(&error) => {}
            done => return Poll::Ready(done),
        }
    }
}

/// Writes what the system takes of a buffer.
pub fn poll_write(stream: &TcpStream, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
    poll_write_with(stream, cx, || stream.try_write(buf))
}

/// The same of several buffers.
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
            Err(error) if comes_again(&error) => {}
            done => return Poll::Ready(done),
        }
    }
}
