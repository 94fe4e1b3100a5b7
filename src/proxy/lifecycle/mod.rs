//! Lifecycle of a process: inherited listening socket, readiness, drain, shutdown, and replacement by another process
//! of the same gateway.

pub mod drain;
pub mod handover;
pub(crate) mod inherited_listener;
pub(crate) mod permits;
