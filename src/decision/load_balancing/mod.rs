//! Load balancing: which endpoint an attempt goes to, and what its end says of that endpoint.
//!
//! Each gateway prefers its own subset of the endpoints ([`subsetting`]). Of those that may be chosen the one
//! with the least score is ([`selection`]). What an attempt's end says is noted in [`outcome`]: the concurrency
//! limit ([`concurrency_limit`]), the latency, the failures and the ejection of outliers ([`outlier_ejection`]).
//! Endpoints that have just started receive less ([`slow_start`]).

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
