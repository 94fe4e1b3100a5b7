//! The decision module on the simulator's text wire.
//!
//! Input comes in batches of lines, each a word with named values; the reply to a batch is what the gateways did.
//! `decode` and `encode` are the only places that know the words of the wire.

mod decode;
mod encode;
mod host;
mod instance;

pub use host::Host;
