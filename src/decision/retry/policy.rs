//! Whether a request may be sent, sent again, or rejected. Every attempt passes here, and every rejection but
//! that of an unknown class or plan.

use crate::decision::context::{Context, ProcessRole};
use crate::decision::ids::{CellId, EndpointId, ZoneId};
use crate::decision::load_balancing::EndpointState;
use crate::decision::request::{Attempt, Request};
use crate::decision::settings::{Class, DeduplicationScope, Idempotency};
use crate::decision::time::Micros;
use std::collections::BTreeMap;

/// The most attempts of a request: a routing rule may lower the settings' bound.
pub(super) fn max_attempts(context: &Context, request: &Request) -> usize {
    let bound = context.settings.max_attempts;
    request.route.max_attempts.map_or(bound, |most| most.min(bound))
}

/// Where a request may be sent without running twice.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RepeatScope {
    Nowhere,
    Anywhere,
    Zone(ZoneId),
    Cell(CellId),
}

impl RepeatScope {
    fn holds(self, endpoint: &EndpointState) -> bool {
        match self {
            RepeatScope::Nowhere => false,
            RepeatScope::Anywhere => true,
            RepeatScope::Zone(zone) => endpoint.zone == zone,
            RepeatScope::Cell(cell) => endpoint.cell == cell,
        }
    }

    /// The endpoints that are in both.
    fn and(self, other: RepeatScope) -> RepeatScope {
        match (self, other) {
            (RepeatScope::Anywhere, scope) | (scope, RepeatScope::Anywhere) => scope,
            (one, other) if one == other => one,
            _ => RepeatScope::Nowhere,
        }
    }
}

/// Where the next attempt of a request may go.
pub(crate) struct AttemptGuard {
    scope: RepeatScope,
    /// A predecessor process sends nothing to endpoints in slow start: what they may be sent is its successor's.
    avoids_slow_start: bool,
}

impl AttemptGuard {
    /// Looks at the request's attempts so far.
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
        let overloads = endpoint.is_in_slow_start()
            && (self.avoids_slow_start || endpoint.slow_start_allowance.level <= 0.0);
        endpoint.is_in_service() && !overloads && self.scope.holds(endpoint)
    }
}

/// The request is not over, has attempts left, and no attempt that the next one would run beside.
fn may_have_another_attempt(context: &Context, request: &Request) -> bool {
    let is_over = request.finished || request.streaming || context.now >= request.arrival.deadline;
    let is_hedged = request.is_in_flight() && !context.settings.hedging;
    // A body that is not buffered can be sent once.
    let body_is_gone = request.arrival.streaming_body && !request.attempts.is_empty();
    let has_attempts_left = request.attempts.len() < max_attempts(context, request);
    !is_over && has_attempts_left && !is_hedged && !body_is_gone
}

/// Where the request may be sent, by its idempotency and the attempts that have run or may yet.
fn repeat_scope(
    context: &Context,
    request: &Request,
    endpoints: &BTreeMap<EndpointId, EndpointState>,
) -> RepeatScope {
    let class = request.class(&context.settings);
    match class.idempotency {
        Idempotency::Idempotent => RepeatScope::Anywhere,
        Idempotency::NotIdempotent if request.attempts_that_may_run().next().is_none() => {
            RepeatScope::Anywhere
        }
        Idempotency::NotIdempotent => RepeatScope::Nowhere,
        Idempotency::WithKey => {
            let scopes = request.attempts_that_may_run().map(|attempt| {
                let first = endpoints.get(&attempt.endpoint);
                scope_after(context, class, attempt, first)
            });
            scopes.fold(RepeatScope::Anywhere, RepeatScope::and)
        }
    }
}

/// Where repeats of this attempt are dropped; `first` is the endpoint that it went to, if it is still known.
fn scope_after(
    context: &Context,
    class: &Class,
    attempt: &Attempt,
    first: Option<&EndpointState>,
) -> RepeatScope {
    // The repeat may go out as much later as a connection takes.
    let deduplicated = is_deduplicated(context, class, attempt, context.settings.connect_timeout);
    match (first, class.deduplication_scope) {
        (Some(_), DeduplicationScope::All) if deduplicated => RepeatScope::Anywhere,
        (Some(first), DeduplicationScope::Zone) if deduplicated => RepeatScope::Zone(first.zone),
        (Some(first), DeduplicationScope::Cell) if deduplicated => RepeatScope::Cell(first.cell),
        _ => RepeatScope::Nowhere,
    }
}

/// Repeats of this attempt that go out so much later are still dropped: the deduplication window counts from the
/// send, less a tick on the way there and back.
fn is_deduplicated(context: &Context, class: &Class, attempt: &Attempt, later: Micros) -> bool {
    let tick = context.settings.tick;
    context.now + later + tick + tick < attempt.sent_at + class.deduplication_window
}

/// Whether the request may be rejected, so that its client may retry it: that must not run it twice.
pub(crate) fn may_reject(context: &Context, request: &Request) -> bool {
    let class = request.class(&context.settings);
    let mut ran = request.attempts_that_may_run();
    let is_harmless = match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::WithKey => ran.all(|attempt| {
            class.deduplication_scope == DeduplicationScope::All
                && is_deduplicated(context, class, attempt, Micros(0))
        }),
        Idempotency::NotIdempotent => ran.next().is_none(),
    };
    is_harmless && !request.streaming
}
