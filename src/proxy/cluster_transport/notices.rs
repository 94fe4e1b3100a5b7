//! Log lines about the cluster.

use crate::cluster::rollout::{HaltReason, RolloutEnd, RolloutNotice};
use crate::cluster::ClusterNotice;
use tracing::{info, warn};

/// Logs a step of a rollout.
pub(super) fn log_rollout(notice: &RolloutNotice) {
    let number = notice.number();
    match notice {
        RolloutNotice::StageChanged { stage, paused, .. } => {
            info!(number, stage, paused, "rollout stage changed")
        }
        RolloutNotice::Leading { .. } => info!(number, "leading the rollout"),
        RolloutNotice::Ended { end: RolloutEnd::Completed, .. } => {
            info!(number, "rollout completed: the new rules are in force for all customers")
        }
        RolloutNotice::Ended { end: RolloutEnd::Aborted, .. } => {
            warn!(number, "rollout aborted; the baseline rules are in force")
        }
        RolloutNotice::Ended { end: RolloutEnd::Halted { seat, reason }, .. } => match reason {
            HaltReason::CanaryWorse { scope: place, log_evidence: log_bet, log_threshold: log_bound } => {
                warn!(
                    number,
                    seat,
                    place,
                    log_bet,
                    log_bound,
                    "rollout halted: the canary is worse; the baseline rules are in force"
                )
            }
            HaltReason::Undecided => {
                warn!(number, seat, "rollout halted: a stage took too long; the baseline rules are in force")
            }
        },
    }
}

/// Logs what operators should know of the cluster.
pub(super) fn log(notice: &ClusterNotice) {
    match notice {
        ClusterNotice::SeatYielded { own, other } => {
            warn!(
                own,
                other, "a newer process has this name; this one gives up its seat and continues to serve"
            );
        }
        ClusterNotice::DuplicateName { name, older, newer } => {
            warn!(name, older, newer, "two processes send under the same name");
        }
        ClusterNotice::MemberStateChanged { name, state, reason } => {
            info!(name, standing = ?state, why = reason, "member");
        }
        ClusterNotice::StorageLoaded { writes, records, votes: (branch, ledger) } => {
            info!(
                writes,
                records, branch, ledger, "storage loaded; the flags say whether this gateway votes at once"
            );
        }
        ClusterNotice::StorageLost => {
            warn!("storage failed: this gateway has no vote and continues to serve")
        }
    }
}
