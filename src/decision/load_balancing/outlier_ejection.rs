//! Outlier ejection: endpoints that fail more than the others get no attempts for a while, as in Envoy's
//! outlier detection.

use super::endpoint_state::EndpointState;
use super::smoothing::SAMPLE_WEIGHT;
use crate::decision::event::Outcome;
use crate::decision::time::Micros;

/// Smoothed fraction of failures above which an endpoint is an outlier; four failures in a row exceed it.
const OUTLIER_FAILURE_FRACTION: f64 = 0.3;
/// An endpoint is an outlier only if it fails this many times as often as the average of all. Otherwise
/// overload would eject the endpoints one by one.
const OUTLIER_MULTIPLE: f64 = 2.0;
/// Time of the first ejection: 1 s.
const FIRST_EJECTION: Micros = Micros(1_000_000);
/// Maximum number of doublings of the first ejection time.
pub(crate) const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Lower bound of the random factor of the ejection time.
const MIN_JITTER: f64 = 0.75;
/// Width of the range of the random factor.
const JITTER_RANGE: f64 = 0.5;
/// An endpoint that rejected a request gets no attempts for this time.
const EXCLUSION_AFTER_REJECTION: Micros = Micros(100_000);
/// An endpoint that responds after it was unreachable for longer than this has restarted.
const RESTART_AFTER_UNREACHABLE: Micros = FIRST_EJECTION;
/// Smoothed fraction of failures above which an endpoint is suspect: about one failure in the last six
/// attempts.
pub(crate) const SUSPECT_FAILURE_FRACTION: f64 = SAMPLE_WEIGHT / 2.0;

/// Draws the random factor of an ejection time, so that gateways do not all return to an endpoint at once.
pub(super) fn draw_jitter(rng: &mut fastrand::Rng) -> f64 {
    MIN_JITTER + JITTER_RANGE * rng.f64()
}

/// Records a success, which lowers the failure fraction and ends a trial.
pub(super) fn record_success(endpoint: &mut EndpointState) {
    endpoint.failure_fraction *= 1.0 - SAMPLE_WEIGHT;
    if endpoint.on_trial {
        endpoint.on_trial = false;
        endpoint.failure_fraction = 0.0;
    } else {
        endpoint.ejection_doublings = 0;
    }
}

/// Records a failure.
pub(super) fn record_failure(endpoint: &mut EndpointState, outcome: Outcome, now: Micros) {
    endpoint.failure_fraction += SAMPLE_WEIGHT * (1.0 - endpoint.failure_fraction);
    if outcome == Outcome::ConnectFailed {
        endpoint.unreachable_since.get_or_insert(now);
    }
}

/// Returns whether the endpoint, which responds now, was unreachable for so long that it has restarted, and
/// clears that time.
pub(super) fn take_detected_restart(endpoint: &mut EndpointState, now: Micros) -> bool {
    endpoint.unreachable_since.take().is_some_and(|since| now - since > RESTART_AFTER_UNREACHABLE)
}

/// Excludes an endpoint briefly after it rejected a request. This is not an ejection, but uses the same end
/// time.
pub(super) fn exclude_after_rejection(endpoint: &mut EndpointState, now: Micros) {
    endpoint.excluded_until = endpoint.excluded_until.max(now + EXCLUSION_AFTER_REJECTION);
}

/// Ejects an endpoint that failed and is an outlier or on trial. Guards against endpoints that fail fast, do
/// not respond or are unreachable.
pub(super) fn eject_outlier(
    endpoint: &mut EndpointState,
    outcome: Outcome,
    average_failure_fraction: f64,
    jitter: f64,
    now: Micros,
) {
    let threshold = OUTLIER_FAILURE_FRACTION.max(OUTLIER_MULTIPLE * average_failure_fraction);
    let is_outlier = outcome == Outcome::ConnectFailed || endpoint.failure_fraction > threshold;
    if endpoint.is_ejected(now) || !(is_outlier || endpoint.on_trial) {
        return;
    }
    let doublings = f64::from(1 << endpoint.ejection_doublings);
    endpoint.excluded_until = now + FIRST_EJECTION.times(doublings * jitter);
    endpoint.ejection_doublings = (endpoint.ejection_doublings + 1).min(MAX_EJECTION_DOUBLINGS);
    endpoint.on_trial = true;
}
