//! What the end of an attempt says of its endpoint, and of all of them.

use super::attempt_verdict::AttemptVerdict;
use super::balancer::LoadBalancer;
use super::concurrency_limit;
use super::outlier_ejection;
use super::reported_load::ReportedLoad;
use super::smoothing::{move_or_start, move_towards, ALL_ENDPOINTS_SAMPLE_WEIGHT, SAMPLE_WEIGHT};
use crate::decision::context::Context;
use crate::decision::endpoint::LoadReport;
use crate::decision::event::Outcome;
use crate::decision::ids::EndpointId;
use crate::decision::time::Micros;

impl LoadBalancer {
    /// An endpoint reported its load: the only sign of what other gateways send it.
    pub(crate) fn load_reported(&mut self, id: EndpointId, report: LoadReport, now: Micros) {
        let Some(in_flight) = report.in_flight else { return };
        self.average_load.reported(in_flight);
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.reported_load = Some(ReportedLoad { in_flight, at: now });
        }
    }

    /// An attempt that counted against its endpoint's limit ended; returns whether the endpoint is known.
    pub(crate) fn attempt_ended(
        &mut self,
        context: &Context,
        rng: &mut fastrand::Rng,
        id: EndpointId,
        attempt: AttemptVerdict,
    ) -> bool {
        let now = context.now;
        let jitter = outlier_ejection::draw_jitter(rng);
        let part = self.part_of_limits(context);
        if !self.endpoints.contains_key(&id) {
            return false;
        }
        self.release_slot(id);
        self.adjust_limit(id, &attempt, part);
        let bad = if attempt.is_bad() { 1.0 } else { 0.0 };
        move_towards(&mut self.averages.failure_fraction, bad, ALL_ENDPOINTS_SAMPLE_WEIGHT);
        if attempt.outcome == Outcome::Success {
            self.note_latency(id, attempt.elapsed);
            self.note_success(id, now);
        }
        if !attempt.is_neutral_or_success() {
            self.note_failure(id, attempt.outcome, jitter, now);
        }
        true
    }

    fn adjust_limit(&mut self, id: EndpointId, attempt: &AttemptVerdict, part: f64) {
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.concurrency_limit = concurrency_limit::adjusted(
                endpoint.concurrency_limit,
                attempt,
                endpoint.latency_us,
                endpoint.in_flight,
                part,
            );
        }
    }

    fn note_latency(&mut self, id: EndpointId, elapsed: Micros) {
        let sample = elapsed.0 as f64;
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            move_or_start(&mut endpoint.latency_us, sample, SAMPLE_WEIGHT);
            move_or_start(&mut self.averages.latency_us, sample, SAMPLE_WEIGHT);
        }
    }

    /// Guards against a restart that the endpoint list does not show yet: connects failed for a while and now the
    /// endpoint responds, so it is taken to be in slow start.
    fn note_success(&mut self, id: EndpointId, now: Micros) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        outlier_ejection::note_success(endpoint);
        if outlier_ejection::take_restart(endpoint, now) && !endpoint.is_in_slow_start() {
            endpoint.begin_slow_start(now, now, 0.0);
            self.slow_start.endpoints.insert(id);
        }
    }

    fn note_failure(&mut self, id: EndpointId, outcome: Outcome, jitter: f64, now: Micros) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        if outcome == Outcome::Rejected {
            return outlier_ejection::pause(endpoint, now);
        }
        outlier_ejection::note_failure(endpoint, outcome, now);
        outlier_ejection::eject_outlier(endpoint, outcome, self.averages.failure_fraction, jitter, now);
    }
}
