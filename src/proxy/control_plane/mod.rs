//! What a gateway learns from outside: its configuration, discovery's endpoint list, and the shared counter.

pub mod config;
pub mod counter;
pub mod discovery;
pub(super) mod service_watch;
