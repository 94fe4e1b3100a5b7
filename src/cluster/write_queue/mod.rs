//! Queue of the writes that a branch office accepts while its uplink to the backends is down, and forwards in
//! causal order after the uplink has recovered.
//!
//! All gateways of the branch replicate all of its writes, and a quorum of them accepts each one. Writes are
//! identified by dots of dotted version vectors (Preguiça et al. 2010) and carry their causal dependencies. The
//! module does no I/O, reads no clock and uses no global randomness. `docs/decisions/0006-branch-queue.md`
//! describes the design and which order is guaranteed.
//!
//! * [`QueueReplica`] is the replica at one gateway: it accepts writes, stores those of other gateways, and
//!   catches up with them.
//! * [`WriteLog`] contains the writes of a replica.
//! * [`UplinkMonitor`] determines whether the branch is isolated from the backends.

mod lease;
mod message;
mod queue;
mod replay;
mod replica;
mod send_rate;
mod settings;
mod uplink;
mod write;
mod write_log;

pub use lease::queue_record;
pub use message::{DotRank, LogPage, QueueMessage, ReplicatedWrite};
pub use queue::{WriteQueue, CLAIM_INTERVAL};
pub use replay::ForwardOutcome;
pub use replica::{QueueCounts, QueueEffect, QueueReplica, WriteStatus};
pub use settings::WriteQueueSettings;
pub use uplink::UplinkMonitor;
pub use write::{Acceptance, Dot, ParseDotError, Write, WriteOutcome, WriteRequest, WriteState};
pub use write_log::{LogEntry, WriteLog};
