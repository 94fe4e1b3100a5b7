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
    /// The other process of this gateway has ended. A predecessor that is the only process again after all starts
    /// with empty buckets, as after a restart: its share had gone to the successor.
    pub(super) fn on_peer_process_exited(&mut self) {
        let role = std::mem::take(&mut self.context.role);
        if role != ProcessRole::Predecessor {
            return;
        }
        let now = self.context.now;
        self.admitting_since = Some(now);
        for customer in self.customers.values_mut() {
            customer.ceiling_bucket.level = 0.0;
            customer.ceiling_bucket.filled_at = now;
            customer.local_bucket = None;
        }
    }

    /// What another process needs to go on as this gateway. What is owed to the counter is that process's to pay;
    /// this one only finishes its requests.
    pub fn hand_over(&mut self) -> HandoverState {
        self.context.role = ProcessRole::Predecessor;
        let customers = self.customers.iter_mut().map(|(&id, customer)| (id, hand_over_customer(customer)));
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

    /// Goes on where another process of this gateway was.
    pub fn take_over(&mut self, state: HandoverState) {
        let endpoints = state.endpoints.into_iter().map(|(id, form)| {
            let theirs = EndpointState::from(form);
            let ejection_doublings = theirs.ejection_doublings.min(MAX_EJECTION_DOUBLINGS);
            (id, EndpointState { ejection_doublings, ..theirs })
        });
        self.balancer.take_over(endpoints.collect());
        let plans = self.context.settings.plans.len();
        let customers = state.customers.into_iter().map(|(id, form)| (id, Customer::from(form)));
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

/// A customer as the successor gets it. What calls to the counter in flight carry, this process pays; attempts in
/// flight stay here.
fn hand_over_customer(customer: &mut Customer) -> Customer {
    let theirs = Customer {
        window: SharedCount {
            last_total: customer.window.last_total + customer.window.in_transit,
            own_counted: 0.0,
            in_transit: 0.0,
            ..customer.window.clone()
        },
        epoch: SharedCount::default(),
        in_flight: 0.0,
        ..customer.clone()
    };
    customer.window.last_total += customer.window.owed;
    customer.window.owed = 0.0;
    theirs
}
