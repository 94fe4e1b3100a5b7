//! Interface of the branch's write queue: accepting writes, their status, and effects of the queue.

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

    /// Whether a write of this class, customer and object is to be queued now instead of forwarded directly.
    pub fn should_queue_write(&self, class: &str, customer: u64, object: u64) -> bool {
        let node = self.node.borrow();
        let replica = node.as_ref().and_then(ClusterNode::write_queue).map(|queue| queue.replica());
        let is_queueable = || self.config.write_queue_classes.iter().any(|name| name == class);
        replica.is_some_and(|replica| replica.should_queue(customer, object) && is_queueable())
    }

    /// Adds a write to the queue. Returns the write's dot once it is accepted, or `None` if it is rejected.
    pub async fn accept_write(&self, request: WriteRequest) -> Option<Dot> {
        let (decision_sender, decision) = oneshot::channel();
        let mut effects = Vec::new();
        let now = self.clock.now();
        let dot = self.node.borrow_mut().as_mut()?.accept_write(now, request, &mut effects)?;
        self.write_decisions.borrow_mut().entry(dot).or_default().push(decision_sender);
        self.perform(effects);
        match decision.await {
            Ok(true) => Some(dot),
            Ok(false) | Err(_) => None,
        }
    }

    /// Returns the status of a write.
    pub fn write_status(&self, dot: Dot) -> Option<WriteStatus> {
        self.node.borrow().as_ref()?.write_status(dot)
    }

    /// Reports the outcome of forwarding a write to the node.
    pub fn record_forward_outcome(&self, dot: Dot, attempt: u16, outcome: ForwardOutcome) {
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
                warn!(%dot, outcome = ?outcome, "queued write not completed");
            }
            WriteQueueEffect::IsolationChanged { isolated, since_response } => {
                self.outcomes.set_isolated(isolated);
                self.log_isolation(isolated, since_response);
            }
        }
    }

    fn resolve_write(&self, dot: Dot, accepted: bool) {
        for decision_sender in self.write_decisions.borrow_mut().remove(&dot).into_iter().flatten() {
            // The caller may have stopped waiting; its client can retry with the same idempotency key.
            let _ = decision_sender.send(accepted);
        }
    }

    fn queue_forward(&self, queued: QueuedWrite) {
        let (dot, attempt) = (queued.write.dot, queued.attempt);
        if self.senders.queued_writes.try_send(queued).is_err() {
            warn!(%dot, "too many writes wait to be forwarded; this write goes back to the queue");
            self.record_forward_outcome(dot, attempt, ForwardOutcome::NotExecuted);
        }
    }

    fn log_isolation(&self, isolated: bool, since_response: Micros) {
        let node = self.node.borrow();
        let queue = node.as_ref().and_then(ClusterNode::write_queue);
        let pending = queue.map_or(0, |queue| queue.replica().log().pending_count());
        let ms_since_response = since_response.0 / 1000;
        match isolated {
            true => warn!(
                ms_since_response,
                pending, "no backend reachable: the branch is isolated and queues writes"
            ),
            false => info!(pending, "backends reachable again: queued writes are forwarded"),
        }
    }
}
