//! The decision module on the simulator's text protocol.

pub mod wire;
