//! Arrival of a request: registers it, then sheds it or passes it to the quota checks.

use super::Gateway;
use crate::decision::action::{Action, RejectionReason};
use crate::decision::event::Arrival;
use crate::decision::ids::{CustomerId, RequestId};
use crate::decision::request::{Attempt, Request};
use crate::decision::routing;
use crate::decision::time::Micros;

/// Once there are too many customers, one in this many is dropped.
const CUSTOMERS_DROPPED_DIVISOR: usize = 4;

impl Gateway {
    pub(super) fn on_request(&mut self, arrival: Arrival) {
        let id = arrival.id;
        let settings = &self.context.settings;
        let class_is_known = arrival.class.0 < settings.classes.len();
        let Some(plan) = settings.plans.get(arrival.plan.0).filter(|_| class_is_known) else {
            let reason = RejectionReason::UnknownClassOrPlan;
            return self.actions.push(Action::Reject { request: id, retry_after: None, reason });
        };
        let needs_quota = plan.rate > 0.0 && !arrival.already_counted;
        let may_be_shed = !arrival.already_counted;
        self.retry_budget.request_arrived();
        let deadline = arrival.deadline;
        self.insert_request(arrival);
        self.set_deadline_timer(id, deadline);
        if may_be_shed && self.draw_load_shedding(id) {
            self.reject(id, RejectionReason::LoadShed);
        } else if needs_quota {
            self.check_quota(id);
        } else {
            self.check_concurrency(id);
        }
    }

    fn insert_request(&mut self, mut arrival: Arrival) {
        let (id, now, customer_id) = (arrival.id, self.context.now, arrival.customer);
        self.make_room_for_customer(customer_id);
        let customer = self.customers.entry(customer_id).or_default();
        customer.request_arrived(&arrival, now, self.admitting_since.unwrap_or(now));
        arrival.is_retry = customer.is_retry(&arrival, now);
        let request = Request {
            attempts: arrival.prior_attempts.iter().map(Attempt::from).collect(),
            route: routing::select_rule(&self.routing, &arrival),
            arrived_at: now,
            arrival,
            ..Request::default()
        };
        self.requests.insert(id, request);
        self.begin_periods(customer_id);
    }

    /// Drops the customers that were not used for longest if there are as many as there may be. A customer with requests
    /// that count against its concurrency quota stays.
    fn make_room_for_customer(&mut self, id: CustomerId) {
        if self.customers.len() < self.max_customers || self.customers.contains_key(&id) {
            return;
        }
        let mut last_used: Vec<Micros> = self.customers.values().map(|customer| customer.last_used).collect();
        let oldest = (last_used.len() / CUSTOMERS_DROPPED_DIVISOR).min(last_used.len() - 1);
        let (_, cutoff, _) = last_used.select_nth_unstable(oldest);
        let cutoff = *cutoff;
        // Many may have been used at the same instant.
        let mut surplus = oldest + 1;
        self.customers.retain(|_, customer| {
            let is_dropped = surplus > 0 && customer.last_used <= cutoff && customer.in_flight <= 0.0;
            surplus -= usize::from(is_dropped);
            !is_dropped
        });
        // What a dropped customer spent under its hard limit is forgotten: its bucket is empty when it comes again, and
        // fills from then on.
        self.admitting_since = self.admitting_since.max(Some(cutoff));
    }

    /// Advances a customer's counters to the current quota window and epoch.
    pub(super) fn begin_periods(&mut self, id: CustomerId) {
        if let Some(customer) = self.customers.get_mut(&id) {
            let plan = &self.context.settings.plans[customer.plan.0];
            customer.begin_periods(id, plan, self.context.now);
        }
    }

    /// Decides at random whether to shed a request. Requests are shed only where so many gateways share the
    /// endpoints that concurrency limits have little effect.
    fn draw_load_shedding(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let weight = request.priority_weight(&self.context.settings);
        self.shedding.request_arrived(weight);
        self.balancer.limits_start_below_one(&self.context)
            && self.rng.f64() > self.shedding.pass_probability(weight)
    }

    /// Admits a request that is within its quotas: sends it, or queues it until an endpoint has capacity.
    pub(super) fn admit(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.plan(&self.context.settings).concurrency_quota > 0.0 {
            request.holds_concurrency = true;
            if let Some(customer) = self.customers.get_mut(&request.arrival.customer) {
                customer.in_flight += 1.0;
            }
        }
        self.dispatch(id);
    }
}
