//! What the proxy has to do for the write queue.

use super::write::{Dot, Write, WriteOutcome};
use crate::decision::Micros;

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
