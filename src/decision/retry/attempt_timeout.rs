//! When an attempt is given up.

use super::policy::max_attempts;
use crate::decision::context::Context;
use crate::decision::load_balancing::{EndpointState, SUSPECT_FAILURE_FRACTION};
use crate::decision::request::Request;
use crate::decision::settings::{DeduplicationScope, Idempotency};
use crate::decision::time::Micros;

/// The fraction of the latency objective that is left for a retry when an attempt is given up early; the attempt is
/// given at least as much.
const RETRY_FRACTION: f64 = 0.3;
/// Attempts are given up early only while fewer than this fraction of all attempts fail or are late: then the fault
/// lies with single endpoints.
const CALM_FAILURE_FRACTION: f64 = 0.15;

/// When an attempt that is sent now is given up: at the request's deadline, or while a retry could still meet the
/// latency objective where the endpoint failed recently.
///
/// Guards against endpoints that fall silent. Not at other endpoints: there the work is long, goes on all the same,
/// and its retry would come on top at every gateway.
pub(crate) fn give_up_at(
    context: &Context,
    request: &Request,
    endpoint: Option<&EndpointState>,
    average_failure_fraction: f64,
) -> Micros {
    let objective = request.class(&context.settings).latency_objective;
    let fraction = request.route.give_up_fraction.unwrap_or(1.0 - RETRY_FRACTION);
    let early = request.arrived_at + objective.times(fraction);
    let leaves_enough = early > context.now + objective.times(RETRY_FRACTION);
    let is_suspect = endpoint.is_some_and(is_suspect);
    let is_calm = average_failure_fraction < CALM_FAILURE_FRACTION;
    let deadline = request.arrival.deadline;
    if can_be_retried(context, request) && is_calm && is_suspect && leaves_enough {
        early.min(deadline)
    } else {
        deadline
    }
}

/// The endpoint failed recently, or is tried after an ejection.
fn is_suspect(endpoint: &EndpointState) -> bool {
    endpoint.on_trial || endpoint.failure_fraction > SUSPECT_FAILURE_FRACTION
}

/// The request may be sent again, at any endpoint, after the attempt that is sent now.
fn can_be_retried(context: &Context, request: &Request) -> bool {
    let class = request.class(&context.settings);
    let anywhere = match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::WithKey => class.deduplication_scope == DeduplicationScope::All,
        Idempotency::NotIdempotent => false,
    };
    anywhere
        && !class.streaming
        && !request.arrival.streaming_body
        && request.attempts.len() + 1 < max_attempts(context, request)
}
