//! Replicated ledger of requests. Each record has one owner at a time and survives the failure of its owner.
//!
//! Each record is a separate mutable register on which a quorum of its replicas agrees by Paxos (CASPaxos, Rystsov
//! 2018); its owner holds a lease (Gray and Cheriton 1989). The module does no I/O, reads no clock and uses no global
//! randomness. `docs/decisions/0004-ledger.md` describes the design, its guarantees and their limits.
//!
//! * [`LedgerClient`] claims one record and writes it while it is the owner (Paxos proposer).
//! * [`Replica`] stores records for all gateways of the cluster (Paxos acceptor).
//! * [`LedgerNode`] combines the claims and the replica of one gateway.

mod claim_counts;
mod client;
mod message;
mod node;
mod placement;
mod record;
mod replica;
mod settings;

pub use claim_counts::ClaimCounts;
pub use client::{AddressedMessage, ClaimOutcome, LedgerClient, RecordChange};
pub use message::{LedgerMessage, RecordSnapshot};
pub use node::{ClaimId, LedgerEffect, LedgerNode, LEDGER_TICK_INTERVAL};
pub use placement::{replicas_among, replicas_of};
pub use record::{Ballot, Record, RecordId, RecordedAttempt, SentAttempt};
pub use replica::abandoned::AbandonedRequest;
pub use replica::{RejectionCounts, Replica, ReplicaEntry};
pub use settings::{LedgerSettings, ROUND_TRIP_LIMIT};
