//! The ledger: replicated records of requests, each with one owner at a time, that outlive their owner.
//!
//! Each record is a register of its own, agreed on by a quorum of its replicas: Paxos over a register that changes
//! (CASPaxos, Rystsov 2018), with a lease for its owner (Gray and Cheriton 1989). No I/O, no clock, no global
//! randomness. `docs/decisions/0004-ledger.md` gives the reasons, the guarantees and what is not guaranteed.
//!
//! * [`LedgerClient`] claims one record and writes it while it is the owner (Paxos: the proposer).
//! * [`Replica`] holds records for other gateways (Paxos: the acceptor).
//! * [`LedgerNode`] is all that one gateway does at the ledger: its claims, and its replica.

mod client;
mod message;
mod node;
mod placement;
mod record;
mod replica;
mod settings;

pub use client::{AddressedMessage, ClaimOutcome, LedgerClient, RecordChange};
pub use message::{LedgerMessage, RecordSnapshot};
pub use node::{ClaimCounts, ClaimId, LedgerEffect, LedgerNode, LEDGER_TICK_INTERVAL};
pub use placement::{replicas_among, replicas_of};
pub use record::{Ballot, Record, RecordId, RecordedAttempt, SentAttempt};
pub use replica::abandoned::AbandonedRequest;
pub use replica::{RejectionCounts, Replica, ReplicaEntry};
pub use settings::{LedgerSettings, ROUND_TRIP_LIMIT};
