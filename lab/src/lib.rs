//! Test lab for clusters of gateway processes: runs them between stand-ins for clients, backends, counter and discovery,
//! injects faults, and checks the gateways' behaviour as the stand-ins recorded it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod backend_model;
pub mod checker;
pub mod cli;
pub mod client;
pub mod clock;
pub mod cluster_poll;
pub mod counter;
pub mod datagrams;
pub mod discovery;
mod experiment;
pub mod fault_targets;
pub mod gateway;
pub mod http;
mod interactive;
pub mod link;
pub mod members;
pub mod plan;
pub mod record;
pub mod relay;
pub mod report;
pub mod run;
pub mod run_context;
pub mod runner;
pub mod scenario;
pub mod serve;
pub mod settings;
mod shutdown_signal;
pub mod soak;
pub mod stats;
pub mod table;
mod write_status_poll;
