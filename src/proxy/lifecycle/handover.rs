//! The replacement of the process under load. The predecessor, which serves, listens on a socket in `$TMPDIR`; the
//! successor connects there when it is about to serve, and both form one gateway until the predecessor's end.
//!
//! Lines of JSON go both ways over that one connection. Nothing here keeps a process from serving: another process that
//! is dead, silent or sends garbage costs a moment, and then this one goes on alone.

mod connection;
pub mod message;

pub use message::{HandoverMessage, HandoverSnapshot};

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

/// The longest wait for the first bytes of the snapshot, which the predecessor has to put together with what it has of
/// a core.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(3);
/// How often the predecessor reports how many connections it still has.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Messages of the runtime that may wait to be written to the other process.
const MAX_QUEUED_MESSAGES: usize = 64;

/// One process's part in a replacement.
pub struct Handover {
    socket_path: PathBuf,
    runtime: AdminSender,
    lifecycle: Rc<Lifecycle>,
    /// Taken for each connection of a client.
    client_permits: Rc<Permits>,
    /// Reports how many the other process has, on which this one must not count.
    other_process_connections: watch::Sender<usize>,
}

impl Handover {
    /// For the gateway whose clients come to this address; others have their sockets in the folder as well.
    pub fn new(
        folder: &Path,
        address: SocketAddr,
        runtime: AdminSender,
        lifecycle: Rc<Lifecycle>,
        client_permits: Rc<Permits>,
        other_process_connections: watch::Sender<usize>,
    ) -> Handover {
        // An older build looks for its successor or predecessor by this name.
        let socket_path = folder.join(format!("starlinghill-{address}.sock"));
        Handover { socket_path, runtime, lifecycle, client_permits, other_process_connections }
    }

    /// Takes over from the process that serves, if there is one. Returns once this one may serve.
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
        let taken = self.command(|reply| AdminCommand::TakeOver { snapshot, messages, reply }).await;
        if taken.is_none() {
            return;
        }
        info!("taking over from the predecessor process");
        tokio::task::spawn_local(self.clone().follow_predecessor(connection, outgoing));
    }

    /// Forms one gateway with the predecessor until its end.
    async fn follow_predecessor(
        self: Rc<Handover>,
        connection: HandoverConnection,
        outgoing: mpsc::Receiver<HandoverMessage>,
    ) {
        self.relay(connection, outgoing).await;
        info!("the predecessor process has ended");
        self.other_process_connections.send_replace(0);
        self.command(AdminCommand::PeerProcessExited).await;
    }

    /// Sends the runtime a command and waits for its reply; none once the runtime is gone.
    async fn command<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> AdminCommand) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.runtime.send(command(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Binds the socket under another name first, so that it takes the place of a stale one, or of the other process's,
    /// in one step.
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

    /// Waits for processes that take over from this one, for ever.
    pub async fn serve_successors(self: Rc<Handover>) {
        loop {
            let listener = match self.bind_socket() {
                Ok(listener) => listener,
                Err(error) => {
                    return warn!(%error, path = %self.socket_path.display(), "no process can take over");
                }
            };
            // Until another's socket stands in the place of this one's.
            self.accept_successor(&listener).await;
        }
    }

    /// Returns once a process has taken over from this one and is gone again.
    async fn accept_successor(&self, listener: &UnixListener) {
        let mut accepting = AcceptBackoff::default();
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    accepting.failed(&error).await;
                    continue;
                }
            };
            accepting.succeeded();
            // One at a time: another one waits, and gives up in time.
            let mut connection = HandoverConnection::new(stream);
            match connection.receive_within(STEP_TIMEOUT).await {
                Ok(HandoverMessage::Hello) => {}
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

    /// Hands the gateway over and returns when the other process is gone; an error where it never took over.
    async fn hand_over(&self, mut connection: HandoverConnection) -> Result<(), HandoverError> {
        let (messages, outgoing) = mpsc::channel(MAX_QUEUED_MESSAGES);
        self.lifecycle.set_replaced(true);
        let snapshot = self.command(|reply| AdminCommand::HandOver { messages, reply }).await;
        let sent = match snapshot {
            Some(snapshot) => connection.send(&HandoverMessage::Snapshot(snapshot)).await,
            None => Err(HandoverError::Closed),
        };
        if sent.is_ok() {
            info!("handing over to the successor process");
            self.relay(connection, outgoing).await;
            warn!("the successor process is gone; serving again");
        }
        self.command(AdminCommand::PeerProcessExited).await;
        self.lifecycle.set_replaced(false);
        sent
    }

    /// Passes messages on, both ways, until the other process is gone.
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

    /// Carries out an operator's order that the other process received.
    async fn set_maintenance(&self, endpoint: String, in_maintenance: bool) {
        let command = |reply| AdminCommand::SetMaintenance { endpoint, in_maintenance, relayed: true, reply };
        self.command(command).await;
    }
}

#[cfg(test)]
mod tests;
