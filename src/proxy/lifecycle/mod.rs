//! The life of a process: its listening socket, serving, drain and end, and its replacement by another process of the
//! same gateway.

pub mod drain;
pub mod handover;
pub(crate) mod inherited_listener;
pub(crate) mod permits;
