//! Cluster nodes (`quota_gateway::cluster`) under virtual time: many members in one thread, on a network that delays,
//! drops and duplicates datagrams, with injected faults. A run is determined by one seed.

pub mod event_queue;
pub mod measure;
pub mod network;
pub mod virtual_cluster;
