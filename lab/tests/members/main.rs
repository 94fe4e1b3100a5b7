//! Tests of membership and quota leases under virtual time: property tests under random faults, and single
//! hard cases.
//!
//! The invariants are numbered in `docs/decisions/0001-membership.md`. `invariants.regressions` keeps the
//! seeds of former failures.

mod cases;
mod faults;
mod invariants;
mod support;
