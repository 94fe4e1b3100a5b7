//! What goes into a gateway's cluster node and what comes out: events, effects, notices for people, and counters.

use crate::cluster::datagram::DatagramError;
use crate::cluster::ledger::{AbandonedRequest, ClaimId, ClaimOutcome};
use crate::cluster::membership::members::MemberState;
use crate::cluster::quota_lease::seat_lease::QuotaShares;
use crate::cluster::rollout::{RolloutKey, RolloutNotice, RuleSet};
use crate::cluster::storage::StorageWrite;
use crate::cluster::write_queue::{Dot, Write, WriteOutcome};
use crate::decision::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Input of the cluster node.
#[derive(Debug)]
pub enum Event<'a> {
    /// A datagram was received.
    Datagram {
        /// Its source address.
        from: SocketAddr,
        /// The whole datagram.
        bytes: &'a [u8],
    },
    /// Time has passed; due every `TICK_INTERVAL` at least.
    Tick,
    /// The same for the ledger, where there is one; due every `LEDGER_TICK_INTERVAL`.
    LedgerTick,
    /// The gateway leaves the cluster on purpose.
    Leave,
    /// The configured addresses of the other gateways changed.
    PeerAddressesChanged {
        /// All of them, by name.
        addresses: BTreeMap<String, SocketAddr>,
    },
    /// The storage was opened and read.
    StorageLoaded {
        /// What it held.
        writes: Vec<StorageWrite>,
    },
    /// The storage holds everything up to this batch, also after a loss of power.
    StorageSynced {
        /// The number that `Effect::PersistBatch` gave it.
        batch: u64,
    },
    /// The storage can't be opened, or takes nothing more.
    StorageFailed,
}

/// Output of the cluster node: what its owner has to do.
#[derive(Debug)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// Its destination.
        to: SocketAddr,
        /// The whole datagram.
        bytes: Vec<u8>,
    },
    /// A line for the log.
    Notify(ClusterNotice),
    /// The quota shares are these from now on.
    QuotaSharesChanged(QuotaShares),
    /// Put this batch on the disk, and answer with `Event::StorageSynced` once it would survive a loss of power.
    PersistBatch {
        /// Rises by one with each batch.
        batch: u64,
        /// Its contents, to be applied in this order.
        writes: Vec<StorageWrite>,
    },
    /// A claim at the ledger found out.
    ClaimResolved {
        /// Which claim.
        claim: ClaimId,
        /// What it found.
        outcome: ClaimOutcome,
    },
    /// A request whose owner is gone and whose client did not come again may be finished.
    RequestAbandoned(AbandonedRequest),
    /// Something is to be done for the write queue.
    WriteQueue(WriteQueueEffect),
    /// These routing rules are in force from now on.
    RoutingChanged(Box<RoutingInForce>),
    /// What becomes of a rollout, for the log.
    RolloutNotice(RolloutNotice),
    /// The rollout that was asked for here has started, or could not.
    RolloutStarted {
        /// Its key; none where another one runs or the ledger can't be had.
        key: Option<RolloutKey>,
    },
}

/// What the proxy has to do for the write queue.
#[derive(Debug)]
pub enum WriteQueueEffect {
    /// A write is accepted under this name, or not.
    Decided {
        /// The write.
        dot: Dot,
        /// Whether it is accepted.
        accepted: bool,
    },
    /// Forward this write.
    Forward {
        /// The write.
        write: Box<Write>,
        /// In which attempt.
        attempt: u16,
        /// An attempt of an owner before may have run.
        may_have_run: bool,
    },
    /// A write ended otherwise than completed.
    NotCompleted {
        /// The write.
        dot: Dot,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// The branch is isolated from the backends from now on, or no longer.
    IsolationChanged {
        /// Whether it is.
        isolated: bool,
        /// How long ago the last response came.
        since_response: Micros,
    },
}

/// The routing rules in force.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingInForce {
    /// Of which rollout; none where there was none yet.
    pub key: Option<RolloutKey>,
    /// Outcomes are counted.
    pub counts_outcomes: bool,
    /// The rules of those customers that do not have the new ones.
    pub baseline: RuleSet,
    /// The new rules.
    pub canary: RuleSet,
    /// The customers, of 10,000, that have the new ones.
    pub canary_share: u16,
}

/// A change that people have to know of; the owner logs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClusterNotice {
    /// A newer process runs under this one's name. This one has yielded its seat to it, and goes on serving.
    SeatYielded {
        /// This process's incarnation.
        own: u64,
        /// The newer one's.
        other: u64,
    },
    /// Two processes run under one name.
    DuplicateName {
        /// The name.
        name: String,
        /// The older process's incarnation.
        older: u64,
        /// The newer one's.
        newer: u64,
    },
    /// A member's state changed.
    MemberStateChanged {
        /// Its name.
        name: String,
        /// Its state from now on.
        state: MemberState,
        /// Why, for people.
        reason: &'static str,
    },
    /// The storage was read. Where it held all that this gateway ever confirmed in the write queue or at the ledger,
    /// the gateway has its vote there at once.
    StorageLoaded {
        /// Writes of the write queue that it held.
        writes: usize,
        /// Records of the ledger that it held.
        records: usize,
        /// Whether the gateway has its vote in the write queue, and at the ledger.
        votes: (bool, bool),
    },
    /// The storage takes nothing more: the gateway has given up its votes, and goes on serving.
    StorageLost,
}

/// Datagrams and bytes, both ways, and what was dropped.
#[derive(Debug, Clone, Default)]
pub struct TrafficCounters {
    /// Datagrams that were taken.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Datagrams that were sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Messages that had no address to go to.
    pub unaddressed: u64,
    /// Datagrams that were dropped, by reason.
    pub dropped: BTreeMap<DatagramError, u64>,
}
