//! The life of a process: its listening socket, serving, drain and end, and its replacement by another process of the
//! same gateway.
#![warn(
    clippy::cast_possible_wrap,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::wildcard_imports
)]

pub mod drain;
pub mod handover;
pub(crate) mod inherited_listener;
pub(crate) mod permits;
