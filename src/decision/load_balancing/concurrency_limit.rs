//! The adaptive concurrency limit of an endpoint: additive increase, multiplicative decrease, by latency.

use super::attempt_verdict::AttemptVerdict;
use crate::decision::context::ProcessRole;
use crate::decision::event::Outcome;
use crate::decision::time::Micros;

/// Attempts that all gateways together may initially have in flight at an endpoint. Low, as a limit that must
/// first be decreased costs late responses.
const INITIAL_LIMIT_OF_ALL_GATEWAYS: f64 = 6.0;
/// Initial limit of one gateway that shares an endpoint with few others.
pub(super) const INITIAL_LIMIT: f64 = 2.0;
/// Lower bound of the limit.
const MIN_LIMIT: f64 = 0.1;
/// Factor applied to the limit after a sign of overload.
const FACTOR_AFTER_OVERLOAD: f64 = 0.7;
/// Increment of the limit after a fast response.
const INCREMENT_AFTER_FAST_RESPONSE: f64 = 0.03;
/// A response faster than this fraction of the latency objective indicates that the endpoint has spare
/// capacity.
const FAST_FRACTION: f64 = 0.25;
/// The predecessor's share of the limits while two processes form the gateway. The predecessor has only its
/// last requests, one for each connection that a client kept.
const PREDECESSOR_SHARE: f64 = 0.25;

/// Returns the factor that scales every concurrency limit to this process's share: 1 where few gateways share
/// the endpoints, otherwise lower the more gateways do. `sharing_gateways` is the average number of gateways
/// whose subsets contain one endpoint.
pub(super) fn limit_scale(sharing_gateways: f64, role: ProcessRole) -> f64 {
    let process_share = match role {
        ProcessRole::Single => 1.0,
        ProcessRole::Predecessor => PREDECESSOR_SHARE,
        ProcessRole::Successor => 1.0 - PREDECESSOR_SHARE,
    };
    (INITIAL_LIMIT_OF_ALL_GATEWAYS / INITIAL_LIMIT / sharing_gateways.max(1e-9)).min(1.0) * process_share
}

/// Returns whether so many gateways share the endpoints that limits start below one attempt and bound little.
pub(super) fn initial_limit_below_one(scale: f64) -> bool {
    INITIAL_LIMIT * scale < 1.0
}

/// Returns the limit after an attempt. Guards against endpoints that perform worse because they have too many
/// requests, by overload or by a fault: the limit decreases fast and recovers slowly. `in_flight` no longer
/// includes the attempt.
pub(super) fn adjusted_limit(
    limit: f64,
    attempt: &AttemptVerdict,
    latency_us: f64,
    in_flight: f64,
    scale: f64,
) -> f64 {
    // A response that would be late with twice the endpoint's average latency added indicates too many
    // requests.
    let with_usual_latency = attempt.elapsed + Micros(2 * latency_us as u64);
    let was_in_use = in_flight + 1.0 >= (limit * scale).floor();
    if attempt.was_rejected_or_timed_out() || attempt.is_late(with_usual_latency) {
        (limit * FACTOR_AFTER_OVERLOAD).max(MIN_LIMIT)
    } else if attempt.outcome == Outcome::Success
        && was_in_use
        && attempt.elapsed < attempt.latency_objective.times(FAST_FRACTION)
    {
        limit + INCREMENT_AFTER_FAST_RESPONSE
    } else {
        limit
    }
}
