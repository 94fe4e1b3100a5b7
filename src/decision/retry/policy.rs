//! Whether a request may be sent, sent again, or rejected. These rules check every attempt, and every rejection
//! except that of an unknown class or plan.

use crate::decision::context::{Context, ProcessRole};
use crate::decision::ids::{CellId, EndpointId, ZoneId};
use crate::decision::load_balancing::EndpointState;
use crate::decision::request::{Attempt, Request};
use crate::decision::settings::{Class, DeduplicationScope, Idempotency};
use crate::decision::time::Micros;
use std::collections::BTreeMap;

/// Maximum number of attempts of a request. A routing rule may lower the settings' bound.
pub(super) fn max_attempts(context: &Context, request: &Request) -> usize {
    let bound = context.settings.max_attempts;
    request.route.max_attempts.map_or(bound, |rule_bound| rule_bound.min(bound))
}

/// Endpoints to which a request may be sent without running twice.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RepeatScope {
    Nowhere,
    Anywhere,
    Zone(ZoneId),
    Cell(CellId),
}

impl RepeatScope {
    fn contains(self, endpoint: &EndpointState) -> bool {
        match self {
            RepeatScope::Nowhere => false,
            RepeatScope::Anywhere => true,
            RepeatScope::Zone(zone) => endpoint.zone == zone,
            RepeatScope::Cell(cell) => endpoint.cell == cell,
        }
    }

    /// Returns the scope of the endpoints that are in both scopes.
    fn intersection(self, other: RepeatScope) -> RepeatScope {
        match (self, other) {
            (RepeatScope::Anywhere, scope) | (scope, RepeatScope::Anywhere) => scope,
            (left, right) if left == right => left,
            _ => RepeatScope::Nowhere,
        }
    }
}

/// Decides which endpoints the next attempt of a request may be sent to.
pub(crate) struct AttemptGuard {
    scope: RepeatScope,
    /// Whether endpoints in slow start are excluded. A predecessor process must not send to them, because their
    /// allowance belongs to its successor.
    avoids_slow_start: bool,
}

impl AttemptGuard {
    /// Creates the guard from the request's attempts so far.
    pub(crate) fn new(
        context: &Context,
        request: &Request,
        endpoints: &BTreeMap<EndpointId, EndpointState>,
    ) -> AttemptGuard {
        let allowed = may_have_another_attempt(context, request);
        AttemptGuard {
            scope: if allowed { repeat_scope(context, request, endpoints) } else { RepeatScope::Nowhere },
            avoids_slow_start: context.role == ProcessRole::Predecessor,
        }
    }

    /// Whether the next attempt may go to this endpoint now.
    pub(crate) fn allows(&self, endpoint: &EndpointState) -> bool {
        let has_no_allowance = endpoint.is_in_slow_start()
            && (self.avoids_slow_start || endpoint.slow_start_allowance.level <= 0.0);
        endpoint.is_in_service() && !has_no_allowance && self.scope.contains(endpoint)
    }
}

/// Whether the request is unfinished, has attempts left, and would not run two attempts at the same time without
/// hedging.
fn may_have_another_attempt(context: &Context, request: &Request) -> bool {
    let is_over = request.finished || request.streaming || context.now >= request.arrival.deadline;
    let is_disallowed_hedge = request.is_in_flight() && !context.settings.hedging;
    // A request body that is not buffered can be sent only once.
    let body_is_consumed = request.arrival.streaming_body && !request.attempts.is_empty();
    let has_attempts_left = request.attempts.len() < max_attempts(context, request);
    !is_over && has_attempts_left && !is_disallowed_hedge && !body_is_consumed
}

/// Endpoints to which the request may be sent, by its idempotency and its attempts that may have run or may still
/// run.
fn repeat_scope(
    context: &Context,
    request: &Request,
    endpoints: &BTreeMap<EndpointId, EndpointState>,
) -> RepeatScope {
    let class = request.class(&context.settings);
    match class.idempotency {
        Idempotency::Idempotent => RepeatScope::Anywhere,
        Idempotency::NotIdempotent if request.possibly_executed_attempts().next().is_none() => {
            RepeatScope::Anywhere
        }
        Idempotency::NotIdempotent => RepeatScope::Nowhere,
        Idempotency::WithKey => {
            let scopes = request.possibly_executed_attempts().map(|attempt| {
                let original = endpoints.get(&attempt.endpoint);
                deduplicating_scope(context, class, attempt, original)
            });
            scopes.fold(RepeatScope::Anywhere, RepeatScope::intersection)
        }
    }
}

/// Endpoints that drop repeats of this attempt. `original` is the endpoint that the attempt was sent to, if it
/// is still known.
fn deduplicating_scope(
    context: &Context,
    class: &Class,
    attempt: &Attempt,
    original: Option<&EndpointState>,
) -> RepeatScope {
    // Opening the connection may delay the repeat by this time-out.
    let deduplicated = is_deduplicated(context, class, attempt, context.settings.connect_timeout);
    match (original, class.deduplication_scope) {
        (Some(_), DeduplicationScope::All) if deduplicated => RepeatScope::Anywhere,
        (Some(original), DeduplicationScope::Zone) if deduplicated => RepeatScope::Zone(original.zone),
        (Some(original), DeduplicationScope::Cell) if deduplicated => RepeatScope::Cell(original.cell),
        _ => RepeatScope::Nowhere,
    }
}

/// Whether a repeat that is sent after this delay would still be dropped. The deduplication window starts when the
/// attempt is sent; one tick each is allowed for the way to the endpoint and back.
fn is_deduplicated(context: &Context, class: &Class, attempt: &Attempt, delay: Micros) -> bool {
    let tick = context.settings.tick;
    context.now + delay + tick + tick < attempt.sent_at + class.deduplication_window
}

/// Whether the request may be rejected. Its client may then retry it, which must not run it twice.
pub(crate) fn may_reject(context: &Context, request: &Request) -> bool {
    let class = request.class(&context.settings);
    let mut possibly_executed = request.possibly_executed_attempts();
    let is_safe_to_retry = match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::WithKey => possibly_executed.all(|attempt| {
            class.deduplication_scope == DeduplicationScope::All
                && is_deduplicated(context, class, attempt, Micros(0))
        }),
        Idempotency::NotIdempotent => possibly_executed.next().is_none(),
    };
    is_safe_to_retry && !request.streaming
}
