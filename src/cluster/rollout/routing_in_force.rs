//! What is in force of a rollout, for whoever routes requests.

use super::command::RolloutKey;
use super::plan::RuleSet;

/// The routing rules in force.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingInForce {
    /// Of which rollout; none where there was none yet.
    pub key: Option<RolloutKey>,
    /// Outcomes are counted.
    pub counts_outcomes: bool,
    /// The rules of those customers that do not have the new ones.
    pub baseline: RuleSet,
    /// The new rules.
    pub canary: RuleSet,
    /// The customers, of 10,000, that have the new ones.
    pub canary_share: u16,
}
