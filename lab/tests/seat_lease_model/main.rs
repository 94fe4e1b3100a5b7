//! Exhaustive model checks of the seat lease and of the agreement on views.
//!
//! All members share one clock, which advances in ticks. The checker chooses the membership state that each
//! member observes, which replies arrive and when, and which members crash or restart without their state.
//! The models thereby cover partitions, heals, suspicions, refutations, pauses, loss and late messages. A
//! statement is valid for `VALIDITY_TICKS`; a member waits `OPPOSITE_WAIT_TICKS` before it states the
//! opposite.

mod dated;
mod seat_lease;
mod view_agreement;

/// Validity of a statement, in ticks.
const VALIDITY_TICKS: u8 = 1;
/// Wait before the opposite statement and after a start, in ticks.
const OPPOSITE_WAIT_TICKS: u8 = 2;
