//! The event loop of one participation in the cluster: from joining until the hand-over to a successor or the exit of
//! the process.

use super::disk::{self, Disk, DiskEvent};
use super::{ClusterTransport, ClusterUpdate};
use crate::cluster::{
    ClusterNode, Event, Micros, Settings, LEDGER_TICK_INTERVAL, MAX_DATAGRAM_BYTES, TICK_INTERVAL,
};
use crate::decision::SettingsError;
use crate::proxy::lifecycle::drain::ShutdownPhase;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};
use tracing::{info, warn};

/// Maximum number of datagrams read in one `BUDGET_INTERVAL`, which makes 20,000 per second. In a flood the kernel
/// drops the rest.
const DATAGRAM_BUDGET: u32 = 200;
/// Interval after which the receive budget is refilled.
const BUDGET_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum interval between two log lines about dropped datagrams.
const DROPPED_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Rate limit of received datagrams.
struct ReceiveBudget {
    /// Number of datagrams that may be read before the next refill.
    remaining: u32,
    refill_at: Instant,
}

impl ReceiveBudget {
    fn refill_if_due(&mut self) {
        if Instant::now() >= self.refill_at {
            self.remaining = DATAGRAM_BUDGET;
            self.refill_at = Instant::now() + BUDGET_INTERVAL;
        }
    }
}

/// Rate limit of the log of dropped datagrams.
struct DroppedDatagramLog {
    /// Total number of dropped datagrams at the last check.
    count: u64,
    checked_at: Instant,
}

/// State of the event loop.
struct Participation<'a> {
    transport: &'a ClusterTransport,
    socket: &'a UdpSocket,
    buffer: Vec<u8>,
    budget: ReceiveBudget,
    next_tick: Instant,
    /// Time of the next ledger tick; `None` without a ledger.
    next_ledger_tick: Option<Instant>,
    dropped_log: DroppedDatagramLog,
    /// Whether the node has been told to leave the cluster.
    leaving: bool,
}

impl ClusterTransport {
    /// Participates in the cluster until a successor replaces this process.
    pub(super) async fn participate(
        &self,
        socket: &UdpSocket,
        addresses: &mut watch::Receiver<BTreeMap<String, SocketAddr>>,
    ) {
        let joined = self.join(addresses.borrow_and_update().clone());
        // Not expected: the settings were validated at start-up.
        if let Err(error) = joined {
            return warn!(%error, "invalid cluster settings: this gateway does not join its cluster");
        }
        let mut disk_events = self.open_disk();
        let now = Instant::now();
        let participation = Participation {
            transport: self,
            socket,
            buffer: vec![0; MAX_DATAGRAM_BYTES + 1],
            budget: ReceiveBudget { remaining: DATAGRAM_BUDGET, refill_at: now },
            next_tick: now,
            next_ledger_tick: self.has_ledger().then_some(now),
            dropped_log: DroppedDatagramLog { count: 0, checked_at: now },
            leaving: false,
        };
        participation.run(&mut disk_events, addresses).await;
    }

    /// Creates the cluster node of this participation.
    fn join(&self, addresses: BTreeMap<String, SocketAddr>) -> Result<(), SettingsError> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix = Micros(unix.as_micros().min(u128::from(u64::MAX)) as u64);
        let settings = Settings {
            peers: addresses,
            storage_machine: self.config.storage_dir.as_ref().map(|_| disk::machine_id()),
            ..self.config.settings.clone()
        };
        let mut node = ClusterNode::new(settings, self.clock.now(), unix, fastrand::u64(..))?;
        node.assume_present(std::mem::take(&mut *self.assumed_present.borrow_mut()));
        info!(name = %node.own_identity().name, incarnation = node.own_identity().incarnation, "joining the cluster");
        if let Some(in_force) = node.routing_in_force().filter(|f| !f.baseline.0.is_empty()) {
            (self.notify_runtime)(ClusterUpdate::Routing(Box::new(in_force)));
        }
        *self.node.borrow_mut() = Some(node);
        self.participation.set(self.participation.get() + 1);
        self.participates.send_replace(true);
        Ok(())
    }

    /// Opens the storage, if one is configured.
    fn open_disk(&self) -> Option<mpsc::Receiver<DiskEvent>> {
        let folder = self.config.storage_dir.as_ref()?;
        let (disk, events) = Disk::open(folder);
        *self.disk.borrow_mut() = Some(disk);
        Some(events)
    }
}

impl Participation<'_> {
    async fn run(
        mut self,
        disk_events: &mut Option<mpsc::Receiver<DiskEvent>>,
        addresses: &mut watch::Receiver<BTreeMap<String, SocketAddr>>,
    ) {
        let transport = self.transport;
        let mut lifecycle = transport.lifecycle.subscribe();
        loop {
            // Datagrams are read before the tick: after a pause of the process, those already received have to be
            // handled before the node acts on elapsed time.
            self.receive();
            self.tick_if_due();
            let state = transport.lifecycle.state();
            if state.seat_handed_over {
                return;
            }
            if state.shutdown >= ShutdownPhase::Stopping && !self.leaving {
                self.leaving = true;
                transport.handle(Event::Leave);
            }
            let may_receive = self.budget.remaining > 0;
            let ledger_tick_at = self.next_ledger_tick.unwrap_or(self.next_tick);
            tokio::select! {
                _ = self.socket.readable(), if may_receive => {}
                () = sleep_until(self.budget.refill_at), if !may_receive => {}
                () = sleep_until(self.next_tick) => {}
                () = sleep_until(ledger_tick_at), if self.next_ledger_tick.is_some() => {}
                event = next_disk_event(disk_events) => handle_disk_event(transport, event),
                // Can't fail: the transport keeps the lifecycle alive.
                _ = lifecycle.changed() => {}
                changed = addresses.changed() => match changed {
                    Ok(()) => {
                        let addresses = addresses.borrow_and_update().clone();
                        transport.handle(Event::PeerAddressesChanged { addresses });
                    }
                    Err(_) => return,
                },
            }
        }
    }

    /// Reads the received datagrams, as far as the budget allows.
    fn receive(&mut self) {
        self.budget.refill_if_due();
        while self.budget.remaining > 0 {
            let Ok((length, from)) = self.socket.try_recv_from(&mut self.buffer) else { return };
            self.budget.remaining -= 1;
            self.transport.handle(Event::Datagram { from, bytes: &self.buffer[..length] });
        }
    }

    fn tick_if_due(&mut self) {
        if self.next_ledger_tick.is_some_and(|at| Instant::now() >= at) {
            self.next_ledger_tick = Some(Instant::now() + Duration::from_micros(LEDGER_TICK_INTERVAL.0));
            self.transport.deliver_outcomes();
            self.transport.handle(Event::LedgerTick);
        }
        if Instant::now() >= self.next_tick {
            self.next_tick = Instant::now() + Duration::from_micros(TICK_INTERVAL.0);
            self.transport.handle(Event::Tick);
            self.log_dropped_if_due();
        }
    }

    /// Logs the datagrams dropped since the last check.
    fn log_dropped_if_due(&mut self) {
        if self.dropped_log.checked_at.elapsed() < DROPPED_LOG_INTERVAL {
            return;
        }
        self.dropped_log.checked_at = Instant::now();
        let node = self.transport.node.borrow();
        let Some(dropped) = node.as_ref().map(|node| &node.traffic().dropped) else { return };
        let count = dropped.values().sum();
        if count > self.dropped_log.count {
            let reasons: Vec<String> = dropped.iter().map(|(s, n)| format!("{} {n}", s.key())).collect();
            let since_last = count - self.dropped_log.count;
            warn!(since_last, all = reasons.join(", "), "dropped invalid datagrams");
        }
        self.dropped_log.count = count;
    }
}

fn handle_disk_event(transport: &ClusterTransport, event: DiskEvent) {
    transport.handle(match event {
        DiskEvent::Loaded(writes) => Event::StorageLoaded { writes },
        DiskEvent::Synced(batch) => Event::StorageSynced { batch },
        DiskEvent::Failed => Event::StorageFailed,
    });
}

/// Waits for the next event of the storage. The exit of the storage thread counts as a failure.
async fn next_disk_event(events: &mut Option<mpsc::Receiver<DiskEvent>>) -> DiskEvent {
    let Some(receiver) = events else { return std::future::pending().await };
    match receiver.recv().await {
        Some(event) => event,
        None => {
            *events = None;
            DiskEvent::Failed
        }
    }
}
