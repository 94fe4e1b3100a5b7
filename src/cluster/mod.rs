//! What the gateways know together: who is present, and whether they agree on it.
//!
//! No I/O, no clock, no global randomness: events in, effects out, time and seeds passed in. `net::peers` holds
//! the socket. `docs/decisions/0001-membership.md` says why it is so.

mod datagram;
mod event;
pub mod ledger;
mod ledger_node;
mod membership;
mod membership_node;
mod quota_lease;
mod quota_lease_node;
mod report;
pub mod rollout;
mod rollout_node;
mod settings;
mod storage;
mod storage_node;
pub mod write_queue;
mod write_queue_node;

pub use crate::decision::{Micros, SettingsError};
pub use datagram::{DatagramError, MAX_DATAGRAM_BYTES};
pub use event::{ClusterNotice, Effect, Event, TrafficCounters};
pub use ledger_node::LEDGER_TICK_INTERVAL;
pub use membership::identity::{
    is_valid_name, Identity, MemberMetadata, CAPABILITY_LEDGER, CAPABILITY_ROLLOUT, MAX_NAME_BYTES,
};
pub use membership::local_health::TICK_INTERVAL;
pub use membership::members::{MemberRecord, MemberState, MAX_MEMBERS};
pub use quota_lease::agreement::Agreement;
pub use quota_lease::seat_lease::QuotaShares;
pub use quota_lease::view::MAX_SEATS;
pub use report::{ClusterReport, MemberReport, ViewReport};
pub use rollout_node::{CommandResult, RoutingInForce};
pub use settings::Settings;
pub use storage::{MachineId, StorageWrite};
pub use write_queue_node::{WriteQueue, WriteQueueEffect};

use ledger::LedgerNode;
use membership::addresses::AddressBook;
use membership::duplicate_name::DuplicateNameDetector;
use membership::join::JoinSchedule;
use membership::ring_probe::RingProber;
use membership::swim::Swim;
use quota_lease::QuotaLeases;
use rollout::RolloutController;
use std::collections::BTreeMap;
use std::rc::Rc;
use storage::Persistence;
use write_queue::QueueReplica;

/// The fleet as one gateway knows it.
pub struct ClusterNode {
    settings: Settings,
    cluster_tag: u32,
    swim: Swim,
    rng: fastrand::Rng,
    now: Micros,
    traffic: TrafficCounters,
    /// When absent gateways are called.
    join_schedule: JoinSchedule,
    address_book: AddressBook,
    ring_prober: RingProber,
    duplicate_names: DuplicateNameDetector,
    /// The newer process under this name, once this one has yielded its seat to it.
    yielded_to: Option<u64>,
    /// This gateway leaves on purpose, and how often it still has to repeat that.
    left: bool,
    leave_repeats: u32,
    /// The members' states as people were told them last.
    notified_states: BTreeMap<Rc<str>, MemberState>,
    /// The seats, where the settings name them.
    quota_leases: Option<QuotaLeases>,
    /// The ledger, where the settings want one.
    ledger: Option<LedgerNode>,
    /// The part in rollouts, where the settings want one, and when it is due.
    rollout: Option<RolloutController>,
    next_rollout_tick: Micros,
    /// The write queue, where it is of a branch.
    write_queue: Option<WriteQueue>,
    /// Its storage, where it has one.
    persistence: Option<Persistence>,
}

impl ClusterNode {
    /// A gateway that knows nobody yet. `unix` is the wall clock's time, which is used for nothing but the
    /// incarnation; `now`, here and everywhere, is of a clock that never goes back.
    pub fn new(
        settings: Settings,
        now: Micros,
        unix: Micros,
        seed: u64,
    ) -> Result<ClusterNode, SettingsError> {
        settings.check()?;
        let mut rng = fastrand::Rng::with_seed(seed);
        let own = Identity::at_start(&settings.name, settings.metadata.clone(), unix, rng.u64(..));
        let swim = Swim::new(
            own,
            rng.u64(..),
            settings.probe_period,
            MAX_DATAGRAM_BYTES - datagram::MAX_OVERHEAD_BYTES,
        );
        let join_schedule = JoinSchedule::new(now, &mut rng);
        let lending = QuotaLeases::new(&settings.seats, &settings.name, now, rng.u64(..));
        let mut ledger = lending.as_ref().zip(settings.ledger).map(|(lending, settings)| {
            let (own, seats) = lending.seat();
            LedgerNode::new(settings, own as u16, seats, lending.seat_list(), rng.u64(..), now)
        });
        let rollout = lending.as_ref().zip(settings.rules.clone()).map(|(lending, base)| {
            let (own, seats) = lending.seat();
            let zone = settings.metadata.zone.clone();
            RolloutController::new(own as u16, seats, zone, base, rng.u64(..), now)
        });
        let mut write_queue = lending.as_ref().zip(settings.branch.clone()).map(|(lending, settings)| {
            let own = lending.seat().0 as u16;
            WriteQueue::new(QueueReplica::new(own, settings, rng.u64(..), now), now)
        });
        let persistence = settings.disk.map(|machine| Persistence::new(machine, now));
        if persistence.is_some() {
            if let Some(ledger) = ledger.as_mut() {
                ledger.replica_mut().await_storage();
            }
            if let Some(queue) = write_queue.as_mut() {
                queue.replica_mut().await_storage();
            }
        }
        let peers = settings.peers.clone();
        Ok(ClusterNode {
            cluster_tag: datagram::cluster_tag(&settings.cluster),
            settings,
            swim,
            rng,
            now,
            traffic: TrafficCounters::default(),
            join_schedule,
            address_book: AddressBook::new(peers),
            ring_prober: RingProber::default(),
            duplicate_names: DuplicateNameDetector::default(),
            yielded_to: None,
            left: false,
            leave_repeats: 0,
            notified_states: BTreeMap::new(),
            quota_leases: lending,
            ledger,
            rollout,
            next_rollout_tick: now,
            write_queue,
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
    /// All others that are known, by name.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.swim.records().values()
    }
    /// How many take part, this one among them.
    pub fn present(&self) -> usize {
        1 + self.records().filter(|r| r.state.is_present()).count()
    }
    /// Whether its disk holds what it says, and how many words wait for that; none: it has no disk.
    pub fn disk(&self) -> Option<(bool, usize)> {
        self.persistence.as_ref().map(|persistence| (persistence.is_working(), persistence.waiting()))
    }
    /// Datagrams, bytes and what was dropped.
    pub fn traffic(&self) -> &TrafficCounters {
        &self.traffic
    }
    /// The other process that this one has yielded to.
    pub fn yielded_to(&self) -> Option<u64> {
        self.yielded_to
    }
}

#[cfg(test)]
#[path = "../../tests/fixtures/datagrams.rs"]
pub(crate) mod datagram_fixtures;
#[cfg(test)]
mod tests;
