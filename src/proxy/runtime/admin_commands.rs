//! Handles commands from operators and from the other process of this gateway.

use super::messages::AdminCommand;
use super::Runtime;
use crate::decision::{EndpointId, Event};
use crate::proxy::control_plane::discovery::EndpointList;
use crate::proxy::lifecycle::handover::{HandoverMessage, HandoverSnapshot};
use tokio::sync::mpsc::{self, error::TrySendError};

/// Quarters of the connections and the memory that the predecessor reserves for its successor, which accepts all new
/// requests.
const SUCCESSOR_QUARTERS: usize = 3;
/// Quarters of the connections and the memory that the successor reserves for its predecessor.
const PREDECESSOR_QUARTERS: usize = 1;

impl Runtime {
    /// Carries out a command. The reply is dropped if the sender no longer waits for it.
    pub(super) fn run_command(&mut self, command: AdminCommand) {
        match command {
            AdminCommand::CountEndpoints(reply) => {
                let _ = reply.send(self.gateway.endpoint_counts(self.clock.now()));
            }
            AdminCommand::SetMaintenance { endpoint, in_maintenance, relayed, reply } => {
                let _ = reply.send(self.set_maintenance(endpoint, in_maintenance, relayed));
            }
            AdminCommand::HandOver { messages, reply } => {
                let _ = reply.send(Box::new(self.hand_over(messages)));
            }
            AdminCommand::TakeOver { snapshot, messages, reply } => {
                self.take_over(*snapshot, messages);
                let _ = reply.send(());
            }
            AdminCommand::PeerProcessExited(reply) => {
                self.reserve_for_other_process(None, 0);
                self.pending_events.push(Event::PeerProcessExited);
                self.run_tick();
                let _ = reply.send(());
            }
        }
    }

    /// Takes an endpoint out of service, or puts it back. Returns whether an endpoint with this name exists. One that the other
    /// process knows may come in this process's list later, and keeps its maintenance until then.
    pub(super) fn set_maintenance(&mut self, name: String, in_maintenance: bool, relayed: bool) -> bool {
        let endpoint = match relayed {
            true => self.site.endpoint_id(&name),
            false => match self.site.known_endpoint_id(&name) {
                Some(endpoint) if self.has_endpoint(endpoint) => endpoint,
                _ => return false,
            },
        };
        if let Some(backend) = self.backends.get(&endpoint) {
            // Open connections will be stale once the backend has restarted.
            self.pool.close_idle(backend.address);
        }
        self.pending_events.push(Event::MaintenanceChanged { endpoint, in_maintenance });
        self.run_tick();
        match (relayed, &self.other_process) {
            (true, _) => drop(self.early_maintenance.remove(&name)),
            // The other process still sends to this backend as well, so the command is relayed to it.
            (false, Some(other)) => {
                relay(other, HandoverMessage::SetMaintenance { endpoint: name, in_maintenance });
            }
            (false, None) if !self.lifecycle.state().may_join_cluster => {
                self.early_maintenance.insert(name, in_maintenance);
            }
            (false, None) => {}
        }
        true
    }

    fn has_endpoint(&self, endpoint: EndpointId) -> bool {
        self.backends.contains_key(&endpoint) || self.gateway.is_in_maintenance(endpoint)
    }

    /// Returns the state for the successor, and reserves connections and memory for it.
    pub(super) fn hand_over(&mut self, messages: mpsc::Sender<HandoverMessage>) -> HandoverSnapshot {
        self.reserve_for_other_process(Some(messages), SUCCESSOR_QUARTERS);
        self.run_tick();
        let endpoints = self.discovered_endpoints.values().cloned().collect();
        let endpoints = EndpointList { revision: self.list_revision, complete: true, endpoints };
        let decision_state = self.gateway.hand_over();
        HandoverSnapshot { endpoints, decision_state, ledger: None }
    }

    /// Takes over the state of the predecessor, and reserves connections and memory for it.
    pub(super) fn take_over(&mut self, snapshot: HandoverSnapshot, messages: mpsc::Sender<HandoverMessage>) {
        self.reserve_for_other_process(Some(messages), PREDECESSOR_QUARTERS);
        if snapshot.endpoints.revision > self.list_revision {
            self.apply_endpoint_list(snapshot.endpoints);
        }
        self.run_tick();
        self.gateway.take_over(snapshot.decision_state);
        // The predecessor's state is older than the orders of which it has not heard.
        for (endpoint, in_maintenance) in std::mem::take(&mut self.early_maintenance) {
            self.set_maintenance(endpoint, in_maintenance, false);
        }
    }

    /// Reserves the given quarters of the connections and the memory for the other process, if there is one.
    fn reserve_for_other_process(&mut self, other: Option<mpsc::Sender<HandoverMessage>>, quarters: usize) {
        self.other_process = other;
        self.pool.reserve_for_other_process(quarters);
        self.memory.reserve_for_other_process(quarters);
        if let Some(counter) = &self.counter {
            counter.reserve_for_other_process(quarters);
        }
    }
}

/// Sends a message to the other process. While the queue is full, a task waits; messages keep their order, as free places go
/// to those that wait first. If that process has exited, nothing is owed to it.
fn relay(other: &mpsc::Sender<HandoverMessage>, message: HandoverMessage) {
    if let Err(TrySendError::Full(message)) = other.try_send(message) {
        let other = other.clone();
        tokio::task::spawn_local(async move { other.send(message).await });
    }
}
