//! Lines of the log about the fleet.

use crate::cluster::rollout::{End as RolloutEnd, Told, Why};
use crate::cluster::ClusterNotice;
use tracing::{info, warn};

/// What becomes of a rollout.
pub(super) fn log_rollout(told: &Told) {
    let number = told.number();
    match told {
        Told::Stage(_, stage, paused) => info!(number, stage, paused, "rollout of rules"),
        Told::Leads(_) => info!(number, "leading the rollout of rules"),
        Told::Ended(_, RolloutEnd::Done) => info!(number, "the new rules hold for all"),
        Told::Ended(_, RolloutEnd::Aborted) => warn!(number, "rollout called off; the rules before hold"),
        Told::Ended(_, RolloutEnd::Halted(seat, why)) => match why {
            Why::Worse { place, log_bet, log_bound } => warn!(
                number,
                seat, place, log_bet, log_bound, "rollout halted: the new rules are worse; those before hold"
            ),
            Why::Undecided => {
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
