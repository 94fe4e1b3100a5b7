//! Commands of operators and of the other process of this gateway.

use super::messages::AdminCommand;
use super::Runtime;
use crate::decision::Event;
use crate::proxy::control_plane::discovery::EndpointList;
use crate::proxy::lifecycle::handover::{HandoverMessage, HandoverSnapshot};
use tokio::sync::mpsc;
use tracing::warn;

/// Quarters of the connections and of the memory that the predecessor leaves to its successor, which takes all new
/// requests, and the successor to its predecessor.
const SUCCESSOR_QUARTERS: usize = 3;
const PREDECESSOR_QUARTERS: usize = 1;

impl Runtime {
    /// Carries out a command. Who asked and has left needs no reply.
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
                self.share_with(None, 0);
                self.pending_events.push(Event::PeerProcessExited);
                self.turn();
                let _ = reply.send(());
            }
        }
    }

    /// Takes an endpoint out of service, or puts it back. Returns whether there is one by this name.
    fn set_maintenance(&mut self, name: String, in_maintenance: bool, relayed: bool) -> bool {
        let Some(endpoint) = self.site.known_endpoint_id(&name) else { return false };
        if !self.backends.contains_key(&endpoint) && !self.gateway.is_in_maintenance(endpoint) {
            return false;
        }
        if let Some(backend) = self.backends.get(&endpoint) {
            // What is open will be dead once the backend has restarted.
            self.pool.forget(backend.address);
        }
        self.pending_events.push(Event::MaintenanceChanged { endpoint, in_maintenance });
        self.turn();
        // The other process still sends to backends as well.
        if let Some(other) = self.other_process.as_ref().filter(|_| !relayed) {
            let message = HandoverMessage::SetMaintenance { endpoint: name, in_maintenance };
            if other.try_send(message).is_err() {
                warn!("maintenance order not passed on to the other process");
            }
        }
        true
    }

    /// Hands the gateway over to another process.
    fn hand_over(&mut self, messages: mpsc::Sender<HandoverMessage>) -> HandoverSnapshot {
        self.share_with(Some(messages), SUCCESSOR_QUARTERS);
        self.turn();
        let endpoints = self.listed.values().cloned().collect();
        let endpoints = EndpointList { revision: self.list_revision, complete: true, endpoints };
        HandoverSnapshot { endpoints, decision_state: self.gateway.hand_over() }
    }

    /// Takes the gateway over from another process.
    fn take_over(&mut self, snapshot: HandoverSnapshot, messages: mpsc::Sender<HandoverMessage>) {
        self.share_with(Some(messages), PREDECESSOR_QUARTERS);
        if snapshot.endpoints.revision > self.list_revision {
            self.apply_endpoint_list(snapshot.endpoints);
        }
        self.turn();
        self.gateway.take_over(snapshot.decision_state);
    }

    /// Leaves so many quarters of the connections and of the memory to the other process, while there is one.
    fn share_with(&mut self, other: Option<mpsc::Sender<HandoverMessage>>, quarters: usize) {
        self.other_process = other;
        self.pool.leave(quarters);
        self.memory.leave(quarters);
        if let Some(counter) = &self.counter {
            counter.reserve_for_other_process(quarters);
        }
    }
}
