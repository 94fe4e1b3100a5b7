//! Makes one attempt at a backend. The outcome says whether the request may have run there. A caller that stops waiting
//! cannot know more, so a request may have run as soon as its first byte was written.

use super::attempt_result::AttemptResult;
use super::backend::Backend;
use super::connection::{CallError, Connection};
use super::forwarded_request::{ForwardedRequest, RequestPayload};
use super::pool::ConnectionPool;
use super::response::{read_response, ResponseReading};
use crate::decision::Outcome;
use crate::proxy::admin::metrics::NotSentReason;
use rustix::io::Errno;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use tokio::sync::{oneshot, OwnedSemaphorePermit};
use tokio::time::{timeout, Instant};

/// Connection that an attempt is sent over.
struct AttemptConnection {
    connection: Connection,
    /// Whether the connection has carried calls before.
    reused: bool,
}

/// An attempt in progress.
struct Attempt<'a> {
    pool: &'a Rc<ConnectionPool>,
    backend: &'a Backend,
    request: &'a ForwardedRequest,
    give_up_at: Instant,
    /// Whether bytes of the request may have been written.
    write_started: Cell<bool>,
    /// When the last byte of the request was written.
    request_sent_at: Cell<Option<Instant>>,
}

impl ConnectionPool {
    /// Counts an attempt that the gateway itself does not send, and returns its result.
    pub fn not_sent(&self, reason: NotSentReason) -> AttemptResult {
        self.metrics.not_sent.increment(reason);
        AttemptResult { not_sent: Some(reason), ..Outcome::NotSent.into() }
    }

    /// Makes one attempt. Returns either how it ended, with its connection closed or back in the pool, or that a
    /// streamed response has started. Returns by `give_up_at`, or when cancelled.
    pub async fn attempt(
        self: &Rc<ConnectionPool>,
        backend: &Backend,
        request: &ForwardedRequest,
        give_up_at: Instant,
        cancelled: oneshot::Receiver<()>,
    ) -> AttemptResult {
        // Enforces the limit on descriptors: an attempt without a permit is never sent.
        let Some(permit) = self.try_acquire() else {
            return self.not_sent(NotSentReason::NoConnectionPermit);
        };
        let transfer = match &request.body {
            RequestPayload::Buffered(_) => None,
            RequestPayload::Streamed { .. } => Some(self.memory.reserve_transfer()),
        };
        if matches!(transfer, Some(None)) {
            return self.not_sent(NotSentReason::NoConnectionPermit);
        }
        let attempt = Attempt {
            pool: self,
            backend,
            request,
            give_up_at,
            write_started: Cell::new(false),
            request_sent_at: Cell::new(None),
        };
        // A result that is available when the time-out expires takes precedence over the time-out.
        let result = tokio::select! {
            biased;
            _ = cancelled => Outcome::Cancelled.into(),
            result = attempt.exchange(permit) => result,
            () = request.attempt_timed_out(give_up_at) => match attempt.write_started.get() {
                true => Outcome::Timeout.into(),
                false => Outcome::ConnectFailed.into(),
            },
        };
        AttemptResult { request_sent_at: attempt.request_sent_at.get(), ..result }
    }
}

impl Attempt<'_> {
    /// Sends the request and reads the response. If a pooled connection turns out to be closed before anything was
    /// written, another connection is used.
    async fn exchange(&self, permit: OwnedSemaphorePermit) -> AttemptResult {
        loop {
            let AttemptConnection { mut connection, reused } = match self.connect().await {
                Ok(connection) => connection,
                Err(result) => return result,
            };
            if let Some(reason) = self.reason_not_to_send() {
                return self.pool.not_sent(reason);
            }
            let idle_time = connection.idle_since.elapsed();
            let Some(call) = self.request.to_request(self.give_up_at) else {
                return self.pool.not_sent(NotSentReason::BodyAlreadySent);
            };
            self.write_started.set(true);
            let on_request_sent = || {
                self.request_sent_at.set(Some(Instant::now()));
                self.pool.metrics.attempts_sent.increment();
            };
            match connection.send(call, on_request_sent).await {
                Ok(response) => {
                    let reading = ResponseReading {
                        pool: self.pool,
                        address: self.backend.address,
                        connection,
                        permit,
                    };
                    return read_response(reading, response).await;
                }
                // The pooled connection was closed just before it was written to: tries another.
                Err(CallError::NotSent) if reused => self.write_started.set(false),
                Err(CallError::NotSent) => return Outcome::ConnectFailed.into(),
                Err(CallError::RequestBodyAborted) => return Outcome::NotSent.into(),
                Err(CallError::Broken) => {
                    if reused {
                        self.pool.record_break_after_idle(idle_time);
                    }
                    return Outcome::ConnectionReset.into();
                }
            }
        }
    }

    /// Returns a connection to send over, or the result of the attempt if there is none.
    async fn connect(&self) -> Result<AttemptConnection, AttemptResult> {
        // A body that can be sent only once goes over a new connection, which cannot have been closed while idle.
        let idle_connection = match self.request.body {
            RequestPayload::Buffered(_) => self.pool.take_idle(self.backend.address),
            RequestPayload::Streamed { .. } => None,
        };
        if let Some(connection) = idle_connection {
            return Ok(AttemptConnection { connection, reused: true });
        }
        let opening = Connection::open(self.backend.address, self.pool.memory.buffer_bytes());
        match timeout(self.pool.connect_timeout, opening).await {
            Ok(Ok(connection)) => Ok(AttemptConnection { connection, reused: false }),
            Ok(Err(error)) if is_local_shortage(&error) => self.reuse_resting().await,
            Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed.into()),
        }
    }

    /// Returns a connection that has not rested yet, or the result of the attempt if there is none.
    async fn reuse_resting(&self) -> Result<AttemptConnection, AttemptResult> {
        let resting = match self.request.body {
            RequestPayload::Buffered(_) => self.pool.take_resting(self.backend.address).await,
            RequestPayload::Streamed { .. } => None,
        };
        match resting {
            Some(connection) => Ok(AttemptConnection { connection, reused: true }),
            None => Err(self.pool.not_sent(NotSentReason::LocalResourceShortage)),
        }
    }

    /// Returns why the request must not be sent any more, if something has changed while the connection was set up.
    fn reason_not_to_send(&self) -> Option<NotSentReason> {
        // Guards against sending to a backend that has started to drain.
        if !self.backend.accepts_requests.get() {
            return Some(NotSentReason::EndpointDraining);
        }
        // Guards against sending for a client that has disconnected, even where attempts must not be cancelled.
        if !self.request.is_sendable.get() {
            return Some(NotSentReason::RequestEnded);
        }
        // Guards against sending after this gateway was paused and another has taken over the request's ledger record.
        if self.request.claim.as_ref().is_some_and(|claim| !claim.may_act()) {
            return Some(NotSentReason::NotOwner);
        }
        // Guards against starting to write at the moment at which the time-out expires.
        (Instant::now() >= self.request.attempt_deadline(self.give_up_at))
            .then_some(NotSentReason::AttemptTimedOut)
    }
}

/// Returns whether connecting failed for lack of a resource on this machine, so that it is no failure of the backend.
fn is_local_shortage(error: &io::Error) -> bool {
    const LOCAL_SHORTAGES: [Errno; 7] = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::AGAIN,
        Errno::INTR,
    ];
    Errno::from_io_error(error).is_some_and(|errno| LOCAL_SHORTAGES.contains(&errno))
}
