//! The adaptive concurrency limit of an endpoint: additive increase, multiplicative decrease, by latency.

use super::attempt_verdict::AttemptVerdict;
use crate::decision::context::ProcessRole;
use crate::decision::event::Outcome;
use crate::decision::time::Micros;

/// Attempts that all gateways together may have in flight at an endpoint of which nothing is known. Low, as a limit
/// that must first be cut costs late responses.
const INITIAL_LIMIT_OF_ALL_GATEWAYS: f64 = 6.0;
/// The limit of one gateway that shares an endpoint with few others.
pub(super) const INITIAL_LIMIT: f64 = 2.0;
/// The least limit.
const LEAST_LIMIT: f64 = 0.1;
/// What an overload leaves of the limit.
const FACTOR_AFTER_OVERLOAD: f64 = 0.7;
/// What an early response adds to the limit.
const GROWTH_BY_EARLY: f64 = 0.03;
/// A response faster than this fraction of the latency objective says that the endpoint could hold more.
const EARLY_FRACTION: f64 = 0.25;
/// The predecessor's part of the limits while two processes form the gateway. It has its last requests only, one for
/// each connection that a client kept.
const PREDECESSOR_PART: f64 = 0.25;

/// This process's part in every concurrency limit: 1 where few gateways share the endpoints, else by how many do.
/// `sharing_gateways` is the average number of gateways whose subsets hold one endpoint.
pub(super) fn part_of_limit(sharing_gateways: f64, role: ProcessRole) -> f64 {
    let process = match role {
        ProcessRole::Single => 1.0,
        ProcessRole::Predecessor => PREDECESSOR_PART,
        ProcessRole::Successor => 1.0 - PREDECESSOR_PART,
    };
    (INITIAL_LIMIT_OF_ALL_GATEWAYS / INITIAL_LIMIT / sharing_gateways.max(1e-9)).min(1.0) * process
}

/// So many gateways share the endpoints that limits start below one attempt and bound little.
pub(super) fn starts_below_one(part: f64) -> bool {
    INITIAL_LIMIT * part < 1.0
}

/// The limit after an attempt. Guards against endpoints that hold too much and work worse for it, by overload or by a
/// fault of their own: the limit gives way fast and comes back slowly. `in_flight` counts the attempt no more.
pub(super) fn adjusted(
    limit: f64,
    attempt: &AttemptVerdict,
    latency_us: f64,
    in_flight: f64,
    part: f64,
) -> f64 {
    // A response that would be late with twice the endpoint's usual time on top says that it holds too much.
    let with_usual_time = attempt.elapsed + Micros(2 * latency_us as u64);
    let was_in_use = in_flight + 1.0 >= (limit * part).floor();
    if attempt.was_rejected_or_timed_out() || attempt.is_late(with_usual_time) {
        (limit * FACTOR_AFTER_OVERLOAD).max(LEAST_LIMIT)
    } else if attempt.outcome == Outcome::Success
        && was_in_use
        && attempt.elapsed < attempt.latency_objective.times(EARLY_FRACTION)
    {
        limit + GROWTH_BY_EARLY
    } else {
        limit
    }
}
