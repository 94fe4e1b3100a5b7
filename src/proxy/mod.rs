//! The gateway itself: connects the decision module to sockets, clocks and signals.
//!
//! [`downstream`] accepts requests of clients and passes them to [`runtime`], the owner of the decision module, which
//! sends attempts through [`upstream`]. [`control_plane`] reads the configuration, watches the endpoint list and
//! calls the counter. [`cluster_transport`] exchanges datagrams with other gateways, and [`admin`] serves operators.
//! [`lifecycle`] tracks whether the process serves, drains or shuts down, and hands over to a successor.

pub mod admin;
pub mod cluster_transport;
pub mod control_plane;
pub mod downstream;
mod free_memory;
pub mod lifecycle;
mod log_rate_limit;
pub mod memory_budget;
pub mod runtime;
mod start_plan;
mod startup;
mod tcp_io;
pub mod upstream;

pub use start_plan::RunError;
pub use startup::run;
