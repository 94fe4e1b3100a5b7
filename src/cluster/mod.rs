//! What the gateways know together: who is present, and whether they agree on it.
//!
//! No I/O, no clock, no global randomness: events in, effects out, time and seeds passed in. `net::peers` holds
//! the socket. `docs/decisions/0001-membership.md` says why it is so.

mod datagram;
mod event;
pub mod ledger;
mod ledger_node;
mod membership;
mod quota_lease;
mod report;
pub mod rollout;
mod rollout_node;
mod settings;
mod storage;
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
pub use membership::swim::{MemberRecord, MemberState, MAX_MEMBERS};
pub use quota_lease::seat_lease::{QuotaShares, WAIT};
pub use quota_lease::view::MAX_SEATS;
pub use quota_lease::view_gossip::VALID;
pub use quota_lease::{Agreement, ViewReport};
pub use report::{ClusterReport, MemberReport};
pub use rollout_node::{InForce, Taken};
pub use settings::Settings;
pub use storage::durability_gate::{Machine, Put};
pub use write_queue_node::{Branch, Errand};

use datagram::Payload;
use ledger::Desk;
use membership::ring_probe::{Ring, Turn};
use membership::swim::{Outgoing, Swim};
use quota_lease::QuotaLeases;
use rollout::Steward;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use storage::durability_gate::Durable;
use storage::persistence::Keeping;

/// How long after it came to know others a gateway stands as the one of its name.
const ESTABLISHED: Micros = Micros(10_000_000);
/// The first calls of a gateway that knows nobody come within this, and then after it, doubled each time.
const FIRST_CALL: Micros = Micros(500_000);
const LONGEST_CALL: Micros = Micros(8_000_000);
/// Between two calls at configured gateways that are not present, of one that knows others.
const CALL_ABSENT: Micros = Micros(2_000_000);
/// Configured gateways called at once by one that knows nobody.
const CALLS: usize = 3;
/// A datagram that is under way for longer than this is taken for a sign that its sender lives.
const UNDER_WAY: Micros = Micros(3_000_000);
/// How often a leaver tells it again.
const FAREWELLS: u32 = 4;

/// Two lives under one name.
struct Rivals {
    older: u64,
    newer: u64,
    /// When the older was heard first although the newer was known.
    since: Micros,
    /// It went on for longer than a datagram may be under way.
    sure: bool,
}

/// The fleet as one gateway knows it.
pub struct ClusterNode {
    settings: Settings,
    cluster_tag: u32,
    swim: Swim,
    rng: fastrand::Rng,
    now: Micros,
    traffic: TrafficCounters,
    /// When absent gateways are called next, and after how long again.
    call_at: Option<Micros>,
    call_step: Micros,
    /// The other process under this name, once this one has yielded to it.
    yielded: Option<u64>,
    /// Names that two processes may send under.
    rivals: BTreeMap<String, Rivals>,
    told: BTreeMap<std::rc::Rc<str>, MemberState>,
    farewells: u32,
    left: bool,
    /// Where members were heard last.
    heard_at: BTreeMap<std::rc::Rc<str>, SocketAddr>,
    ring: Ring,
    /// The seats, where the settings name them.
    quota_leases: Option<QuotaLeases>,
    /// The ledger, where the settings want one.
    desk: Option<Desk>,
    /// The part in rollouts, where the settings want one, and when it is due.
    steward: Option<Steward>,
    rolls_at: Micros,
    /// The branch, where it is of one.
    branch: Option<Branch>,
    /// Its disk, where it has one.
    keeping: Option<Keeping>,
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
        let own = Identity::born(&settings.name, settings.metadata.clone(), unix, rng.u64(..));
        let swim = Swim::new(own, rng.u64(..), settings.period, MAX_DATAGRAM_BYTES - datagram::OVERHEAD);
        // Guards against hundreds of gateways that start together and knock in step.
        let call_at = Some(now + Micros(rng.u64(0..FIRST_CALL.0)));
        let lending = QuotaLeases::new(&settings.seats, &settings.name, now, rng.u64(..));
        let desk = lending.as_ref().zip(settings.ledger).map(|(lending, terms)| {
            let (own, seats) = lending.seat();
            Desk::new(terms, own as u16, seats, lending.seat_list(), rng.u64(..), now)
        });
        let steward = lending.as_ref().zip(settings.rules.clone()).map(|(lending, base)| {
            let (own, seats) = lending.seat();
            Steward::new(own as u16, seats, settings.metadata.zone.clone(), base, rng.u64(..), now)
        });
        let branch = lending.as_ref().zip(settings.branch.clone()).map(|(lending, terms)| {
            Branch::new(write_queue::Clerk::new(lending.seat().0 as u16, terms, rng.u64(..), now), now)
        });
        let keeping = settings.disk.map(|machine| Keeping::new(Durable::new(machine, now)));
        let (mut desk, mut branch) = (desk, branch);
        if keeping.is_some() {
            desk.iter_mut().for_each(|desk| desk.holder_mut().await_disk());
            branch.iter_mut().for_each(Branch::await_disk);
        }
        Ok(ClusterNode {
            cluster_tag: datagram::cluster_tag(&settings.fleet),
            settings,
            swim,
            rng,
            now,
            traffic: TrafficCounters::default(),
            call_at,
            call_step: FIRST_CALL,
            yielded: None,
            rivals: BTreeMap::new(),
            told: BTreeMap::new(),
            farewells: 0,
            left: false,
            heard_at: BTreeMap::new(),
            ring: Ring::default(),
            quota_leases: lending,
            desk,
            steward,
            rolls_at: now,
            branch,
            keeping,
        })
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        let mut sends = Vec::new();
        match event {
            Event::Datagram { from, bytes } => self.datagram(from, bytes, &mut sends, out),
            Event::Tick if self.yielded.is_none() => self.wake(&mut sends, out),
            Event::Tick => {}
            Event::LedgerTick => {
                self.beat(out);
                self.roll(out);
                self.tend(out);
            }
            Event::Leave if self.yielded.is_none() && !self.left => {
                (self.left, self.farewells) = (true, FAREWELLS);
                self.swim.leave(&mut sends);
            }
            Event::Leave => {}
            Event::PeerAddressesChanged { addresses: peers } => {
                self.settings.peers = peers;
                (self.call_at, self.call_step) = (Some(self.now), FIRST_CALL);
            }
            Event::StorageLoaded { writes: puts } => self.remember(puts, out),
            Event::StorageSynced { batch } => self.disk_holds(batch, out),
            Event::StorageFailed => self.disk_failed(out),
        }
        self.send(sends, out);
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
        self.keeping.as_ref().map(|keeping| (keeping.way().works(), keeping.way().waits()))
    }
    /// Datagrams, bytes and what was dropped.
    pub fn traffic(&self) -> &TrafficCounters {
        &self.traffic
    }
    /// The other process that this one has yielded to.
    pub fn yielded(&self) -> Option<u64> {
        self.yielded
    }

    fn wake(&mut self, sends: &mut Vec<Outgoing>, out: &mut Vec<Effect>) {
        self.swim.wake(self.now, sends);
        self.meet_rival(sends, out);
        if self.left {
            if self.farewells > 0 {
                self.farewells -= 1;
                self.swim.repeat(sends);
            }
            return;
        }
        if self.call_at.is_some_and(|at| at <= self.now) {
            self.call_absent(sends);
        }
        self.knock(sends, out);
        self.tell(out);
        self.lend(out);
    }

    /// Knocks at the neighbour in the ring.
    fn knock(&mut self, sends: &mut Vec<Outgoing>, out: &mut Vec<Effect>) {
        let period = Micros(self.settings.period.as_micros() as u64);
        let (swim, token) = (&self.swim, self.rng.u64(..));
        let stretched = |span| swim.health().stretched(span);
        match self.ring.turn(swim.awake(), period, &self.settings.name, swim.records(), token, stretched) {
            Turn::Quiet => {}
            Turn::Knock(to, token) => {
                let addresses: Vec<SocketAddr> = self.addresses(&to).collect();
                if let Some(frame) = datagram::encode(self.cluster_tag, &Payload::RingProbe { token }, &[]) {
                    addresses.into_iter().for_each(|at| self.send_frame(at, frame.clone(), out));
                }
            }
            Turn::Missed(neighbour) => self.swim.suspect(&neighbour, sends),
        }
    }

    /// Says what this member knows of the seats, asks another for its words, and tells what follows.
    fn lend(&mut self, out: &mut Vec<Effect>) {
        let Some(lending) = self.quota_leases.as_mut() else { return };
        let own = self.swim.own().incarnation;
        lending.update(self.now, own, self.swim.records());
        out.extend(lending.news(self.now, own).map(Effect::QuotaSharesChanged));
        let (list, token) = (lending.seat_list(), lending.ask(self.now, self.rng.u64(..)));
        let present = self.swim.records().values().filter(|r| r.state.is_present());
        let present: Vec<&Identity> = present.map(|r| &r.identity).collect();
        let Some((token, to)) = token.zip(self.rng.choice(present)) else { return };
        if let (Some(to), Some(frame)) = (
            self.addresses(to).next(),
            datagram::encode(self.cluster_tag, &Payload::ViewRequest { seat_list: list, token }, &[]),
        ) {
            self.send_frame(to, frame, out);
        }
    }

    /// Answers a question for all words.
    fn answer(
        &mut self,
        to: SocketAddr,
        list: u64,
        token: u64,
        out: &mut Vec<Effect>,
    ) -> Result<(), DatagramError> {
        let now = self.now;
        let Some(lending) = self.quota_leases.as_mut() else { return Ok(()) };
        let Some(table) = lending.answer(list, now) else { return Ok(()) };
        let head = Payload::ViewReply { seat_list: lending.seat_list(), token, table };
        if let Some(frame) = datagram::encode(self.cluster_tag, &head, &[]) {
            self.send_frame(to, frame, out);
        }
        Ok(())
    }

    fn send_frame(&mut self, to: SocketAddr, frame: Vec<u8>, out: &mut Vec<Effect>) {
        self.traffic.sent += 1;
        self.traffic.sent_bytes += frame.len() as u64;
        out.push(Effect::Send { to, bytes: frame });
    }

    fn datagram(&mut self, from: SocketAddr, bytes: &[u8], sends: &mut Vec<Outgoing>, out: &mut Vec<Effect>) {
        let taken = datagram::decode(self.cluster_tag, bytes).and_then(|(head, rest)| {
            // One that leaves has work to hand over, and records of others.
            if self.yielded.is_some()
                || self.left && !matches!(head, Payload::Ledger { .. } | Payload::WriteQueue { .. })
            {
                return Ok(());
            }
            let (known_incarnation, is_present, suspicion) = match head {
                Payload::Ledger { seat_list: list, seat, message } => {
                    return self.books_hear(list, seat, message, out)
                }
                Payload::Rollout { seat_list: list, seat, message } => {
                    return self.rolling_hear(list, seat, message, out)
                }
                Payload::WriteQueue { seat_list: list, seat, message } => {
                    return self.filing_hear(list, seat, message, out)
                }
                Payload::Swim { known_incarnation, is_present, suspicion } => {
                    (known_incarnation, is_present, suspicion)
                }
                Payload::RingProbe { token } => {
                    if let Some(frame) =
                        datagram::encode(self.cluster_tag, &Payload::RingProbeReply { token }, &[])
                    {
                        self.send_frame(from, frame, out);
                    }
                    return Ok(());
                }
                // One that comes late, or twice, says nothing new.
                Payload::RingProbeReply { token } => {
                    self.ring.here(token);
                    return Ok(());
                }
                Payload::ViewRequest { seat_list: list, token } => {
                    return self.answer(from, list, token, out)
                }
                Payload::ViewReply { seat_list: list, token, table } => {
                    let learnt = self.quota_leases.as_mut().is_some_and(|l| l.learn(list, token, &table));
                    return if learnt { Ok(()) } else { Err(DatagramError::Rejected) };
                }
            };
            if known_incarnation > self.own().incarnation {
                return self.meet(known_incarnation, is_present, sends, out);
            }
            if let Some(number) = suspicion.filter(|_| known_incarnation == self.own().incarnation) {
                self.swim.doubted(number, sends);
            }
            self.swim.datagram(self.now, rest, sends).map_err(|_| DatagramError::Rejected)
        });
        if let Some(sender) = self.swim.sender() {
            self.hear_at(&sender, from);
        }
        self.meet_rival(sends, out);
        self.watch_rivals(out);
        match taken {
            Ok(()) => {
                self.traffic.heard += 1;
                self.traffic.heard_bytes += bytes.len() as u64;
            }
            Err(stranger) => *self.traffic.strangers.entry(stranger).or_default() += 1,
        }
    }

    fn send(&mut self, sends: Vec<Outgoing>, out: &mut Vec<Effect>) {
        for Outgoing { to, message, doubt: suspicion } in sends {
            let (known_incarnation, is_present) = self.swim.on_record(&to.name);
            let Some(frame) = datagram::encode(
                self.cluster_tag,
                &Payload::Swim { known_incarnation, is_present, suspicion },
                &message,
            ) else {
                continue;
            };
            let addresses: Vec<SocketAddr> = self.addresses(&to).collect();
            self.traffic.unaddressed += u64::from(addresses.is_empty());
            for address in addresses {
                self.send_frame(address, frame.clone(), out);
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/fixtures/datagrams.rs"]
pub(crate) mod datagram_fixtures;
#[cfg(test)]
mod tests;
