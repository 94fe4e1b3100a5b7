//! The backend side of the proxy: connections, attempts and load reports.
//!
//! [`pool`] keeps the connections, [`attempt`] makes one attempt over a connection, [`attempt_result`] holds the
//! result, [`response`] reads the response, [`streamed_response`] streams a long response to the client, and
//! [`forwarded_request`] holds the request that attempts send.

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
