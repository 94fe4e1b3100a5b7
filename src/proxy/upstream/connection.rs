//! One HTTP/1.1 connection to a backend, the counter or discovery. A connection never retries: a call is written once,
//! and an error tells the caller how much of it was written, which decides whether the call may have run.

use crate::proxy::downstream::request_body::{BodyProgress, OutboundBody};
use crate::proxy::tcp_io;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rustix::net::{recv, shutdown, RecvFlags, Shutdown};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Longest body that is buffered, in bytes.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// Why a call got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The call was not written to its end, so the peer never received all of it and did not run it.
    #[error("connection ended before the call was written completely")]
    NotSent,
    /// The call was not written to its end because the client did not send its body to the end; the peer did
    /// not cause this.
    #[error("client did not send the body of the call completely")]
    RequestBodyAborted,
    /// The connection broke after the call was written, or may have been written, so the call may have run.
    #[error("connection broke after the call was or may have been written completely")]
    Broken,
}

/// How much of the current call was written.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteState {
    Nothing,
    Part,
    Complete,
}

/// Socket that records how much of a call was written to it.
struct WriteTrackingStream {
    stream: Rc<TcpStream>,
    written: Rc<Cell<WriteState>>,
    /// How much of the current call's body hyper has taken.
    progress: Rc<RefCell<Rc<Cell<BodyProgress>>>>,
}

impl WriteTrackingStream {
    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        if self.written.get() == WriteState::Nothing && matches!(result, Poll::Ready(Ok(n)) if *n > 0) {
            self.written.set(WriteState::Part);
        }
    }
}

impl AsyncRead for WriteTrackingStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        tcp_io::poll_read(&self.stream, cx, buf).map_ok(drop)
    }
}

impl AsyncWrite for WriteTrackingStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = tcp_io::poll_write(&self.stream, cx, buf);
        self.record_write(&result);
        result
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let result = tcp_io::poll_write_vectored(&self.stream, cx, bufs);
        self.record_write(&result);
        result
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    /// hyper flushes the socket once its own buffer is empty; everything that it has taken of the call is then written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        if self.written.get() == WriteState::Part && self.progress.borrow().get() == BodyProgress::Complete {
            self.written.set(WriteState::Complete);
        }
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown(&*self.stream, Shutdown::Write).map_err(io::Error::from))
    }
}

/// A connection and hyper's state machine for it. Dropping it closes the socket at once, even if a call is in flight.
pub struct Connection {
    sender: http1::SendRequest<OutboundBody>,
    state_machine: Pin<Box<http1::Connection<TokioIo<WriteTrackingStream>, OutboundBody>>>,
    written: Rc<Cell<WriteState>>,
    progress: Rc<RefCell<Rc<Cell<BodyProgress>>>>,
    socket: Rc<TcpStream>,
    closed: bool,
    /// When the connection was opened, or last returned to its pool.
    pub idle_since: Instant,
}

impl Connection {
    /// Connects, with a buffer of at most `max_buffer_bytes`. The caller limits the time.
    ///
    /// # Errors
    ///
    /// Returns the error of connecting or of setting up the socket.
    pub async fn open(address: SocketAddr, max_buffer_bytes: usize) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let written = Rc::new(Cell::new(WriteState::Nothing));
        let progress = Rc::new(RefCell::default());
        let socket = Rc::new(stream);
        let stream = WriteTrackingStream {
            stream: socket.clone(),
            written: written.clone(),
            progress: progress.clone(),
        };
        let (sender, state_machine) = http1::Builder::new()
            .max_buf_size(max_buffer_bytes)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        Ok(Connection {
            sender,
            state_machine: Box::pin(state_machine),
            written,
            progress,
            socket,
            closed: false,
            idle_since: Instant::now(),
        })
    }

    /// Returns whether the connection can carry another call, as far as is known locally.
    pub fn is_usable(&mut self) -> bool {
        self.poll_io(&mut Context::from_waker(Waker::noop()));
        !self.closed && self.sender.is_ready()
    }

    /// Returns whether bytes have arrived that no request asked for. Looks at the socket itself: the bytes may be newer than
    /// what the event loop knows.
    pub fn has_unexpected_bytes(&self) -> bool {
        let mut byte = [0];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        matches!(recv(&*self.socket, &mut byte, flags), Ok((length, _)) if length > 0)
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Reads and writes as much as is possible without waiting.
    pub fn poll_io(&mut self, cx: &mut Context) {
        // A finished state machine must not be polled again.
        self.closed = self.closed || self.state_machine.as_mut().poll(cx).is_ready();
    }

    /// Polls a future together with the state machine that it depends on. Returns `None` if the connection ends first.
    pub async fn drive<T>(&mut self, future: impl Future<Output = T>) -> Option<T> {
        let mut future = pin!(future);
        std::future::poll_fn(|cx| {
            self.poll_io(cx);
            match future.as_mut().poll(cx) {
                Poll::Ready(value) => Poll::Ready(Some(value)),
                Poll::Pending if self.closed => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    /// Makes one call and reads the head of its response. `on_sent` is called once the last byte of the call is
    /// written. After an error the connection cannot be used any more.
    ///
    /// # Errors
    ///
    /// Returns an error that says how much of the call was written when the connection ended.
    pub async fn send(
        &mut self,
        request: Request<OutboundBody>,
        on_sent: impl FnOnce(),
    ) -> Result<Response<Incoming>, CallError> {
        self.written.set(WriteState::Nothing);
        *self.progress.borrow_mut() = request.body().progress();
        let written = self.written.clone();
        let mut on_sent = Some(on_sent);
        let mut sending = pin!(self.sender.try_send_request(request));
        // Polled after the state machine, so that it sees what the state machine has just written.
        let sending = std::future::poll_fn(|cx| {
            if written.get() == WriteState::Complete {
                if let Some(on_sent) = on_sent.take() {
                    on_sent();
                }
            }
            sending.as_mut().poll(cx)
        });
        let head = self.drive(sending).await.and_then(Result::ok);
        head.ok_or_else(|| self.call_error())
    }

    /// Returns the error of the current call after the connection has ended.
    fn call_error(&self) -> CallError {
        match (self.written.get(), self.progress.borrow().get()) {
            (WriteState::Nothing | WriteState::Part, BodyProgress::Broken) => CallError::RequestBodyAborted,
            // No server runs a request before it has received the complete body.
            (WriteState::Nothing, _) | (WriteState::Part, BodyProgress::InProgress) => CallError::NotSent,
            _ => CallError::Broken,
        }
    }

    /// Makes one call and reads its response to the end.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Connection::send`], and `Broken` if the response is longer than
    /// `MAX_BUFFERED_BODY_BYTES` or its body could not be read to the end.
    pub async fn call(&mut self, request: Request<OutboundBody>) -> Result<Response<Bytes>, CallError> {
        let (head, body) = self.send(request, || {}).await?.into_parts();
        let body = self.drive(Limited::new(body, MAX_BUFFERED_BODY_BYTES).collect()).await;
        let body = body.and_then(Result::ok).ok_or(CallError::Broken)?.to_bytes();
        Ok(Response::from_parts(head, body))
    }
}
