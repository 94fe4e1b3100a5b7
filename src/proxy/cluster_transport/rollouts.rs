//! Rollouts of routing rules: operators' commands, and the request outcomes from which the node judges a rollout.

use super::ClusterTransport;
use crate::cluster::rollout::{RolloutKey, RolloutRequest};
use crate::cluster::CommandResult;
use tokio::sync::oneshot;

/// An operator's command for the running rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutCommand {
    /// Stay in the current stage.
    Pause,
    /// Continue after a pause.
    Resume,
    /// End the rollout and restore the baseline rules.
    Abort,
}

/// Why a rollout was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RolloutStartError {
    /// The node of this gateway did not accept the request.
    #[error("this gateway did not accept the rollout: {0:?}")]
    NotTaken(CommandResult),
    /// This gateway did not acquire the rollout's record from the ledger.
    #[error("another rollout runs, or the ledger has no majority")]
    NoRecord,
}

impl ClusterTransport {
    /// Whether rollouts of routing rules are configured.
    pub fn keeps_rules(&self) -> bool {
        self.config.settings.rules.is_some()
    }

    /// Starts a rollout, and returns its key once the ledger has granted the rollout's record. There is no time-out
    /// here; the caller sets one.
    ///
    /// # Errors
    ///
    /// Another rollout is running, rollouts are not configured, or the ledger has no majority.
    pub async fn start_rollout(&self, request: RolloutRequest) -> Result<RolloutKey, RolloutStartError> {
        let (start_sender, start_result) = oneshot::channel();
        *self.rollout_start.borrow_mut() = Some(start_sender);
        let result =
            self.with_node(self.participation.get(), |node, now, out| node.start_rollout(now, request, out));
        match result.unwrap_or(CommandResult::Disabled) {
            CommandResult::Done => start_result.await.ok().flatten().ok_or(RolloutStartError::NoRecord),
            result => Err(RolloutStartError::NotTaken(result)),
        }
    }

    /// Carries out an operator's command.
    pub fn command_rollout(&self, command: RolloutCommand) -> CommandResult {
        let result = self.with_node(self.participation.get(), |node, now, out| match command {
            RolloutCommand::Abort => node.abort_rollout(now, out),
            RolloutCommand::Pause => node.pause_rollout(now, true, out),
            RolloutCommand::Resume => node.pause_rollout(now, false, out),
        });
        result.unwrap_or(CommandResult::Disabled)
    }

    /// The report of the last rollout for operators, as JSON. `None` if there has been no rollout, or this process
    /// does not participate in the cluster.
    pub fn rollout(&self) -> Option<String> {
        let report = self.node.borrow().as_ref()?.rollout_report(self.clock.now())?;
        serde_json::to_string_pretty(&report).ok()
    }

    /// Passes the records of the runtime since the last call to the node.
    pub(super) fn deliver_outcomes(&self) {
        for responded in self.outcomes.take_reachability() {
            if let Some(node) = self.node.borrow_mut().as_mut() {
                node.record_backend_attempt(self.clock.now(), responded);
            }
        }
        for outcome in self.outcomes.take_outcomes() {
            let assignment = outcome.assignment;
            let class = assignment.class.0.min(usize::from(u16::MAX)) as u16;
            if let Some(node) = self.node.borrow_mut().as_mut() {
                node.record_outcome(
                    outcome.ended_at,
                    assignment.key,
                    class,
                    assignment.arm,
                    outcome.outcome,
                    outcome.objective_fraction,
                );
            }
        }
    }
}
