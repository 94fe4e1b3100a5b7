//! Clients: requests that come in, by chance or again.

use super::site::{CLASSES, CLASS_COUNT, MS, PLAN_COUNT, S};
use super::surroundings::{Attempt, Change, Item, Request};
use super::terms::{ArrivalLine, Stimulus};
use super::Model;

impl Model {
    pub(super) fn next_arrival(&mut self) {
        let since = (self.now - 1_000 * S) / S;
        let rate = self.scenario.rates.iter().find(|r| since < r.0).map_or(0.0, |r| r.1);
        if rate <= 0.0 {
            self.put(self.now + S, Item::Change(Change::NextArrival));
            return;
        }
        let gap = ((0.05 + 1.9 * self.rng.f64()) / rate * 1e6) as u64;
        self.put(self.now + gap.clamp(100, 2 * S), Item::Change(Change::NextArrival));
        if self.open.is_empty() {
            return;
        }
        let gateway = self.open[self.rng.usize(0..self.open.len())];
        // Few customers have most of the traffic.
        let customer = (self.rng.f64().powi(3) * self.scenario.customers as f64) as u64;
        let class = self.rng.usize(0..CLASS_COUNT);
        let units = [1.0, 1.0, 2.0, 0.5, 4.0][self.rng.usize(0..5)];
        let spread = self.scenario.gateways.min(2 + (customer % 3) as u32);
        let mut arrival = ArrivalLine {
            request: 0,
            class,
            plan: customer as usize % PLAN_COUNT,
            customer: 0x91f0_3b7c_0000_0000 + customer,
            spread,
            first: (customer % u64::from(self.scenario.gateways)) as u32,
            deadline: 0,
            units,
            resent: false,
            upload: false,
            prior: Vec::new(),
            counted: false,
        };
        if self.scenario.module_only {
            arrival.upload = self.rng.u32(0..6) == 0 && !CLASSES[class].streaming;
            if !arrival.upload && self.rng.u32(0..12) == 0 {
                let endpoint = self.rng.u64(0..self.endpoints.len() as u64);
                let ago = self.rng.u64(0..1_200 * MS);
                arrival.prior.push((endpoint, self.now - ago));
                arrival.counted = self.rng.bool();
            }
        }
        self.arrive(gateway, self.now, arrival);
    }

    pub(super) fn arrive(&mut self, gateway: u32, at: u64, mut arrival: ArrivalLine) {
        arrival.request = self.next_request;
        self.next_request += 1;
        arrival.deadline = at + CLASSES[arrival.class].deadline;
        let mut body_ends = 0;
        if arrival.upload {
            body_ends = at + self.rng.u64(10 * MS..900 * MS);
            let deadline = body_ends + CLASSES[arrival.class].deadline;
            arrival.deadline = at + 30 * S;
            let request = arrival.request;
            self.tell(gateway, body_ends, Stimulus::RequestBodyEnded { request, deadline });
        }
        let id = arrival.request;
        // Attempts of this gateway are numbered after those of others.
        let prior = |&(endpoint, sent): &(u64, u64)| Attempt { endpoint, sent, ends: None };
        let attempts = arrival.prior.iter().map(prior).collect();
        let request = Request { arrival: Some(arrival.clone()), attempts, closed: false, body_ends };
        self.requests.insert((gateway, id), request);
        self.tell(gateway, at, Stimulus::Arrival(arrival.clone()));
        let leaves = if self.rng.u32(0..30) == 0 { self.rng.u64(MS..S) } else { 4 * S };
        let leaves = if arrival.upload { leaves + 31 * S } else { leaves };
        self.tell(gateway, at + leaves, Stimulus::ClientDisconnected { request: id });
    }

    pub(super) fn rejected(&mut self, gateway: u32, request: u64, retry_after: Option<u64>) {
        let Some(request) = self.requests.get_mut(&(gateway, request)) else { return };
        request.closed = true;
        let Some(arrival) = request.arrival.take() else { return };
        if arrival.upload || !arrival.prior.is_empty() || self.rng.u32(0..3) != 0 {
            return;
        }
        let pause = retry_after.unwrap_or(150 * MS) + self.rng.u64(0..100 * MS);
        let resent = self.rng.bool();
        if self.open.contains(&gateway) {
            self.arrive(gateway, self.now + pause, ArrivalLine { resent, ..arrival });
        }
    }
}
