//! The gateways' fleet part (`starlinghill::cluster`) under virtual time: many members in one thread, a network
//! that delays, drops and doubles, and faults that one seed decides.

pub mod measure;
pub mod world;
