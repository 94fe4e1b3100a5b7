//! Selection of an endpoint by candidates and scores.

use super::balancer::LoadBalancer;
use super::concurrency_limit;
use super::endpoint_state::EndpointState;
use crate::decision::context::Context;
use crate::decision::hash::hash_to_fraction;
use crate::decision::ids::EndpointId;
use crate::decision::request::Request;
use crate::decision::routing;

/// Lower bound of the gateway's total limit on attempts in flight. A lower total limit would queue requests
/// that happen to arrive at the same moment.
const MIN_TOTAL_LIMIT: f64 = 1.0;
/// The same bound for a gateway whose limits start below one attempt.
const MIN_TOTAL_LIMIT_STARTING_BELOW_ONE: f64 = 2.0;
/// Bounds on an endpoint's latency relative to the average, as a factor of its score.
const MIN_LATENCY_FACTOR: f64 = 0.7;
const MAX_LATENCY_FACTOR: f64 = 2.0;
/// Factor by which the fraction of failures raises a score.
const FAILURE_FACTOR: f64 = 3.0;
/// Increment of a score for each attempt of the request at the same endpoint, in requests in flight.
const REPEATED_ATTEMPT_PENALTY: f64 = 4.0;
/// Increase of the score of an endpoint in another zone, as a fraction of the score.
const OTHER_ZONE_PENALTY: f64 = 0.05;
/// Random spread of scores, as a fraction of the score.
const RANDOM_SPREAD: f64 = 0.1;
/// Factor of the score of an endpoint on trial for first attempts. It makes the endpoint the preferred one,
/// because otherwise an endpoint that failed would never be tried again.
const TRIAL_FACTOR: f64 = 0.3;

/// Inputs that all scores of one selection share.
struct SelectionInputs<'a> {
    request: &'a Request,
    /// Whether the settings and the request's class allow an attempt at an endpoint.
    is_allowed: &'a dyn Fn(&EndpointState) -> bool,
    /// Factor that scales every concurrency limit to this process's share.
    limit_scale: f64,
    limits_start_below_one: bool,
    /// Whether some endpoint in service is neither ejected nor on trial with an attempt in flight.
    any_eligible: bool,
    /// Random number that makes the scores of each selection differ.
    salt: u64,
}

/// An endpoint with its score; the lowest score is chosen.
#[derive(Clone, Copy)]
struct Scored {
    id: EndpointId,
    score: f64,
}

impl LoadBalancer {
    /// Returns the allowed endpoint with the lowest score. Endpoints outside the subset are considered only
    /// if the subset has no candidate.
    pub(crate) fn select(
        &mut self,
        context: &Context,
        rng: &mut fastrand::Rng,
        request: &Request,
        is_allowed: &dyn Fn(&EndpointState) -> bool,
    ) -> Option<EndpointId> {
        self.update_slow_starts(context, rng, request.is_new());
        let salt = rng.u64(..);
        let size = self.subset_size(context.now);
        let limit_scale = self.limit_scale(context);
        let limits_start_below_one = concurrency_limit::initial_limit_below_one(limit_scale);
        let limit = self.subset_limit(context, size, limit_scale);
        if limit > 0.0 && self.in_flight >= limit.max(min_total_limit(limits_start_below_one)) {
            return None;
        }
        let any_eligible = limit > 0.0 || self.any_eligible(context);
        let inputs =
            SelectionInputs { request, is_allowed, limit_scale, limits_start_below_one, any_eligible, salt };
        let candidate = |id: EndpointId| self.scored_candidate(context, &inputs, id);
        let in_subset = self.own_subset_first(context).take(size).filter_map(candidate).reduce(lower_score);
        let choice = in_subset.or_else(|| self.own_subset_first(context).skip(size).find_map(candidate));
        choice.map(|scored| scored.id)
    }

    /// Returns the endpoint with its score, if it is a candidate for the attempt.
    fn scored_candidate(
        &self,
        context: &Context,
        inputs: &SelectionInputs,
        id: EndpointId,
    ) -> Option<Scored> {
        let endpoint = &self.endpoints[&id];
        let is_candidate = self.is_candidate(context, inputs, endpoint);
        is_candidate.then(|| Scored { id, score: self.score(context, inputs, id, endpoint) })
    }

    /// Returns the sum of the concurrency limits in the subset. Limits may be below one where many gateways
    /// share the endpoints; then the total in flight stays within their sum.
    fn subset_limit(&self, context: &Context, size: usize, scale: f64) -> f64 {
        let subset = self.own_subset_first(context).take(size).map(|id| &self.endpoints[&id]);
        let eligible = subset.filter(|endpoint| endpoint.is_eligible(context.now));
        eligible.map(|endpoint| endpoint.concurrency_limit * scale).sum()
    }

    fn any_eligible(&self, context: &Context) -> bool {
        let mut endpoints = self.endpoints.values();
        endpoints.any(|endpoint| endpoint.is_in_service() && endpoint.is_eligible(context.now))
    }

    /// Returns whether the attempt may go to this endpoint now.
    fn is_candidate(&self, context: &Context, inputs: &SelectionInputs, endpoint: &EndpointState) -> bool {
        // If no endpoint is eligible, any endpoint in service gets one attempt at a time.
        let limit = if inputs.any_eligible {
            (endpoint.concurrency_limit * inputs.limit_scale).floor().max(1.0)
        } else {
            1.0
        };
        endpoint.in_flight < limit
            && (!inputs.any_eligible || endpoint.is_eligible(context.now))
            && (inputs.is_allowed)(endpoint)
            && !routing::is_skipped_in_slow_start(&inputs.request.route, endpoint, inputs.salt)
    }

    /// Returns the expected wait at an endpoint, in requests ahead of this one, with preferences as factors.
    fn score(
        &self,
        context: &Context,
        inputs: &SelectionInputs,
        id: EndpointId,
        endpoint: &EndpointState,
    ) -> f64 {
        // The smaller this gateway's share of an endpoint's load, the more the load report counts and the
        // wider the random spread. Guards against all gateways at once choosing the endpoint that looked
        // best.
        let others_share = 1.0 - inputs.limit_scale;
        let expected_load = self.average_load.expected_at(endpoint.reported_load, context.now);
        let attempts = &inputs.request.attempts;
        let attempts_here = attempts.iter().filter(|attempt| attempt.endpoint == id).count() as f64;
        let is_other_zone = endpoint.zone != context.settings.zone;
        let zone_penalty = if is_other_zone { OTHER_ZONE_PENALTY * inputs.limit_scale } else { 0.0 };

        let wait = (endpoint.in_flight + 1.0 + others_share * expected_load) * self.latency_factor(endpoint);
        let mut score = wait / endpoint.weight * (1.0 + FAILURE_FACTOR * endpoint.failure_fraction)
            + REPEATED_ATTEMPT_PENALTY * attempts_here;
        score *= 1.0 + (RANDOM_SPREAD + others_share) * hash_to_fraction(inputs.salt ^ id.0) + zone_penalty;
        if endpoint.is_in_slow_start() && inputs.limits_start_below_one {
            score *= 0.0; // The random draw has already chosen this endpoint.
        }
        if endpoint.on_trial && attempts.is_empty() {
            score *= TRIAL_FACTOR;
        }
        score / routing::endpoint_weight(&inputs.request.route, endpoint)
    }

    /// Returns an endpoint's latency relative to the average.
    fn latency_factor(&self, endpoint: &EndpointState) -> f64 {
        let average = self.averages.latency_us;
        if average > 0.0 {
            (endpoint.latency_us / average).clamp(MIN_LATENCY_FACTOR, MAX_LATENCY_FACTOR)
        } else {
            1.0
        }
    }
}

fn min_total_limit(limits_start_below_one: bool) -> f64 {
    if limits_start_below_one {
        MIN_TOTAL_LIMIT_STARTING_BELOW_ONE
    } else {
        MIN_TOTAL_LIMIT
    }
}

/// Returns the endpoint with the lower score, or the first if the scores are equal.
fn lower_score(first: Scored, second: Scored) -> Scored {
    if second.score < first.score {
        second
    } else {
        first
    }
}
