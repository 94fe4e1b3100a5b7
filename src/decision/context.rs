//! What every rule may read.

use super::settings::Settings;
use super::time::Micros;

/// While a gateway's process is replaced, two processes form the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ProcessRole {
    /// The only one.
    #[default]
    Single,
    /// The one that is replaced: it finishes the requests that it has.
    Predecessor,
    /// The one that takes its place.
    Successor,
}

/// The settings, the present time, and which process of the gateway this is.
#[derive(Debug, Default)]
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) now: Micros,
    pub(crate) role: ProcessRole,
}
