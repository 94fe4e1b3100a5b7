//! Carries out the steps of a plan: faults, restarts, reloads, rollouts.

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

/// An operator waits so long for a rollout to be taken.
const ROLLOUT_TIME: Duration = Duration::from_secs(2);
/// After SIGTERM the front sends on for this long.
const FRONT_AFTER_TERM: Duration = Duration::from_millis(300);

impl World {
    fn backend(&self, number: usize) -> Option<Arc<Backend>> {
        lock(&self.backends).get(&number).cloned()
    }

    /// Does what a step says.
    pub(super) fn act(self: &Arc<World>, action: &Action) {
        match action {
            Action::Link { .. } | Action::Reset { .. } => self.on_links(action),
            Action::Kill(g) | Action::Restart(g) => self.stop(*g, matches!(action, Action::Kill(_))),
            Action::Start(g) => self.start_again(*g),
            Action::Pause { gateway, on } => self.pause(*gateway, *on),
            Action::Reload(g) => self.reload(*g),
            Action::BackendDies(b) => {
                if let Some(backend) = self.backend(*b) {
                    backend.die();
                    self.discovery.change(*b, Phase::Gone);
                }
            }
            Action::BackendStarts(b) => {
                if let Some(backend) = self.backend(*b) {
                    backend.start();
                    self.discovery.change(*b, Phase::Ready);
                }
            }
            Action::Drain { old, new, label } => {
                if let Some(backend) = self.backend(*old) {
                    backend.drain();
                }
                self.discovery.change(*old, Phase::Draining);
                match self.add_backend(*new, Some(self.context.clock.now().max(1))) {
                    Ok(backend) => self.discovery.add(&backend, label),
                    Err(error) => self.context.starved.note(&error),
                }
            }
            Action::Ill { backend, ill, on } => {
                if let Some(backend) = self.backend(*backend) {
                    backend.ill(*ill, *on);
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
            Action::ListMove(b) => {
                if let Some(backend) = self.backend(*b) {
                    for gateway in 0..self.gateways.len() {
                        if let Err(error) = self.backend_door(gateway, &backend) {
                            self.context.starved.note(&error);
                        }
                    }
                    self.discovery.moved(*b);
                }
            }
            Action::Rollout { gateway, rules } => self.roll(*gateway, rules.clone()),
            Action::KillLeader { back } => self.kill_leader(*back),
        }
    }

    fn roll(&self, gateway: usize, rules: String) {
        let ops = lock(&self.gateways[gateway].place).ops;
        tokio::spawn(async move {
            let call = format!(
                "POST /rollout HTTP/1.1\r\nHost: ops\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{rules}",
                rules.len()
            );
            match timeout(ROLLOUT_TIME, call_ops(ops, &call)).await {
                Ok(Some(answer)) if answer.starts_with("HTTP/1.1 202") => {}
                answer => tracing::error!(?answer, "a rollout was not taken"),
            }
        });
    }

    /// Kills the gateway that said last that it leads.
    fn kill_leader(self: &Arc<World>, back: u64) {
        let record = lock(&self.context.record);
        let leader = record.rollouts.iter().rev().find(|seen| seen.leads).map(|seen| seen.gateway);
        drop(record);
        let Some(leader) = leader else { return };
        self.stop(leader, true);
        let world = self.clone();
        tokio::spawn(async move {
            sleep(Duration::from_micros(back)).await;
            world.start_again(leader);
        });
    }

    fn on_links(&self, action: &Action) {
        let pairs = |from: &[Party], to: &[Party], each: &dyn Fn(Party, Party)| {
            for from in from {
                to.iter().filter(|to| *to != from).for_each(|to| each(*from, *to));
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

    /// Ends a gateway's process, by SIGKILL or by SIGTERM; after SIGTERM it starts again.
    fn stop(self: &Arc<World>, number: usize, killed: bool) {
        let (world, gateway) = (self.clone(), self.gateways[number].clone());
        lock(&self.known).insert(number, self.discovery.known(number));
        tokio::spawn(async move {
            if killed {
                notice(&world.context, &world.clients, &gateway);
                gateway.kill().await;
                return;
            }
            let (clients, front) = (world.clients.clone(), gateway.number);
            tokio::spawn(async move {
                sleep(FRONT_AFTER_TERM).await;
                clients.front(front, true);
            });
            gateway.terminate().await;
            world.start_again(number);
        });
    }

    fn start_again(self: &Arc<World>, number: usize) {
        let (world, gateway) = (self.clone(), self.gateways[number].clone());
        tokio::spawn(async move {
            while gateway.runs() {
                sleep(Duration::from_millis(5)).await;
            }
            world.context.next_life(number);
            world.discovery.forget(number);
            let known = lock(&world.known).get(&number).cloned();
            let known = known.unwrap_or_else(|| world.discovery.known(number));
            let started = match gateway.start(&known) {
                Ok(()) => gateway.ready().await,
                Err(error) => Err(error),
            };
            match started {
                Ok(()) => world.clients.front(number, false),
                Err(error) => tracing::error!(%error, "a gateway did not start again"),
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
        let done = self.move_services(number).map_err(SetUpError::from).and_then(|()| {
            gateway.configure(&self.discovery.known(number))?;
            Ok(())
        });
        match done {
            Ok(()) => gateway.reload(),
            Err(error) => tracing::error!(%error, "a reload could not be made ready"),
        }
    }
}
