//! Backends: connections, their pool, and attempts.

pub mod backend;
pub mod connection;
pub mod forwarded_request;
