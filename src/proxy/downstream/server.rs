//! Accepts client connections, and shuts down gracefully after SIGTERM.

use super::accept::AcceptBackoff;
use super::connection::serve_connection;
use super::context::ProxyContext;
use super::idle_connections::{IdleConnections, SWEEP_INTERVAL};
use super::listener::AcceptedConnection;
use super::refusal::{refuse, MAX_ACCEPT_WAIT};
use crate::decision::{EvictionLimits, Micros};
use crate::proxy::admin::metrics::ConnectionCloseReason;
use crate::proxy::lifecycle::drain::ShutdownPhase;
use crate::proxy::lifecycle::permits::Permits;
use crate::proxy::runtime::clock::duration;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, OwnedSemaphorePermit};
use tokio::time::{interval, sleep, sleep_until, Instant, Interval};
use tracing::warn;

/// Interval between attempts to close an inactive connection while an accepted one waits for a permit.
const EVICTION_INTERVAL: Duration = Duration::from_millis(2);
/// How long after SIGTERM new connections are accepted; clients keep connecting for 0.4 s.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(600);
/// Upper bound on the deadline that a graceful shutdown waits for. SIGKILL follows SIGTERM no sooner than the longest
/// deadline, capped at this value, plus 0.7 s.
const MAX_DEADLINE_AWAITED: Duration = Duration::from_secs(3);
/// Requests that are still unanswered this long after the longest deadline are failed.
const FINAL_MARGIN: Duration = Duration::from_millis(200);
/// Streamed responses that have started continue after the unanswered requests were failed. Exiting earlier would
/// truncate them, so only SIGKILL or this limit ends them.
const MAX_STREAMING_AFTER_SIGTERM: Duration = Duration::from_secs(60);

/// A predecessor with more than one in this many permits closes the connections of slow clients: its successor has only the
/// rest.
const CROWDED_DIVISOR: usize = 4;

/// Start of the shutdown, and the times that depend on it.
struct Shutdown {
    context: Rc<ProxyContext>,
    started_at: Option<Instant>,
}

impl Shutdown {
    fn new(context: Rc<ProxyContext>) -> Shutdown {
        let mut shutdown = Shutdown { context, started_at: None };
        shutdown.record_start();
        shutdown
    }

    /// Records the time if the shutdown has started and no time is recorded yet.
    fn record_start(&mut self) {
        let stopping = self.context.lifecycle.state().shutdown > ShutdownPhase::Running;
        if self.started_at.is_none() && stopping {
            self.started_at = Some(Instant::now());
        }
    }

    fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Returns the time `delay` after the start of the shutdown, or after now if it has not started.
    fn after_start(&self, delay: Duration) -> Instant {
        self.started_at.unwrap_or_else(Instant::now) + delay
    }

    /// Returns the time at which requests that are still unanswered are failed, well before SIGKILL may arrive.
    fn final_phase_at(&self) -> Instant {
        let longest = duration(self.context.rules.longest_deadline());
        self.after_start(longest.min(MAX_DEADLINE_AWAITED) + FINAL_MARGIN)
    }

    fn is_in_final_phase(&self) -> bool {
        self.context.lifecycle.state().shutdown == ShutdownPhase::Final
    }

    fn enter_final_phase(&self) {
        self.context.lifecycle.advance_shutdown(ShutdownPhase::Final);
    }
}

/// Serves clients until SIGTERM, finishes the accepted connections, and returns. `other_process_connections` is the
/// number of connections that the other process of this gateway may hold.
pub async fn serve(
    listener: TcpListener,
    context: Rc<ProxyContext>,
    other_process_connections: watch::Receiver<usize>,
) {
    let idle_connections = Rc::new(IdleConnections::new(context.lifecycle.clone(), context.clock));
    let shutdown = Shutdown::new(context.clone());
    let refusals = Permits::new(context.memory.sockets().refused_clients());
    let sweep_interval = interval(SWEEP_INTERVAL);
    let mut server = ClientServer { context, idle_connections, shutdown, sweep_interval, refusals };
    server.accept_connections(listener, other_process_connections).await;
    server.finish_connections().await;
}

/// The accept loop and the state of all client connections.
struct ClientServer {
    context: Rc<ProxyContext>,
    idle_connections: Rc<IdleConnections>,
    shutdown: Shutdown,
    sweep_interval: Interval,
    /// Connections that are being refused.
    refusals: Permits,
}

impl ClientServer {
    /// Accepts connections until no more are expected during the shutdown, then closes the listener.
    async fn accept_connections(
        &mut self,
        listener: TcpListener,
        mut other_process_connections: watch::Receiver<usize>,
    ) {
        let permits = self.context.permits.clone();
        permits.reserve_for_other_process(*other_process_connections.borrow_and_update());
        let mut lifecycle = self.context.lifecycle.subscribe();
        let mut backoff = AcceptBackoff::default();
        // The accepted connection that waits for a permit.
        let mut accepted: Option<AcceptedConnection> = None;
        loop {
            let waits_for_permit = accepted.is_some();
            let is_replaced = self.context.lifecycle.is_replaced();
            let stopping = self.shutdown.has_started();
            tokio::select! {
                biased;
                result = listener.accept(), if !waits_for_permit && !is_replaced => match result {
                    Ok((stream, _)) => {
                        backoff.succeeded();
                        accepted = Some(AcceptedConnection::new(stream));
                        if permits.available() == 0 {
                            self.make_room_for(&mut accepted);
                        }
                    }
                    Err(error) => backoff.failed(&error).await,
                },
                permit = permits.acquire(), if waits_for_permit => {
                    if let Some(connection) = accepted.take() {
                        self.spawn_connection(connection, permit);
                    }
                }
                () = sleep(EVICTION_INTERVAL), if waits_for_permit => self.make_room_for(&mut accepted),
                _ = self.sweep_interval.tick() => self.sweep(),
                Ok(()) = other_process_connections.changed() => {
                    permits.reserve_for_other_process(*other_process_connections.borrow_and_update());
                }
                Ok(()) = lifecycle.changed() => {
                    self.idle_connections.sweep();
                    self.shutdown.record_start();
                }
                () = sleep_until(self.shutdown.final_phase_at()), if stopping && !self.shutdown.is_in_final_phase() => {
                    self.shutdown.enter_final_phase();
                }
                // If another process accepts new connections, none will arrive at this one.
                () = std::future::ready(()), if !waits_for_permit && stopping && is_replaced => return,
                // Only once every accepted connection has its permit: a client that waits may have sent its request.
                () = sleep_until(self.shutdown.after_start(ACCEPT_AFTER_SIGTERM)),
                    if !waits_for_permit && stopping => return,
            }
        }
    }

    /// Closes a connection that has been inactive for long enough, if there is one. The longer the accepted one has waited,
    /// the less is enough; after [`MAX_ACCEPT_WAIT`] it is refused.
    fn make_room_for(&self, accepted: &mut Option<AcceptedConnection>) {
        let clock = self.context.clock;
        let waited = |connection: &AcceptedConnection| clock.now() - clock.time_at(connection.last_arrival);
        let waited = accepted.as_ref().map_or(Micros(0), waited);
        let _ = self.idle_connections.evict_one(EvictionLimits::after_waiting(waited));
        if waited < MAX_ACCEPT_WAIT {
            return;
        }
        let Some(permit) = self.refusals.try_acquire() else { return };
        if let Some(connection) = accepted.take() {
            self.context.metrics.connection_closes.increment(ConnectionCloseReason::Evicted);
            let (context, idle_connections) = (self.context.clone(), self.idle_connections.clone());
            tokio::task::spawn_local(async move {
                refuse(connection, context, idle_connections).await;
                drop(permit);
            });
        }
    }

    /// Closes connections whose time-out has expired, those that hold up scarce transfers, and those that keep permits from
    /// the successor.
    fn sweep(&self) {
        self.idle_connections.sweep();
        let wanted_transfers = self.context.memory.transfers_until_not_scarce();
        self.idle_connections.evict_unread(wanted_transfers, EvictionLimits::default());
        if self.context.memory.slow_bodies_are_scarce() {
            self.idle_connections.evict_stalled_bodies(EvictionLimits::default());
        }
        let permits = &self.context.permits;
        if self.context.lifecycle.is_replaced() && permits.in_use() * CROWDED_DIVISOR > permits.total() {
            self.idle_connections.evict_all(EvictionLimits::default());
        }
    }

    fn spawn_connection(&self, connection: AcceptedConnection, permit: OwnedSemaphorePermit) {
        let (context, idle_connections) = (self.context.clone(), self.idle_connections.clone());
        tokio::task::spawn_local(async move {
            serve_connection(connection, context, idle_connections).await;
            drop(permit);
        });
    }

    /// Returns when all connections are closed, or `MAX_STREAMING_AFTER_SIGTERM` after the start of the shutdown.
    async fn finish_connections(&mut self) {
        let mut all_closed = pin!(self.context.permits.wait_until_unused());
        self.shutdown.started_at.get_or_insert_with(Instant::now);
        loop {
            tokio::select! {
                () = &mut all_closed => return,
                _ = self.sweep_interval.tick() => self.sweep(),
                () = sleep_until(self.shutdown.final_phase_at()), if !self.shutdown.is_in_final_phase() => {
                    self.shutdown.enter_final_phase();
                }
                () = sleep_until(self.shutdown.after_start(MAX_STREAMING_AFTER_SIGTERM)) => {
                    return warn!("client connections are still open at the end of the shutdown; exiting without them");
                }
            }
        }
    }
}
