//! Rollouts of routing rules: operators' commands to the cluster, and the outcomes that a rollout is judged by.

use super::ClusterTransport;
use crate::cluster::rollout::{RolloutKey, RolloutRequest};
use crate::cluster::CommandResult;
use tokio::sync::oneshot;

/// What an operator may do to the running rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutCommand {
    /// Stay in this stage.
    Pause,
    /// Go on after a pause.
    Resume,
    /// Put the rules from before in force again.
    Abort,
}

/// Why a rollout was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RolloutStartError {
    /// This gateway does not take it.
    #[error("the rollout was not taken: {0:?}")]
    NotTaken(CommandResult),
    /// The ledger did not grant the rollout's record to this gateway.
    #[error("another rollout runs, or the ledger has no majority")]
    NoRecord,
}

impl ClusterTransport {
    /// Whether routing rules may be rolled out.
    pub fn keeps_rules(&self) -> bool {
        self.config.settings.rules.is_some()
    }

    /// Starts a rollout and returns its key, once the ledger holds its record. The caller bounds the time.
    ///
    /// # Errors
    ///
    /// Another rollout runs, there are none here, or the ledger has no majority.
    pub async fn start_rollout(&self, start: RolloutRequest) -> Result<RolloutKey, RolloutStartError> {
        let (started, start_result) = oneshot::channel();
        *self.rollout_start.borrow_mut() = Some(started);
        let taken =
            self.with_node(self.participation.get(), |node, now, out| node.start_rollout(now, start, out));
        match taken.unwrap_or(CommandResult::Disabled) {
            CommandResult::Done => start_result.await.ok().flatten().ok_or(RolloutStartError::NoRecord),
            taken => Err(RolloutStartError::NotTaken(taken)),
        }
    }

    /// Carries out an operator's command.
    pub fn command_rollout(&self, command: RolloutCommand) -> CommandResult {
        let taken = self.with_node(self.participation.get(), |node, now, out| match command {
            RolloutCommand::Abort => node.abort_rollout(now, out),
            RolloutCommand::Pause => node.pause_rollout(now, true, out),
            RolloutCommand::Resume => node.pause_rollout(now, false, out),
        });
        taken.unwrap_or(CommandResult::Disabled)
    }

    /// The rollout's report for operators, as JSON. None: there has been no rollout, or another process stands for the
    /// gateway.
    pub fn rollout(&self) -> Option<String> {
        let report = self.node.borrow().as_ref()?.rollout_report(self.clock.now())?;
        serde_json::to_string_pretty(&report).ok()
    }

    /// Passes what the runtime has recorded since the last call to the node.
    pub(super) fn pass_on_outcomes(&self) {
        for answered in self.outcomes.take_reachability() {
            if let Some(node) = self.node.borrow_mut().as_mut() {
                node.record_backend_attempt(self.clock.now(), answered);
            }
        }
        for outcome in self.outcomes.take_outcomes() {
            let request = outcome.assignment;
            let class = request.class.0.min(usize::from(u16::MAX)) as u16;
            if let Some(node) = self.node.borrow_mut().as_mut() {
                node.record_outcome(
                    outcome.ended_at,
                    request.key,
                    class,
                    request.arm,
                    outcome.outcome,
                    outcome.objective_fraction,
                );
            }
        }
    }
}
