//! What changes around the gateways, by a schedule and by chance.

use super::site::{MS, S};
use super::surroundings::{Change, CounterState, Fault, Item};
use super::terms::{EndpointLine, How, Scope, Status, Stimulus};
use super::Model;

impl Model {
    pub(super) fn change(&mut self, change: Change) {
        match change {
            Change::NextArrival => self.next_arrival(),
            Change::Random => {
                self.random_change();
                let pause = self.rng.u64(150 * MS..600 * MS);
                self.put(self.now + pause, Item::Change(Change::Random));
            }
            Change::Counter(state) => self.counter = state,
            Change::ForgetCounts => self.counts.clear(),
            Change::EndpointFault { endpoint, fault } => self.endpoints[endpoint].fault = fault,
            Change::EndpointStatus { endpoint, status } => {
                self.endpoints[endpoint].line.status = status;
                self.tell_all_of(&[endpoint]);
            }
            Change::EndpointRestart { endpoint } => {
                let at = self.now;
                let endpoint_now = &mut self.endpoints[endpoint];
                endpoint_now.fault = Fault::None;
                endpoint_now.line.status = Status::InService;
                endpoint_now.line.started = at;
                self.tell_all_of(&[endpoint]);
            }
            Change::CompleteList { gateway } => {
                let list = self.complete_list();
                self.tell(gateway, self.now, list);
            }
            Change::ListFailed { gateway } => {
                let lost = Stimulus::Endpoints { scope: Scope::Failed, endpoints: Vec::new() };
                self.tell(gateway, self.now, lost);
            }
            Change::Restart { gateway } => {
                self.tell(gateway, self.now, Stimulus::Stop);
                self.tell(gateway, self.now, Stimulus::Timer { timer: 1 });
                *self.incarnations.entry(gateway).or_default() += 1;
                let back = self.now + 300 * MS;
                self.start(gateway, back);
            }
        }
    }

    /// Tells all gateways of endpoints that changed, each somewhat later than the one before.
    pub(super) fn tell_all_of(&mut self, changed: &[usize]) {
        let endpoints: Vec<EndpointLine> = changed.iter().map(|&i| self.endpoints[i].line.clone()).collect();
        for gateway in self.running.clone() {
            let late = self.rng.u64(0..60 * MS);
            let stimulus = Stimulus::Endpoints { scope: Scope::Incremental, endpoints: endpoints.clone() };
            self.tell(gateway, self.now + late, stimulus);
        }
    }

    pub(super) fn random_change(&mut self) {
        let endpoint = self.rng.usize(0..self.endpoints.len());
        let later = self.now + self.rng.u64(500 * MS..3 * S);
        let gateway = self.open.get(self.rng.usize(0..self.open.len().max(1))).copied().unwrap_or(0);
        match self.rng.u32(0..14) {
            0..=3 => {
                let faults =
                    [Fault::Refuses, Fault::Silent, Fault::Errors, Fault::Slow, Fault::Full, Fault::Resets];
                let fault = faults[self.rng.usize(0..faults.len())];
                self.change(Change::EndpointFault { endpoint, fault });
                self.put(later, Item::Change(Change::EndpointFault { endpoint, fault: Fault::None }));
            }
            4 => {
                self.change(Change::EndpointStatus { endpoint, status: Status::Draining });
                self.put(later, Item::Change(Change::EndpointRestart { endpoint }));
            }
            5 => {
                self.change(Change::EndpointStatus { endpoint, status: Status::Removed });
                self.put(later, Item::Change(Change::EndpointRestart { endpoint }));
            }
            6 => {
                // A restart that the list tells late.
                self.change(Change::EndpointFault { endpoint, fault: Fault::Refuses });
                self.put(later, Item::Change(Change::EndpointRestart { endpoint }));
            }
            7..=9 => {
                let states = [
                    CounterState::Slow,
                    CounterState::Mixed,
                    CounterState::Full,
                    CounterState::Unreachable,
                    CounterState::Errors,
                ];
                self.counter = states[self.rng.usize(0..states.len())];
                self.put(later, Item::Change(Change::Counter(CounterState::Healthy)));
            }
            10 => self.change(Change::ForgetCounts),
            11 => self.change(Change::CompleteList { gateway }),
            12 => {
                self.change(Change::ListFailed { gateway });
                self.put(later, Item::Change(Change::CompleteList { gateway }));
            }
            _ if self.rng.u32(0..3) == 0 && !self.scenario.module_only => {
                self.change(Change::Restart { gateway });
            }
            _ => {
                let load = self.load_of(endpoint);
                let stimulus = Stimulus::Pong { endpoint: endpoint as u64, how: How::Success, load };
                self.tell(gateway, self.now, stimulus);
            }
        }
    }
}
