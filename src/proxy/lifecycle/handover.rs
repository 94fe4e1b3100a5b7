//! Replacement of a serving process without interruption. The predecessor, which serves, listens on a Unix socket in
//! `$TMPDIR`. The successor connects to that socket when it is about to serve, and both processes form one gateway
//! until the predecessor exits.
//!
//! The processes exchange lines of JSON over this connection. A failed hand-over never keeps a process from serving:
//! if the other process has exited, does not respond or sends invalid messages, this process goes on alone after a
//! time-out.

mod connection;
pub mod message;

pub use message::{HandoverMessage, HandoverSnapshot};

use crate::proxy::cluster_transport::ClusterTransport;
use crate::proxy::downstream::accept::AcceptBackoff;
use crate::proxy::lifecycle::drain::Lifecycle;
use crate::proxy::lifecycle::permits::Permits;
use crate::proxy::runtime::messages::{AdminCommand, AdminSender};
use connection::{within, HandoverConnection, HandoverError, STEP_TIMEOUT};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::interval;
use tracing::{info, warn};

/// Time-out for the first bytes of the snapshot. The predecessor has to build the snapshot while it shares a core.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(3);
/// How often the predecessor reports its number of client connections.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time-out of an order to a process that serves and that this one has not taken over from yet. Operators are promised an
/// answer within 1 s, of which the runtime may take 0.7 s.
const EARLY_ORDER_TIMEOUT: Duration = Duration::from_millis(250);
/// Capacity of the queue of messages from the runtime to the other process.
const MAX_QUEUED_MESSAGES: usize = 64;

/// Hand-over between this process and its predecessor or successor.
pub struct Handover {
    socket_path: PathBuf,
    runtime: AdminSender,
    lifecycle: Rc<Lifecycle>,
    /// Permits for client connections.
    client_permits: Rc<Permits>,
    /// Publishes the number of client connections of the other process, whose permits this process must not use.
    other_process_connections: watch::Sender<usize>,
    /// The cluster, if this gateway has a ledger.
    ledger: Option<Rc<ClusterTransport>>,
}

impl Handover {
    /// Creates the hand-over of the gateway with this client address. The socket's name contains the address because
    /// other gateways may use the same folder.
    pub fn new(
        folder: &Path,
        address: SocketAddr,
        runtime: AdminSender,
        lifecycle: Rc<Lifecycle>,
        client_permits: Rc<Permits>,
        other_process_connections: watch::Sender<usize>,
        ledger: Option<Rc<ClusterTransport>>,
    ) -> Handover {
        // Must not change: older builds use this name to find the other process.
        let socket_path = folder.join(format!("starlinghill-{address}.sock"));
        Handover { socket_path, runtime, lifecycle, client_permits, other_process_connections, ledger }
    }

    /// Takes over from the serving process, if there is one. Returns once this process may serve.
    pub async fn take_over(self: &Rc<Handover>) {
        let connecting = UnixStream::connect(&self.socket_path);
        let Ok(Ok(stream)) = within(STEP_TIMEOUT, connecting).await else { return };
        let mut connection = HandoverConnection::new(stream);
        if connection.send(&HandoverMessage::Hello).await.is_err() {
            return;
        }
        let snapshot = match connection.receive_within(SNAPSHOT_TIMEOUT).await {
            Ok(HandoverMessage::Snapshot(snapshot)) => snapshot,
            Ok(_) => return warn!("no snapshot from the predecessor; starting as after a crash"),
            Err(error) => {
                return warn!(%error, "no snapshot from the predecessor; starting as after a crash");
            }
        };
        let (messages, outgoing) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let ledger_handover = snapshot.ledger.clone();
        let to_predecessor = messages.clone();
        let taken = self.command(|reply| AdminCommand::TakeOver { snapshot, messages, reply }).await;
        if taken.is_none() {
            return;
        }
        if let (Some(ledger), Some(handover)) = (&self.ledger, ledger_handover) {
            ledger.take_over(to_predecessor, handover);
        }
        // Until the predecessor reports how many it holds, it may hold all.
        self.other_process_connections.send_replace(usize::MAX);
        info!("taking over from the predecessor process");
        tokio::task::spawn_local(self.clone().follow_predecessor(connection, outgoing));
    }

    /// Passes an operator's order on to the process that serves, if this one has not taken over from it yet. Returns whether
    /// that process has carried it out, so that the order is part of the state that it hands over.
    pub async fn relay_before_take_over(&self, endpoint: &str, in_maintenance: bool) -> bool {
        if self.lifecycle.state().may_join_cluster {
            return false;
        }
        let order = HandoverMessage::SetMaintenance { endpoint: endpoint.to_string(), in_maintenance };
        let exchange = async {
            let mut connection = HandoverConnection::new(UnixStream::connect(&self.socket_path).await?);
            connection.send(&order).await?;
            connection.receive().await
        };
        // An older build closes the connection, and so does one that does not know the endpoint.
        let reply = within(EARLY_ORDER_TIMEOUT, exchange).await;
        matches!(reply, Ok(Ok(HandoverMessage::SetMaintenance { .. })))
    }

    /// Exchanges messages with the predecessor until it exits.
    async fn follow_predecessor(
        self: Rc<Handover>,
        connection: HandoverConnection,
        outgoing: mpsc::Receiver<HandoverMessage>,
    ) {
        self.relay(connection, outgoing).await;
        info!("the predecessor process has exited");
        if let Some(ledger) = &self.ledger {
            ledger.predecessor_exited();
        }
        self.other_process_connections.send_replace(0);
        self.command(AdminCommand::PeerProcessExited).await;
    }

    /// Sends a command to the runtime and waits for the reply. Returns `None` if the runtime has ended.
    async fn command<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> AdminCommand) -> Option<T> {
        let (reply, reply_receiver) = oneshot::channel();
        self.runtime.send(command(reply)).await.ok()?;
        reply_receiver.await.ok()
    }

    /// Binds the socket under a temporary name and renames it, which atomically replaces a stale socket or that of
    /// the other process.
    fn bind_socket(&self) -> io::Result<UnixListener> {
        let temporary = self.socket_path.with_extension(format!("{}", std::process::id()));
        match std::fs::remove_file(&temporary) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let listener = UnixListener::bind(&temporary)?;
        std::fs::rename(&temporary, &self.socket_path)?;
        Ok(listener)
    }

    /// Accepts successors until the process exits. Ends early only if the socket can't be bound.
    pub async fn serve_successors(self: Rc<Handover>) {
        loop {
            let listener = match self.bind_socket() {
                Ok(listener) => listener,
                Err(error) => {
                    return warn!(%error, path = %self.socket_path.display(), "no process can take over: socket not bound");
                }
            };
            // Returns after a successor has exited. Its socket has replaced this one, so the socket is bound again.
            self.accept_successor(&listener).await;
        }
    }

    /// Returns once a process has taken over from this one and has exited again.
    async fn accept_successor(&self, listener: &UnixListener) {
        let mut backoff = AcceptBackoff::default();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    backoff.failed(&error).await;
                    continue;
                }
            };
            backoff.succeeded();
            // One successor at a time: a second one waits in the backlog until its own time-out.
            let mut connection = HandoverConnection::new(stream);
            match connection.receive_within(STEP_TIMEOUT).await {
                Ok(HandoverMessage::Hello) => {}
                Ok(HandoverMessage::SetMaintenance { endpoint, in_maintenance }) => {
                    self.carry_out_early_order(&mut connection, endpoint, in_maintenance).await;
                    continue;
                }
                Ok(_) => continue,
                Err(error) => {
                    error.log();
                    continue;
                }
            }
            if self.hand_over(connection).await.is_ok() {
                return;
            }
        }
    }

    /// Carries out an order that an operator gave to a process that has not taken over yet, and confirms it.
    async fn carry_out_early_order(
        &self,
        connection: &mut HandoverConnection,
        endpoint: String,
        in_maintenance: bool,
    ) {
        let confirmation = HandoverMessage::SetMaintenance { endpoint: endpoint.clone(), in_maintenance };
        let command =
            |reply| AdminCommand::SetMaintenance { endpoint, in_maintenance, relayed: false, reply };
        if self.command(command).await == Some(true) {
            // Without the confirmation the other process repeats the order once it has taken over.
            let _ = connection.send(&confirmation).await;
        }
    }

    /// Hands the gateway over and returns when the successor has exited. Returns an error if the snapshot could not
    /// be sent.
    async fn hand_over(&self, mut connection: HandoverConnection) -> Result<(), HandoverError> {
        let (messages, outgoing) = mpsc::channel(MAX_QUEUED_MESSAGES);
        self.lifecycle.set_replaced(true);
        let snapshot = self.command(|reply| AdminCommand::HandOver { messages, reply }).await;
        let sent = match snapshot {
            Some(mut snapshot) => {
                snapshot.ledger = self.ledger.as_ref().map(|ledger| ledger.to_hand_over());
                connection.send(&HandoverMessage::Snapshot(snapshot)).await
            }
            None => Err(HandoverError::Closed),
        };
        if sent.is_ok() {
            info!("handing over to the successor process");
            self.lifecycle.hand_over_seat();
            self.relay(connection, outgoing).await;
            warn!("the successor process has exited; this process accepts connections again");
        }
        self.command(AdminCommand::PeerProcessExited).await;
        self.lifecycle.set_replaced(false);
        sent
    }

    /// Relays messages in both directions until the other process exits or breaks the protocol.
    async fn relay(&self, mut connection: HandoverConnection, mut outgoing: mpsc::Receiver<HandoverMessage>) {
        let mut report = interval(REPORT_INTERVAL);
        loop {
            let message = tokio::select! {
                received = connection.receive() => {
                    match received {
                        Ok(HandoverMessage::ClientConnections(connections)) => {
                            self.other_process_connections.send_replace(connections);
                        }
                        Ok(HandoverMessage::SetMaintenance { endpoint, in_maintenance }) => {
                            self.set_maintenance(endpoint, in_maintenance).await;
                        }
                        Ok(HandoverMessage::LedgerReply(reply)) => {
                            if let Some(ledger) = &self.ledger {
                                ledger.on_ledger_reply(&reply);
                            }
                        }
                        Ok(HandoverMessage::Hello | HandoverMessage::Snapshot(_)) => return,
                        Err(error) => return error.log(),
                    }
                    continue;
                }
                Some(message) = outgoing.recv() => message,
                _ = report.tick(), if self.lifecycle.is_replaced() => {
                    HandoverMessage::ClientConnections(self.client_permits.in_use())
                }
            };
            if connection.send(&message).await.is_err() {
                return;
            }
        }
    }

    /// Carries out an operator's command that the other process has relayed.
    async fn set_maintenance(&self, endpoint: String, in_maintenance: bool) {
        let command = |reply| AdminCommand::SetMaintenance { endpoint, in_maintenance, relayed: true, reply };
        self.command(command).await;
    }
}

#[cfg(test)]
mod tests;
