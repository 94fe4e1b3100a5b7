//! Configuration of the gateway, and clients of the services it depends on: discovery and the shared counter.

pub mod config;
pub mod counter;
pub mod discovery;
pub(super) mod service_watch;
