//! Updates of the endpoint state by load reports and by the results of attempts.

use super::attempt_verdict::AttemptVerdict;
use super::balancer::LoadBalancer;
use super::concurrency_limit;
use super::outlier_ejection;
use super::reported_load::ReportedLoad;
use super::smoothing::{update_average, update_or_start_average, ALL_ENDPOINTS_SAMPLE_WEIGHT, SAMPLE_WEIGHT};
use crate::decision::context::Context;
use crate::decision::endpoint::LoadReport;
use crate::decision::event::Outcome;
use crate::decision::ids::EndpointId;
use crate::decision::time::Micros;

impl LoadBalancer {
    /// Records the load report of an endpoint, which is the only information about requests from other
    /// gateways.
    pub(crate) fn record_load_report(&mut self, id: EndpointId, report: LoadReport, now: Micros) {
        let Some(in_flight) = report.in_flight else { return };
        self.average_load.record(in_flight);
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.reported_load = Some(ReportedLoad { in_flight, at: now });
        }
    }

    /// Records the end of an attempt that counted against its endpoint's limit, and returns whether the
    /// endpoint is known.
    pub(crate) fn attempt_ended(
        &mut self,
        context: &Context,
        rng: &mut fastrand::Rng,
        id: EndpointId,
        attempt: AttemptVerdict,
    ) -> bool {
        let now = context.now;
        let jitter = outlier_ejection::draw_jitter(rng);
        let scale = self.limit_scale(context);
        if !self.endpoints.contains_key(&id) {
            return false;
        }
        self.release_permit(id);
        self.adjust_limit(id, &attempt, scale);
        let sample = if attempt.failed_or_missed_objective() { 1.0 } else { 0.0 };
        update_average(&mut self.averages.failure_fraction, sample, ALL_ENDPOINTS_SAMPLE_WEIGHT);
        if attempt.outcome == Outcome::Success {
            self.record_latency(id, attempt.elapsed);
            self.record_success(id, now);
        }
        if !attempt.is_neutral_or_success() {
            self.record_failure(id, attempt.outcome, jitter, now);
        }
        true
    }

    fn adjust_limit(&mut self, id: EndpointId, attempt: &AttemptVerdict, scale: f64) {
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.concurrency_limit = concurrency_limit::adjusted_limit(
                endpoint.concurrency_limit,
                attempt,
                endpoint.latency_us,
                endpoint.in_flight,
                scale,
            );
        }
    }

    fn record_latency(&mut self, id: EndpointId, elapsed: Micros) {
        let sample = elapsed.0 as f64;
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            update_or_start_average(&mut endpoint.latency_us, sample, SAMPLE_WEIGHT);
            update_or_start_average(&mut self.averages.latency_us, sample, SAMPLE_WEIGHT);
        }
    }

    /// Records a successful response. Guards against a restart that the endpoint list does not show yet: if
    /// connections failed for a while before the endpoint responded, it is assumed to be in slow start.
    fn record_success(&mut self, id: EndpointId, now: Micros) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        outlier_ejection::record_success(endpoint);
        if outlier_ejection::take_detected_restart(endpoint, now) && !endpoint.is_in_slow_start() {
            endpoint.begin_slow_start(now, now, 0.0);
            self.slow_start.endpoints.insert(id);
        }
    }

    fn record_failure(&mut self, id: EndpointId, outcome: Outcome, jitter: f64, now: Micros) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        if outcome == Outcome::Rejected {
            return outlier_ejection::exclude_after_rejection(endpoint, now);
        }
        outlier_ejection::record_failure(endpoint, outcome, now);
        outlier_ejection::eject_outlier(endpoint, outcome, self.averages.failure_fraction, jitter, now);
    }
}
