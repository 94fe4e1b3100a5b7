//! Cluster information for operators: a report as JSON, and the figures for `/stats`.

use super::ClusterTransport;
use crate::cluster::ledger::{ClaimCounts, RejectionCounts};
use crate::cluster::rollout::RolloutReport;
use crate::cluster::write_queue::QueueCounts;
use crate::cluster::{ClusterNode, ClusterReport, StorageStatus};

/// Snapshot of the cluster figures at this gateway.
pub struct ClusterStats {
    /// Members, view and datagram traffic.
    pub report: ClusterReport,
    /// The ledger, if there is one.
    pub ledger: Option<LedgerStats>,
    /// The write queue, if the gateway belongs to a branch.
    pub write_queue: Option<WriteQueueStats>,
    /// Rollouts of routing rules, if they are configured.
    pub rollout: Option<RolloutStats>,
    /// The storage, if one is configured.
    pub storage: Option<StorageStatus>,
    /// Number of datagrams that the kernel did not accept for sending.
    pub datagrams_not_sent: u64,
}

/// Figures of the ledger at this gateway: as a replica of records, and as a client with its own claims.
pub struct LedgerStats {
    /// Whether the replica has a vote.
    pub votes: bool,
    /// Number of records that the replica holds.
    pub records: usize,
    /// Number of open claims of this gateway.
    pub open_claims: usize,
    /// Outcomes of this gateway's claims.
    pub claims: ClaimCounts,
    /// Number of abandoned requests that this gateway finished.
    pub finished: u64,
    /// Number of abandoned requests that this gateway could not finish.
    pub not_finished: u64,
    /// Messages that the replica rejected, by reason.
    pub rejections: RejectionCounts,
}

/// Figures of the write queue at this gateway.
pub struct WriteQueueStats {
    /// Whether the branch is isolated from the backends.
    pub cut_off: bool,
    /// Whether this gateway has a vote on writes.
    pub votes: bool,
    /// Number of writes that have not ended.
    pub waiting: usize,
    /// Number of writes that are being forwarded.
    pub forwarding: usize,
    /// Numbers of writes that this gateway accepted, rejected and forwarded, and how they ended.
    pub totals: QueueCounts,
}

/// Figures of rollouts at this gateway.
pub struct RolloutStats {
    /// Report of the last rollout, if there has been one.
    pub report: Option<RolloutReport>,
    /// Number of outcomes that were not counted because too many were waiting for the node.
    pub outcomes_dropped: u64,
}

impl ClusterTransport {
    /// The cluster report for operators, as JSON. `None` if this process does not participate in the cluster.
    pub fn report(&self) -> Option<String> {
        let report: ClusterReport = self.node.borrow().as_ref()?.report();
        serde_json::to_string_pretty(&report).ok()
    }

    /// The figures for `/stats`. `None` if this process does not participate in the cluster.
    pub fn stats(&self) -> Option<ClusterStats> {
        let node = self.node.borrow();
        let node = node.as_ref()?;
        Some(ClusterStats {
            report: node.report(),
            ledger: self.ledger_stats(node),
            write_queue: write_queue_stats(node),
            rollout: self.keeps_rules().then(|| RolloutStats {
                report: node.rollout_report(self.clock.now()),
                outcomes_dropped: self.outcomes.dropped(),
            }),
            storage: node.storage_status(),
            datagrams_not_sent: self.datagrams_not_sent.get(),
        })
    }

    fn ledger_stats(&self, node: &ClusterNode) -> Option<LedgerStats> {
        let ledger = node.ledger()?;
        let replica = ledger.replica();
        Some(LedgerStats {
            votes: replica.has_vote(self.clock.now()),
            records: replica.len(),
            open_claims: ledger.open_claims(),
            claims: ledger.counts.clone(),
            finished: self.abandoned_finished.get(),
            not_finished: self.abandoned_not_finished.get(),
            rejections: replica.rejections.clone(),
        })
    }
}

fn write_queue_stats(node: &ClusterNode) -> Option<WriteQueueStats> {
    let replica = node.write_queue()?.replica();
    Some(WriteQueueStats {
        cut_off: replica.is_isolated(),
        votes: replica.has_vote(),
        waiting: replica.log().pending_count(),
        forwarding: replica.in_flight(),
        totals: replica.counts.clone(),
    })
}
