//! Expands one fault of a scenario to steps, with one function for each kind of fault.

use super::faults::{Action, BackendFault, LinkChange, Step};
use super::{us, Draw, Microseconds};
use crate::fault_targets::Party;
use crate::scenario::{Fault, Kind, Scenario};
use std::collections::BTreeSet;

/// Default range of the seconds after which a killed leader is started again.
const LEADER_RESTART_DELAY_S: [f64; 2] = [1.0, 1.0];

/// A time span in which a fault is active.
#[derive(Clone, Copy)]
struct ActiveWindow {
    from: Microseconds,
    to: Microseconds,
}

/// One target of a fault that is applied in batches.
struct BatchEntry {
    /// Time since the start of the fault.
    delay: Microseconds,
    /// Number of the gateway or backend.
    target: usize,
}

/// A fault with its resolved targets, and the steps collected so far.
pub(super) struct FaultExpansion<'a> {
    scenario: &'a Scenario,
    fault: &'a Fault,
    targets: Vec<Party>,
    peers: Vec<Party>,
    /// Gateways among the targets.
    gateways: Vec<usize>,
    /// Backends among the targets.
    backends: Vec<usize>,
    start: Microseconds,
    windows: Vec<ActiveWindow>,
    steps: Vec<Step>,
}

impl<'a> FaultExpansion<'a> {
    /// Creates the expansion of a fault on `targets`; `peers` are the other ends of the affected links.
    pub(super) fn new(
        scenario: &'a Scenario,
        fault: &'a Fault,
        targets: &BTreeSet<Party>,
        peers: &BTreeSet<Party>,
    ) -> FaultExpansion<'a> {
        let gateway = |party: &Party| if let Party::Gateway(gateway) = party { Some(*gateway) } else { None };
        let backend = |party: &Party| if let Party::Backend(backend) = party { Some(*backend) } else { None };
        FaultExpansion {
            scenario,
            fault,
            targets: targets.iter().copied().collect(),
            peers: peers.iter().copied().collect(),
            gateways: targets.iter().filter_map(gateway).collect(),
            backends: targets.iter().filter_map(backend).collect(),
            start: us(fault.at_s),
            windows: active_windows(fault),
            steps: Vec::new(),
        }
    }

    /// Returns the steps of the fault. `next_backend` is the number of the next new backend.
    pub(super) fn expand(mut self, draw: &mut Draw, next_backend: &mut usize) -> Vec<Step> {
        let rate = self.fault.rate.unwrap_or(1.0);
        let factor = self.fault.factor.unwrap_or(1.0);
        let delay_us = milliseconds_as_us(self.fault.delay_ms);
        match self.fault.kind {
            Kind::Cut | Kind::Impair => self.change_links(),
            Kind::Reset => self.reset_connections(),
            Kind::Kill => self.kill(draw),
            Kind::Pause => self.pause(),
            Kind::Restart => self.restart(draw),
            Kind::Reload => self.reload(),
            Kind::Slow => self.backend_fault(BackendFault::Slow(factor)),
            Kind::Errors => self.backend_fault(BackendFault::Errors(rate)),
            Kind::Half => self.backend_fault(BackendFault::Half(rate)),
            Kind::Silent => self.backend_fault(BackendFault::Silent),
            Kind::Replace => self.replace(draw, next_backend),
            Kind::CounterDown => self.toggle(Action::CounterDown),
            Kind::CounterSlow => self.toggle(|on| Action::CounterSlow { delay_us, on }),
            Kind::CounterEmpty => self.empty_counter(),
            Kind::CounterGarble => self.toggle(|on| Action::CounterGarble { rate: per_million(rate), on }),
            Kind::CounterLimit => self.toggle(|on| Action::CounterLimit { factor: per_million(factor), on }),
            Kind::ListLate => self.toggle(|on| Action::ListLate { delay_us, on }),
            Kind::ListSilent => self.silence_discovery(),
            Kind::ListGhost => self.toggle(Action::ListGhost),
            Kind::ListMove => self.move_backends(),
            Kind::Rollout => self.roll_out(),
            Kind::KillLeader => self.kill_leader(draw),
            // Load faults change the arrivals and have no steps.
            Kind::Surge | Kind::HotCustomer | Kind::HotGateway | Kind::Impatient => {}
        }
        self.steps
    }

    fn push(&mut self, at: Microseconds, action: Action) {
        self.steps.push(Step { at, action });
    }

    /// Adds an action that is turned on at the start of each active window and off at its end.
    fn toggle(&mut self, action: impl Fn(bool) -> Action) {
        self.toggle_all(|on| vec![action(on)]);
    }

    /// Adds several actions that are turned on at the start of each active window and off at its end.
    fn toggle_all(&mut self, actions: impl Fn(bool) -> Vec<Action>) {
        for window in self.windows.clone() {
            for action in actions(true) {
                self.push(window.from, action);
            }
            for action in actions(false) {
                self.push(window.to, action);
            }
        }
    }

    fn change_links(&mut self) {
        let fault = self.fault;
        let change = LinkChange {
            cut: fault.kind == Kind::Cut,
            delay_us: milliseconds_as_us(fault.delay_ms),
            jitter_us: milliseconds_as_us(fault.jitter_ms),
            loss: per_million(fault.loss.unwrap_or(0.0)),
            duplicate: per_million(fault.duplicate.unwrap_or(0.0)),
            reorder: per_million(fault.reorder.unwrap_or(0.0)),
        };
        let one_way = fault.one_way.unwrap_or(false);
        let targets = self.targets.clone();
        let peers = self.peers.clone();
        self.toggle_all(|on| {
            let mut actions = vec![Action::Link { from: targets.clone(), to: peers.clone(), change, on }];
            if !one_way {
                actions.push(Action::Link { from: peers.clone(), to: targets.clone(), change, on });
            }
            actions
        });
    }

    fn reset_connections(&mut self) {
        for window in self.windows.clone() {
            let action = Action::Reset { one: self.targets.clone(), other: self.peers.clone() };
            self.push(window.from, action);
        }
    }

    fn kill(&mut self, draw: &mut Draw) {
        for gateway in self.gateways.clone() {
            self.push(self.start, Action::Kill(gateway));
            if let Some(restart_at) = self.draw_restart_time(draw) {
                self.push(restart_at, Action::Start(gateway));
            }
        }
        for backend in self.backends.clone() {
            self.push(self.start, Action::BackendDies(backend));
            if let Some(restart_at) = self.draw_restart_time(draw) {
                self.push(restart_at, Action::BackendStarts(backend));
            }
        }
    }

    /// Draws when a killed process starts again; `None` if it stays down.
    fn draw_restart_time(&self, draw: &mut Draw) -> Option<Microseconds> {
        let range_s = self.fault.back_s?;
        Some(self.start + us(draw.between(range_s)).max(1))
    }

    fn pause(&mut self) {
        let gateways = self.gateways.clone();
        self.toggle_all(|on| {
            gateways.iter().map(|gateway| Action::Pause { gateway: *gateway, on }).collect()
        });
    }

    fn restart(&mut self, draw: &mut Draw) {
        for entry in batches(self.gateways.clone(), self.fault, draw) {
            self.push(self.start + entry.delay, Action::Restart(entry.target));
        }
    }

    fn reload(&mut self) {
        for gateway in self.gateways.clone() {
            self.push(self.start, Action::Reload(gateway));
        }
    }

    fn backend_fault(&mut self, ill: BackendFault) {
        let backends = self.backends.clone();
        self.toggle_all(|on| {
            backends.iter().map(|backend| Action::Ill { backend: *backend, ill, on }).collect()
        });
    }

    /// Drains the backends batch by batch and starts a new backend for each, with the fault of a bad release if the
    /// scenario gives one.
    fn replace(&mut self, draw: &mut Draw, next_backend: &mut usize) {
        let drain = us(self.fault.drain_s.unwrap_or(0.0)).max(1);
        for BatchEntry { delay, target: old } in batches(self.backends.clone(), self.fault, draw) {
            let new = *next_backend;
            *next_backend += 1;
            let at = self.start + delay;
            let label = self.fault.label.as_ref().unwrap_or(&self.scenario.backends.label).clone();
            self.push(at, Action::Drain { old, new, label });
            self.push(at + drain, Action::BackendDies(old));
            if let Some(errors) = self.fault.errors {
                let ill = BackendFault::Errors(errors);
                self.push(at, Action::Ill { backend: new, ill, on: true });
            }
            if let Some(factor) = self.fault.factor {
                let ill = BackendFault::Slow(factor);
                self.push(at, Action::Ill { backend: new, ill, on: true });
            }
        }
    }

    fn empty_counter(&mut self) {
        for window in self.windows.clone() {
            self.push(window.from, Action::CounterEmpty);
        }
    }

    /// Stops discovery from answering the targets, or any gateway where the fault names no target.
    fn silence_discovery(&mut self) {
        let gateways: Vec<usize> = if self.fault.who.is_empty() {
            (0..self.scenario.gateways.count).collect()
        } else {
            self.gateways.clone()
        };
        self.toggle_all(|on| {
            gateways.iter().map(|gateway| Action::ListSilent { gateway: *gateway, on }).collect()
        });
    }

    fn move_backends(&mut self) {
        for backend in self.backends.clone() {
            self.push(self.start, Action::ListMove(backend));
        }
    }

    /// Sends the rollout to the first of the target gateways.
    fn roll_out(&mut self) {
        let rules = self.fault.rules.clone().unwrap_or_default();
        if let Some(gateway) = self.gateways.first().copied() {
            self.push(self.start, Action::Rollout { gateway, rules });
        }
    }

    fn kill_leader(&mut self, draw: &mut Draw) {
        let range_s = self.fault.back_s.unwrap_or(LEADER_RESTART_DELAY_S);
        let back = us(draw.between(range_s)).max(1);
        self.push(self.start, Action::KillLeader { back });
    }
}

/// Returns the time spans in which a fault is active: one, or several where the fault flaps.
fn active_windows(fault: &Fault) -> Vec<ActiveWindow> {
    let from = us(fault.at_s);
    let to = from + us(fault.for_s.unwrap_or(0.0));
    let Some([on_s, off_s]) = fault.flap_s else { return vec![ActiveWindow { from, to }] };
    let on = us(on_s).max(1);
    let off = us(off_s).max(1);
    let starts = (0..).map(|cycle| from + cycle * (on + off)).take_while(|start| *start < to);
    starts.map(|start| ActiveWindow { from: start, to: (start + on).min(to) }).collect()
}

/// Splits the targets into batches, in a random order.
fn batches(mut targets: Vec<usize>, fault: &Fault, draw: &mut Draw) -> Vec<BatchEntry> {
    draw.shuffle(&mut targets);
    let fraction = fault.batch.unwrap_or(1.0);
    let size = ((targets.len() as f64 * fraction).round() as usize).max(1);
    let interval = us(fault.every_s.unwrap_or(0.0));
    let entry = |(position, target): (usize, usize)| {
        let batch = (position / size) as Microseconds;
        BatchEntry { delay: batch * interval, target }
    };
    targets.into_iter().enumerate().map(entry).collect()
}

/// Converts a fraction to parts per million.
fn per_million(fraction: f64) -> u32 {
    (fraction * 1e6).round() as u32
}

/// Converts milliseconds to whole microseconds; `None` becomes 0.
fn milliseconds_as_us(value: Option<f64>) -> u32 {
    (value.unwrap_or(0.0) * 1000.0).round() as u32
}
