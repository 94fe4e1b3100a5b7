//! Interface of the branch's write queue: accepting writes, their status, and effects of the queue.

use super::queued_write::QueuedWrite;
use super::ClusterTransport;
use crate::cluster::write_queue::{Acceptance, Dot, ForwardOutcome, WriteRequest, WriteStatus};
use crate::cluster::{ClusterNode, Micros, WriteQueueEffect};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::{info, warn};

/// Time-out for the votes on a write. The write queue itself gives up slightly earlier.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(600);

/// What became of a write that was offered to the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferedWrite {
    /// The queue has accepted it under this dot.
    Accepted(Dot),
    /// The queue has not taken it and will not forward it.
    NotQueued,
    /// The queue may hold and forward it.
    Unconfirmed,
}

impl ClusterTransport {
    /// Whether this gateway belongs to a branch that accepts writes.
    pub fn belongs_to_branch(&self) -> bool {
        self.config.settings.write_queue.is_some()
    }

    /// Whether a write of this class, customer and object is to be queued now instead of forwarded directly.
    pub fn should_queue_write(&self, class: &str, customer: u64, object: u64) -> bool {
        let node = self.node.borrow();
        let replica = node.as_ref().and_then(ClusterNode::write_queue).map(|queue| queue.replica());
        let is_queueable = || self.config.write_queue_classes.iter().any(|name| name == class);
        replica.is_some_and(|replica| replica.should_queue(customer, object) && is_queueable())
    }

    /// Returns whether this gateway holds a write of this customer with this key.
    pub fn holds_write(&self, customer: u64, key: u64) -> bool {
        let node = self.node.borrow();
        let queue = node.as_ref().and_then(ClusterNode::write_queue);
        queue.is_some_and(|queue| queue.replica().log().find_by_key(customer, key).is_some())
    }

    /// Offers a write to the queue, and returns once it is decided whether the queue accepts it.
    pub async fn offer_write(&self, request: WriteRequest) -> OfferedWrite {
        let (decision_sender, decision) = oneshot::channel();
        let mut effects = Vec::new();
        let now = self.clock.now();
        let accept = |node: &mut ClusterNode| node.accept_write(now, request, &mut effects);
        let Some(dot) = self.node.borrow_mut().as_mut().and_then(accept) else {
            return OfferedWrite::NotQueued;
        };
        self.write_decisions.borrow_mut().entry(dot).or_default().push(decision_sender);
        self.perform(effects);
        match timeout(ACCEPT_TIMEOUT, decision).await {
            Ok(Ok(Acceptance::Accepted)) => OfferedWrite::Accepted(dot),
            Ok(Ok(Acceptance::Rejected)) => OfferedWrite::NotQueued,
            Ok(Ok(Acceptance::Unconfirmed) | Err(_)) | Err(_) => {
                warn!(%dot, "a write may be held by the queue and has too few votes");
                OfferedWrite::Unconfirmed
            }
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
            WriteQueueEffect::AcceptanceDecided { dot, acceptance } => self.resolve_write(dot, acceptance),
            WriteQueueEffect::Forward { write, attempt, may_have_been_executed } => {
                self.queue_forward(QueuedWrite { write, attempt, may_have_been_executed });
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

    fn resolve_write(&self, dot: Dot, acceptance: Acceptance) {
        for decision_sender in self.write_decisions.borrow_mut().remove(&dot).into_iter().flatten() {
            // The caller may have stopped waiting; its client can retry with the same idempotency key.
            let _ = decision_sender.send(acceptance);
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
