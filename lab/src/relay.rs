//! Streams over links: listeners at addresses of a gateway's own, and connections that suffer what is on the link.

use crate::clock::Clock;
use crate::link::{Link, View};
use crate::plan::Microseconds;
use socket2::SockRef;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{duplex, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// What is read at once from a connection.
const PIECE: usize = 4096;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 512;
/// The pause after the lab itself lacked a descriptor or a port.
const STARVED: Duration = Duration::from_millis(50);

/// Both directions of a way.
#[derive(Clone)]
pub struct Way {
    /// From the side that connects.
    pub up: Arc<Link>,
    /// To it.
    pub down: Arc<Link>,
    /// The run's clock.
    pub clock: Clock,
}

/// When the last piece came off a connection's socket, before it crossed the link: when it was sent.
#[derive(Debug, Clone, Default)]
pub struct LastRead(Arc<AtomicU64>);

impl LastRead {
    /// That time.
    pub fn last(&self) -> Microseconds {
        self.0.load(Ordering::Relaxed)
    }
    fn set(&self, at: Microseconds) {
        self.0.store(at, Ordering::Relaxed);
    }
}

impl Way {
    fn cut(&self, up: &mut watch::Receiver<View>, down: &mut watch::Receiver<View>) -> bool {
        // A connection needs both directions to come up.
        up.borrow_and_update().cut() | down.borrow_and_update().cut()
    }
}

/// Times that the lab itself lacked a port or a descriptor, so that a run is not valid.
#[derive(Debug, Default)]
pub struct StarvedReads(AtomicUsize);

impl StarvedReads {
    /// How often so far.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
    /// Notes an error if it means this.
    pub fn note(&self, error: &io::Error) {
        let lacking = [io::ErrorKind::AddrNotAvailable, io::ErrorKind::AddrInUse, io::ErrorKind::OutOfMemory];
        // 23 and 24: too many files in the system, in the process.
        if lacking.contains(&error.kind()) || matches!(error.raw_os_error(), Some(23 | 24)) {
            self.0.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// What stands behind a listener and takes its connections.
pub type Serve = Arc<dyn Fn(DuplexStream, LastRead) + Send + Sync>;

/// A listener at an address of one gateway's own, behind which another party stands.
pub struct GatewayListener {
    /// Where it listens.
    pub address: SocketAddr,
    open: watch::Sender<bool>,
}

/// What keeps a door's connections: the party behind it lives, and the door is open.
#[derive(Clone)]
pub struct Standing {
    alive: watch::Receiver<bool>,
    open: watch::Receiver<bool>,
}

impl Standing {
    fn now(&mut self) -> bool {
        *self.alive.borrow_and_update() & *self.open.borrow_and_update()
    }
    /// Waits for a change; `None`: the party or the door is gone for good.
    async fn changed(&mut self) -> Option<()> {
        tokio::select! {
            changed = self.alive.changed() => changed.ok(),
            changed = self.open.changed() => changed.ok(),
        }
    }
    async fn ended(mut self) {
        while self.now() {
            if self.changed().await.is_none() {
                return;
            }
        }
    }
}

impl GatewayListener {
    /// Opens one at any port of an address. While `alive` is false new connections are refused, and those there
    /// are reset.
    pub fn open(
        ip: IpAddr,
        way: Way,
        alive: watch::Receiver<bool>,
        starved: Arc<StarvedReads>,
        serve: Serve,
    ) -> io::Result<GatewayListener> {
        let listener = listen(SocketAddr::new(ip, 0))?;
        let address = listener.local_addr()?;
        let open = watch::Sender::new(true);
        let standing = Standing { alive, open: open.subscribe() };
        tokio::spawn(async move {
            let up = way.up.watch();
            let down = way.down.watch();
            let task = ListenerTask { address, way, up, down, standing, starved, serve };
            task.run(listener).await;
        });
        Ok(GatewayListener { address, open })
    }

    /// Ends it: its connections are reset, new ones are refused.
    pub fn close(&self) {
        self.open.send_replace(false);
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The task of a listener: accepts while the party behind it lives, and is closed while it does not.
struct ListenerTask {
    address: SocketAddr,
    way: Way,
    up: watch::Receiver<View>,
    down: watch::Receiver<View>,
    standing: Standing,
    starved: Arc<StarvedReads>,
    serve: Serve,
}

impl ListenerTask {
    /// Runs until the party behind the listener, or the listener itself, is gone for good.
    async fn run(mut self, listener: TcpListener) {
        let mut open = Some(listener);
        loop {
            if !self.standing.now() {
                open = None;
                if self.standing.changed().await.is_none() {
                    return;
                }
                continue;
            }
            let Some(listener) = &open else {
                open = self.listen_again().await;
                continue;
            };
            let is_cut = self.way.cut(&mut self.up, &mut self.down);
            let stands = if is_cut {
                self.hang_connections(listener).await
            } else {
                self.accept_or_change(listener).await
            };
            if stands.is_none() {
                return;
            }
        }
    }

    /// Listens at the same address as before; `None` after a pause where that failed.
    async fn listen_again(&self) -> Option<TcpListener> {
        match listen(self.address) {
            Ok(listener) => Some(listener),
            Err(error) => {
                self.starved.note(&error);
                sleep(STARVED).await;
                None
            }
        }
    }

    /// Waits for one connection or one change of state. `None`: the party or the listener is gone for good.
    async fn accept_or_change(&mut self, listener: &TcpListener) -> Option<()> {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let (stream, stamp) = through(stream, self.way.clone(), Some(self.standing.clone()));
                    (self.serve)(stream, stamp);
                }
                Err(error) => {
                    self.starved.note(&error);
                    sleep(STARVED).await;
                }
            },
            _ = self.up.changed() => {}
            _ = self.down.changed() => {}
            changed = self.standing.changed() => changed?,
        }
        Some(())
    }

    async fn hang_connections(&mut self, listener: &TcpListener) -> Option<()> {
        let standing = &mut self.standing;
        black_hole(listener, self.address, &self.way, &mut self.up, &mut self.down, standing).await
    }
}

/// Lets new connections hang until the cut is over: a listener whose queue is full drops what comes. `None`: the
/// party behind it is gone for good.
async fn black_hole(
    listener: &TcpListener,
    address: SocketAddr,
    way: &Way,
    up: &mut watch::Receiver<View>,
    down: &mut watch::Receiver<View>,
    standing: &mut Standing,
) -> Option<()> {
    let queue = SockRef::from(listener);
    // Fails only on a socket that does not listen.
    let _ = queue.listen(0);
    // Fills the queue's one place; where another connection waits there already, this one hangs and is dropped.
    let filler = timeout(Duration::from_millis(100), TcpStream::connect(address)).await;
    let filler = filler.ok().and_then(Result::ok);
    while standing.now() && way.cut(up, down) {
        tokio::select! {
            _ = up.changed() => {}
            _ = down.changed() => {}
            changed = standing.changed() => changed?,
        }
    }
    let _ = queue.listen(BACKLOG as i32);
    if let Some(own) = filler.as_ref().and_then(|f| f.local_addr().ok()) {
        // Whoever stands before it in the queue has been cut off as well, and is dropped.
        while let Ok(Ok((_, peer))) = timeout(Duration::from_millis(50), listener.accept()).await {
            if peer == own {
                break;
            }
        }
    }
    Some(())
}

/// The lab's end of a connection that suffers what is on its way. `standing`: the party at the lab's end; when it
/// dies the connection is reset.
pub fn through(stream: TcpStream, way: Way, standing: Option<Standing>) -> (DuplexStream, LastRead) {
    // Small messages must not wait for each other; it can fail on a connection that is broken already.
    let _ = stream.set_nodelay(true);
    let (inner, outer) = duplex(16 * 1024);
    let stamp = LastRead::default();
    tokio::spawn(carry(stream, outer, way, stamp.clone(), standing));
    (inner, stamp)
}

async fn carry(
    mut stream: TcpStream,
    outer: DuplexStream,
    way: Way,
    stamp: LastRead,
    standing: Option<Standing>,
) {
    let (read, write) = stream.split();
    let (from, to) = tokio::io::split(outer);
    let broken = {
        let came = || stamp.set(way.clock.now());
        let both =
            async { tokio::try_join!(pump(read, to, &way.up, came), pump(from, write, &way.down, || {})) };
        let dead = async {
            match standing {
                Some(standing) => standing.ended().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            done = both => done.is_err(),
            () = reset(&way.up) => true,
            () = reset(&way.down) => true,
            () = dead => true,
        }
    };
    if broken {
        // Fails on a connection that is gone already.
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

async fn reset(link: &Link) {
    let mut watch = link.watch();
    let before = watch.borrow_and_update().resets;
    if watch.wait_for(|view| view.resets != before).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    link: &Link,
    came: impl Fn(),
) -> io::Result<()> {
    let mut watch = link.watch();
    let mut piece = vec![0; PIECE];
    loop {
        let length = from.read(&mut piece).await?;
        came();
        link.cross(&mut watch).await;
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&piece[..length]).await?;
    }
}
