//! What a gateway learns from outside: its configuration, discovery's endpoint list, and the shared counter.
#![warn(
    clippy::cast_possible_wrap,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::wildcard_imports
)]

pub mod config;
pub mod counter;
pub mod discovery;
pub(super) mod service_watch;
