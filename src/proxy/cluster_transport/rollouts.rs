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
        let (begins, begun) = oneshot::channel();
        *self.begins.borrow_mut() = Some(begins);
        let taken = self.with(self.era.get(), |fleet, now, out| fleet.start_rollout(now, start, out));
        match taken.unwrap_or(CommandResult::Disabled) {
            CommandResult::Done => begun.await.ok().flatten().ok_or(RolloutStartError::NoRecord),
            taken => Err(RolloutStartError::NotTaken(taken)),
        }
    }

    /// Carries out an operator's command.
    pub fn command_rollout(&self, command: RolloutCommand) -> CommandResult {
        let taken = self.with(self.era.get(), |fleet, now, out| match command {
            RolloutCommand::Abort => fleet.abort_rollout(now, out),
            RolloutCommand::Pause => fleet.pause_rollout(now, true, out),
            RolloutCommand::Resume => fleet.pause_rollout(now, false, out),
        });
        taken.unwrap_or(CommandResult::Disabled)
    }

    /// The rollout's report for operators, as JSON. None: there has been no rollout, or another process stands for the
    /// gateway.
    pub fn rollout(&self) -> Option<String> {
        let report = self.fleet.borrow().as_ref()?.rollout_report(self.clock.now())?;
        serde_json::to_string_pretty(&report).ok()
    }

    /// Passes what the runtime has recorded since the last call to the cluster's part.
    pub(super) fn count(&self) {
        for answered in self.arms.answers() {
            if let Some(fleet) = self.fleet.borrow_mut().as_mut() {
                fleet.record_backend_attempt(self.clock.now(), answered);
            }
        }
        for seen in self.arms.take() {
            let (judged, class) = (seen.judged, seen.judged.class.0.min(usize::from(u16::MAX)) as u16);
            if let Some(fleet) = self.fleet.borrow_mut().as_mut() {
                fleet.record_outcome(seen.at, judged.key, class, judged.arm, seen.ended, seen.part_of_aim);
            }
        }
    }
}
