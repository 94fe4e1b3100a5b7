//! Which backends there are: discovery's lists, operators' orders, and the two processes of one gateway.

use crate::proxy::runtime::*;

impl Runtime {
    pub(super) fn obey(&mut self, order: AdminCommand) {
        match order {
            AdminCommand::CountEndpoints(reply) => {
                let counts = self.gateway.endpoint_counts(self.clock.now());
                // An operator who has left needs no answer.
                let _ = reply.send(counts);
            }
            AdminCommand::SetMaintenance { endpoint: id, in_maintenance: out, relayed, reply: done } => {
                let server = self.site.seen(&id);
                let server =
                    server.filter(|s| self.backends.contains_key(s) || self.gateway.is_in_maintenance(*s));
                if let Some(server) = server {
                    // What stands open will be dead once the backend has restarted.
                    self.backends.get(&server).into_iter().for_each(|b| self.pool.forget(b.address));
                    self.batch.push(Event::MaintenanceChanged { endpoint: server, in_maintenance: out });
                    self.turn();
                    // The other process still sends to backends as well.
                    let other = self.other.as_ref().filter(|_| !relayed);
                    let told = other.map(|other| other.try_send(Word::Maintain { id, out }));
                    told.filter(Result::is_err).into_iter().for_each(|_| warn!("an order was not passed on"));
                }
                let _ = done.send(server.is_some());
            }
            AdminCommand::HandOver { messages: words, reply: done } => {
                self.share(Some(words), 3);
                self.turn();
                let endpoints = self.listed.values().cloned().collect();
                let endpoints = EndpointList { revision: self.revision, complete: true, endpoints };
                let _ = done.send(Box::new(Will { endpoints, estate: self.gateway.hand_over() }));
            }
            AdminCommand::TakeOver { snapshot: will, messages: words, reply: done } => {
                self.share(Some(words), 1);
                if will.endpoints.revision > self.revision {
                    self.members(will.endpoints);
                }
                self.turn();
                self.gateway.take_over(will.estate);
                let _ = done.send(());
            }
            AdminCommand::PeerProcessExited(done) => {
                self.share(None, 0);
                self.batch.push(Event::PeerProcessExited);
                self.turn();
                let _ = done.send(());
            }
        }
    }

    /// Leaves so many quarters of the connections to the other process of this gateway.
    pub(super) fn share(&mut self, other: Option<mpsc::Sender<Word>>, quarters: usize) {
        self.other = other;
        self.pool.leave(quarters);
        self.memory.leave(quarters);
        self.counter.iter().for_each(|counter| counter.leave(quarters));
    }

    pub(super) fn members(&mut self, list: EndpointList) {
        let scope = if list.complete { WatchScope::Complete } else { WatchScope::Incremental };
        if list.endpoints.is_empty() && !list.complete {
            self.revision = list.revision;
            return;
        }
        let entries = list.endpoints.len();
        let draining =
            list.endpoints.iter().filter(|member| member.status == EndpointStatus::Draining).count();
        match list.complete {
            true => info!(revision = list.revision, entries, draining, "whole list of backends"),
            false => debug!(revision = list.revision, entries, draining, "changes of the list of backends"),
        }
        self.revision = list.revision;
        if list.complete {
            self.listed.clear();
        }
        let mut entries = Vec::with_capacity(list.endpoints.len());
        for member in list.endpoints {
            let server = self.site.server(&member.name);
            let listed = member.status;
            let before = self.listed.get(&server).map(|member| member.status);
            if before != Some(member.status) {
                debug!(backend = member.name, address = %member.address, ?before, phase = ?member.status, "backend changes");
            }
            let backend = Backend {
                address: member.address,
                up_since_ms: member.started_at_unix_ms,
                open: Cell::new(listed == EndpointStatus::InService),
            };
            if let Some(old) = self.backends.get(&server) {
                let same = old.address == backend.address && old.up_since_ms == backend.up_since_ms;
                // Guards against old connections to a backend that moved, restarted or will end soon, and
                // against attempts that still wait for one.
                if !same || !backend.open.get() {
                    self.pool.forget(old.address);
                    old.open.set(false);
                }
            }
            entries.push(EndpointUpdate {
                endpoint: server,
                zone: self.site.zone(&member.zone),
                cell: CellId(member.cell),
                status: listed,
                weight: member.weight,
                started_at: self.start_of(server, member.started_at_unix_ms),
                label: self.site.label(&member.release_label),
            });
            if listed == EndpointStatus::Removed {
                self.starts.remove(&server);
                self.backends.remove(&server);
                self.listed.remove(&server);
            } else {
                self.listed.insert(server, member);
                self.backends.insert(server, Rc::new(backend));
            }
        }
        if list.complete {
            let told: HashSet<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
            self.starts.retain(|server, _| told.contains(server));
            self.backends.retain(|server, backend| {
                let stays = told.contains(server);
                if !stays {
                    backend.open.set(false);
                    self.pool.forget(backend.address);
                }
                stays
            });
        }
        if self.arms.is_watched() {
            let open = self.backends.values().filter(|backend| backend.open.get());
            self.arms.backends(open.map(|backend| backend.address).collect());
        }
        self.batch.push(Event::EndpointsChanged { scope, endpoints: entries });
    }

    /// When a backend started, on this gateway's clock: reckoned once for each start, so that a step of the wall clock makes
    /// no new one of it.
    fn start_of(&mut self, server: EndpointId, up_since_ms: u64) -> Option<Micros> {
        if up_since_ms == 0 {
            return None;
        }
        let known = self.starts.get(&server).filter(|(told, _)| *told == up_since_ms);
        let at = match known {
            Some((_, at)) => *at,
            None => self.clock.now() - self.clock.age_of(Micros(up_since_ms.saturating_mul(1000))),
        };
        self.starts.insert(server, (up_since_ms, at));
        Some(at)
    }

    pub(super) fn become_ready(&mut self) {
        self.ready_at = None;
        if self.duty.mark_endpoints_known() {
            info!(backends = self.backends.len(), "ready");
        }
    }
}
