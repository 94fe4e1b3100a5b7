//! What a gateway is told from outside: configuration, discovery, and the shared counter.

pub mod config;
pub mod counter;
pub mod discovery;
