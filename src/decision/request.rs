//! State of a request, kept until it has its final answer and no attempt is in flight.

use super::event::{Arrival, PriorAttempt};
use super::ids::{EndpointId, TimerId};
use super::routing_rules::RouteRule;
use super::settings::{Class, Plan, Settings};
use super::time::Micros;
use std::rc::Rc;

/// An attempt of a request, sent by this gateway or by one that handled the request before.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent_at: Micros,
    pub(crate) in_flight: bool,
    /// Whether the attempt counts against the endpoint's concurrency limit, which it does from the last byte of
    /// the request body to the first byte of the response.
    pub(crate) holds_permit: bool,
    pub(crate) may_have_run: bool,
}

impl From<&PriorAttempt> for Attempt {
    /// Prior attempts may have run, so they limit further attempts in the same way as this gateway's own attempts.
    fn from(prior: &PriorAttempt) -> Attempt {
        Attempt { endpoint: prior.endpoint, sent_at: prior.sent_at, may_have_run: true, ..Attempt::default() }
    }
}

/// A request and its progress.
#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) arrived_at: Micros,
    pub(crate) attempts: Vec<Attempt>,
    /// Number of the quota window in which the request's units were counted. Cleared when an attempt is sent, as
    /// the units are then no longer refundable.
    pub(crate) counted_in_window: Option<u64>,
    /// Whether the request counts against the customer's concurrency quota.
    pub(crate) holds_concurrency: bool,
    /// Number of calls to the counter made for this request that have no reply yet.
    pub(crate) pending_counter_calls: u32,
    /// Timer of the deadline.
    pub(crate) deadline_timer: Option<TimerId>,
    /// Time since which the request has been queued for an endpoint with capacity.
    pub(crate) queued_since: Option<Micros>,
    /// Whether the response is being sent to the client.
    pub(crate) streaming: bool,
    /// Whether the request has its final answer.
    pub(crate) finished: bool,
    /// Routing rule that was in force when the request arrived.
    pub(crate) route: Rc<RouteRule>,
}

impl Request {
    /// Whether an attempt is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Whether the request has neither been sent nor queued.
    pub(crate) fn is_new(&self) -> bool {
        self.attempts.is_empty() && self.queued_since.is_none()
    }

    /// Attempts that may have run or may still run.
    pub(crate) fn possibly_executed_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.in_flight || attempt.may_have_run)
    }

    /// Class of the request.
    pub(crate) fn class<'a>(&self, settings: &'a Settings) -> &'a Class {
        &settings.classes[self.arrival.class.0]
    }

    /// Plan of the customer.
    pub(crate) fn plan<'a>(&self, settings: &'a Settings) -> &'a Plan {
        &settings.plans[self.arrival.plan.0]
    }

    /// Priority weight relative to other requests: the class's weight times the plan's factor.
    pub(crate) fn priority_weight(&self, settings: &Settings) -> f64 {
        self.class(settings).priority_weight * self.plan(settings).weight_factor
    }
}
