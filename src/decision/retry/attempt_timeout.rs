//! Time-out of an attempt.

use super::policy::max_attempts;
use crate::decision::context::Context;
use crate::decision::load_balancing::{EndpointState, SUSPECT_FAILURE_FRACTION};
use crate::decision::request::Request;
use crate::decision::settings::{DeduplicationScope, Idempotency};
use crate::decision::time::Micros;

/// Fraction of the latency objective that remains for a retry when an attempt is given up early. The attempt itself
/// gets at least as much time.
const RETRY_FRACTION: f64 = 0.3;
/// Attempts are given up early only while less than this fraction of all attempts fail or are late, because only
/// then the fault lies with single endpoints.
const LOW_FAILURE_FRACTION: f64 = 0.15;

/// Time at which an attempt that is sent now is given up: the request's deadline, or, at an endpoint that failed
/// recently, early enough that a retry can still meet the latency objective.
///
/// Guards against endpoints that stop responding. At other endpoints a slow response means long work, which goes on
/// after the attempt is given up, so that a retry would only add load, at every gateway.
pub(crate) fn give_up_at(
    context: &Context,
    request: &Request,
    endpoint: Option<&EndpointState>,
    average_failure_fraction: f64,
) -> Micros {
    let objective = request.class(&context.settings).latency_objective;
    let fraction = request.route.give_up_fraction.unwrap_or(1.0 - RETRY_FRACTION);
    let early_timeout = request.arrived_at + objective.times(fraction);
    let leaves_time_for_retry = early_timeout > context.now + objective.times(RETRY_FRACTION);
    let is_suspect = endpoint.is_some_and(is_suspect);
    let few_attempts_fail = average_failure_fraction < LOW_FAILURE_FRACTION;
    let deadline = request.arrival.deadline;
    if can_be_retried(context, request) && few_attempts_fail && is_suspect && leaves_time_for_retry {
        early_timeout.min(deadline)
    } else {
        deadline
    }
}

/// Whether the endpoint failed recently or is on trial after an ejection.
fn is_suspect(endpoint: &EndpointState) -> bool {
    endpoint.on_trial || endpoint.failure_fraction > SUSPECT_FAILURE_FRACTION
}

/// Whether the request may be sent again, to any endpoint, after the attempt that is sent now.
fn can_be_retried(context: &Context, request: &Request) -> bool {
    let class = request.class(&context.settings);
    let may_repeat_anywhere = match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::WithKey => class.deduplication_scope == DeduplicationScope::All,
        Idempotency::NotIdempotent => false,
    };
    may_repeat_anywhere
        && !class.streaming
        && !request.arrival.streaming_body
        && request.attempts.len() + 1 < max_attempts(context, request)
}
