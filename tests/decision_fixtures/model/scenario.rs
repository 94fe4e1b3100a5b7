//! What a recorded run is made of.

use super::terms::Stimulus;

/// What a run is made of.
#[derive(Clone)]
pub struct Scenario {
    pub name: &'static str,
    pub seed: u64,
    /// Number of gateways of the site, and those that are played.
    pub gateways: u32,
    pub played: Vec<u32>,
    pub endpoints: usize,
    pub customers: u64,
    /// Requests a second over all played gateways, each until the given time in seconds.
    pub rates: Vec<(u64, f64)>,
    /// Events that only the module's own interface carries are played too.
    pub module_only: bool,
    pub counter: bool,
    pub second_copies: bool,
    pub may_cancel: bool,
    pub retry_after: bool,
    pub must_subscribe: bool,
    /// Usual time of an answer.
    pub work: u64,
    /// An endpoint that refuses connections for long: its number, and from when to when in seconds.
    pub outage: Option<(usize, u64, u64)>,
    /// Events at fixed times.
    pub schedule: Vec<(u64, u32, Stimulus)>,
}
