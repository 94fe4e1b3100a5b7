//! The real gateway: the decision module on sockets.
//!
//! [`downstream`] accepts clients' requests and hands them to [`runtime`], the one owner of the decision module, which
//! sends attempts through [`upstream`]. [`control_plane`] brings the configuration, the endpoint list and the counter's
//! replies, [`cluster_transport`] the messages of other gateways, [`admin`] the operators' calls. [`lifecycle`] holds
//! whether the process serves, drains or ends, and hands over to its successor.

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
