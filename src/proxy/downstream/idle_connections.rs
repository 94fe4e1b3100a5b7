//! The connections of clients on which no request is open: how long each may stay so, and which is closed first when
//! permits are scarce.

use crate::proxy::lifecycle::drain::Lifecycle;
use crate::proxy::tcp_io;
use rustix::net::{shutdown, Shutdown};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant, Sleep};

/// A head must have come within this, from its first byte, or on a new connection from the accept. Clients may
/// take 2 s; a connection that sends half a request is owed an end within 3 s of connecting.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2300);
/// A body that is not there with its head may keep the gateway waiting for what is left of that time, and at the least
/// for this: a request may be written in 2 s, wherever its head ends.
const MIN_BODY_WAIT: Duration = Duration::from_millis(500);
/// A client that reads nothing of its response for so long is taken for dead.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// How often connections whose time is up are looked for.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Where permits are scarce a new connection without a byte is closed first, if it has been silent for this.
const MIN_SILENT: Duration = Duration::from_millis(50);
/// Then a head that has not gone on for this; clients write theirs in pieces.
const MIN_STOPPED: Duration = Duration::from_millis(600);
/// Then an idle one.
const MIN_IDLE: Duration = Duration::from_millis(50);

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// New, and nothing has come.
    Silent,
    /// Part of a head has come.
    Head,
    /// A request is open.
    Busy,
    /// Between two requests.
    Idle,
    /// Closed.
    Gone,
}

/// One connection of a client.
pub struct ClientConnection {
    id: u64,
    phase: Cell<Phase>,
    /// When anything last came or the phase began.
    quiet_since: Cell<Instant>,
    /// When its head must have come.
    head_due: Cell<Instant>,
    /// Something of a response is not written yet.
    unwritten: Cell<bool>,
    /// It is to be closed, unless something comes first.
    closing: Cell<bool>,
    close: Notify,
}

impl ClientConnection {
    /// Returns when the connection is to be closed.
    pub async fn close_requested(&self) {
        // Guards against closing one on which a request came in between.
        while !self.closing.get() {
            self.close.notified().await;
        }
    }
    fn close_soon(&self) {
        self.closing.set(true);
        self.close.notify_one();
    }
    fn key(&self) -> (Instant, u64) {
        (self.quiet_since.get(), self.id)
    }
}

type ByQuietTime = BTreeMap<(Instant, u64), Rc<ClientConnection>>;

/// All connections without an open request, those that were quiet for longest first.
pub struct IdleConnections {
    lifecycle: Rc<Lifecycle>,
    last: Cell<u64>,
    silent: RefCell<ByQuietTime>,
    heads: RefCell<ByQuietTime>,
    idle: RefCell<ByQuietTime>,
}

impl IdleConnections {
    /// No connection yet.
    pub fn new(lifecycle: Rc<Lifecycle>) -> IdleConnections {
        let (silent, heads, idle) = Default::default();
        IdleConnections { lifecycle, last: Cell::new(0), silent, heads, idle }
    }

    /// Adds a connection that was accepted.
    pub fn add(self: &Rc<IdleConnections>, stream: Rc<TcpStream>) -> (Rc<ClientConnection>, Socket) {
        let now = Instant::now();
        self.last.set(self.last.get() + 1);
        let connection = Rc::new(ClientConnection {
            id: self.last.get(),
            phase: Cell::new(Phase::Silent),
            quiet_since: Cell::new(now),
            head_due: Cell::new(now + HEAD_TIMEOUT),
            unwritten: Cell::new(false),
            closing: Cell::new(false),
            close: Notify::new(),
        });
        self.silent.borrow_mut().insert(connection.key(), connection.clone());
        let socket = Socket { stream, connection: connection.clone(), registry: self.clone(), stall: None };
        (connection, socket)
    }

    fn in_phase(&self, phase: Phase) -> Option<&RefCell<ByQuietTime>> {
        match phase {
            Phase::Silent => Some(&self.silent),
            Phase::Head => Some(&self.heads),
            Phase::Idle => Some(&self.idle),
            Phase::Busy | Phase::Gone => None,
        }
    }

    fn set_phase(&self, connection: &Rc<ClientConnection>, to: Phase) {
        if let Some(old) = self.in_phase(connection.phase.get()) {
            old.borrow_mut().remove(&connection.key());
        }
        if connection.phase.get() == Phase::Gone {
            return;
        }
        connection.quiet_since.set(Instant::now());
        connection.phase.set(to);
        connection.closing.set(false);
        if let Some(new) = self.in_phase(to) {
            new.borrow_mut().insert(connection.key(), connection.clone());
        }
    }

    /// Bytes came on a connection.
    fn received(&self, connection: &Rc<ClientConnection>) {
        match connection.phase.get() {
            Phase::Busy | Phase::Gone => {}
            Phase::Idle => {
                connection.head_due.set(Instant::now() + HEAD_TIMEOUT);
                self.set_phase(connection, Phase::Head);
            }
            Phase::Silent | Phase::Head => self.set_phase(connection, Phase::Head),
        }
    }

    /// The head of a request is complete; the connection is busy until the guard is dropped.
    pub fn open_request(self: &Rc<IdleConnections>, connection: &Rc<ClientConnection>) -> OpenRequestGuard {
        if connection.phase.get() == Phase::Idle {
            // Its head had come behind the request before.
            connection.head_due.set(Instant::now() + HEAD_TIMEOUT);
        }
        self.set_phase(connection, Phase::Busy);
        OpenRequestGuard { registry: self.clone(), connection: connection.clone() }
    }

    /// Closes the connections whose time is up.
    pub fn sweep(&self) {
        let (now, longest) = (Instant::now(), self.lifecycle.idle_timeout());
        for heads in [&self.silent, &self.heads] {
            heads.borrow().values().filter(|p| now >= p.head_due.get()).for_each(|p| p.close_soon());
        }
        let idle = self.idle.borrow();
        let over = idle.values().take_while(|p| now >= p.quiet_since.get() + longest);
        over.filter(|p| !p.unwritten.get()).for_each(|p| p.close_soon());
    }

    /// Closes one connection that has been quiet for long, if there is one.
    pub fn make_room(&self) {
        let now = Instant::now();
        let ranks = [(&self.silent, MIN_SILENT), (&self.heads, MIN_STOPPED), (&self.idle, MIN_IDLE)];
        for (quiet, least) in ranks {
            let mut quiet = quiet.borrow_mut();
            if quiet.first_key_value().is_some_and(|(&(since, _), _)| now >= since + least) {
                // Out of the list, so that the next call finds another.
                if let Some((_, connection)) = quiet.pop_first() {
                    connection.close_soon();
                }
                return;
            }
        }
    }
}

/// Keeps a connection from counting as idle while its request is open.
pub struct OpenRequestGuard {
    registry: Rc<IdleConnections>,
    connection: Rc<ClientConnection>,
}

impl OpenRequestGuard {
    /// For how long the request's body may keep the gateway waiting, beside what its length allows.
    pub fn body_wait(&self) -> Duration {
        let left = self.connection.head_due.get().saturating_duration_since(Instant::now());
        left.max(MIN_BODY_WAIT)
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.registry.set_phase(&self.connection, Phase::Idle);
    }
}

/// A client's socket, which notes what it carries.
pub struct Socket {
    stream: Rc<TcpStream>,
    connection: Rc<ClientConnection>,
    registry: Rc<IdleConnections>,
    /// Runs while the client reads nothing.
    stall: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    fn wrote(&mut self, done: Poll<io::Result<usize>>, cx: &mut Context) -> Poll<io::Result<usize>> {
        self.connection.unwritten.set(true);
        if done.is_ready() {
            self.stall = None;
            return done;
        }
        let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(STALL_TIMEOUT)));
        match stall.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.registry.set_phase(&self.connection, Phase::Gone);
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let done = ready!(tcp_io::poll_read(&self.stream, cx, buf));
        if matches!(done, Ok(length) if length > 0) {
            self.registry.received(&self.connection);
        }
        Poll::Ready(done.map(drop))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let done = tcp_io::poll_write(&self.stream, cx, buf);
        self.wrote(done, cx)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let done = tcp_io::poll_write_vectored(&self.stream, cx, bufs);
        self.wrote(done, cx)
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    /// hyper flushes when all that was to be written is.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        self.connection.unwritten.set(false);
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown(&*self.stream, Shutdown::Write).map_err(io::Error::from))
    }
}
