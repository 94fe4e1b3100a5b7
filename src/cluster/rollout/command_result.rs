//! The answer to an operator's command on a rollout.

/// What became of an operator's command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandResult {
    /// It is done, or begun.
    Done,
    /// It can't be: another rollout runs, or none does.
    Conflict,
    /// There is no rollout without a ledger.
    Disabled,
}

impl CommandResult {
    /// Of what was done, or could not be; none: there are no rollouts.
    pub fn done_if(done: Option<bool>) -> CommandResult {
        match done {
            Some(true) => CommandResult::Done,
            Some(false) => CommandResult::Conflict,
            None => CommandResult::Disabled,
        }
    }
}
