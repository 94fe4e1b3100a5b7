//! I/O of the cluster: the UDP socket, the storage file, and the ledger and write-queue calls of requests. All
//! decisions are made in `crate::cluster`; this module carries them out.
//!
//! [`ClusterTransport`] owns the cluster node while this process participates in the cluster, and performs its
//! effects; `participation` is the event loop. `claims`, `rollouts`, `writes` and `stats` are the interface for the
//! rest of the gateway.

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
mod predecessor;
pub(crate) mod queued_write;
pub mod rollouts;
pub(crate) mod serialized_request;
pub mod stats;
#[cfg(test)]
mod tests;
pub(crate) mod write_queue_sender;
pub(crate) mod writes;

use crate::cluster::ledger::{AbandonedRequest, ClaimId, ClaimOutcome};
use crate::cluster::rollout::RolloutKey;
use crate::cluster::write_queue::{Acceptance, Dot};
use crate::cluster::{ActiveRouting, ClusterNode, Effect, Event, QuotaShares, StorageWrite};
use crate::decision::QuotaLease;
use crate::proxy::control_plane::config::ClusterConfig;
use crate::proxy::lifecycle::drain::Lifecycle;
use crate::proxy::lifecycle::handover::HandoverMessage;
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

/// Pause between attempts to open the socket.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A change in the cluster that affects how this gateway handles requests.
pub enum ClusterUpdate {
    /// The quota shares that this gateway may use have changed.
    QuotaLease(QuotaLease),
    /// The routing rules in force have changed.
    Routing(Box<ActiveRouting>),
}

/// Passes an update to the runtime, without blocking.
pub type UpdateListener = Box<dyn Fn(ClusterUpdate)>;

/// Channels for the requests that the cluster assigns to this gateway.
pub struct RequestSenders {
    /// Writes of the branch to be forwarded.
    pub queued_writes: mpsc::Sender<QueuedWrite>,
    /// Requests of gateways that have failed or left, to be finished.
    pub abandoned_requests: mpsc::Sender<AbandonedRequest>,
}

/// This gateway's connection to its cluster.
pub struct ClusterTransport {
    config: ClusterConfig,
    clock: Clock,
    lifecycle: Rc<Lifecycle>,
    notify_runtime: UpdateListener,
    /// The cluster node; set during a participation.
    node: RefCell<Option<ClusterNode>>,
    /// Number of the current participation, counted from 1; 0 before the first.
    participation: Cell<u64>,
    /// The UDP socket; set during a participation.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    /// The storage, if one is configured; set during a participation.
    disk: RefCell<Option<Disk>>,
    /// Number of datagrams that the kernel did not accept for sending.
    datagrams_not_sent: Cell<u64>,
    /// Open ledger claims.
    claims: RefCell<HashMap<ClaimId, Rc<ClaimProgress>>>,
    /// Outcomes and reachability records that are passed on to the node.
    outcomes: Rc<OutcomeRecorder>,
    /// Sender of the rollout's key, while a caller waits for a rollout to start; `None` is sent if it can't start.
    rollout_start: RefCell<Option<oneshot::Sender<Option<RolloutKey>>>>,
    /// Callers that wait for writes to be accepted or rejected.
    write_decisions: RefCell<HashMap<Dot, Vec<oneshot::Sender<Acceptance>>>>,
    senders: RequestSenders,
    /// Sends messages to the predecessor of this process, while there is one whose claims are open.
    predecessor: RefCell<Option<mpsc::Sender<HandoverMessage>>>,
    /// Seats that the predecessor knew as present replicas. The node of the next participation takes them.
    assumed_present: RefCell<Vec<u16>>,
    /// Whether this process participates in the cluster.
    participates: watch::Sender<bool>,
    /// Number of abandoned requests that this gateway finished.
    abandoned_finished: Cell<u64>,
    /// Number of abandoned requests that this gateway could not finish.
    abandoned_not_finished: Cell<u64>,
}

impl ClusterTransport {
    /// Creates the transport of a gateway with a cluster configuration. No socket is opened yet.
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
            predecessor: RefCell::new(None),
            assumed_present: RefCell::default(),
            participates: watch::Sender::new(false),
            abandoned_finished: Cell::new(0),
            abandoned_not_finished: Cell::new(0),
        })
    }

    /// Address on which datagrams are received.
    pub fn listen(&self) -> SocketAddr {
        self.config.listen
    }

    /// Opens the UDP socket.
    ///
    /// # Errors
    ///
    /// The socket can't be bound to the configured address.
    pub async fn open(&self) -> io::Result<UdpSocket> {
        UdpSocket::bind(self.config.listen).await
    }

    /// Participates in the cluster whenever this process serves and is not replaced by a successor. `opened` is the
    /// socket if it is already open; a successor opens the socket only after its predecessor has closed it.
    /// `addresses` are those of the other gateways.
    pub async fn run(
        self: Rc<ClusterTransport>,
        mut opened: Option<UdpSocket>,
        mut addresses: watch::Receiver<BTreeMap<String, SocketAddr>>,
    ) {
        let mut lifecycle = self.lifecycle.subscribe();
        loop {
            if lifecycle.wait_for(|s| s.may_join_cluster && !s.replaced).await.is_err() {
                return;
            }
            let socket = Rc::new(match opened.take() {
                Some(socket) => socket,
                None => self.open_when_free().await,
            });
            *self.socket.borrow_mut() = Some(socket.clone());
            self.participate(&socket, &mut addresses).await;
            // The successor opens these.
            *self.socket.borrow_mut() = None;
            *self.disk.borrow_mut() = None;
            drop(socket);
            self.serve_open_claims().await;
            self.participates.send_replace(false);
            *self.node.borrow_mut() = None;
            *self.socket.borrow_mut() = None;
            self.end_claims();
        }
    }

    /// Returns once this process participates in the cluster.
    pub async fn wait_until_participating(&self) {
        let mut participates = self.participates.subscribe();
        // Can't fail: this transport keeps the sender alive.
        let _ = participates.wait_for(|participates| *participates).await;
    }

    /// Reports all open claims as lost, as this process does not participate any more.
    fn end_claims(&self) {
        let claims = std::mem::take(&mut *self.claims.borrow_mut());
        claims.values().for_each(|claim| claim.resolve(ClaimOutcome::Lost));
    }

    /// Opens the socket as soon as the predecessor has closed it.
    async fn open_when_free(&self) -> UdpSocket {
        let mut logged = false;
        loop {
            match self.open().await {
                Ok(socket) => return socket,
                Err(error) => {
                    if !logged {
                        info!(%error, listen = %self.config.listen, "can't open the cluster socket yet; retrying");
                    }
                    logged = true;
                }
            }
            sleep(OPEN_RETRY_INTERVAL).await;
        }
    }

    /// Passes an event to the node, and performs the resulting effects.
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
                Effect::QuotaSharesChanged(shares) => self.notify_quota_lease(shares),
                Effect::RoutingChanged(in_force) => {
                    (self.notify_runtime)(ClusterUpdate::Routing(in_force));
                }
                Effect::WriteQueue(effect) => self.perform_write_queue(effect),
                // If the channel is full, the request is offered again later, here or at another gateway.
                Effect::RequestAbandoned(request) => {
                    let _ = self.senders.abandoned_requests.try_send(request);
                }
                Effect::RolloutNotice(notice) => notices::log_rollout(&notice),
                Effect::RolloutStarted { key } => self.resolve_rollout_start(key),
                Effect::ClaimResolved { claim, outcome } => self.resolve_claim(claim, outcome),
                Effect::PredecessorReply { seat, message } => self.pass_to_predecessor(seat, &message),
            }
        }
    }

    /// Sends a datagram. If the kernel's send buffer is full, the datagram is dropped, as it may be on any network.
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

    /// Notifies the runtime of the quota shares that this gateway may use, if quota shares are leased at all.
    fn notify_quota_lease(&self, shares: QuotaShares) {
        let QuotaShares { until, free_seats } = shares;
        if self.config.leasable_fraction > 0.0 {
            let fraction = self.config.leasable_fraction;
            let lease = QuotaLease { fraction, valid_until: until, absent_gateways: free_seats };
            (self.notify_runtime)(ClusterUpdate::QuotaLease(lease));
        }
    }

    fn resolve_rollout_start(&self, key: Option<RolloutKey>) {
        if let Some(waiting) = self.rollout_start.borrow_mut().take() {
            // The caller may have stopped waiting.
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
