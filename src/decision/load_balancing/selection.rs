//! Selection of an endpoint: candidates, score, choice.

use super::balancer::LoadBalancer;
use super::concurrency_limit;
use super::endpoint_state::EndpointState;
use crate::decision::context::Context;
use crate::decision::hash::fraction_of;
use crate::decision::ids::EndpointId;
use crate::decision::request::Request;
use crate::decision::routing;

/// Attempts that a gateway may have in flight in all, whatever the concurrency limits: fewer than that would queue
/// requests that come by chance at the same moment.
const LEAST_IN_FLIGHT: f64 = 1.0;
/// The same for a gateway whose limits start below one attempt.
const LEAST_IN_FLIGHT_SPARSE: f64 = 2.0;
/// Bounds on an endpoint's latency relative to the average, as a factor of its score.
const LEAST_LATENCY_FACTOR: f64 = 0.7;
const GREATEST_LATENCY_FACTOR: f64 = 2.0;
/// How much a score grows with the fraction of failures.
const FAILURE_FACTOR: f64 = 3.0;
/// What each attempt of the request at the same endpoint adds to its score, in requests in flight.
const REPEATED_ATTEMPT_PENALTY: f64 = 4.0;
/// What another zone adds to a score, as a fraction of it.
const OTHER_ZONE_PENALTY: f64 = 0.05;
/// Random spread of scores, as a fraction of them.
const RANDOM_SPREAD: f64 = 0.1;
/// The score of an endpoint on trial is multiplied by this for first attempts: it is tried first, or one that failed
/// would never be tried again.
const TRIAL_FACTOR: f64 = 0.3;

/// What all scores of one selection depend on.
struct SelectionTerms<'a> {
    request: &'a Request,
    /// Attempts that the settings and the request's class allow at an endpoint.
    is_allowed: &'a dyn Fn(&EndpointState) -> bool,
    /// This process's part in every concurrency limit.
    part_of_limits: f64,
    is_sparse: bool,
    /// Some endpoint in service is neither ejected nor on trial with an attempt in flight.
    any_eligible: bool,
    /// Makes scores of this selection differ from others'.
    salt: u64,
}

/// An endpoint with its score; the least one is chosen.
#[derive(Clone, Copy)]
struct Scored {
    id: EndpointId,
    score: f64,
}

impl LoadBalancer {
    /// The allowed endpoint with the least expected wait; one beyond the own subset only if the subset has none.
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
        let part_of_limits = self.part_of_limits(context);
        let is_sparse = concurrency_limit::starts_below_one(part_of_limits);
        let limit = self.limit_of_subset(context, size, part_of_limits);
        if limit > 0.0 && self.in_flight >= limit.max(least_in_flight(is_sparse)) {
            return None;
        }
        let any_eligible = limit > 0.0 || self.any_eligible(context);
        let terms = SelectionTerms { request, is_allowed, part_of_limits, is_sparse, any_eligible, salt };
        let candidate = |id: EndpointId| self.scored_candidate(context, &terms, id);
        let in_subset = self.own_subset_first(context).take(size).filter_map(candidate).reduce(lesser);
        let choice = in_subset.or_else(|| self.own_subset_first(context).skip(size).find_map(candidate));
        choice.map(|scored| scored.id)
    }

    /// The endpoint with its score, if the attempt may go there now.
    fn scored_candidate(&self, context: &Context, terms: &SelectionTerms, id: EndpointId) -> Option<Scored> {
        let endpoint = &self.endpoints[&id];
        let is_candidate = self.is_candidate(context, terms, endpoint);
        is_candidate.then(|| Scored { id, score: self.score(context, terms, id, endpoint) })
    }

    /// The concurrency limits of the own subset together. Limits may be below one where many gateways share the
    /// endpoints: then what is in flight in all stays within their sum.
    fn limit_of_subset(&self, context: &Context, size: usize, part: f64) -> f64 {
        let subset = self.own_subset_first(context).take(size).map(|id| &self.endpoints[&id]);
        let eligible = subset.filter(|endpoint| endpoint.is_eligible(context.now));
        eligible.map(|endpoint| endpoint.concurrency_limit * part).sum()
    }

    fn any_eligible(&self, context: &Context) -> bool {
        let mut endpoints = self.endpoints.values();
        endpoints.any(|endpoint| endpoint.is_in_service() && endpoint.is_eligible(context.now))
    }

    /// Whether the attempt may go to this endpoint now.
    fn is_candidate(&self, context: &Context, terms: &SelectionTerms, endpoint: &EndpointState) -> bool {
        // With no endpoint eligible, one attempt at a time to whatever is in service.
        let limit = if terms.any_eligible {
            (endpoint.concurrency_limit * terms.part_of_limits).floor().max(1.0)
        } else {
            1.0
        };
        endpoint.in_flight < limit
            && (!terms.any_eligible || endpoint.is_eligible(context.now))
            && (terms.is_allowed)(endpoint)
            && !routing::is_spared(&terms.request.route, endpoint, terms.salt)
    }

    /// The expected wait at an endpoint, in requests before this one, with preferences as factors.
    fn score(
        &self,
        context: &Context,
        terms: &SelectionTerms,
        id: EndpointId,
        endpoint: &EndpointState,
    ) -> f64 {
        // The smaller this gateway's part of an endpoint's load, the more its load report counts, and the wider
        // the choice is spread: guards against all gateways at once choosing the endpoint that looked best.
        let part_of_others = 1.0 - terms.part_of_limits;
        let expected_load = self.average_load.expected_at(endpoint.reported_load, context.now);
        let attempts = &terms.request.attempts;
        let attempts_here = attempts.iter().filter(|attempt| attempt.endpoint == id).count() as f64;
        let is_far = endpoint.zone != context.settings.zone;
        let zone_penalty = if is_far { OTHER_ZONE_PENALTY * terms.part_of_limits } else { 0.0 };

        let wait =
            (endpoint.in_flight + 1.0 + part_of_others * expected_load) * self.latency_factor(endpoint);
        let mut score = wait / endpoint.weight * (1.0 + FAILURE_FACTOR * endpoint.failure_fraction)
            + REPEATED_ATTEMPT_PENALTY * attempts_here;
        score *= 1.0 + (RANDOM_SPREAD + part_of_others) * fraction_of(terms.salt ^ id.0) + zone_penalty;
        if endpoint.is_in_slow_start() && terms.is_sparse {
            score *= 0.0; // The lottery has drawn it already.
        }
        if endpoint.on_trial && attempts.is_empty() {
            score *= TRIAL_FACTOR;
        }
        score / routing::weight_of(&terms.request.route, endpoint)
    }

    /// An endpoint's latency relative to the average.
    fn latency_factor(&self, endpoint: &EndpointState) -> f64 {
        let average = self.averages.latency_us;
        if average > 0.0 {
            (endpoint.latency_us / average).clamp(LEAST_LATENCY_FACTOR, GREATEST_LATENCY_FACTOR)
        } else {
            1.0
        }
    }
}

fn least_in_flight(is_sparse: bool) -> f64 {
    if is_sparse {
        LEAST_IN_FLIGHT_SPARSE
    } else {
        LEAST_IN_FLIGHT
    }
}

/// Of two with the same score the first.
fn lesser(first: Scored, second: Scored) -> Scored {
    if second.score < first.score {
        second
    } else {
        first
    }
}
