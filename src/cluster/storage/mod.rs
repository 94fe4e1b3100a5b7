//! What outlives a gateway's process: what is stored, and what waits until it is.

pub(in crate::cluster) mod durability_gate;
pub(in crate::cluster) mod persistence;
