//! Hand-over of a gateway from one process to another.

use super::Gateway;
use crate::decision::admission::{
    CallFraction, Customer, LoadShedding, SharedCount, LEAST_CALL_FRACTION, LEAST_PASS_FRACTION,
};
use crate::decision::circuit_breaker::CircuitBreaker;
use crate::decision::context::ProcessRole;
use crate::decision::handover_state::HandoverState;
use crate::decision::load_balancing::{EndpointAverages, EndpointState, MAX_EJECTION_DOUBLINGS};

impl Gateway {
    /// Handles the end of this gateway's other process. A predecessor whose successor has ended is the only process
    /// again and starts with empty buckets, as after a restart, because its share had gone to the successor.
    pub(super) fn on_peer_process_exited(&mut self) {
        let role = std::mem::take(&mut self.context.role);
        if role != ProcessRole::Predecessor {
            return;
        }
        let now = self.context.now;
        self.admitting_since = Some(now);
        for customer in self.customers.values_mut() {
            customer.hard_limit_bucket.level = 0.0;
            customer.hard_limit_bucket.filled_at = now;
            customer.local_bucket = None;
        }
    }

    /// Returns the state that another process needs to continue as this gateway. Spending that the counters don't
    /// include yet is reported by that process; this one only finishes its requests.
    pub fn hand_over(&mut self) -> HandoverState {
        self.context.role = ProcessRole::Predecessor;
        let customers =
            self.customers.iter_mut().map(|(&id, customer)| (id, split_off_customer_state(customer)));
        let customers = customers.map(|(id, customer)| (id, customer.into())).collect();
        let endpoints = self.balancer.endpoints.iter();
        HandoverState {
            endpoints: endpoints.map(|(&id, endpoint)| (id, endpoint.clone().into())).collect(),
            customers,
            breaker: CircuitBreaker { probing: false, ..self.counter.breaker.clone() }.into(),
            call_fraction: self.counter.call_fraction.0,
            forward_rate: self.balancer.forward_rate.units.clone().into(),
            latency_us: self.balancer.averages.latency_us,
            failure_fraction: self.balancer.averages.failure_fraction,
            pass_fraction: self.shedding.pass_fraction,
            average_weight: self.shedding.average_weight,
        }
    }

    /// Continues from the state of another process of this gateway.
    pub fn take_over(&mut self, state: HandoverState) {
        let endpoints = state.endpoints.into_iter().map(|(id, record)| {
            let received = EndpointState::from(record);
            let ejection_doublings = received.ejection_doublings.min(MAX_EJECTION_DOUBLINGS);
            (id, EndpointState { ejection_doublings, ..received })
        });
        self.balancer.take_over(endpoints.collect());
        let plans = self.context.settings.plans.len();
        let customers = state.customers.into_iter().map(|(id, record)| (id, Customer::from(record)));
        self.customers.extend(customers.filter(|(_, customer)| customer.plan.0 < plans));
        self.counter.breaker = state.breaker.into();
        self.counter.call_fraction = CallFraction(state.call_fraction.clamp(LEAST_CALL_FRACTION, 1.0));
        self.balancer.forward_rate.units = state.forward_rate.into();
        self.balancer.averages =
            EndpointAverages { latency_us: state.latency_us, failure_fraction: state.failure_fraction };
        self.shedding = LoadShedding {
            pass_fraction: state.pass_fraction.clamp(LEAST_PASS_FRACTION, 1.0),
            average_weight: state.average_weight,
        };
        self.context.role = ProcessRole::Successor;
        self.serve_queue();
    }
}

/// State of a customer for the successor. This process keeps its attempts in flight and the spending that counter
/// calls in flight report; the other unreported spending moves to the successor.
fn split_off_customer_state(customer: &mut Customer) -> Customer {
    let successor_customer = Customer {
        window: SharedCount {
            last_total: customer.window.last_total + customer.window.in_flight,
            own_counted: 0.0,
            in_flight: 0.0,
            ..customer.window.clone()
        },
        epoch: SharedCount::default(),
        in_flight: 0.0,
        ..customer.clone()
    };
    customer.window.last_total += customer.window.unreported;
    customer.window.unreported = 0.0;
    successor_customer
}
