//! Cooperation of the gateways of a cluster: membership, quota leases, the ledger of requests, the queue of writes that
//! wait for the backends, and rollouts of routing rules.
//!
//! [`ClusterNode`] is the state machine of one gateway. It handles [`Event`]s and appends [`Effect`]s. It has no I/O,
//! no clock and no global randomness: times and seeds are passed in. `proxy::cluster_transport` owns the socket and the
//! storage.
//!
//! - `membership`, `quota_lease`: described in `docs/decisions/0001-membership.md`
//! - [`ledger`]: described in `docs/decisions/0004-ledger.md`
//! - [`write_queue`]: described in `docs/decisions/0006-branch-queue.md`
//! - [`rollout`]: described in `docs/decisions/0007-rules-rollout.md`
//! - `storage`: state that survives the process
//! - `node` and the `*_node` modules: integration of these parts into [`ClusterNode`]
//! - `datagram`: wire format of datagrams
//! - `report`: response of `/fleet`

mod datagram;
mod event;
pub mod ledger;
mod ledger_node;
mod membership;
mod membership_node;
mod node;
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
pub use event::{ActiveRouting, ClusterNotice, Effect, Event, TrafficCounters, WriteQueueEffect};
pub use ledger::LEDGER_TICK_INTERVAL;
pub use membership::identity::{
    is_valid_name, Identity, MemberMetadata, CAPABILITY_LEDGER, CAPABILITY_ROLLOUT, MAX_NAME_BYTES,
};
pub use membership::local_health::TICK_INTERVAL;
pub use membership::members::{MemberRecord, MemberState, MAX_MEMBERS};
pub use node::ClusterNode;
pub use quota_lease::agreement::Agreement;
pub use quota_lease::seat_lease::QuotaShares;
pub use quota_lease::view::MAX_SEATS;
pub use report::{ClusterReport, MemberReport, ViewReport};
pub use rollout::CommandResult;
pub use settings::Settings;
pub use storage::{MachineId, StorageStatus, StorageWrite};
pub use write_queue::WriteQueue;

#[cfg(test)]
#[path = "../../tests/fixtures/datagrams.rs"]
pub(crate) mod datagram_fixtures;
#[cfg(test)]
mod tests;
