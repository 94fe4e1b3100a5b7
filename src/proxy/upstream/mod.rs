//! Backends: connections to them, attempts, and their load reports.
//!
//! [`pool`] holds the connections, [`attempt`] makes one attempt over one of them, [`attempt_result`] says how it ended, [`response`] reads
//! the response, [`streamed_response`] passes a long one on, [`forwarded_request`] is what attempts send.

pub mod attempt;
pub mod attempt_result;
pub mod attempt_tracker;
pub mod backend;
pub mod connection;
pub mod forwarded_request;
pub mod load_report;
pub mod pool;
pub mod response;
pub mod streamed_response;
