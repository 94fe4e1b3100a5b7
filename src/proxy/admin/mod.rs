//! The operators' address: readiness, metrics, maintenance of endpoints, draining, the cluster's report and rollouts of
//! routing rules.
//!
//! [`server`] accepts and bounds the connections, [`call`] reads what is called for and answers it, [`rollout_calls`]
//! answers calls for rollouts, [`metrics`] holds the counters and [`stats`] writes them as text.

pub mod call;
pub mod known_names;
pub mod metrics;
pub mod reply;
pub mod rollout_calls;
pub mod server;
pub mod stats;
