//! Parameters of a recorded run.

use super::messages::GatewayInput;

/// Parameters of a recorded run.
#[derive(Clone)]
pub struct Scenario {
    pub name: &'static str,
    pub seed: u64,
    /// Number of gateways of the site.
    pub gateways: u32,
    /// Numbers of the gateways that the run simulates.
    pub simulated_gateways: Vec<u32>,
    pub endpoints: usize,
    pub customers: u64,
    /// Requests per second over all simulated gateways, each rate until the given time in seconds.
    pub rates: Vec<(u64, f64)>,
    /// Whether events occur that only the module's own interface supports, not the simulator's protocol.
    pub module_only: bool,
    pub counter: bool,
    pub hedging: bool,
    pub may_cancel: bool,
    pub retry_after: bool,
    pub must_subscribe: bool,
    /// Typical time in which an endpoint responds, in microseconds.
    pub service_time: u64,
    /// Long outage of an endpoint that refuses connections: its number, start and end in seconds.
    pub outage: Option<(usize, u64, u64)>,
    /// Inputs of gateways at fixed times.
    pub schedule: Vec<(u64, u32, GatewayInput)>,
}
