//! Who takes part in the cluster, and where each member is reached.
//!
//! - [`swim`]: the membership protocol, SWIM (Das, Gupta, Motivala, DSN 2002) by the crate `foca`, with the extensions
//!   that `docs/decisions/0001-membership.md` lists; [`codec`], [`parameters`], [`members`], [`suspicion`] and [`timers`]
//!   are its parts.
//! - [`identity`]: a member's name and incarnation. [`local_health`]: how well this process itself runs (Lifeguard).
//! - [`ring_probe`]: the extra probe of the next member in the ring of names.
//! - [`addresses`], [`join`], [`duplicate_name`]: where to send, how absent gateways are found, and two processes that
//!   run under one name.
//!
//! No I/O, no clock, no global randomness: times and random numbers are passed in.

pub(in crate::cluster) mod addresses;
pub(in crate::cluster) mod codec;
pub(in crate::cluster) mod duplicate_name;
pub(in crate::cluster) mod identity;
pub(in crate::cluster) mod join;
pub(in crate::cluster) mod local_health;
pub(in crate::cluster) mod members;
mod parameters;
pub(in crate::cluster) mod ring_probe;
mod suspicion;
pub(in crate::cluster) mod swim;
mod timers;
