//! The gateways' fleet part (`quota_gateway::cluster`) under virtual time: many members in one thread, a network
//! that delays, drops and doubles, and faults that one seed decides.

pub mod measure;
pub mod world;
