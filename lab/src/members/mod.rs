//! Cluster nodes (`quota_gateway::cluster`) under virtual time: many members in one thread, a network that delays, drops
//! and duplicates, and faults; one seed decides everything.

pub mod event_queue;
pub mod measure;
pub mod network;
pub mod virtual_cluster;
