//! TCP relays over links: listeners at addresses of one gateway, and connections to which the links' faults apply.

use crate::clock::Clock;
use crate::link::{Link, LinkState};
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

/// Maximum number of bytes per read, which cross the link together.
const READ_SIZE: usize = 4096;
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 512;
/// Pause after a failure for lack of a descriptor or a port in the lab itself.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(50);

/// Links of a connection in both directions.
#[derive(Clone)]
pub struct Way {
    /// Link from the connecting side.
    pub up: Arc<Link>,
    /// Link to the connecting side.
    pub down: Arc<Link>,
    /// Clock of the run.
    pub clock: Clock,
}

/// Time of the last read from a connection's socket, before the data crossed the link; approximates the time of sending.
#[derive(Debug, Clone, Default)]
pub struct LastRead(Arc<AtomicU64>);

impl LastRead {
    /// Returns the time of the last read.
    pub fn last(&self) -> Microseconds {
        self.0.load(Ordering::Relaxed)
    }
    fn set(&self, at: Microseconds) {
        self.0.store(at, Ordering::Relaxed);
    }
}

impl Way {
    fn cut(&self, up: &mut watch::Receiver<LinkState>, down: &mut watch::Receiver<LinkState>) -> bool {
        // A connection is established only if neither direction is cut.
        up.borrow_and_update().cut() | down.borrow_and_update().cut()
    }
}

/// Number of times that the lab itself lacked a port, a descriptor or memory, which makes a run invalid.
#[derive(Debug, Default)]
pub struct ResourceShortages(AtomicUsize);

impl ResourceShortages {
    /// Returns the number so far.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
    /// Counts an error if it means that a resource was lacking.
    pub fn note(&self, error: &io::Error) {
        let shortages =
            [io::ErrorKind::AddrNotAvailable, io::ErrorKind::AddrInUse, io::ErrorKind::OutOfMemory];
        // ENFILE (23) and EMFILE (24): too many open files in the system or in the process.
        if shortages.contains(&error.kind()) || matches!(error.raw_os_error(), Some(23 | 24)) {
            self.0.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Handler of the connections that a listener accepts.
pub type Serve = Arc<dyn Fn(DuplexStream, LastRead) + Send + Sync>;

/// Listener at an address that only one gateway uses, in front of another party.
pub struct GatewayListener {
    /// Address of the listener.
    pub address: SocketAddr,
    open: watch::Sender<bool>,
}

/// Condition for a listener's connections: the party behind it is running and the listener is open.
#[derive(Clone)]
pub struct Availability {
    alive: watch::Receiver<bool>,
    open: watch::Receiver<bool>,
}

impl Availability {
    fn is_available(&mut self) -> bool {
        *self.alive.borrow_and_update() & *self.open.borrow_and_update()
    }
    /// Waits for a change. Returns `None` if the party or the listener no longer exists.
    async fn changed(&mut self) -> Option<()> {
        tokio::select! {
            changed = self.alive.changed() => changed.ok(),
            changed = self.open.changed() => changed.ok(),
        }
    }
    async fn ended(mut self) {
        while self.is_available() {
            if self.changed().await.is_none() {
                return;
            }
        }
    }
}

impl GatewayListener {
    /// Opens a listener at a free port of an address. While `alive` is false, new connections are refused and existing
    /// ones are reset.
    pub fn open(
        ip: IpAddr,
        way: Way,
        alive: watch::Receiver<bool>,
        resource_shortages: Arc<ResourceShortages>,
        serve: Serve,
    ) -> io::Result<GatewayListener> {
        let listener = listen(SocketAddr::new(ip, 0))?;
        let address = listener.local_addr()?;
        let open = watch::Sender::new(true);
        let availability = Availability { alive, open: open.subscribe() };
        tokio::spawn(async move {
            let up = way.up.watch();
            let down = way.down.watch();
            let task = ListenerTask { address, way, up, down, availability, resource_shortages, serve };
            task.run(listener).await;
        });
        Ok(GatewayListener { address, open })
    }

    /// Closes the listener: its connections are reset and new ones are refused.
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

/// Task of a listener: accepts connections while the party behind it is running, and is closed otherwise.
struct ListenerTask {
    address: SocketAddr,
    way: Way,
    up: watch::Receiver<LinkState>,
    down: watch::Receiver<LinkState>,
    availability: Availability,
    resource_shortages: Arc<ResourceShortages>,
    serve: Serve,
}

impl ListenerTask {
    /// Runs until the party behind the listener, or the listener itself, no longer exists.
    async fn run(mut self, listener: TcpListener) {
        let mut open = Some(listener);
        loop {
            if !self.availability.is_available() {
                open = None;
                if self.availability.changed().await.is_none() {
                    return;
                }
                continue;
            }
            let Some(listener) = &open else {
                open = self.listen_again().await;
                continue;
            };
            let is_cut = self.way.cut(&mut self.up, &mut self.down);
            let exists = if is_cut {
                self.hold_connections(listener).await
            } else {
                self.accept_or_change(listener).await
            };
            if exists.is_none() {
                return;
            }
        }
    }

    /// Listens at the same address as before. On failure, returns `None` after a pause.
    async fn listen_again(&self) -> Option<TcpListener> {
        match listen(self.address) {
            Ok(listener) => Some(listener),
            Err(error) => {
                self.resource_shortages.note(&error);
                sleep(SHORTAGE_PAUSE).await;
                None
            }
        }
    }

    /// Waits for one connection or one change of state. Returns `None` if the party or the listener no longer exists.
    async fn accept_or_change(&mut self, listener: &TcpListener) -> Option<()> {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let (stream, last_read) = relay_stream(stream, self.way.clone(), Some(self.availability.clone()));
                    (self.serve)(stream, last_read);
                }
                Err(error) => {
                    self.resource_shortages.note(&error);
                    sleep(SHORTAGE_PAUSE).await;
                }
            },
            _ = self.up.changed() => {}
            _ = self.down.changed() => {}
            changed = self.availability.changed() => changed?,
        }
        Some(())
    }

    async fn hold_connections(&mut self, listener: &TcpListener) -> Option<()> {
        let availability = &mut self.availability;
        drop_connections_during_cut(
            listener,
            self.address,
            &self.way,
            &mut self.up,
            &mut self.down,
            availability,
        )
        .await
    }
}

/// Leaves new connections unanswered until the cut ends, by keeping the accept queue full: the kernel then drops
/// incoming connection requests. Returns `None` if the party or the listener no longer exists.
async fn drop_connections_during_cut(
    listener: &TcpListener,
    address: SocketAddr,
    way: &Way,
    up: &mut watch::Receiver<LinkState>,
    down: &mut watch::Receiver<LinkState>,
    availability: &mut Availability,
) -> Option<()> {
    let queue = SockRef::from(listener);
    // Fails only on a socket that is not listening.
    let _ = queue.listen(0);
    // Fills the queue's only slot. If another connection is already there, this one times out and is dropped.
    let filler = timeout(Duration::from_millis(100), TcpStream::connect(address)).await;
    let filler = filler.ok().and_then(Result::ok);
    while availability.is_available() && way.cut(up, down) {
        tokio::select! {
            _ = up.changed() => {}
            _ = down.changed() => {}
            changed = availability.changed() => changed?,
        }
    }
    let _ = queue.listen(BACKLOG as i32);
    if let Some(filler_address) = filler.as_ref().and_then(|f| f.local_addr().ok()) {
        // Connections before it in the queue were made during the cut as well, and are dropped.
        while let Ok(Ok((_, peer))) = timeout(Duration::from_millis(50), listener.accept()).await {
            if peer == filler_address {
                break;
            }
        }
    }
    Some(())
}

/// Relays a connection over its links and returns the lab's end of it. If `availability` is given, the connection is
/// reset when the party at the lab's end stops or its listener is closed.
pub fn relay_stream(
    stream: TcpStream,
    way: Way,
    availability: Option<Availability>,
) -> (DuplexStream, LastRead) {
    // Without TCP_NODELAY small messages would wait for each other. Fails only on a connection that is already broken.
    let _ = stream.set_nodelay(true);
    let (inner, outer) = duplex(16 * 1024);
    let last_read = LastRead::default();
    tokio::spawn(relay(stream, outer, way, last_read.clone(), availability));
    (inner, last_read)
}

async fn relay(
    mut stream: TcpStream,
    outer: DuplexStream,
    way: Way,
    last_read: LastRead,
    availability: Option<Availability>,
) {
    let (read, write) = stream.split();
    let (from, to) = tokio::io::split(outer);
    let broken = {
        let on_read = || last_read.set(way.clock.now());
        let relaying = async {
            tokio::try_join!(
                copy_over_link(read, to, &way.up, on_read),
                copy_over_link(from, write, &way.down, || {})
            )
        };
        let unavailable = async {
            match availability {
                Some(availability) => availability.ended().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            done = relaying => done.is_err(),
            () = wait_for_reset(&way.up) => true,
            () = wait_for_reset(&way.down) => true,
            () = unavailable => true,
        }
    };
    if broken {
        // A linger time of 0 resets the connection on close. Fails on a connection that is already gone.
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

async fn wait_for_reset(link: &Link) {
    let mut watch = link.watch();
    let before = watch.borrow_and_update().resets;
    if watch.wait_for(|state| state.resets != before).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn copy_over_link(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    link: &Link,
    on_read: impl Fn(),
) -> io::Result<()> {
    let mut watch = link.watch();
    let mut buffer = vec![0; READ_SIZE];
    loop {
        let length = from.read(&mut buffer).await?;
        on_read();
        link.cross(&mut watch).await;
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}
