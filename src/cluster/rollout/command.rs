//! The replicated state of a rollout: a state-based CRDT (Shapiro et al. 2011). Any two gateways merge their states to
//! the same result, in whatever order these arrive.
//!
//! The forms on the wire and on disk are postcard's: the order of variants and fields is part of them, and also defines
//! how values compare.

use super::plan::{RolloutSettings, RuleSet, ALL_CUSTOMERS};
use serde::{Deserialize, Serialize};

/// Length limit of a scope named by another gateway, in bytes.
const MAX_SCOPE_BYTES: usize = 40;

/// Identifies a rollout; of two rollouts, the one with the greater key is in force. Among rollouts with the same
/// number, one that a quorum of the seats is known to have received (`confirmed`) therefore takes precedence over an
/// unconfirmed one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RolloutKey {
    /// Number of the rollout, greater than that of the one before.
    pub number: u64,
    /// Whether a quorum of the seats has received the rollout.
    pub confirmed: bool,
    /// Random id, also the salt by which customers are assigned to the arms.
    pub id: u64,
}

/// Why a rollout was halted.
#[derive(Debug, Clone, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum HaltReason {
    /// The canary's requests fail more often than the baseline's.
    CanaryWorse {
        /// Scope of the comparison: `all`, a zone's name, or `class` and its number.
        scope: String,
        /// Combined gain of the bets that the canary is worse, as a natural logarithm.
        log_evidence: f64,
        /// Threshold that the evidence reached, as a natural logarithm.
        log_threshold: f64,
    },
    /// A stage was not passed within its longest duration.
    Undecided,
}

/// How a rollout ended. When two ends are merged, the greater one by the order of variants wins, so a halt always does.
#[derive(Debug, Clone, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum RolloutEnd {
    /// All customers have the new rules permanently.
    Completed,
    /// Operators aborted the rollout: the previous rules are in force.
    Aborted,
    /// The rollout was halted: the previous rules are in force.
    Halted {
        /// Seat of the gateway that halted the rollout.
        seat: u16,
        /// Reason for the halt.
        reason: HaltReason,
    },
}

/// Whether operators paused a rollout. When two values are merged, the one with more changes wins.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Pause {
    /// Number of times that the rollout was paused or resumed.
    pub changes: u32,
    /// Whether the rollout is paused.
    pub is_paused: bool,
}

/// The state of a rollout that gateways replicate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutCommand {
    /// Identity of the rollout.
    pub key: RolloutKey,
    /// The stage in force. At 0 gateways know the rollout, but no customer has the new rules.
    pub stage: u8,
    /// Pause state.
    pub pause: Pause,
    /// How the rollout ended; none while it runs.
    pub end: Option<RolloutEnd>,
    /// Stages, durations and statistical bounds.
    pub settings: RolloutSettings,
    /// The rules in force before the rollout.
    pub baseline: RuleSet,
    /// The new rules.
    pub canary: RuleSet,
}

impl RolloutCommand {
    /// Whether a state received from another gateway is within all bounds.
    pub fn is_valid(&self) -> bool {
        let end_is_valid = match &self.end {
            Some(RolloutEnd::Halted {
                reason: HaltReason::CanaryWorse { scope, log_evidence, log_threshold },
                ..
            }) => scope.len() <= MAX_SCOPE_BYTES && log_evidence.is_finite() && log_threshold.is_finite(),
            _ => true,
        };
        end_is_valid
            && self.baseline.check().is_ok()
            && self.canary.check().is_ok()
            && self.settings.check().is_ok()
            && usize::from(self.stage) <= self.settings.stage_shares.len()
    }

    /// Whether this state is of the rollout with this key, confirmed or not.
    pub fn is_same_rollout(&self, key: RolloutKey) -> bool {
        (self.key.number, self.key.id) == (key.number, key.id)
    }

    /// Whether the rollout has not ended.
    pub fn is_running(&self) -> bool {
        self.end.is_none()
    }

    /// Merges the state that another gateway knows. Returns whether anything changed.
    pub fn merge(&mut self, other: &RolloutCommand) -> bool {
        if !self.is_same_rollout(other.key) {
            let is_newer = other.key > self.key;
            if is_newer {
                *self = other.clone();
            }
            return is_newer;
        }
        let before = self.clone();
        self.key.confirmed |= other.key.confirmed;
        self.stage = self.stage.max(other.stage);
        self.pause = self.pause.max(other.pause);
        if let Some(end) = &other.end {
            if self.end.as_ref().is_none_or(|current| end > current) {
                self.end = Some(end.clone());
            }
        }
        *self != before
    }

    /// The baseline of the next rollout: the rules of all customers after this one has ended.
    pub fn next_baseline(&self) -> &RuleSet {
        match self.end {
            Some(RolloutEnd::Completed) => &self.canary,
            _ => &self.baseline,
        }
    }

    /// Number of customers, of 10,000, that have the new rules now.
    pub fn share(&self) -> u16 {
        match self.end {
            None => self.settings.share(self.stage),
            Some(RolloutEnd::Completed) => ALL_CUSTOMERS,
            Some(RolloutEnd::Aborted | RolloutEnd::Halted { .. }) => 0,
        }
    }
}
