//! State machine of one gateway in the cluster, and the dispatch of events to its parts.

use crate::cluster::datagram;
use crate::cluster::event::{Effect, Event, TrafficCounters};
use crate::cluster::ledger::LedgerNode;
use crate::cluster::membership::addresses::AddressBook;
use crate::cluster::membership::duplicate_name::DuplicateNameDetector;
use crate::cluster::membership::identity::Identity;
use crate::cluster::membership::join::JoinSchedule;
use crate::cluster::membership::members::{MemberRecord, MemberState};
use crate::cluster::membership::ring_probe::RingProber;
use crate::cluster::membership::swim::Swim;
use crate::cluster::quota_lease::QuotaLeases;
use crate::cluster::rollout::RolloutController;
use crate::cluster::settings::Settings;
use crate::cluster::storage::Persistence;
use crate::cluster::write_queue::{QueueReplica, WriteQueue};
use crate::decision::{Micros, SettingsError};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// State machine of one gateway in the cluster.
pub struct ClusterNode {
    pub(super) settings: Settings,
    /// Tag that represents the cluster's name in datagrams.
    pub(super) cluster_tag: u32,
    pub(super) rng: fastrand::Rng,
    /// Latest time that was passed in.
    pub(super) now: Micros,
    pub(super) traffic: TrafficCounters,
    pub(super) swim: Swim,
    /// Schedule of the announcements to absent gateways.
    pub(super) join_schedule: JoinSchedule,
    pub(super) address_book: AddressBook,
    pub(super) ring_prober: RingProber,
    pub(super) duplicate_names: DuplicateNameDetector,
    /// Address of the successor of this process, which has taken over its seat. This process then drives its open claims
    /// at the ledger, and takes no other part in the cluster.
    pub(super) successor_address: Option<SocketAddr>,
    /// Seats that count as present replicas as long as this process has not heard of them.
    pub(super) assumed_present: Vec<u16>,
    /// Incarnation of the newer process under this name, to which this process has yielded its seat.
    pub(super) yielded_to: Option<u64>,
    /// Whether this gateway leaves, or has left, on purpose.
    pub(super) is_leaving: bool,
    /// Number of ticks in which this gateway still has to repeat its departure.
    pub(super) leave_repeats: u32,
    /// State of each member in the last notice about it.
    pub(super) notified_states: BTreeMap<Rc<str>, MemberState>,
    /// Quota leases, if the settings list the seats.
    pub(super) quota_leases: Option<QuotaLeases>,
    /// Ledger node, if the settings configure the ledger.
    pub(super) ledger: Option<LedgerNode>,
    /// Rollout controller, if the settings configure routing rules.
    pub(super) rollout: Option<RolloutController>,
    /// Time of the next tick of the rollout controller.
    pub(super) next_rollout_tick: Micros,
    /// Write queue, if this gateway belongs to a branch.
    pub(super) write_queue: Option<WriteQueue>,
    /// Persistence, if this gateway has storage.
    pub(super) persistence: Option<Persistence>,
}

/// Parts that need a seat. They are created together, because they draw from one random number generator in this order.
struct SeatDependentParts {
    quota_leases: Option<QuotaLeases>,
    ledger: Option<LedgerNode>,
    rollout: Option<RolloutController>,
    write_queue: Option<WriteQueue>,
}

impl SeatDependentParts {
    fn new(settings: &Settings, now: Micros, rng: &mut fastrand::Rng) -> SeatDependentParts {
        let quota_leases = QuotaLeases::new(&settings.seats, &settings.name, now, rng.u64(..));
        let Some(leases) = &quota_leases else {
            return SeatDependentParts { quota_leases, ledger: None, rollout: None, write_queue: None };
        };
        let own_seat = leases.own_seat();
        let seats = leases.seat_count();
        let ledger = settings.ledger.map(|ledger_settings| {
            LedgerNode::new(ledger_settings, own_seat, seats, leases.seat_list(), rng.u64(..), now)
        });
        let rollout = settings.baseline_rules.clone().map(|rules| {
            let zone = settings.metadata.zone.clone();
            RolloutController::new(own_seat, seats, zone, rules, rng.u64(..), now)
        });
        let write_queue = settings.write_queue.clone().map(|queue_settings| {
            WriteQueue::new(QueueReplica::new(own_seat, queue_settings, rng.u64(..), now), now)
        });
        SeatDependentParts { quota_leases, ledger, rollout, write_queue }
    }

    /// Withholds the votes of the ledger replica and of the write queue until the storage has been read.
    fn await_storage(&mut self) {
        if let Some(ledger) = self.ledger.as_mut() {
            ledger.replica_mut().await_storage();
        }
        if let Some(queue) = self.write_queue.as_mut() {
            queue.replica_mut().await_storage();
        }
    }
}

impl ClusterNode {
    /// Creates a node that knows no other member yet. `wall_clock` is the Unix time and is used only for the
    /// incarnation; `now`, here and in all other functions, is the time of a monotonic clock.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid.
    pub fn new(
        settings: Settings,
        now: Micros,
        wall_clock: Micros,
        seed: u64,
    ) -> Result<ClusterNode, SettingsError> {
        settings.check()?;
        let mut rng = fastrand::Rng::with_seed(seed);
        let own = Identity::at_start(&settings.name, settings.metadata.clone(), wall_clock, rng.u64(..));
        let max_message_bytes = datagram::MAX_DATAGRAM_BYTES - datagram::MAX_OVERHEAD_BYTES;
        let swim = Swim::new(own, rng.u64(..), settings.probe_period, max_message_bytes);
        let join_schedule = JoinSchedule::new(now, &mut rng);
        let mut parts = SeatDependentParts::new(&settings, now, &mut rng);
        let persistence = settings.storage_machine.map(|machine| Persistence::new(machine, now));
        if persistence.is_some() {
            parts.await_storage();
        }
        Ok(ClusterNode {
            cluster_tag: datagram::cluster_tag(&settings.cluster),
            address_book: AddressBook::new(settings.peers.clone()),
            settings,
            rng,
            now,
            traffic: TrafficCounters::default(),
            swim,
            join_schedule,
            ring_prober: RingProber::default(),
            duplicate_names: DuplicateNameDetector::default(),
            successor_address: None,
            assumed_present: Vec::new(),
            yielded_to: None,
            is_leaving: false,
            leave_repeats: 0,
            notified_states: BTreeMap::new(),
            quota_leases: parts.quota_leases,
            ledger: parts.ledger,
            rollout: parts.rollout,
            next_rollout_tick: now,
            write_queue: parts.write_queue,
            persistence,
        })
    }

    /// Handles one event and appends the resulting effects.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        let mut messages = Vec::new();
        match event {
            Event::Datagram { from, bytes } => self.receive(from, bytes, &mut messages, out),
            Event::LedgerReply { seat, message } => self.on_ledger_reply(seat, message, out),
            Event::Tick if self.is_member() => self.tick_membership(&mut messages, out),
            Event::Tick => {}
            Event::LedgerTick => {
                self.tick_ledger(out);
                self.tick_rollout(out);
                self.tick_write_queue(out);
            }
            Event::Leave if self.is_member() && !self.is_leaving => self.leave(&mut messages),
            Event::Leave => {}
            Event::PeerAddressesChanged { addresses } => {
                self.address_book.configure(addresses);
                self.join_schedule.restart(self.now);
            }
            Event::StorageLoaded { writes } => self.on_storage_loaded(&writes, out),
            Event::StorageSynced { batch } => self.on_storage_synced(batch, out),
            Event::StorageFailed => self.on_storage_failed(out),
        }
        self.send_messages(messages, out);
    }

    /// Called when a successor of this process has taken over its seat at this address. Claims that are open go on here, as
    /// their requests do; the successor passes on the replies.
    pub fn hand_over_seat(&mut self, successor_address: SocketAddr) {
        self.successor_address = Some(successor_address);
        let leading = self.rollout.take().and_then(|controller| controller.claim());
        let forwarding = self.write_queue.take().and_then(|queue| queue.claim());
        let replica_moved = self.persistence.take().is_some();
        if let Some(ledger) = self.ledger.as_mut() {
            ledger.hand_over_seat(replica_moved);
            // These leases belong to the seat, not to a request: they end, and the successor may acquire them.
            leading.into_iter().chain(forwarding).for_each(|claim| ledger.drop_claim(claim));
        }
    }

    /// Sets the seats that the predecessor of this process knew as present replicas. They count as such until this process has
    /// heard of them itself.
    pub fn assume_present(&mut self, seats: Vec<u16>) {
        self.assumed_present = seats;
    }

    /// Whether this process takes part in the membership of the cluster.
    fn is_member(&self) -> bool {
        self.yielded_to.is_none() && self.successor_address.is_none()
    }

    /// Current identity of this process.
    pub fn own_identity(&self) -> &Identity {
        self.swim.own_identity()
    }

    /// Records of all other members, ordered by name.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.swim.records().values()
    }

    /// Number of members that take part, including this one.
    pub fn present_count(&self) -> usize {
        1 + self.records().filter(|record| record.state.is_present()).count()
    }

    /// Counters of datagrams and bytes sent, received and dropped.
    pub fn traffic(&self) -> &TrafficCounters {
        &self.traffic
    }

    /// Incarnation of the newer process under this name, to which this process has yielded its seat, if any.
    pub fn yielded_to(&self) -> Option<u64> {
        self.yielded_to
    }
}
