//! Clients: connections, requests, bodies and answers.

pub(crate) mod accept;
pub(crate) mod close;
pub(crate) mod idle_connections;
pub(crate) mod request;
pub(crate) mod request_body;
pub(crate) mod request_head;
pub(crate) mod response_body;
pub mod server;
