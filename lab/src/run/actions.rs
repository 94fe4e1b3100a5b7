//! Executes the steps of a plan: faults, restarts, reloads and rollouts.

use super::{SetUpError, World};
use crate::backend::Backend;
use crate::cluster_poll::call_ops;
use crate::discovery::Phase;
use crate::fault_targets::Party;
use crate::gateway::notice;
use crate::link::lock;
use crate::plan::Action;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time-out of the request that starts a rollout.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a process is checked for its end.
const PROCESS_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after SIGTERM for which the load balancer still forwards requests to the gateway.
const BALANCER_DELAY_AFTER_TERM: Duration = Duration::from_millis(300);

impl World {
    fn backend(&self, number: usize) -> Option<Arc<Backend>> {
        lock(&self.backends).get(&number).cloned()
    }

    /// Executes the action of a step.
    pub(super) fn execute(self: &Arc<World>, action: &Action) {
        match action {
            Action::Link { .. } | Action::Reset { .. } => self.change_links(action),
            Action::Kill(gateway) => self.stop(*gateway, true),
            Action::Restart(gateway) => self.stop(*gateway, false),
            Action::Start(gateway) => self.start_again(*gateway),
            Action::Pause { gateway, on } => self.pause(*gateway, *on),
            Action::Reload(gateway) => self.reload(*gateway),
            Action::BackendDies(backend) => self.kill_backend(*backend),
            Action::BackendStarts(backend) => self.start_backend(*backend),
            Action::Drain { old, new, label } => self.replace_backend(*old, *new, label),
            Action::Ill { backend, ill, on } => {
                if let Some(backend) = self.backend(*backend) {
                    backend.set_fault(*ill, *on);
                }
            }
            Action::CounterDown(on) => self.counter.down(*on),
            Action::CounterSlow { delay_us, on } => self.counter.slow(*delay_us, *on),
            Action::CounterEmpty => self.counter.empty(),
            Action::CounterGarble { rate, on } => self.counter.garble(*rate, *on),
            Action::CounterLimit { factor, on } => self.counter.limit(*factor, *on),
            Action::ListLate { delay_us, on } => self.discovery.late(*delay_us, *on),
            Action::ListSilent { gateway, on } => self.discovery.silent(*gateway, *on),
            Action::ListGhost(on) => self.discovery.ghosts(*on),
            Action::ListMove(backend) => self.move_backend(*backend),
            Action::Rollout { gateway, rules } => self.start_rollout(*gateway, rules.clone()),
            Action::KillLeader { back } => self.kill_leader(*back),
        }
    }

    fn kill_backend(&self, number: usize) {
        if let Some(backend) = self.backend(number) {
            backend.die();
            self.discovery.change(number, Phase::Gone);
        }
    }

    fn start_backend(&self, number: usize) {
        if let Some(backend) = self.backend(number) {
            backend.start();
            self.discovery.change(number, Phase::Ready);
        }
    }

    /// Drains a backend and starts a new one, cold.
    fn replace_backend(self: &Arc<World>, old: usize, new: usize, label: &str) {
        if let Some(backend) = self.backend(old) {
            backend.drain();
        }
        self.discovery.change(old, Phase::Draining);
        let started = Some(self.context.clock.now().max(1));
        match self.add_backend(new, started) {
            Ok(backend) => self.discovery.add(&backend, label),
            Err(error) => self.context.starved.note(&error),
        }
    }

    /// Opens a new address for a backend at each gateway and lists these addresses in discovery.
    fn move_backend(&self, number: usize) {
        let Some(backend) = self.backend(number) else { return };
        for gateway in 0..self.gateways.len() {
            if let Err(error) = self.open_backend_listener(gateway, &backend) {
                self.context.starved.note(&error);
            }
        }
        self.discovery.moved(number);
    }

    /// Sends a rollout to a gateway, as an operator does.
    fn start_rollout(&self, gateway: usize, rules: String) {
        let ops = lock(&self.gateways[gateway].place).ops;
        tokio::spawn(async move {
            let call = format!(
                "POST /rollout HTTP/1.1\r\nHost: ops\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{rules}",
                rules.len()
            );
            match timeout(ROLLOUT_TIMEOUT, call_ops(ops, &call)).await {
                Ok(Some(answer)) if answer.starts_with("HTTP/1.1 202") => {}
                answer => tracing::error!(?answer, "rollout was not accepted"),
            }
        });
    }

    /// Kills the gateway that was the last to report that it leads a rollout, and starts it again after `back_us`.
    fn kill_leader(self: &Arc<World>, back_us: u64) {
        let record = lock(&self.context.record);
        let leader = record.rollouts.iter().rev().find(|seen| seen.leads).map(|seen| seen.gateway);
        drop(record);
        let Some(leader) = leader else { return };
        self.stop(leader, true);
        let world = self.clone();
        tokio::spawn(async move {
            sleep(Duration::from_micros(back_us)).await;
            world.start_again(leader);
        });
    }

    fn change_links(&self, action: &Action) {
        let pairs = |from: &[Party], to: &[Party], each: &dyn Fn(Party, Party)| {
            for from in from {
                for to in to.iter().filter(|to| *to != from) {
                    each(*from, *to);
                }
            }
        };
        match action {
            Action::Link { from, to, change, on } => {
                pairs(from, to, &|from, to| self.context.links.get(from, to).change(change, *on));
            }
            Action::Reset { one, other } => {
                pairs(one, other, &|from, to| self.context.links.get(from, to).reset());
                pairs(other, one, &|from, to| self.context.links.get(from, to).reset());
            }
            _ => {}
        }
    }

    /// Ends the process of a gateway by SIGKILL if `killed`, otherwise by SIGTERM; after SIGTERM, starts a new process.
    fn stop(self: &Arc<World>, number: usize, killed: bool) {
        let world = self.clone();
        let gateway = self.gateways[number].clone();
        lock(&self.last_lists).insert(number, self.discovery.known(number));
        tokio::spawn(async move {
            if killed {
                notice(&world.context, &world.clients, &gateway);
                gateway.kill().await;
                return;
            }
            let clients = world.clients.clone();
            let front = gateway.number;
            tokio::spawn(async move {
                sleep(BALANCER_DELAY_AFTER_TERM).await;
                clients.front(front, true);
            });
            gateway.terminate().await;
            world.start_again(number);
        });
    }

    fn start_again(self: &Arc<World>, number: usize) {
        let world = self.clone();
        let gateway = self.gateways[number].clone();
        tokio::spawn(async move {
            while gateway.runs() {
                sleep(PROCESS_POLL_INTERVAL).await;
            }
            world.context.next_life(number);
            world.discovery.forget(number);
            let known = lock(&world.last_lists).get(&number).cloned();
            let known = known.unwrap_or_else(|| world.discovery.known(number));
            let started = match gateway.start(&known) {
                Ok(()) => gateway.ready().await,
                Err(error) => Err(error),
            };
            match started {
                Ok(()) => world.clients.front(number, false),
                Err(error) => tracing::error!(%error, "failed to restart a gateway; it stays down"),
            }
        });
    }

    fn pause(self: &Arc<World>, number: usize, on: bool) {
        let gateway = self.gateways[number].clone();
        gateway.pause(on);
        if on {
            notice(&self.context, &self.clients, &gateway);
        } else {
            self.clients.front(number, false);
        }
    }

    fn reload(&self, number: usize) {
        let gateway = &self.gateways[number];
        let prepared = self.open_services(number).map_err(SetUpError::from).and_then(|()| {
            gateway.configure(&self.discovery.known(number))?;
            Ok(())
        });
        match prepared {
            Ok(()) => gateway.reload(),
            Err(error) => tracing::error!(%error, "failed to prepare a reload; gateway is not reloaded"),
        }
    }
}
