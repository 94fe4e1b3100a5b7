//! Who takes part in the cluster: SWIM, incarnations, local health, and how a gateway finds the others again.

pub(in crate::cluster) mod identity;
pub(in crate::cluster) mod local_health;
mod rejoin;
pub(in crate::cluster) mod ring_probe;
pub(in crate::cluster) mod swim;
