//! Accepts clients' connections until SIGTERM, then closes them in an orderly way.

use super::accept::AcceptBackoff;
use super::connection::serve_connection;
use super::context::ProxyContext;
use super::idle_connections::{IdleConnections, SWEEP_INTERVAL};
use crate::proxy::lifecycle::drain::ShutdownPhase;
use crate::proxy::runtime::clock::duration;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit};
use tokio::time::{interval, sleep, sleep_until, Instant, Interval};
use tracing::warn;

/// How often a connection that waits for a permit looks for one that can be closed for it.
const MAKE_ROOM_INTERVAL: Duration = Duration::from_millis(2);
/// How long after SIGTERM new connections are accepted; they go on coming for 0.4 s.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(600);
/// SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as this where it is longer, and 0.7 s.
const MAX_DEADLINE_AWAITED: Duration = Duration::from_secs(3);
/// What is still unanswered so long after the longest deadline is failed.
const FINAL_MARGIN: Duration = Duration::from_millis(200);
/// Streamed responses that have started go on after that. To end before them would cut them off, so it takes SIGKILL or
/// this.
const MAX_STREAMING_AFTER_SIGTERM: Duration = Duration::from_secs(60);

/// When shutdown began, and what follows from it.
struct Shutdown {
    context: Rc<ProxyContext>,
    began_at: Option<Instant>,
}

impl Shutdown {
    fn new(context: Rc<ProxyContext>) -> Shutdown {
        let mut shutdown = Shutdown { context, began_at: None };
        shutdown.note_begin();
        shutdown
    }

    /// Notes the time if shutdown has begun.
    fn note_begin(&mut self) {
        let stopping = self.context.lifecycle.state().shutdown > ShutdownPhase::Running;
        if self.began_at.is_none() && stopping {
            self.began_at = Some(Instant::now());
        }
    }

    fn has_begun(&self) -> bool {
        self.began_at.is_some()
    }

    /// So long after its begin; from now, if it has not begun.
    fn after(&self, time: Duration) -> Instant {
        self.began_at.unwrap_or_else(Instant::now) + time
    }

    /// When what is still unanswered is failed: well before SIGKILL may come.
    fn final_at(&self) -> Instant {
        let longest = duration(self.context.rules.longest_deadline());
        self.after(longest.min(MAX_DEADLINE_AWAITED) + FINAL_MARGIN)
    }

    fn is_final(&self) -> bool {
        self.context.lifecycle.state().shutdown == ShutdownPhase::Final
    }

    fn set_final(&self) {
        self.context.lifecycle.advance_shutdown(ShutdownPhase::Final);
    }
}

/// Serves clients until SIGTERM, answers what was accepted, and returns. `reserved_elsewhere` is how many connections the
/// other process of this gateway may hold.
pub async fn serve(
    listener: TcpListener,
    context: Rc<ProxyContext>,
    reserved_elsewhere: watch::Receiver<usize>,
) {
    let idle = Rc::new(IdleConnections::new(context.lifecycle.clone()));
    let shutdown = Shutdown::new(context.clone());
    let mut server = ClientServer { context, idle, shutdown, sweep: interval(SWEEP_INTERVAL) };
    server.accept_connections(listener, reserved_elsewhere).await;
    server.finish_connections().await;
}

/// All connections of clients.
struct ClientServer {
    context: Rc<ProxyContext>,
    idle: Rc<IdleConnections>,
    shutdown: Shutdown,
    sweep: Interval,
}

impl ClientServer {
    /// Accepts connections until the time for that is over, and closes the listener.
    async fn accept_connections(
        &mut self,
        listener: TcpListener,
        mut reserved_elsewhere: watch::Receiver<usize>,
    ) {
        let permits = self.context.permits.clone();
        let mut lifecycle = self.context.lifecycle.subscribe();
        let mut backoff = AcceptBackoff::default();
        // Accepted, without a permit yet.
        let mut accepted: Option<TcpStream> = None;
        loop {
            let waits_for_permit = accepted.is_some();
            let is_replaced = self.context.lifecycle.is_replaced();
            let stopping = self.shutdown.has_begun();
            tokio::select! {
                biased;
                result = listener.accept(), if !waits_for_permit && !is_replaced => match result {
                    Ok((stream, _)) => {
                        backoff.succeeded();
                        accepted = Some(stream);
                        if permits.available() == 0 {
                            self.idle.make_room();
                        }
                    }
                    Err(error) => backoff.failed(&error).await,
                },
                permit = permits.acquire(), if waits_for_permit => {
                    if let Some(stream) = accepted.take() {
                        self.spawn_connection(stream, permit);
                    }
                }
                () = sleep(MAKE_ROOM_INTERVAL), if waits_for_permit => self.idle.make_room(),
                _ = self.sweep.tick() => self.idle.sweep(),
                Ok(()) = reserved_elsewhere.changed() => {
                    permits.reserve_for_other_process(*reserved_elsewhere.borrow_and_update());
                }
                Ok(()) = lifecycle.changed() => {
                    self.idle.sweep();
                    self.shutdown.note_begin();
                }
                () = sleep_until(self.shutdown.final_at()), if stopping && !self.shutdown.is_final() => {
                    self.shutdown.set_final();
                }
                // Where another process accepts the new connections, none is left to wait for.
                () = std::future::ready(()), if !waits_for_permit && stopping && is_replaced => return,
                // Not before all that was accepted has its permit: a client that waits may have sent its request.
                () = sleep_until(self.shutdown.after(ACCEPT_AFTER_SIGTERM)), if !waits_for_permit && stopping => return,
            }
        }
    }

    fn spawn_connection(&self, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let (context, idle) = (self.context.clone(), self.idle.clone());
        tokio::task::spawn_local(async move {
            serve_connection(stream, context, idle).await;
            drop(permit);
        });
    }

    /// Returns when all connections are closed, or the time for that is over.
    async fn finish_connections(&mut self) {
        let mut all_closed = pin!(self.context.permits.wait_until_unused());
        self.shutdown.began_at.get_or_insert_with(Instant::now);
        loop {
            tokio::select! {
                () = &mut all_closed => return,
                _ = self.sweep.tick() => self.idle.sweep(),
                () = sleep_until(self.shutdown.final_at()), if !self.shutdown.is_final() => {
                    self.shutdown.set_final();
                }
                () = sleep_until(self.shutdown.after(MAX_STREAMING_AFTER_SIGTERM)) => {
                    return warn!("some clients' connections were still open at the end");
                }
            }
        }
    }
}
