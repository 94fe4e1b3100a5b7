//! One gateway's part in the cluster: its state, and which part takes which event.

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
use std::rc::Rc;

/// One gateway's part in the cluster.
pub struct ClusterNode {
    pub(super) settings: Settings,
    /// What stands for the cluster's name in datagrams.
    pub(super) cluster_tag: u32,
    pub(super) rng: fastrand::Rng,
    /// The latest time that was passed in.
    pub(super) now: Micros,
    pub(super) traffic: TrafficCounters,
    pub(super) swim: Swim,
    /// When absent gateways are called.
    pub(super) join_schedule: JoinSchedule,
    pub(super) address_book: AddressBook,
    pub(super) ring_prober: RingProber,
    pub(super) duplicate_names: DuplicateNameDetector,
    /// The newer process under this name, once this one has yielded its seat to it.
    pub(super) yielded_to: Option<u64>,
    /// This gateway leaves on purpose.
    pub(super) left: bool,
    /// How often it still has to repeat that.
    pub(super) leave_repeats: u32,
    /// The members' states as they were last notified.
    pub(super) notified_states: BTreeMap<Rc<str>, MemberState>,
    /// The seats, where the settings name them.
    pub(super) quota_leases: Option<QuotaLeases>,
    /// The ledger, where the settings have one.
    pub(super) ledger: Option<LedgerNode>,
    /// The part in rollouts, where the settings have one.
    pub(super) rollout: Option<RolloutController>,
    /// When that is due.
    pub(super) next_rollout_tick: Micros,
    /// The write queue, where this gateway is of a branch.
    pub(super) write_queue: Option<WriteQueue>,
    /// The storage, where it has one.
    pub(super) persistence: Option<Persistence>,
}

/// The parts that need a seat. They are made together, as each draws from the same random numbers in this order.
struct SeatedParts {
    quota_leases: Option<QuotaLeases>,
    ledger: Option<LedgerNode>,
    rollout: Option<RolloutController>,
    write_queue: Option<WriteQueue>,
}

impl SeatedParts {
    fn new(settings: &Settings, now: Micros, rng: &mut fastrand::Rng) -> SeatedParts {
        let quota_leases = QuotaLeases::new(&settings.seats, &settings.name, now, rng.u64(..));
        let Some(leases) = &quota_leases else {
            return SeatedParts { quota_leases, ledger: None, rollout: None, write_queue: None };
        };
        let own_seat = leases.own_seat();
        let seats = leases.seat_count();
        let ledger = settings.ledger.map(|ledger_settings| {
            LedgerNode::new(ledger_settings, own_seat, seats, leases.seat_list(), rng.u64(..), now)
        });
        let rollout = settings.rules.clone().map(|rules| {
            let zone = settings.metadata.zone.clone();
            RolloutController::new(own_seat, seats, zone, rules, rng.u64(..), now)
        });
        let write_queue = settings.branch.clone().map(|queue_settings| {
            WriteQueue::new(QueueReplica::new(own_seat, queue_settings, rng.u64(..), now), now)
        });
        SeatedParts { quota_leases, ledger, rollout, write_queue }
    }

    /// Nothing that the storage may hold counts before it was read.
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
    /// A gateway that knows nobody yet. `unix` is the wall clock's time, which is used for nothing but the incarnation;
    /// `now`, here and everywhere, is of a clock that never goes back.
    ///
    /// # Errors
    ///
    /// The settings are invalid.
    pub fn new(
        settings: Settings,
        now: Micros,
        unix: Micros,
        seed: u64,
    ) -> Result<ClusterNode, SettingsError> {
        settings.check()?;
        let mut rng = fastrand::Rng::with_seed(seed);
        let own = Identity::at_start(&settings.name, settings.metadata.clone(), unix, rng.u64(..));
        let max_message_bytes = datagram::MAX_DATAGRAM_BYTES - datagram::MAX_OVERHEAD_BYTES;
        let swim = Swim::new(own, rng.u64(..), settings.probe_period, max_message_bytes);
        let join_schedule = JoinSchedule::new(now, &mut rng);
        let mut parts = SeatedParts::new(&settings, now, &mut rng);
        let persistence = settings.disk.map(|machine| Persistence::new(machine, now));
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
            yielded_to: None,
            left: false,
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

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        let mut messages = Vec::new();
        match event {
            Event::Datagram { from, bytes } => self.receive(from, bytes, &mut messages, out),
            Event::Tick if self.yielded_to.is_none() => self.tick_membership(&mut messages, out),
            Event::Tick => {}
            Event::LedgerTick => {
                self.tick_ledger(out);
                self.tick_rollout(out);
                self.tick_write_queue(out);
            }
            Event::Leave if self.yielded_to.is_none() && !self.left => self.leave(&mut messages),
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

    /// This process's identity now.
    pub fn own(&self) -> &Identity {
        self.swim.own()
    }

    /// All other members, by name.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.swim.records().values()
    }

    /// How many members take part, this one among them.
    pub fn present(&self) -> usize {
        1 + self.records().filter(|record| record.state.is_present()).count()
    }

    /// Datagrams, bytes and what was dropped.
    pub fn traffic(&self) -> &TrafficCounters {
        &self.traffic
    }

    /// The incarnation of the newer process under this name, where this one has yielded its seat to it.
    pub fn yielded_to(&self) -> Option<u64> {
        self.yielded_to
    }
}
