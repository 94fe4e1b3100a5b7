//! The real gateway: the decision module on sockets.

pub mod admin;
pub mod cluster_transport;
pub mod control_plane;
pub mod downstream;
pub mod lifecycle;
mod log_rate_limit;
pub mod memory_budget;
pub mod runtime;
mod startup;
mod tcp_io;
pub mod upstream;

pub use startup::{run, RunError};
