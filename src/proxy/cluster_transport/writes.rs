//! Writes of a branch, as the requests that they come from ask for them.

use super::queued_write::QueuedWrite;
use super::ClusterTransport;
use crate::cluster::write_queue::{Dot, ForwardOutcome, WriteRequest, WriteStatus};
use crate::cluster::{ClusterNode, Micros, WriteQueueEffect};
use tokio::sync::oneshot;
use tracing::{info, warn};

impl ClusterTransport {
    /// Whether this gateway belongs to a branch that accepts writes.
    pub fn is_of_branch(&self) -> bool {
        self.config.settings.branch.is_some()
    }

    /// Whether the branch's write queue takes a write of this class now.
    pub fn takes_writes(&self, class: &str, customer: u64, object: u64) -> bool {
        let node = self.node.borrow();
        let replica = node.as_ref().and_then(ClusterNode::write_queue).map(|queue| queue.replica());
        let named = || self.config.write_queue_classes.iter().any(|name| name == class);
        replica.is_some_and(|replica| replica.should_queue(customer, object) && named())
    }

    /// Puts a write into the queue. Returns its name; none: it is not accepted.
    pub async fn accept_write(&self, request: WriteRequest) -> Option<Dot> {
        let (decide, decision) = oneshot::channel();
        let mut effects = Vec::new();
        let now = self.clock.now();
        let dot = self.node.borrow_mut().as_mut()?.accept_write(now, request, &mut effects)?;
        self.write_decisions.borrow_mut().entry(dot).or_default().push(decide);
        self.perform(effects);
        match decision.await {
            Ok(true) => Some(dot),
            Ok(false) | Err(_) => None,
        }
    }

    /// What became of a write.
    pub fn write_status(&self, dot: Dot) -> Option<WriteStatus> {
        self.node.borrow().as_ref()?.write_status(dot)
    }

    /// A write was forwarded, with this outcome.
    pub fn write_ended(&self, dot: Dot, attempt: u16, outcome: ForwardOutcome) {
        self.with_node(self.participation.get(), |node, now, out| {
            node.on_write_forwarded(now, dot, attempt, outcome, out);
        });
    }

    pub(super) fn perform_write_queue(&self, effect: WriteQueueEffect) {
        match effect {
            WriteQueueEffect::Decided { dot, accepted } => self.resolve_write(dot, accepted),
            WriteQueueEffect::Forward { write, attempt, may_have_run } => {
                self.queue_forward(QueuedWrite { write, attempt, may_have_run });
            }
            WriteQueueEffect::NotCompleted { dot, outcome } => {
                warn!(%dot, end = ?outcome, "a queued write was not completed");
            }
            WriteQueueEffect::IsolationChanged { isolated, since_response } => {
                self.outcomes.set_isolated(isolated);
                self.log_isolation(isolated, since_response);
            }
        }
    }

    fn resolve_write(&self, dot: Dot, accepted: bool) {
        for decide in self.write_decisions.borrow_mut().remove(&dot).into_iter().flatten() {
            // A client that has gone may ask for the write by its key.
            let _ = decide.send(accepted);
        }
    }

    fn queue_forward(&self, queued: QueuedWrite) {
        let (dot, attempt) = (queued.write.dot, queued.attempt);
        if self.senders.queued_writes.try_send(queued).is_err() {
            warn!(%dot, "no room for a queued write that is to be forwarded");
            self.write_ended(dot, attempt, ForwardOutcome::NotExecuted);
        }
    }

    fn log_isolation(&self, isolated: bool, since_response: Micros) {
        let node = self.node.borrow();
        let queue = node.as_ref().and_then(ClusterNode::write_queue);
        let waits = queue.map_or(0, |queue| queue.replica().log().pending_count());
        let last_ms = since_response.0 / 1000;
        match isolated {
            true => warn!(last_ms, waits, "uplink lost: writes are queued here"),
            false => info!(waits, "uplink restored: queued writes are forwarded"),
        }
    }
}
