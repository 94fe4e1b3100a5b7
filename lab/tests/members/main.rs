//! Membership and quota leases under virtual time: invariants over random faults, and the hard cases by themselves.
//!
//! `docs/decisions/0001-membership.md` numbers the invariants. `invariants.regressions` keeps seeds that once failed.

mod cases;
mod faults;
mod invariants;
mod support;
