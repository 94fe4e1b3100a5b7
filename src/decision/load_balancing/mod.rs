//! Load balancing: which endpoint an attempt goes to, and how its result changes the endpoint's state.
//!
//! Each gateway prefers a subset of the endpoints ([`subsetting`]). Among the candidates, [`selection`]
//! chooses the one with the lowest score. [`outcome`] records the result of an attempt: the concurrency limit
//! ([`concurrency_limit`]), the latency, the failures and the ejection of outliers ([`outlier_ejection`]).
//! Endpoints that have just started are sent less ([`slow_start`]).

mod attempt_verdict;
mod balancer;
mod concurrency_limit;
mod endpoint_state;
mod forward_rate;
mod outcome;
mod outlier_ejection;
mod reported_load;
mod selection;
mod slow_start;
mod slow_start_endpoints;
mod smoothing;
mod subsetting;

pub(crate) use attempt_verdict::AttemptVerdict;
pub(crate) use balancer::{EndpointAverages, LoadBalancer};
pub(crate) use endpoint_state::EndpointState;
pub(crate) use outlier_ejection::{MAX_EJECTION_DOUBLINGS, SUSPECT_FAILURE_FRACTION};
