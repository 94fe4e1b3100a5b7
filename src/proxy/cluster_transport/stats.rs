//! What operators read of the cluster: a report as JSON, and the figures that `/stats` shows.

use super::ClusterTransport;
use crate::cluster::ledger::{ClaimCounts, RejectionCounts};
use crate::cluster::rollout::RolloutReport;
use crate::cluster::write_queue::QueueCounts;
use crate::cluster::{ClusterNode, ClusterReport, StorageStatus};

/// Figures of the cluster as this gateway sees it, at one moment.
pub struct ClusterStats {
    /// Members, view and traffic.
    pub report: ClusterReport,
    /// The ledger, where one is kept.
    pub ledger: Option<LedgerStats>,
    /// The write queue of a branch, where the gateway is of one.
    pub write_queue: Option<WriteQueueStats>,
    /// Rollouts of routing rules, where there may be any.
    pub rollout: Option<RolloutStats>,
    /// The disk, where the gateway has one.
    pub storage: Option<StorageStatus>,
    /// Datagrams that the kernel did not take.
    pub datagrams_not_sent: u64,
}

/// The ledger at this gateway: as a replica of others' records, and as the owner of its own requests.
pub struct LedgerStats {
    /// As a replica it votes.
    pub votes: bool,
    /// Records that it holds for others.
    pub records: usize,
    /// Its own open claims.
    pub open_claims: usize,
    /// How its claims ended.
    pub claims: ClaimCounts,
    /// Abandoned requests that were finished here.
    pub finished: u64,
    /// Abandoned requests that could not be finished here.
    pub not_finished: u64,
    /// What it rejected as a replica.
    pub rejections: RejectionCounts,
}

/// The write queue at this gateway.
pub struct WriteQueueStats {
    /// The branch is cut off.
    pub cut_off: bool,
    /// It votes on writes.
    pub votes: bool,
    /// Writes that have not ended.
    pub waiting: usize,
    /// Writes that are being forwarded.
    pub forwarding: usize,
    /// Writes that it accepted or forwarded, by their ends.
    pub totals: QueueCounts,
}

/// Rollouts at this gateway.
pub struct RolloutStats {
    /// The last rollout, if there has been one.
    pub report: Option<RolloutReport>,
    /// Outcomes that found no room to be counted.
    pub outcomes_dropped: u64,
}

impl ClusterTransport {
    /// The report for operators, as JSON. None: another process stands for the gateway.
    pub fn report(&self) -> Option<String> {
        let report: ClusterReport = self.node.borrow().as_ref()?.report();
        serde_json::to_string_pretty(&report).ok()
    }

    /// The figures for `/stats`. None: another process stands for the gateway.
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
