//! The decision module: what a gateway is told, what it may do, and every decision in between. No I/O; time is passed in.

pub mod api;
pub mod gateway;
pub(crate) mod state;
