//! The socket over which gateways talk to each other, and its loop. `crate::cluster` decides; this carries.

pub(crate) mod abandoned_requests;
mod claims;
pub(crate) mod disk;
pub(crate) mod ledger_claim;
pub(crate) mod ledger_request;
mod notices;
pub(crate) mod outcome_recorder;
pub mod rollouts;
pub(crate) mod serialized_request;
pub mod stats;
#[cfg(test)]
mod tests;
pub(crate) mod write_queue_sender;
mod writes;

use crate::cluster::ledger::{AbandonedRequest, ClaimId};
use crate::cluster::rollout::RolloutKey;
use crate::cluster::write_queue::Dot;
use crate::cluster::{
    ClusterNode, Effect, Event, Micros, QuotaShares, LEDGER_TICK_INTERVAL, MAX_DATAGRAM_BYTES, TICK_INTERVAL,
};
use crate::decision::QuotaLease;
use crate::proxy::control_plane::config::ClusterConfig;
use crate::proxy::lifecycle::drain::{Lifecycle, ShutdownPhase};
use crate::proxy::runtime::{send_event, Clock, RuntimeEvent, RuntimeSender};
use disk::{Disk, DiskEvent};
use ledger_claim::ClaimProgress;
use outcome_recorder::OutcomeRecorder;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, sleep_until, Instant};
use tracing::{info, warn};
use write_queue_sender::QueuedWrite;

/// Datagrams that are read in one `REFILL`: 20,000 a second. What a flood sends beyond that the kernel drops.
const BUDGET: u32 = 200;
const REFILL: Duration = Duration::from_millis(10);
/// The least time between two lines of the log about datagrams that were dropped.
const STRANGERS_EVERY: Duration = Duration::from_secs(10);
/// The pause before a socket that could not be opened is tried again.
const OPEN_AGAIN: Duration = Duration::from_millis(200);

/// The gateway's place in its fleet.
pub struct ClusterTransport {
    config: ClusterConfig,
    clock: Clock,
    duty: Rc<Lifecycle>,
    inbox: RuntimeSender,
    fleet: RefCell<Option<ClusterNode>>,
    /// Datagrams that the kernel did not take.
    unsent: Cell<u64>,
    /// The socket, while this process takes part.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    /// Work at the ledger, by its claim, and how often this process has begun to take part.
    slots: RefCell<HashMap<ClaimId, Rc<ClaimProgress>>>,
    era: Cell<u64>,
    /// How requests ended under a rollout.
    arms: Rc<OutcomeRecorder>,
    /// Who waits for a rollout to begin.
    begins: RefCell<Option<oneshot::Sender<Option<RolloutKey>>>>,
    /// Who waits for a write to be accepted, and the way to whoever sends writes on.
    accepts: RefCell<HashMap<Dot, Vec<oneshot::Sender<bool>>>>,
    writes: mpsc::Sender<QueuedWrite>,
    /// The gateway's disk, where it has one, while this process takes part.
    disk: RefCell<Option<Disk>>,
    /// The way to whoever finishes requests of gateways that are gone; how many were, and how many could not be.
    orphans: mpsc::Sender<AbandonedRequest>,
    finished: (Cell<u64>, Cell<u64>),
}

impl ClusterTransport {
    /// For a gateway whose configuration names a fleet.
    pub fn new(
        config: ClusterConfig,
        clock: Clock,
        duty: Rc<Lifecycle>,
        inbox: RuntimeSender,
        arms: Rc<OutcomeRecorder>,
        (writes, orphans): (mpsc::Sender<QueuedWrite>, mpsc::Sender<AbandonedRequest>),
    ) -> Rc<ClusterTransport> {
        Rc::new(ClusterTransport {
            config,
            clock,
            duty,
            inbox,
            fleet: RefCell::new(None),
            unsent: Cell::new(0),
            socket: RefCell::new(None),
            slots: RefCell::default(),
            era: Cell::new(0),
            arms,
            begins: RefCell::new(None),
            accepts: RefCell::default(),
            writes,
            disk: RefCell::new(None),
            orphans,
            finished: (Cell::new(0), Cell::new(0)),
        })
    }

    /// Where the socket is.
    pub fn listen(&self) -> SocketAddr {
        self.config.listen
    }

    /// Opens the socket.
    pub async fn open(&self) -> io::Result<UdpSocket> {
        UdpSocket::bind(self.config.listen).await
    }

    /// Takes part for as long as this process stands for the gateway, for ever. `opened` is the socket where it
    /// is open already; a process that takes another's place opens it once that one has let go.
    pub async fn run(
        self: Rc<ClusterTransport>,
        mut opened: Option<UdpSocket>,
        mut elsewhere: watch::Receiver<BTreeMap<String, SocketAddr>>,
    ) {
        let mut duty = self.duty.subscribe();
        loop {
            if duty.wait_for(|s| s.serving && !s.replaced).await.is_err() {
                return;
            }
            let socket = Rc::new(match opened.take() {
                Some(socket) => socket,
                None => self.open_again().await,
            });
            *self.socket.borrow_mut() = Some(socket.clone());
            self.take_part(&socket, &mut elsewhere).await;
            *self.fleet.borrow_mut() = None;
            *self.socket.borrow_mut() = None;
            *self.disk.borrow_mut() = None;
            self.slots.borrow_mut().clear();
        }
    }

    async fn open_again(&self) -> UdpSocket {
        let mut told = false;
        loop {
            match self.open().await {
                Ok(socket) => return socket,
                Err(error) if !std::mem::replace(&mut told, true) => {
                    info!(%error, listen = %self.config.listen, "the fleet's socket can't be opened yet");
                }
                Err(_) => {}
            }
            sleep(OPEN_AGAIN).await;
        }
    }

    /// Takes part until another process stands for the gateway.
    async fn take_part(
        &self,
        socket: &UdpSocket,
        elsewhere: &mut watch::Receiver<BTreeMap<String, SocketAddr>>,
    ) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix = Micros(unix.as_micros().min(u128::from(u64::MAX)) as u64);
        let settings = crate::cluster::Settings {
            peers: elsewhere.borrow_and_update().clone(),
            disk: self.config.storage_dir.as_ref().map(|_| disk::machine_id()),
            ..self.config.settings.clone()
        };
        match ClusterNode::new(settings, self.clock.now(), unix, fastrand::u64(..)) {
            Ok(fleet) => {
                info!(name = %fleet.own().name, incarnation = fleet.own().incarnation, "joining the fleet");
                let in_force = fleet.routing_in_force().filter(|f| !f.baseline.0.is_empty());
                in_force
                    .into_iter()
                    .for_each(|f| send_event(&self.inbox, RuntimeEvent::RoutingChanged(Box::new(f))));
                *self.fleet.borrow_mut() = Some(fleet);
                self.era.set(self.era.get() + 1);
            }
            // Read and checked at the start.
            Err(error) => return warn!(%error, "no fleet"),
        }
        let mut words = self.config.storage_dir.as_ref().map(|folder| {
            let (disk, words) = Disk::open(folder);
            *self.disk.borrow_mut() = Some(disk);
            words
        });
        let (mut duty, mut leaving) = (self.duty.subscribe(), false);
        let (mut wake, mut refill, mut budget) = (Instant::now(), Instant::now(), BUDGET);
        let (mut strangers, mut told) = (0, Instant::now());
        let mut beat = self.keeps_ledger().then(Instant::now);
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            if Instant::now() >= refill {
                (refill, budget) = (Instant::now() + REFILL, BUDGET);
            }
            // Before time goes by for the fleet part: after a pause the answers that wait count first.
            while budget > 0 {
                let Ok((length, from)) = socket.try_recv_from(&mut buffer) else { break };
                budget -= 1;
                self.give(Event::Datagram { from, bytes: &buffer[..length] });
            }
            if beat.is_some_and(|at| Instant::now() >= at) {
                beat = Some(Instant::now() + Duration::from_micros(LEDGER_TICK_INTERVAL.0));
                self.count();
                self.give(Event::LedgerTick);
            }
            if Instant::now() >= wake {
                wake = Instant::now() + Duration::from_micros(TICK_INTERVAL.0);
                self.give(Event::Tick);
                if told.elapsed() >= STRANGERS_EVERY {
                    told = Instant::now();
                    self.tell_strangers(&mut strangers);
                }
            }
            let state = self.duty.state();
            if state.replaced {
                return;
            }
            if state.shutdown >= ShutdownPhase::Stopping && !std::mem::replace(&mut leaving, true) {
                self.give(Event::Leave);
            }
            tokio::select! {
                _ = socket.readable(), if budget > 0 => {}
                () = sleep_until(refill), if budget == 0 => {}
                () = sleep_until(wake) => {}
                () = sleep_until(beat.unwrap_or(wake)), if beat.is_some() => {}
                word = next(&mut words) => match word {
                    DiskEvent::Loaded(puts) => self.give(Event::StorageLoaded { writes: puts }),
                    DiskEvent::Synced(batch) => self.give(Event::StorageSynced { batch }),
                    DiskEvent::Failed => self.give(Event::StorageFailed),
                },
                // The duty outlives this.
                _ = duty.changed() => {}
                changed = elsewhere.changed() => match changed {
                    Ok(()) => {
                        let peers = elsewhere.borrow_and_update().clone();
                        self.give(Event::PeerAddressesChanged { addresses: peers });
                    }
                    Err(_) => return,
                },
            }
        }
    }

    fn give(&self, event: Event<'_>) {
        let mut effects = Vec::new();
        if let Some(fleet) = self.fleet.borrow_mut().as_mut() {
            fleet.handle(self.clock.now(), event, &mut effects);
        }
        self.perform(effects);
    }

    fn perform(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                // What the kernel has no room for is lost, as on any network.
                Effect::Send { to, bytes } => {
                    let socket = self.socket.borrow();
                    let unsent = socket.as_ref().is_none_or(|s| s.try_send_to(&bytes, to).is_err());
                    self.unsent.set(self.unsent.get() + u64::from(unsent));
                }
                Effect::Notify(notice) => notices::log(&notice),
                Effect::PersistBatch { batch, writes: puts } => {
                    if !self.disk.borrow().as_ref().is_some_and(|disk| disk.submit(batch, puts)) {
                        self.give(Event::StorageFailed);
                    }
                }
                Effect::QuotaSharesChanged(QuotaShares { until, free_seats })
                    if self.config.lendable_part > 0.0 =>
                {
                    send_event(
                        &self.inbox,
                        RuntimeEvent::QuotaLeaseChanged(QuotaLease {
                            fraction: self.config.lendable_part,
                            valid_until: until,
                            absent_gateways: free_seats,
                        }),
                    );
                }
                Effect::QuotaSharesChanged(_) => {}
                Effect::RoutingChanged(in_force) => {
                    send_event(&self.inbox, RuntimeEvent::RoutingChanged(in_force))
                }
                Effect::WriteQueue(errand) => self.run_errand(errand),
                // Where there is no room it is offered again, here or elsewhere.
                Effect::RequestAbandoned(orphan) => drop(self.orphans.try_send(orphan)),
                Effect::RolloutNotice(told) => notices::log_rollout(&told),
                Effect::RolloutStarted { key } => {
                    if let Some(asks) = self.begins.borrow_mut().take() {
                        // Who asked may have gone.
                        let _ = asks.send(key);
                    }
                }
                Effect::ClaimResolved { claim, outcome: finding } => {
                    let slot = self.slots.borrow().get(&claim).cloned();
                    slot.into_iter().for_each(|slot| slot.tell(finding.clone()));
                }
            }
        }
    }

    fn tell_strangers(&self, before: &mut u64) {
        let fleet = self.fleet.borrow();
        let Some(strangers) = fleet.as_ref().map(|f| &f.traffic().dropped) else { return };
        let all = strangers.values().sum();
        if all > *before {
            let why: Vec<String> = strangers.iter().map(|(s, n)| format!("{} {n}", s.key())).collect();
            warn!(since_last = all - *before, all = why.join(", "), "datagrams of strangers dropped");
        }
        *before = all;
    }
}

/// The disk's next word; one whose thread is gone has failed.
async fn next(words: &mut Option<mpsc::Receiver<DiskEvent>>) -> DiskEvent {
    match words {
        Some(heard) => match heard.recv().await {
            Some(word) => word,
            None => {
                *words = None;
                DiskEvent::Failed
            }
        },
        None => std::future::pending().await,
    }
}

#[cfg(test)]
#[path = "../../../tests/fixtures/gauges.rs"]
mod gauge_fixtures;
