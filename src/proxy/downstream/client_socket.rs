//! Socket of a client connection, which records its reads and writes.

use super::client_connection::ClientConnection;
use super::idle_connections::IdleConnections;
use crate::proxy::tcp_io;
use rustix::net::{shutdown, Shutdown};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::coop::has_budget_remaining;
use tokio::time::{sleep, Instant, Sleep};

/// A client that reads nothing of its response for this long is considered gone.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Socket of a client that records reads and writes for its connection.
pub struct ClientSocket {
    stream: Rc<TcpStream>,
    connection: Rc<ClientConnection>,
    registry: Rc<IdleConnections>,
    /// Runs while a write waits for the client.
    write_stall_timer: Option<Pin<Box<Sleep>>>,
}

impl ClientSocket {
    /// Returns the socket of a connection.
    pub fn new(
        stream: Rc<TcpStream>,
        connection: Rc<ClientConnection>,
        registry: Rc<IdleConnections>,
    ) -> ClientSocket {
        ClientSocket { stream, connection, registry, write_stall_timer: None }
    }

    /// Returns the stream.
    pub fn stream(&self) -> Rc<TcpStream> {
        self.stream.clone()
    }

    fn after_write(&mut self, result: Poll<io::Result<usize>>, cx: &mut Context) -> Poll<io::Result<usize>> {
        self.connection.set_has_unwritten_bytes(true);
        if result.is_pending() {
            self.connection.output().waits();
            return self.poll_write_stall(cx).map(|()| Err(io::ErrorKind::TimedOut.into()));
        }
        if let Poll::Ready(Ok(length)) = result {
            self.connection.output().written(length);
        }
        self.write_stall_timer = None;
        result
    }

    /// Completes once the client has read nothing for `WRITE_STALL_TIMEOUT`.
    fn poll_write_stall(&mut self, cx: &mut Context) -> Poll<()> {
        let timer = self.write_stall_timer.get_or_insert_with(|| Box::pin(sleep(WRITE_STALL_TIMEOUT)));
        loop {
            ready!(timer.as_mut().poll(cx));
            // A write may wait for longer although the client reads: the system reports room in large steps.
            let stalled_at = self.connection.output().last_progress() + WRITE_STALL_TIMEOUT;
            if Instant::now() >= stalled_at {
                return Poll::Ready(());
            }
            timer.as_mut().reset(stalled_at);
        }
    }
}

impl Drop for ClientSocket {
    fn drop(&mut self) {
        self.registry.closed(&self.connection);
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let Poll::Ready(done) = tcp_io::poll_read(&self.stream, cx, buf) else {
            // A task without a budget left is told to wait whether or not there are bytes.
            if has_budget_remaining() {
                self.connection.input().drained();
            }
            return Poll::Pending;
        };
        if let Some(length) = done.as_ref().ok().filter(|length| **length > 0) {
            self.connection.input().received(*length);
            self.registry.received(&self.connection);
        }
        Poll::Ready(done.map(drop))
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let done = tcp_io::poll_write(&self.stream, cx, buf);
        self.after_write(done, cx)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let done = tcp_io::poll_write_vectored(&self.stream, cx, bufs);
        self.after_write(done, cx)
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    /// hyper flushes once its write buffer is empty.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        self.connection.set_has_unwritten_bytes(false);
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown(&*self.stream, Shutdown::Write).map_err(io::Error::from))
    }
}
