//! The lease of a seat, and the agreement on views, as two small models that are checked in every state.
//!
//! Time passes in ticks for all members alike. What membership believes, which messages arrive, when, and who dies or
//! returns without a memory is up to the checker, so that cuts, heals, suspicions, refutations, pauses, losses and late
//! messages are all in it. A statement counts for `VALIDITY_TICKS`; a member waits `OPPOSITE_WAIT_TICKS` before it states
//! the opposite.

mod dated;
mod seat_lease;
mod view_agreement;

/// How long a statement counts.
const VALIDITY_TICKS: u8 = 1;
/// The wait before the opposite statement, and after a start.
const OPPOSITE_WAIT_TICKS: u8 = 2;
