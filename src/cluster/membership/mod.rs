//! Cluster membership: which gateways take part, and their addresses.
//!
//! - [`swim`]: the membership protocol, SWIM (Das, Gupta, Motivala, DSN 2002) as implemented by the crate `foca`, with
//!   the extensions listed in `docs/decisions/0001-membership.md`; [`codec`], [`parameters`], [`members`],
//!   [`suspicion`] and [`timers`] are its parts.
//! - [`identity`]: name and incarnation of a member. [`local_health`]: health of this process itself (Lifeguard).
//! - [`ring_probe`]: an additional probe of the next member in the ring of names.
//! - [`addresses`]: resolution of a member's address. [`join`]: announcements to absent gateways. [`duplicate_name`]:
//!   detection of two processes under the same name.
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
