//! Inputs and outputs of a cluster node: events, effects, notices for operators, and traffic counters.

use crate::cluster::datagram::DatagramError;
use crate::cluster::ledger::{AbandonedRequest, ClaimId, ClaimOutcome, LedgerMessage};
use crate::cluster::membership::members::MemberState;
use crate::cluster::quota_lease::seat_lease::QuotaShares;
use crate::cluster::rollout::{RolloutKey, RolloutNotice, RuleSet};
use crate::cluster::storage::StorageWrite;
use crate::cluster::write_queue::{Acceptance, Dot, Write, WriteOutcome};
use crate::decision::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Input of the cluster node.
#[derive(Debug)]
pub enum Event<'a> {
    /// A datagram was received.
    Datagram {
        /// Source address of the datagram.
        from: SocketAddr,
        /// Complete datagram.
        bytes: &'a [u8],
    },
    /// Periodic tick, due at least every `TICK_INTERVAL`.
    Tick,
    /// Periodic tick of the ledger, the rollouts and the write queue, due every `LEDGER_TICK_INTERVAL` if there is a
    /// ledger.
    LedgerTick,
    /// The gateway leaves the cluster on purpose.
    Leave,
    /// The successor of this process has received a reply to one of its claims.
    LedgerReply {
        /// Seat of the replica that replied.
        seat: u16,
        /// The reply.
        message: LedgerMessage,
    },
    /// The configured addresses of the other gateways changed.
    PeerAddressesChanged {
        /// Addresses of all other gateways, by name.
        addresses: BTreeMap<String, SocketAddr>,
    },
    /// The storage was opened and read.
    StorageLoaded {
        /// Stored entries.
        writes: Vec<StorageWrite>,
    },
    /// All batches up to this one are stored durably and would survive a power loss.
    StorageSynced {
        /// Number of the batch in `Effect::PersistBatch`.
        batch: u64,
    },
    /// The storage can't be opened, or a write to it failed.
    StorageFailed,
}

/// Output of the cluster node: an action for its owner.
#[derive(Debug)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// Destination address of the datagram.
        to: SocketAddr,
        /// Complete datagram.
        bytes: Vec<u8>,
    },
    /// Log a notice.
    Notify(ClusterNotice),
    /// Use these quota shares from now on.
    QuotaSharesChanged(QuotaShares),
    /// Write this batch to the disk, and send `Event::StorageSynced` once it would survive a power loss.
    PersistBatch {
        /// Sequence number of the batch, increasing by one.
        batch: u64,
        /// Contents of the batch, to be applied in this order.
        writes: Vec<StorageWrite>,
    },
    /// A claim at the ledger has an outcome.
    ClaimResolved {
        /// Identifier of the claim.
        claim: ClaimId,
        /// Outcome of the claim.
        outcome: ClaimOutcome,
    },
    /// Pass a reply of a replica on to the predecessor of this process, if there is one: no claim of this process waits
    /// for it.
    PredecessorReply {
        /// Seat of the replica that replied.
        seat: u16,
        /// The reply.
        message: LedgerMessage,
    },
    /// Finish an abandoned request: its owner is gone and its client did not retry.
    RequestAbandoned(AbandonedRequest),
    /// Perform an action of the write queue.
    WriteQueue(WriteQueueEffect),
    /// Use these routing rules from now on.
    RoutingChanged(Box<ActiveRouting>),
    /// Log the progress of a rollout.
    RolloutNotice(RolloutNotice),
    /// The rollout requested at this gateway has started, or could not be started.
    RolloutStarted {
        /// Key of the rollout; none if another rollout is running or the ledger is unavailable.
        key: Option<RolloutKey>,
    },
}

/// Action of the write queue, to be performed by the proxy.
#[derive(Debug)]
pub enum WriteQueueEffect {
    /// The write queue has decided whether it accepts a write.
    AcceptanceDecided {
        /// Dot of the write.
        dot: Dot,
        /// Whether the write is accepted.
        acceptance: Acceptance,
    },
    /// Forward a write to a backend.
    Forward {
        /// Write to forward.
        write: Box<Write>,
        /// Number of the attempt.
        attempt: u16,
        /// Whether an earlier attempt, by this or a previous owner, may have been executed.
        may_have_been_executed: bool,
    },
    /// A write ended without being completed.
    NotCompleted {
        /// Dot of the write.
        dot: Dot,
        /// Outcome of the write.
        outcome: WriteOutcome,
    },
    /// The branch became isolated from the backends, or is no longer isolated.
    IsolationChanged {
        /// Whether the branch is isolated.
        isolated: bool,
        /// Time since the last response of a backend.
        since_response: Micros,
    },
}

/// Routing rules in force.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveRouting {
    /// Key of the latest rollout, or `None` if there has not been a rollout.
    pub key: Option<RolloutKey>,
    /// Whether outcomes of requests are counted.
    pub is_counting_outcomes: bool,
    /// Rules for the customers outside the canary share.
    pub baseline: RuleSet,
    /// Rules for the customers in the canary share.
    pub canary: RuleSet,
    /// Share of customers with the canary rules, in 1/10,000.
    pub canary_share: u16,
}

/// A change that operators should know of; the owner logs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClusterNotice {
    /// A newer process runs under the same name. This process has yielded its seat and continues to serve requests.
    SeatYielded {
        /// Incarnation of this process.
        own: u64,
        /// Incarnation of the newer process.
        other: u64,
    },
    /// Two processes run under the same name.
    DuplicateName {
        /// Name of both processes.
        name: String,
        /// Incarnation of the older process.
        older: u64,
        /// Incarnation of the newer process.
        newer: u64,
    },
    /// A member's state changed.
    MemberStateChanged {
        /// Name of the member.
        name: String,
        /// New state of the member.
        state: MemberState,
        /// Reason of the change, in words for operators.
        reason: &'static str,
    },
    /// The storage was read. The gateway votes at once in the write queue if the storage held everything that
    /// the gateway ever confirmed there; the same applies separately to the ledger.
    StorageLoaded {
        /// Number of stored writes of the write queue.
        writes: usize,
        /// Number of stored records of the ledger.
        records: usize,
        /// Whether the gateway has its vote at once in the write queue, and at the ledger.
        votes: (bool, bool),
    },
    /// The storage failed: the gateway has given up its votes and continues to serve requests.
    StorageFailed,
}

/// Counters of datagrams and bytes sent, received and dropped.
#[derive(Debug, Clone, Default)]
pub struct TrafficCounters {
    /// Datagrams received and processed.
    pub received: u64,
    /// Bytes of the datagrams received and processed.
    pub received_bytes: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Messages not sent because the receiver's address is unknown.
    pub unaddressed: u64,
    /// Received datagrams that were dropped, by reason.
    pub dropped: BTreeMap<DatagramError, u64>,
}
