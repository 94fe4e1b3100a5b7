//! One HTTP/1.1 connection to a backend, the counter or discovery. It never sends anything by itself: a call
//! is written once, and the caller learns whether any of it was.

use crate::proxy::downstream::request_body::{BodyProgress, OutboundBody};
use crate::proxy::tcp_io;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
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

/// The longest body that is kept whole.
pub const MAX_BODY: usize = 64 * 1024;

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// It was not written to its end: the other side never had it whole.
    NotSent,
    /// The same, and not for the other side's fault: the client did not bring its body to an end.
    Cut,
    /// It broke after it was written, at least in part: it may have had its effect.
    Broken,
}

/// How far the present call is written.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Written {
    Nothing,
    Part,
    Whole,
}

/// A socket that remembers how much of a call was written to it.
struct Metered {
    stream: TcpStream,
    written: Rc<Cell<Written>>,
    /// How much of the present call's body is in the protocol machine's buffer.
    progress: Rc<RefCell<Rc<Cell<BodyProgress>>>>,
}

impl Metered {
    fn note(&self, done: &Poll<io::Result<usize>>) {
        if self.written.get() == Written::Nothing && matches!(done, Poll::Ready(Ok(n)) if *n > 0) {
            self.written.set(Written::Part);
        }
    }
}

impl AsyncRead for Metered {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        tcp_io::poll_read(&self.stream, cx, buf).map_ok(drop)
    }
}

impl AsyncWrite for Metered {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let done = tcp_io::poll_write(&self.stream, cx, buf);
        self.note(&done);
        done
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let done = tcp_io::poll_write_vectored(&self.stream, cx, bufs);
        self.note(&done);
        done
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    /// The protocol machine flushes the socket when its own buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        if self.written.get() == Written::Part && self.progress.borrow().get() == BodyProgress::Ended {
            self.written.set(Written::Whole);
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A connection and its protocol machine. Dropping it closes the socket at once, whatever is under way.
pub struct Connection {
    sender: http1::SendRequest<OutboundBody>,
    machine: Pin<Box<http1::Connection<TokioIo<Metered>, OutboundBody>>>,
    written: Rc<Cell<Written>>,
    progress: Rc<RefCell<Rc<Cell<BodyProgress>>>>,
    closed: bool,
    /// When it was last given back unused.
    pub idle_since: Instant,
}

impl Connection {
    /// Connects, with a buffer of at most so many bytes. The caller bounds the time.
    pub async fn open(address: SocketAddr, buffer: usize) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let written = Rc::new(Cell::new(Written::Nothing));
        let progress = Rc::new(RefCell::default());
        let metered = Metered { stream, written: written.clone(), progress: progress.clone() };
        let (sender, machine) = http1::Builder::new()
            .max_buf_size(buffer)
            .handshake(TokioIo::new(metered))
            .await
            .map_err(io::Error::other)?;
        Ok(Connection {
            sender,
            machine: Box::pin(machine),
            written,
            progress,
            closed: false,
            idle_since: Instant::now(),
        })
    }

    /// Whether it can carry another call, as far as the socket has told.
    pub fn is_usable(&mut self) -> bool {
        self.turn(&mut Context::from_waker(Waker::noop()));
        !self.closed && self.sender.is_ready()
    }

    /// Whether the other side has ended it.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Reads and writes what can be.
    pub fn turn(&mut self, cx: &mut Context) {
        // A finished machine must not be polled again.
        self.closed = self.closed || self.machine.as_mut().poll(cx).is_ready();
    }

    /// Polls a future with the machine that feeds it; gives up when the machine stops first.
    pub async fn drive<T>(&mut self, future: impl Future<Output = T>) -> Option<T> {
        let mut future = pin!(future);
        std::future::poll_fn(|cx| {
            self.turn(cx);
            match future.as_mut().poll(cx) {
                Poll::Ready(value) => Poll::Ready(Some(value)),
                Poll::Pending if self.closed => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    /// Makes one call and reads the head of its answer; `whole` hears when all of the call was written. After
    /// an error the connection is of no further use.
    pub async fn begin(
        &mut self,
        request: Request<OutboundBody>,
        whole: impl FnOnce(),
    ) -> Result<Response<Incoming>, CallError> {
        self.written.set(Written::Nothing);
        *self.progress.borrow_mut() = request.body().progress();
        let (written, mut whole) = (self.written.clone(), Some(whole));
        let mut sending = pin!(self.sender.try_send_request(request));
        // Polled after the machine, so that it sees what was just written.
        let sending = std::future::poll_fn(|cx| {
            if written.get() == Written::Whole {
                whole.take().into_iter().for_each(|whole| whole());
            }
            sending.as_mut().poll(cx)
        });
        let head = self.drive(sending).await.and_then(Result::ok);
        head.ok_or(match (self.written.get(), self.progress.borrow().get()) {
            (Written::Nothing | Written::Part, BodyProgress::Broken) => CallError::Cut,
            // Nobody begins with half a body.
            (Written::Nothing, _) | (Written::Part, BodyProgress::Coming) => CallError::NotSent,
            _ => CallError::Broken,
        })
    }

    /// Makes one call and reads the whole answer.
    pub async fn call(&mut self, request: Request<OutboundBody>) -> Result<Response<Bytes>, CallError> {
        let (head, body) = self.begin(request, || {}).await?.into_parts();
        let body = self.drive(Limited::new(body, MAX_BODY).collect()).await;
        let body = body.and_then(Result::ok).ok_or(CallError::Broken)?.to_bytes();
        Ok(Response::from_parts(head, body))
    }
}
