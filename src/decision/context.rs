//! Read-only state that is common to all decision rules.

use super::settings::Settings;
use super::time::Micros;

/// Role of this process. While a gateway's process is replaced, two processes act as one gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ProcessRole {
    /// The gateway's only process.
    #[default]
    Single,
    /// The process that is being replaced: it only finishes the requests it already has.
    Predecessor,
    /// The process that takes over from the predecessor.
    Successor,
}

/// Settings, current time, and role of this process.
#[derive(Debug, Default)]
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) now: Micros,
    pub(crate) role: ProcessRole,
}
