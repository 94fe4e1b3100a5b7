//! Outlier ejection: endpoints that fail more than the others get no attempts for a while, as in Envoy's outlier
//! detection.

use super::endpoint_state::EndpointState;
use super::smoothing::SAMPLE_WEIGHT;
use crate::decision::event::Outcome;
use crate::decision::time::Micros;

/// Smoothed fraction of failures above which an endpoint is an outlier; four failures in a row pass it.
const OUTLIER_FAILURE_FRACTION: f64 = 0.3;
/// An endpoint is an outlier only if it fails this many times as often as all do: overload would eject the endpoints
/// one by one.
const OUTLIER_MULTIPLE: f64 = 2.0;
/// The time of the first ejection, 1 s.
const FIRST_EJECTION: Micros = Micros(1_000_000);
/// How often that time is doubled at the most.
pub(crate) const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// The least factor that the time of an ejection is multiplied by at random.
const LEAST_JITTER: f64 = 0.75;
/// How much greater than the least that factor may be.
const JITTER_RANGE: f64 = 0.5;
/// An endpoint that rejected a request gets none for this time.
const PAUSE_AFTER_REJECTION: Micros = Micros(100_000);
/// An endpoint that was unreachable for longer than this and responds has restarted.
const RESTART_AFTER_UNREACHABLE: Micros = FIRST_EJECTION;
/// Smoothed fraction of failures above which an endpoint is suspect: one failure in the last six or so.
pub(crate) const SUSPECT_FAILURE_FRACTION: f64 = SAMPLE_WEIGHT / 2.0;

/// Draws what the time of an ejection is multiplied by, so that gateways do not all come back at once.
pub(super) fn draw_jitter(rng: &mut fastrand::Rng) -> f64 {
    LEAST_JITTER + JITTER_RANGE * rng.f64()
}

/// Notes a success: the endpoint's failures fade, and a trial is passed.
pub(super) fn note_success(endpoint: &mut EndpointState) {
    endpoint.failure_fraction *= 1.0 - SAMPLE_WEIGHT;
    if endpoint.on_trial {
        endpoint.on_trial = false;
        endpoint.failure_fraction = 0.0;
    } else {
        endpoint.ejection_doublings = 0;
    }
}

/// Notes a failure.
pub(super) fn note_failure(endpoint: &mut EndpointState, outcome: Outcome, now: Micros) {
    endpoint.failure_fraction += SAMPLE_WEIGHT * (1.0 - endpoint.failure_fraction);
    if outcome == Outcome::ConnectFailed {
        endpoint.unreachable_since.get_or_insert(now);
    }
}

/// Whether the endpoint, which responds now, was unreachable for so long that it has restarted.
pub(super) fn take_restart(endpoint: &mut EndpointState, now: Micros) -> bool {
    endpoint.unreachable_since.take().is_some_and(|since| now - since > RESTART_AFTER_UNREACHABLE)
}

/// Excludes an endpoint that rejected a request for a moment. That is no ejection, but ends by the same time.
pub(super) fn pause(endpoint: &mut EndpointState, now: Micros) {
    endpoint.excluded_until = endpoint.excluded_until.max(now + PAUSE_AFTER_REJECTION);
}

/// Ejects an endpoint that failed and is an outlier or on trial. Guards against endpoints that fail fast, are silent
/// or unreachable.
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
