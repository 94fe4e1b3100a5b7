//! Clients: random new requests, and retries of rejected ones.

use super::environment::{Attempt, Change, QueuedEvent, Request};
use super::messages::{ArrivalLine, GatewayInput};
use super::site::{CLASSES, CLASS_COUNT, MS, PLAN_COUNT, S};
use super::Model;

impl Model {
    pub(super) fn generate_arrival(&mut self) {
        let elapsed_seconds = (self.now - 1_000 * S) / S;
        let rate = self.scenario.rates.iter().find(|r| elapsed_seconds < r.0).map_or(0.0, |r| r.1);
        if rate <= 0.0 {
            self.enqueue(self.now + S, QueuedEvent::Change(Change::NextArrival));
            return;
        }
        let gap = ((0.05 + 1.9 * self.rng.f64()) / rate * 1e6) as u64;
        self.enqueue(self.now + gap.clamp(100, 2 * S), QueuedEvent::Change(Change::NextArrival));
        if self.accepting_gateways.is_empty() {
            return;
        }
        let gateway = self.accepting_gateways[self.rng.usize(0..self.accepting_gateways.len())];
        // A few customers cause most of the traffic.
        let customer = (self.rng.f64().powi(3) * self.scenario.customers as f64) as u64;
        let class = self.rng.usize(0..CLASS_COUNT);
        let units = [1.0, 1.0, 2.0, 0.5, 4.0][self.rng.usize(0..5)];
        let gateway_count = self.scenario.gateways.min(2 + (customer % 3) as u32);
        let mut arrival = ArrivalLine {
            request: 0,
            class,
            plan: customer as usize % PLAN_COUNT,
            customer: 0x91f0_3b7c_0000_0000 + customer,
            gateway_count,
            first_gateway: (customer % u64::from(self.scenario.gateways)) as u32,
            deadline: 0,
            units,
            is_retry: false,
            upload: false,
            prior_attempts: Vec::new(),
            already_counted: false,
        };
        if self.scenario.module_only {
            arrival.upload = self.rng.u32(0..6) == 0 && !CLASSES[class].streaming;
            if !arrival.upload && self.rng.u32(0..12) == 0 {
                let endpoint = self.rng.u64(0..self.endpoints.len() as u64);
                let age = self.rng.u64(0..1_200 * MS);
                arrival.prior_attempts.push((endpoint, self.now - age));
                arrival.already_counted = self.rng.bool();
            }
        }
        self.enqueue_arrival(gateway, self.now, arrival);
    }

    pub(super) fn enqueue_arrival(&mut self, gateway: u32, at: u64, mut arrival: ArrivalLine) {
        arrival.request = self.next_request;
        self.next_request += 1;
        arrival.deadline = at + CLASSES[arrival.class].deadline;
        let mut body_ends = 0;
        if arrival.upload {
            body_ends = at + self.rng.u64(10 * MS..900 * MS);
            let deadline = body_ends + CLASSES[arrival.class].deadline;
            arrival.deadline = at + 30 * S;
            let request = arrival.request;
            self.enqueue_input(gateway, body_ends, GatewayInput::RequestBodyEnded { request, deadline });
        }
        let id = arrival.request;
        // This gateway's attempts are numbered after the prior attempts.
        let prior = |&(endpoint, sent): &(u64, u64)| Attempt { endpoint, sent, ends: None };
        let attempts = arrival.prior_attempts.iter().map(prior).collect();
        let request = Request { arrival: Some(arrival.clone()), attempts, closed: false, body_ends };
        self.requests.insert((gateway, id), request);
        self.enqueue_input(gateway, at, GatewayInput::Arrival(arrival.clone()));
        let leave_delay = if self.rng.u32(0..30) == 0 { self.rng.u64(MS..S) } else { 4 * S };
        let leave_delay = if arrival.upload { leave_delay + 31 * S } else { leave_delay };
        self.enqueue_input(gateway, at + leave_delay, GatewayInput::ClientDisconnected { request: id });
    }

    pub(super) fn on_rejected(&mut self, gateway: u32, request: u64, retry_after: Option<u64>) {
        let Some(request) = self.requests.get_mut(&(gateway, request)) else { return };
        request.closed = true;
        let Some(arrival) = request.arrival.take() else { return };
        if arrival.upload || !arrival.prior_attempts.is_empty() || self.rng.u32(0..3) != 0 {
            return;
        }
        let delay = retry_after.unwrap_or(150 * MS) + self.rng.u64(0..100 * MS);
        let is_retry = self.rng.bool();
        if self.accepting_gateways.contains(&gateway) {
            self.enqueue_arrival(gateway, self.now + delay, ArrivalLine { is_retry, ..arrival });
        }
    }
}
