//! Writes of a branch, as whoever takes and sends requests calls for them.

use super::write_queue_sender::QueuedWrite;
use super::ClusterTransport;
use crate::cluster::write_queue::{Dot, ForwardOutcome, WriteRequest, WriteStatus};
use crate::cluster::{ClusterNode, WriteQueueEffect};
use tokio::sync::oneshot;
use tracing::{info, warn};

impl ClusterTransport {
    /// Whether this gateway is of a branch that accepts writes.
    pub fn is_of_branch(&self) -> bool {
        self.config.settings.branch.is_some()
    }

    /// Whether a write of this class is the branch's to accept now.
    pub fn takes_writes(&self, class: &str, customer: u64, object: u64) -> bool {
        let fleet = self.fleet.borrow();
        let replica = fleet.as_ref().and_then(ClusterNode::write_queue).map(|queue| queue.replica());
        let named = || self.config.write_queue_classes.iter().any(|name| name == class);
        replica.is_some_and(|replica| replica.should_queue(customer, object) && named())
    }

    /// Accepts a write; its name, or none where it is not accepted.
    pub async fn accept_write(&self, request: WriteRequest) -> Option<Dot> {
        let (accepts, accepted) = oneshot::channel();
        let mut effects = Vec::new();
        let now = self.clock.now();
        let dot = self.fleet.borrow_mut().as_mut()?.accept_write(now, request, &mut effects)?;
        self.accepts.borrow_mut().entry(dot).or_default().push(accepts);
        self.perform(effects);
        accepted.await.ok().filter(|yes| *yes).map(|_| dot)
    }

    /// What became of a write.
    pub fn write_status(&self, dot: Dot) -> Option<WriteStatus> {
        self.fleet.borrow().as_ref()?.write_status(dot)
    }

    /// A write that was to be sent on was.
    pub fn write_ended(&self, dot: Dot, tries: u16, fate: ForwardOutcome) {
        self.with(self.era.get(), |fleet, now, out| fleet.on_write_forwarded(now, dot, tries, fate, out));
    }

    pub(super) fn run_errand(&self, errand: WriteQueueEffect) {
        match errand {
            WriteQueueEffect::Decided { dot, accepted: yes } => {
                for waits in self.accepts.borrow_mut().remove(&dot).into_iter().flatten() {
                    // A client that has gone may ask for it by its key.
                    let _ = waits.send(yes);
                }
            }
            WriteQueueEffect::Forward { write, attempt: tries, may_have_run: before } => {
                let dot = write.dot;
                if self.writes.try_send(QueuedWrite { write, tries, before }).is_err() {
                    warn!(%dot, "no room for a write that is to be sent on");
                    self.write_ended(dot, tries, ForwardOutcome::NotExecuted);
                }
            }
            WriteQueueEffect::NotCompleted { dot, outcome: end } => {
                warn!(%dot, ?end, "a write of the branch was not done")
            }
            WriteQueueEffect::IsolationChanged { isolated: cut, since_response: last } => {
                self.arms.cut(cut);
                let waits = self
                    .fleet
                    .borrow()
                    .as_ref()
                    .and_then(ClusterNode::write_queue)
                    .map(|b| b.replica().log().pending_count());
                let (last_ms, waits) = (last.0 / 1000, waits.unwrap_or(0));
                match cut {
                    true => warn!(last_ms, waits, "the branch is cut off: writes are accepted here"),
                    false => info!(waits, "the branch's line is up: writes are sent on"),
                }
            }
        }
    }
}
