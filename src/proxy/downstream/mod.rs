//! The client side of the proxy: connections, requests, bodies and responses.
//!
//! [`server`] accepts connections and [`connection`] serves each of them. [`request`] handles one request: it parses
//! the head ([`request_head`]), reads the body ([`request_intake`], [`request_body`]), sends the request to the runtime ([`dispatch`]) and
//! returns the response ([`client_response`]).

pub(crate) mod accept;
mod client_connection;
pub(crate) mod client_input;
mod client_output;
pub(crate) mod client_response;
pub(crate) mod client_socket;
pub(crate) mod close;
pub(crate) mod connection;
pub(crate) mod context;
pub(crate) mod dispatch;
pub(crate) mod idle_connections;
pub(crate) mod listener;
mod refusal;
pub(crate) mod request;
pub(crate) mod request_body;
pub(crate) mod request_error;
pub(crate) mod request_head;
mod request_intake;
pub(crate) mod response_body;
pub mod server;
pub(crate) mod streamed_request;
mod wake_flag;
