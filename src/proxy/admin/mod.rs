//! The admin server for operators: readiness, metrics, maintenance of endpoints, draining, the cluster's report and
//! rollouts of routing rules.
//!
//! [`server`] accepts connections and limits their number and duration, [`call`] parses and answers the calls,
//! [`rollout_calls`] answers those for rollouts, [`metrics`] holds the counters and [`stats`] writes them as text.

pub mod call;
pub mod known_names;
pub mod metrics;
pub mod reply;
pub mod rollout_calls;
pub mod server;
pub mod stats;
