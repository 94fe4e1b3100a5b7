//! The connections of clients on which no request is open: how long each may stand so, and which is closed
//! first when room is short.

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
/// take 2 s; a peer that sends half a request is owed an end within 3 s of connecting.
const HEAD_TIME: Duration = Duration::from_millis(2300);
/// A body that is not there with its head may keep the gateway waiting for what is left of that time, and at the least
/// for this: a request may be written in 2 s, wherever its head ends.
const LEAST_BODY_TIME: Duration = Duration::from_millis(500);
/// A client that takes nothing of its answer for so long is gone.
const STALL_TIME: Duration = Duration::from_secs(30);
/// How often connections whose time is up are looked for.
pub const SWEEP_EVERY: Duration = Duration::from_millis(100);
/// Where room is short, connections make it that have been quiet for at least so long: new ones without a
/// byte, then heads that have stopped (clients write theirs in pieces), then idle ones.
const SILENT_LEAST: Duration = Duration::from_millis(50);
const STOPPED_LEAST: Duration = Duration::from_millis(600);
const IDLE_LEAST: Duration = Duration::from_millis(50);

/// What a connection is at.
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
pub struct Peer {
    id: u64,
    phase: Cell<Phase>,
    /// When anything last came or the phase began.
    quiet_since: Cell<Instant>,
    /// When its head must have come.
    due: Cell<Instant>,
    /// Something of an answer is not written yet.
    unwritten: Cell<bool>,
    /// It is to be closed, unless something comes first.
    doomed: Cell<bool>,
    close: Notify,
}

impl Peer {
    /// Returns when the connection is to be closed.
    pub async fn closed(&self) {
        // Guards against closing one on which a request came in between.
        while !self.doomed.get() {
            self.close.notified().await;
        }
    }
    fn doom(&self) {
        self.doomed.set(true);
        self.close.notify_one();
    }
    fn key(&self) -> (Instant, u64) {
        (self.quiet_since.get(), self.id)
    }
}

type Quiet = BTreeMap<(Instant, u64), Rc<Peer>>;

/// All connections without an open request, those quiet for longest first.
pub struct IdleConnections {
    duty: Rc<Lifecycle>,
    last: Cell<u64>,
    silent: RefCell<Quiet>,
    heads: RefCell<Quiet>,
    idle: RefCell<Quiet>,
}

impl IdleConnections {
    /// Nobody yet.
    pub fn new(duty: Rc<Lifecycle>) -> IdleConnections {
        let (silent, heads, idle) = Default::default();
        IdleConnections { duty, last: Cell::new(0), silent, heads, idle }
    }

    /// A connection was accepted.
    pub fn welcome(self: &Rc<IdleConnections>, stream: Rc<TcpStream>) -> (Rc<Peer>, Socket) {
        let now = Instant::now();
        self.last.set(self.last.get() + 1);
        let peer = Rc::new(Peer {
            id: self.last.get(),
            phase: Cell::new(Phase::Silent),
            quiet_since: Cell::new(now),
            due: Cell::new(now + HEAD_TIME),
            unwritten: Cell::new(false),
            doomed: Cell::new(false),
            close: Notify::new(),
        });
        self.silent.borrow_mut().insert(peer.key(), peer.clone());
        let socket = Socket { stream, peer: peer.clone(), crowd: self.clone(), stall: None };
        (peer, socket)
    }

    fn of(&self, phase: Phase) -> Option<&RefCell<Quiet>> {
        match phase {
            Phase::Silent => Some(&self.silent),
            Phase::Head => Some(&self.heads),
            Phase::Idle => Some(&self.idle),
            Phase::Busy | Phase::Gone => None,
        }
    }

    fn turn(&self, peer: &Rc<Peer>, to: Phase) {
        if let Some(old) = self.of(peer.phase.get()) {
            old.borrow_mut().remove(&peer.key());
        }
        if peer.phase.get() == Phase::Gone {
            return;
        }
        peer.quiet_since.set(Instant::now());
        peer.phase.set(to);
        peer.doomed.set(false);
        if let Some(new) = self.of(to) {
            new.borrow_mut().insert(peer.key(), peer.clone());
        }
    }

    /// Something came on a connection.
    fn heard(&self, peer: &Rc<Peer>) {
        match peer.phase.get() {
            Phase::Busy | Phase::Gone => {}
            Phase::Idle => {
                peer.due.set(Instant::now() + HEAD_TIME);
                self.turn(peer, Phase::Head);
            }
            Phase::Silent | Phase::Head => self.turn(peer, Phase::Head),
        }
    }

    /// A request came whole as far as its head; the connection is busy until the guard is dropped.
    pub fn busy(self: &Rc<IdleConnections>, peer: &Rc<Peer>) -> OpenRequestGuard {
        if peer.phase.get() == Phase::Idle {
            // Its head had come behind the request before.
            peer.due.set(Instant::now() + HEAD_TIME);
        }
        self.turn(peer, Phase::Busy);
        OpenRequestGuard { crowd: self.clone(), peer: peer.clone() }
    }

    /// Closes the connections whose time is up.
    pub fn sweep(&self) {
        let (now, longest) = (Instant::now(), self.duty.idle_timeout());
        for heads in [&self.silent, &self.heads] {
            heads.borrow().values().filter(|p| now >= p.due.get()).for_each(|p| p.doom());
        }
        let idle = self.idle.borrow();
        let over = idle.values().take_while(|p| now >= p.quiet_since.get() + longest);
        over.filter(|p| !p.unwritten.get()).for_each(|p| p.doom());
    }

    /// Closes one connection that has been quiet for long, if there is one.
    pub fn make_room(&self) {
        let now = Instant::now();
        let ranks = [(&self.silent, SILENT_LEAST), (&self.heads, STOPPED_LEAST), (&self.idle, IDLE_LEAST)];
        for (quiet, least) in ranks {
            let mut quiet = quiet.borrow_mut();
            if quiet.first_key_value().is_some_and(|(&(since, _), _)| now >= since + least) {
                // Out of the list, so that the next call finds another.
                quiet.pop_first().into_iter().for_each(|(_, peer)| peer.doom());
                return;
            }
        }
    }
}

/// Keeps a connection from counting as idle while its request is open.
pub struct OpenRequestGuard {
    crowd: Rc<IdleConnections>,
    peer: Rc<Peer>,
}

impl OpenRequestGuard {
    /// For how long the request's body may keep the gateway waiting, beside what its length allows.
    pub fn patience(&self) -> Duration {
        let left = self.peer.due.get().saturating_duration_since(Instant::now());
        left.max(LEAST_BODY_TIME)
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.crowd.turn(&self.peer, Phase::Idle);
    }
}

/// A client's socket, which tells the crowd what it carries.
pub struct Socket {
    stream: Rc<TcpStream>,
    peer: Rc<Peer>,
    crowd: Rc<IdleConnections>,
    /// Runs while the client takes nothing.
    stall: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    fn wrote(&mut self, done: Poll<io::Result<usize>>, cx: &mut Context) -> Poll<io::Result<usize>> {
        self.peer.unwritten.set(true);
        if done.is_ready() {
            self.stall = None;
            return done;
        }
        let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(STALL_TIME)));
        match stall.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.crowd.turn(&self.peer, Phase::Gone);
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let done = ready!(tcp_io::poll_read(&self.stream, cx, buf));
        if matches!(done, Ok(length) if length > 0) {
            self.crowd.heard(&self.peer);
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
    /// Comes when all that was to be written is.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        self.peer.unwritten.set(false);
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown(&*self.stream, Shutdown::Write).map_err(io::Error::from))
    }
}
