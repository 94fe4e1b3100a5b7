//! What goes into a gateway's fleet part and what comes out: events, effects, and what people should hear of.

use crate::cluster::datagram::Stranger;
use crate::cluster::ledger::{AbandonedRequest, ClaimId, ClaimOutcome};
use crate::cluster::rollout::{RolloutKey, RolloutNotice};
use crate::cluster::{RoutingInForce, Shares, Standing, StorageWrite, WriteQueueEffect};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a gateway's fleet part is told.
#[derive(Debug)]
pub enum Event<'a> {
    /// A datagram came, from there.
    Datagram(SocketAddr, &'a [u8]),
    /// Time went by; due every `WAKE` at least.
    Wake,
    /// The same for the ledger, where there is one; due every `BEAT`.
    Beat,
    /// The gateway leaves by its own word.
    Leave,
    /// Gateways are elsewhere now.
    Peers(BTreeMap<String, SocketAddr>),
    /// The disk was opened, and held this.
    DiskRead(Vec<StorageWrite>),
    /// The disk holds all up to this batch.
    DiskHolds(u64),
    /// The disk can't be opened, or takes nothing more.
    DiskFailed,
}

/// What a gateway's fleet part wants done.
#[derive(Debug)]
pub enum Effect {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// A line for the log.
    Tell(Notice),
    /// The shares are so from now on.
    Shares(Shares),
    /// Put this batch on the disk, and tell when it is held there, also after a loss of power.
    Keep(u64, Vec<StorageWrite>),
    /// A claim at the ledger found out.
    Found(ClaimId, ClaimOutcome),
    /// A request whose owner is gone and whose client did not come again may be finished.
    Orphan(AbandonedRequest),
    /// Something is to be done for the branch.
    Branch(WriteQueueEffect),
    /// These rules of routing are in force from now on.
    Routing(Box<RoutingInForce>),
    /// What becomes of a rollout, for the log.
    Rollout(RolloutNotice),
    /// The rollout that was asked for here has begun; or not, as another runs or the holders can't be had.
    Begun(Option<RolloutKey>),
}

/// What people should hear of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// Another life under the own name lives; the older, this one, yields its seat and goes on serving.
    Yielded {
        /// This process's incarnation.
        own: u64,
        /// The other's.
        other: u64,
    },
    /// Two processes send under one name.
    Rivals {
        /// The name.
        name: String,
        /// The older process's incarnation.
        older: u64,
        /// The younger's.
        newer: u64,
    },
    /// A member's standing changed.
    Standing {
        /// Its name.
        name: String,
        /// What is held of it now.
        standing: Standing,
        /// Why.
        why: &'static str,
    },
    /// The disk was read: writes of the branch and records of the ledger that were held there, and whether they are all
    /// that was ever said by this gateway in the branch and at the ledger, so that it has its votes at once.
    DiskRead {
        /// Writes.
        writes: usize,
        /// Records.
        records: usize,
        /// In the branch, at the ledger.
        votes: (bool, bool),
    },
    /// The disk takes nothing more: the gateway has given up its votes, and serves on.
    DiskLost,
}

/// Datagrams and bytes, both ways, and what was dropped.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
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
    pub strangers: BTreeMap<Stranger, u64>,
}
