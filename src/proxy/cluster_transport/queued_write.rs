//! A write of a branch that is to be forwarded.

use crate::cluster::write_queue::Write;

/// A write that is to be forwarded.
pub struct QueuedWrite {
    /// The write.
    pub write: Box<Write>,
    /// Which attempt this is.
    pub attempt: u16,
    /// An earlier owner may have sent it, and it may have run.
    pub may_have_run: bool,
}
