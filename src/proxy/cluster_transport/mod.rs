//! The cluster on real sockets: datagrams to other gateways, the disk, and what requests ask of the ledger and of the write
//! queue. `crate::cluster` decides everything; this carries it out.
//!
//! [`ClusterTransport`] holds the node while this process takes part, and performs its effects; `participation` is its loop.
//! `claims`, `rollouts`, `writes` and `stats` are what others ask of it.

pub(crate) mod abandoned_requests;
mod claim_handle;
mod claim_progress;
mod claims;
pub(crate) mod disk;
pub(crate) mod ledger_claim;
pub(crate) mod ledger_request;
mod notices;
pub(crate) mod outcome_recorder;
mod participation;
pub(crate) mod queued_write;
pub mod rollouts;
pub(crate) mod serialized_request;
pub mod stats;
#[cfg(test)]
mod tests;
pub(crate) mod write_queue_sender;
mod writes;

use crate::cluster::ledger::{AbandonedRequest, ClaimId, ClaimOutcome};
use crate::cluster::rollout::RolloutKey;
use crate::cluster::write_queue::Dot;
use crate::cluster::{ClusterNode, Effect, Event, QuotaShares, RoutingInForce, StorageWrite};
use crate::decision::QuotaLease;
use crate::proxy::control_plane::config::ClusterConfig;
use crate::proxy::lifecycle::drain::Lifecycle;
use crate::proxy::runtime::clock::Clock;
use claim_progress::ClaimProgress;
use disk::Disk;
use outcome_recorder::OutcomeRecorder;
use queued_write::QueuedWrite;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep;
use tracing::info;

/// The pause before a socket that could not be opened is tried again.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// What the cluster changes for the requests of this gateway.
pub enum ClusterUpdate {
    /// Other gateways leave more or less of their quota shares to this one.
    QuotaLease(QuotaLease),
    /// Other routing rules are in force.
    Routing(Box<RoutingInForce>),
}

/// Tells the runtime of an update, without waiting.
pub type UpdateListener = Box<dyn Fn(ClusterUpdate)>;

/// Where the transport sends requests that are to run here.
pub struct RequestSenders {
    /// Writes of the branch that are to be forwarded.
    pub queued_writes: mpsc::Sender<QueuedWrite>,
    /// Requests of gateways that are gone.
    pub abandoned_requests: mpsc::Sender<AbandonedRequest>,
}

/// The gateway's place in its cluster.
pub struct ClusterTransport {
    config: ClusterConfig,
    clock: Clock,
    lifecycle: Rc<Lifecycle>,
    notify_runtime: UpdateListener,
    /// The node, while this process takes part.
    node: RefCell<Option<ClusterNode>>,
    /// How often this process has begun to take part.
    participation: Cell<u64>,
    /// The socket, while this process takes part.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    /// The disk, where the gateway has one, while this process takes part.
    disk: RefCell<Option<Disk>>,
    /// Datagrams that the kernel did not take.
    datagrams_not_sent: Cell<u64>,
    /// Open claims at the ledger.
    claims: RefCell<HashMap<ClaimId, Rc<ClaimProgress>>>,
    /// Outcomes that the node is told of.
    outcomes: Rc<OutcomeRecorder>,
    /// Whoever waits for a rollout to start.
    rollout_start: RefCell<Option<oneshot::Sender<Option<RolloutKey>>>>,
    /// Whoever waits for writes to be accepted.
    write_decisions: RefCell<HashMap<Dot, Vec<oneshot::Sender<bool>>>>,
    senders: RequestSenders,
    /// Abandoned requests that were finished here, and that could not be.
    abandoned_finished: Cell<u64>,
    abandoned_not_finished: Cell<u64>,
}

impl ClusterTransport {
    /// For a gateway whose configuration names a cluster.
    pub fn new(
        config: ClusterConfig,
        clock: Clock,
        lifecycle: Rc<Lifecycle>,
        notify_runtime: UpdateListener,
        outcomes: Rc<OutcomeRecorder>,
        senders: RequestSenders,
    ) -> Rc<ClusterTransport> {
        Rc::new(ClusterTransport {
            config,
            clock,
            lifecycle,
            notify_runtime,
            node: RefCell::new(None),
            participation: Cell::new(0),
            socket: RefCell::new(None),
            disk: RefCell::new(None),
            datagrams_not_sent: Cell::new(0),
            claims: RefCell::default(),
            outcomes,
            rollout_start: RefCell::new(None),
            write_decisions: RefCell::default(),
            senders,
            abandoned_finished: Cell::new(0),
            abandoned_not_finished: Cell::new(0),
        })
    }

    /// The socket's address.
    pub fn listen(&self) -> SocketAddr {
        self.config.listen
    }

    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// What the system says of it.
    pub async fn open(&self) -> io::Result<UdpSocket> {
        UdpSocket::bind(self.config.listen).await
    }

    /// Takes part for as long as this process stands for the gateway, again and again. `opened` is the socket if it is
    /// open already; a process that takes another's place opens it once that one has closed it. `addresses` are those of
    /// the other gateways.
    pub async fn run(
        self: Rc<ClusterTransport>,
        mut opened: Option<UdpSocket>,
        mut addresses: watch::Receiver<BTreeMap<String, SocketAddr>>,
    ) {
        let mut lifecycle = self.lifecycle.subscribe();
        loop {
            if lifecycle.wait_for(|s| s.serving && !s.replaced).await.is_err() {
                return;
            }
            let socket = Rc::new(match opened.take() {
                Some(socket) => socket,
                None => self.open_when_free().await,
            });
            *self.socket.borrow_mut() = Some(socket.clone());
            self.take_part(&socket, &mut addresses).await;
            *self.node.borrow_mut() = None;
            *self.socket.borrow_mut() = None;
            *self.disk.borrow_mut() = None;
            self.claims.borrow_mut().clear();
        }
    }

    /// Opens the socket as soon as the process before this one has closed it.
    async fn open_when_free(&self) -> UdpSocket {
        let mut logged = false;
        loop {
            match self.open().await {
                Ok(socket) => return socket,
                Err(error) => {
                    if !logged {
                        info!(%error, listen = %self.config.listen, "the cluster's socket can't be opened yet");
                    }
                    logged = true;
                }
            }
            sleep(OPEN_RETRY_INTERVAL).await;
        }
    }

    /// Passes an event to the node, and performs what it decides.
    fn handle(&self, event: Event<'_>) {
        let mut effects = Vec::new();
        if let Some(node) = self.node.borrow_mut().as_mut() {
            node.handle(self.clock.now(), event, &mut effects);
        }
        self.perform(effects);
    }

    fn perform(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => self.send(to, &bytes),
                Effect::Notify(notice) => notices::log(&notice),
                Effect::PersistBatch { batch, writes } => self.persist(batch, writes),
                Effect::QuotaSharesChanged(shares) => self.pass_on_quota(shares),
                Effect::RoutingChanged(in_force) => {
                    (self.notify_runtime)(ClusterUpdate::Routing(in_force));
                }
                Effect::WriteQueue(effect) => self.perform_write_queue(effect),
                // Where there is no room it is offered again, here or elsewhere.
                Effect::RequestAbandoned(request) => {
                    let _ = self.senders.abandoned_requests.try_send(request);
                }
                Effect::RolloutNotice(notice) => notices::log_rollout(&notice),
                Effect::RolloutStarted { key } => self.resolve_rollout_start(key),
                Effect::ClaimResolved { claim, outcome } => self.resolve_claim(claim, outcome),
            }
        }
    }

    /// Sends a datagram. What the kernel has no room for is lost, as on any network.
    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let socket = self.socket.borrow();
        let sent = socket.as_ref().is_some_and(|socket| socket.try_send_to(bytes, to).is_ok());
        if !sent {
            self.datagrams_not_sent.set(self.datagrams_not_sent.get() + 1);
        }
    }

    fn persist(&self, batch: u64, writes: Vec<StorageWrite>) {
        let submitted = self.disk.borrow().as_ref().is_some_and(|disk| disk.submit(batch, writes));
        if !submitted {
            self.handle(Event::StorageFailed);
        }
    }

    /// Tells the runtime what other gateways leave of their quota shares, where shares are lent.
    fn pass_on_quota(&self, shares: QuotaShares) {
        let QuotaShares { until, free_seats } = shares;
        if self.config.lendable_part > 0.0 {
            let fraction = self.config.lendable_part;
            let lease = QuotaLease { fraction, valid_until: until, absent_gateways: free_seats };
            (self.notify_runtime)(ClusterUpdate::QuotaLease(lease));
        }
    }

    fn resolve_rollout_start(&self, key: Option<RolloutKey>) {
        if let Some(waiting) = self.rollout_start.borrow_mut().take() {
            // Whoever asked may have gone.
            let _ = waiting.send(key);
        }
    }

    fn resolve_claim(&self, claim: ClaimId, outcome: ClaimOutcome) {
        let progress = self.claims.borrow().get(&claim).cloned();
        if let Some(progress) = progress {
            progress.resolve(outcome);
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/fixtures/gauges.rs"]
mod gauge_fixtures;
