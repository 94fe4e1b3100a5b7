//! Result of an operator's command on a rollout.

/// Result of an operator's command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandResult {
    /// The command was carried out, or the rollout is being started.
    Done,
    /// The command does not fit the rollout's state: another rollout is running, or none is.
    Conflict,
    /// Rollouts are disabled at this gateway; they need a ledger.
    Disabled,
}

impl CommandResult {
    /// Converts whether the command was carried out; `None` means that rollouts are disabled.
    pub fn from_outcome(done: Option<bool>) -> CommandResult {
        match done {
            Some(true) => CommandResult::Done,
            Some(false) => CommandResult::Conflict,
            None => CommandResult::Disabled,
        }
    }
}
