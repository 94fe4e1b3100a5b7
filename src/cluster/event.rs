//! What goes into a gateway's fleet part and what comes out: events, effects, and what people should hear of.

use crate::cluster::datagram::DatagramError;
use crate::cluster::ledger::{ClaimId, Finding, Orphan};
use crate::cluster::rollout::{Key, Told};
use crate::cluster::{Errand, InForce, MemberState, Put, QuotaShares};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What the cluster node of a gateway is told.
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
        writes: Vec<Put>,
    },
    /// The storage holds everything up to this batch, also after a loss of power.
    StorageSynced {
        /// The number that `Effect::PersistBatch` gave it.
        batch: u64,
    },
    /// The storage can't be opened, or takes nothing more.
    StorageFailed,
}

/// What the cluster node of a gateway wants done.
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
        writes: Vec<Put>,
    },
    /// A claim at the ledger found out.
    ClaimResolved {
        /// Which claim.
        claim: ClaimId,
        /// What it found.
        outcome: Finding,
    },
    /// A request whose owner is gone and whose client did not come again may be finished.
    RequestAbandoned(Orphan),
    /// Something is to be done for the write queue.
    WriteQueue(Errand),
    /// These routing rules are in force from now on.
    RoutingChanged(Box<InForce>),
    /// What becomes of a rollout, for the log.
    RolloutNotice(Told),
    /// The rollout that was asked for here has started, or could not.
    RolloutStarted {
        /// Its key; none where another one runs or the ledger can't be had.
        key: Option<Key>,
    },
}

/// What people should hear of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClusterNotice {
    /// Another life under the own name lives; the older, this one, yields its seat and goes on serving.
    SeatYielded {
        /// This process's incarnation.
        own: u64,
        /// The other's.
        other: u64,
    },
    /// Two processes send under one name.
    DuplicateName {
        /// The name.
        name: String,
        /// The older process's incarnation.
        older: u64,
        /// The younger's.
        newer: u64,
    },
    /// A member's standing changed.
    MemberStateChanged {
        /// Its name.
        name: String,
        /// Its state from now on.
        state: MemberState,
        /// Why, for people.
        reason: &'static str,
    },
    /// The disk was read: writes of the branch and records of the ledger that were held there, and whether they are all
    /// that was ever said by this gateway in the branch and at the ledger, so that it has its votes at once.
    StorageLoaded {
        /// Writes.
        writes: usize,
        /// Records.
        records: usize,
        /// In the branch, at the ledger.
        votes: (bool, bool),
    },
    /// The disk takes nothing more: the gateway has given up its votes, and serves on.
    StorageLost,
}

/// Datagrams and bytes, both ways, and what was dropped.
#[derive(Debug, Clone, Default)]
pub struct TrafficCounters {
    /// Datagrams taken.
    pub heard: u64,
    /// Bytes of them.
    pub heard_bytes: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of them.
    pub sent_bytes: u64,
    /// Messages that had no address to go to.
    pub unaddressed: u64,
    /// Datagrams dropped, by why.
    pub strangers: BTreeMap<DatagramError, u64>,
}
