//! What is in force of a rollout: a value that any two gateways merge to the same, whatever came first (a state-based
//! CRDT, Shapiro et al. 2011).
//!
//! Wire and disk forms (postcard): the order of variants and fields counts, also for comparing.

use super::plan::{RolloutSettings, RuleSet, ALL_CUSTOMERS};
use serde::{Deserialize, Serialize};

/// The longest scope that another gateway may name, in bytes.
const MAX_SCOPE_BYTES: usize = 40;

/// Which rollout: of two, the one with the greater key is in force. A rollout that a quorum of the seats was once seen to
/// know (`confirmed`) goes before one by the same number that nobody confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RolloutKey {
    /// Rises from one rollout to the next.
    pub number: u64,
    /// A quorum of the seats knew it.
    pub confirmed: bool,
    /// Drawn at random when it starts; also the salt by which customers are assigned.
    pub id: u64,
}

/// Why a rollout was halted.
#[derive(Debug, Clone, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum HaltReason {
    /// The canary's requests fail more often.
    CanaryWorse {
        /// Where that was seen: `all`, a zone's name, or `class` and its number.
        scope: String,
        /// What the bets on it gained, as a natural logarithm.
        log_evidence: f64,
        /// The threshold that it passed, as a natural logarithm.
        log_threshold: f64,
    },
    /// A stage was not passed within the longest time.
    Undecided,
}

/// How a rollout ended. Of two, the later one here counts: a halt always wins.
#[derive(Debug, Clone, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum RolloutEnd {
    /// All customers have the new rules for good.
    Completed,
    /// Operators aborted it: the rules before are in force.
    Aborted,
    /// It was halted: the rules before are in force.
    Halted {
        /// By this seat.
        seat: u16,
        /// Why.
        reason: HaltReason,
    },
}

/// Whether operators paused a rollout. Of two, the one that changed more often counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Pause {
    /// How often it was paused or resumed.
    pub changes: u32,
    /// Whether it is paused.
    pub is_paused: bool,
}

/// What is in force of a rollout.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutCommand {
    /// Which rollout.
    pub key: RolloutKey,
    /// The stage in force; 0: it is known, and nobody has the new rules.
    pub stage: u8,
    /// Whether it is paused.
    pub pause: Pause,
    /// Its end; none: it runs.
    pub end: Option<RolloutEnd>,
    /// What is asked of it.
    pub settings: RolloutSettings,
    /// The rules before.
    pub baseline: RuleSet,
    /// The new rules.
    pub canary: RuleSet,
}

impl RolloutCommand {
    /// Whether what another gateway says can be a command at all.
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

    /// Whether it is of this rollout.
    pub fn is_of(&self, key: RolloutKey) -> bool {
        (self.key.number, self.key.id) == (key.number, key.id)
    }

    /// Whether it runs.
    pub fn is_running(&self) -> bool {
        self.end.is_none()
    }

    /// Merges what another gateway knows. Returns whether that was anything new.
    pub fn merge(&mut self, other: &RolloutCommand) -> bool {
        if !self.is_of(other.key) {
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
            if self.end.as_ref().is_none_or(|own| end > own) {
                self.end = Some(end.clone());
            }
        }
        *self != before
    }

    /// The rules that hold for every customer before a next rollout.
    pub fn settled_rules(&self) -> &RuleSet {
        match self.end {
            Some(RolloutEnd::Completed) => &self.canary,
            _ => &self.baseline,
        }
    }

    /// The customers, of 10,000, that have the new rules now.
    pub fn share(&self) -> u16 {
        match self.end {
            None => self.settings.share(self.stage),
            Some(RolloutEnd::Completed) => ALL_CUSTOMERS,
            Some(RolloutEnd::Aborted | RolloutEnd::Halted { .. }) => 0,
        }
    }
}
