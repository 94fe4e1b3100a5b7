//! Start, drain, and the replacement of the process.

pub mod drain;
pub mod handover;
pub(crate) mod inherited_listener;
pub(crate) mod permits;
