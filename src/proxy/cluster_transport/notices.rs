//! Log lines of cluster notices and rollouts.

use crate::cluster::rollout::{HaltReason, RolloutEnd, RolloutNotice};
use crate::cluster::ClusterNotice;
use tracing::{info, warn};

/// Logs a notice of a rollout.
pub(super) fn log_rollout(notice: &RolloutNotice) {
    let number = notice.number();
    match notice {
        RolloutNotice::StageChanged { stage, paused, .. } => {
            info!(number, stage, paused, "rollout stage changed")
        }
        RolloutNotice::Leading { .. } => info!(number, "this gateway leads the rollout"),
        RolloutNotice::Ended { end: RolloutEnd::Completed, .. } => {
            info!(number, "rollout completed: the new rules are in force for all customers")
        }
        RolloutNotice::Ended { end: RolloutEnd::Aborted, .. } => {
            warn!(number, "rollout aborted; the baseline rules are in force")
        }
        RolloutNotice::Ended { end: RolloutEnd::Halted { seat, reason }, .. } => match reason {
            HaltReason::CanaryWorse { scope, log_evidence, log_threshold } => {
                warn!(
                    number,
                    seat,
                    scope,
                    log_evidence,
                    log_threshold,
                    "rollout halted: the canary fails more often; the baseline rules are in force"
                )
            }
            HaltReason::Undecided => {
                warn!(number, seat, "rollout halted: a stage took too long; the baseline rules are in force")
            }
        },
    }
}

/// Logs a cluster notice for operators.
pub(super) fn log(notice: &ClusterNotice) {
    match notice {
        ClusterNotice::SeatYielded { own, other } => {
            warn!(
                own,
                other, "a newer process uses this gateway's name; yielding the seat and continuing to serve"
            );
        }
        ClusterNotice::DuplicateName { name, older, newer } => {
            warn!(name, older, newer, "two processes use the same gateway name");
        }
        ClusterNotice::MemberStateChanged { name, state, reason } => {
            info!(name, state = ?state, reason = reason, "member state changed");
        }
        ClusterNotice::StorageLoaded { writes, records, votes: (branch, ledger) } => {
            info!(
                writes,
                records,
                branch,
                ledger,
                "storage loaded; branch and ledger tell whether this gateway has its vote there at once"
            );
        }
        ClusterNotice::StorageLost => {
            warn!("storage failed: this gateway gives up its votes and continues to serve")
        }
    }
}
