//! Adapter between the decision module and the simulator's text protocol.
//!
//! Input is a sequence of batches of lines, each a message name followed by `name=value` pairs. The reply to a batch
//! lists the actions of the gateways. `host` handles the framing of batches and lists; `decode` and `encode`
//! translate events and actions.

mod decode;
mod encode;
mod host;
mod instance;

pub use host::Host;
