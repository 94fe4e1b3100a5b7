//! Writes that a branch office accepts while its uplink to the backends is down, and forwards in causal order once it is
//! up again.
//!
//! All gateways of the branch hold all of its writes, and a quorum of them decides. Writes are named by dots of dotted
//! version vectors (Preguiça et al. 2010), each with the writes that it depends on. No I/O, no clock, no global
//! randomness. `docs/decisions/0006-branch-queue.md` gives the reasons, which order is promised, and which is not.
//!
//! * [`QueueReplica`] is one gateway's part: it accepts writes, holds those of others, and keeps up with them.
//! * [`WriteLog`] is what it holds.
//! * [`UplinkMonitor`] tells whether the branch is isolated from the backends.

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
pub use write::{Dot, ParseDotError, Write, WriteOutcome, WriteRequest, WriteState};
pub use write_log::{LogEntry, WriteLog};
