//! A write of the branch's write queue that this gateway has to forward.

use crate::cluster::write_queue::Write;

/// A write to be forwarded, in one attempt.
pub struct QueuedWrite {
    /// The write to forward.
    pub write: Box<Write>,
    /// Number of the attempt.
    pub attempt: u16,
    /// Whether an earlier owner may have sent the write, so that it may have run.
    pub may_have_run: bool,
}
