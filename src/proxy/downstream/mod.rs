//! Clients: their connections, requests, bodies and responses.
//!
//! [`server`] accepts connections and [`connection`] serves one; [`request`] takes a request from its head
//! ([`request_head`]) and body ([`request_body`]) through [`dispatch`] to its response ([`client_response`]).

pub(crate) mod accept;
pub(crate) mod client_response;
pub(crate) mod close;
pub(crate) mod connection;
pub(crate) mod context;
pub(crate) mod dispatch;
pub(crate) mod idle_connections;
pub(crate) mod request;
pub(crate) mod request_body;
pub(crate) mod request_error;
pub(crate) mod request_head;
pub(crate) mod response_body;
pub mod server;
