//! Lines of the log about the fleet.

use crate::cluster::rollout::{HaltReason, RolloutEnd, RolloutNotice};
use crate::cluster::ClusterNotice;
use tracing::{info, warn};

/// What becomes of a rollout.
pub(super) fn log_rollout(told: &RolloutNotice) {
    let number = told.number();
    match told {
        RolloutNotice::StageChanged { stage, paused, .. } => info!(number, stage, paused, "rollout of rules"),
        RolloutNotice::Leading { .. } => info!(number, "leading the rollout of rules"),
        RolloutNotice::Ended { end: RolloutEnd::Completed, .. } => {
            info!(number, "the new rules hold for all")
        }
        RolloutNotice::Ended { end: RolloutEnd::Aborted, .. } => {
            warn!(number, "rollout called off; the rules before hold")
        }
        RolloutNotice::Ended { end: RolloutEnd::Halted { seat, reason }, .. } => match reason {
            HaltReason::CanaryWorse { scope: place, log_evidence: log_bet, log_threshold: log_bound } => {
                warn!(
                    number,
                    seat,
                    place,
                    log_bet,
                    log_bound,
                    "rollout halted: the new rules are worse; those before hold"
                )
            }
            HaltReason::Undecided => {
                warn!(number, seat, "rollout halted: a stage took too long; the rules before hold")
            }
        },
    }
}

/// What people should hear of the fleet.
pub(super) fn log(notice: &ClusterNotice) {
    match notice {
        ClusterNotice::SeatYielded { own, other } => {
            warn!(
                own,
                other, "a younger process lives under this name; this one yields its seat and serves on"
            );
        }
        ClusterNotice::DuplicateName { name, older, newer } => {
            warn!(name, older, newer, "two processes send under one name");
        }
        ClusterNotice::MemberStateChanged { name, state, reason } => {
            info!(name, standing = ?state, why = reason, "member");
        }
        ClusterNotice::StorageLoaded { writes, records, votes: (branch, ledger) } => {
            info!(writes, records, branch, ledger, "read the disk; true: a vote at once");
        }
        ClusterNotice::StorageLost => warn!("without its disk this gateway has no vote; it serves on"),
    }
}
