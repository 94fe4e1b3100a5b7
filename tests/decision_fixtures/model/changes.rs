//! Scheduled and random changes in the environment of the gateways.

use super::environment::{Change, CounterState, Fault, QueuedEvent};
use super::messages::{CallOutcome, EndpointLine, GatewayInput, ListScope, Status};
use super::site::{MS, S};
use super::Model;

impl Model {
    pub(super) fn apply_change(&mut self, change: Change) {
        match change {
            Change::NextArrival => self.generate_arrival(),
            Change::Random => {
                self.apply_random_change();
                let pause = self.rng.u64(150 * MS..600 * MS);
                self.enqueue(self.now + pause, QueuedEvent::Change(Change::Random));
            }
            Change::Counter(state) => self.counter = state,
            Change::ResetCounts => self.counts.clear(),
            Change::EndpointFault { endpoint, fault } => self.endpoints[endpoint].fault = fault,
            Change::EndpointStatus { endpoint, status } => {
                self.endpoints[endpoint].line.status = status;
                self.announce_endpoints(&[endpoint]);
            }
            Change::EndpointRestart { endpoint } => {
                let at = self.now;
                let restarted = &mut self.endpoints[endpoint];
                restarted.fault = Fault::None;
                restarted.line.status = Status::InService;
                restarted.line.started = at;
                self.announce_endpoints(&[endpoint]);
            }
            Change::CompleteList { gateway } => {
                let list = self.complete_list();
                self.enqueue_input(gateway, self.now, list);
            }
            Change::ListFailed { gateway } => {
                let failed = GatewayInput::Endpoints { scope: ListScope::Failed, endpoints: Vec::new() };
                self.enqueue_input(gateway, self.now, failed);
            }
            Change::Restart { gateway } => {
                self.enqueue_input(gateway, self.now, GatewayInput::Stop);
                self.enqueue_input(gateway, self.now, GatewayInput::Timer { timer: 1 });
                *self.incarnations.entry(gateway).or_default() += 1;
                let restart_time = self.now + 300 * MS;
                self.start(gateway, restart_time);
            }
        }
    }

    /// Announces changed endpoints to all gateways, to each with its own random delay.
    pub(super) fn announce_endpoints(&mut self, changed: &[usize]) {
        let endpoints: Vec<EndpointLine> = changed.iter().map(|&i| self.endpoints[i].line.clone()).collect();
        for gateway in self.running.clone() {
            let announcement_delay = self.rng.u64(0..60 * MS);
            let input =
                GatewayInput::Endpoints { scope: ListScope::Incremental, endpoints: endpoints.clone() };
            self.enqueue_input(gateway, self.now + announcement_delay, input);
        }
    }

    pub(super) fn apply_random_change(&mut self) {
        let endpoint = self.rng.usize(0..self.endpoints.len());
        let later = self.now + self.rng.u64(500 * MS..3 * S);
        let gateway = self
            .accepting_gateways
            .get(self.rng.usize(0..self.accepting_gateways.len().max(1)))
            .copied()
            .unwrap_or(0);
        match self.rng.u32(0..14) {
            0..=3 => {
                let faults = [
                    Fault::RefusesConnections,
                    Fault::Unresponsive,
                    Fault::ReturnsErrors,
                    Fault::Slow,
                    Fault::Overloaded,
                    Fault::ResetsConnections,
                ];
                let fault = faults[self.rng.usize(0..faults.len())];
                self.apply_change(Change::EndpointFault { endpoint, fault });
                self.enqueue(
                    later,
                    QueuedEvent::Change(Change::EndpointFault { endpoint, fault: Fault::None }),
                );
            }
            4 => {
                self.apply_change(Change::EndpointStatus { endpoint, status: Status::Draining });
                self.enqueue(later, QueuedEvent::Change(Change::EndpointRestart { endpoint }));
            }
            5 => {
                self.apply_change(Change::EndpointStatus { endpoint, status: Status::Removed });
                self.enqueue(later, QueuedEvent::Change(Change::EndpointRestart { endpoint }));
            }
            6 => {
                // A restart that the endpoint list shows late.
                self.apply_change(Change::EndpointFault { endpoint, fault: Fault::RefusesConnections });
                self.enqueue(later, QueuedEvent::Change(Change::EndpointRestart { endpoint }));
            }
            7..=9 => {
                let states = [
                    CounterState::Slow,
                    CounterState::Mixed,
                    CounterState::Rejecting,
                    CounterState::Unreachable,
                    CounterState::Errors,
                ];
                self.counter = states[self.rng.usize(0..states.len())];
                self.enqueue(later, QueuedEvent::Change(Change::Counter(CounterState::Healthy)));
            }
            10 => self.apply_change(Change::ResetCounts),
            11 => self.apply_change(Change::CompleteList { gateway }),
            12 => {
                self.apply_change(Change::ListFailed { gateway });
                self.enqueue(later, QueuedEvent::Change(Change::CompleteList { gateway }));
            }
            _ if self.rng.u32(0..3) == 0 && !self.scenario.module_only => {
                self.apply_change(Change::Restart { gateway });
            }
            _ => {
                let load = self.draw_load_report(endpoint);
                let input = GatewayInput::Pong { endpoint: endpoint as u64, how: CallOutcome::Success, load };
                self.enqueue_input(gateway, self.now, input);
            }
        }
    }
}
