//! One attempt at a backend. Its outcome says whether the request may have run there: it may have from the first byte that
//! was written, for all that a caller who stops waiting can know.

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
use tokio::time::{sleep_until, timeout, Instant};

/// A connection to make an attempt over.
struct AttemptConnection {
    connection: Connection,
    /// It has carried calls before.
    reused: bool,
}

/// An attempt under way.
struct Attempt<'a> {
    pool: &'a Rc<ConnectionPool>,
    backend: &'a Backend,
    request: &'a ForwardedRequest,
    give_up_at: Instant,
    /// Bytes of the request may have been written.
    write_started: Cell<bool>,
    /// When its last byte was.
    request_sent_at: Cell<Option<Instant>>,
}

impl ConnectionPool {
    /// The result of an attempt that the gateway itself does not send.
    pub fn not_sent(&self, reason: NotSentReason) -> AttemptResult {
        self.metrics.not_sent.increment(reason);
        AttemptResult { not_sent: Some(reason), ..Outcome::NotSent.into() }
    }

    /// Makes one attempt and returns how it ended, its connection closed or back in the pool, or that a long response has
    /// started. It ends or starts by `give_up_at`, or when cancelled.
    pub async fn attempt(
        self: &Rc<ConnectionPool>,
        backend: &Backend,
        request: &ForwardedRequest,
        give_up_at: Instant,
        cancelled: oneshot::Receiver<()>,
    ) -> AttemptResult {
        // Guards the limit on descriptors: an attempt without a permit is never sent.
        let Some(permit) = self.try_acquire() else {
            return self.not_sent(NotSentReason::NoConnectionPermit);
        };
        let attempt = Attempt {
            pool: self,
            backend,
            request,
            give_up_at,
            write_started: Cell::new(false),
            request_sent_at: Cell::new(None),
        };
        // A response that is here when the time is up is a response.
        let result = tokio::select! {
            biased;
            _ = cancelled => Outcome::Cancelled.into(),
            result = attempt.exchange(permit) => result,
            () = sleep_until(give_up_at) => match attempt.write_started.get() {
                true => Outcome::Timeout.into(),
                false => Outcome::ConnectFailed.into(),
            },
        };
        AttemptResult { request_sent_at: attempt.request_sent_at.get(), ..result }
    }
}

impl Attempt<'_> {
    /// Sends the request and reads the response. A pooled connection that turns out to be closed before anything was
    /// written is replaced by another.
    async fn exchange(&self, permit: OwnedSemaphorePermit) -> AttemptResult {
        loop {
            let AttemptConnection { mut connection, reused } = match self.connect().await {
                Ok(connection) => connection,
                Err(result) => return result,
            };
            if let Some(reason) = self.reason_not_to_send() {
                return self.pool.not_sent(reason);
            }
            let idle = connection.idle_since.elapsed();
            let Some(call) = self.request.to_request(self.give_up_at) else {
                return self.pool.not_sent(NotSentReason::BodyAlreadySent);
            };
            self.write_started.set(true);
            let on_request_sent = || {
                self.request_sent_at.set(Some(Instant::now()));
                self.pool.metrics.attempts_sent.increment();
            };
            match connection.begin(call, on_request_sent).await {
                Ok(response) => {
                    let reading = ResponseReading {
                        pool: self.pool,
                        address: self.backend.address,
                        connection,
                        permit,
                    };
                    return read_response(reading, response).await;
                }
                // Guards against a pooled connection that was closed just before it was written to.
                Err(CallError::NotSent) if reused => self.write_started.set(false),
                Err(CallError::NotSent) => return Outcome::ConnectFailed.into(),
                Err(CallError::RequestBodyAborted) => return Outcome::NotSent.into(),
                Err(CallError::Broken) => {
                    if reused {
                        self.pool.broke_after_idle(idle);
                    }
                    return Outcome::ConnectionReset.into();
                }
            }
        }
    }

    /// A connection to send over, or the result if there is none.
    async fn connect(&self) -> Result<AttemptConnection, AttemptResult> {
        // What can be sent once goes out on a connection that has not been idle.
        let idle = match self.request.body {
            RequestPayload::Buffered(_) => self.pool.take_idle(self.backend.address),
            RequestPayload::Streamed(_) => None,
        };
        if let Some(connection) = idle {
            return Ok(AttemptConnection { connection, reused: true });
        }
        let opening = Connection::open(self.backend.address, self.pool.memory.buffer());
        match timeout(self.pool.connect_timeout, opening).await {
            Ok(Ok(connection)) => Ok(AttemptConnection { connection, reused: false }),
            Ok(Err(error)) if is_local_shortage(&error) => {
                Err(self.pool.not_sent(NotSentReason::LocalResourceShortage))
            }
            Ok(Err(_)) | Err(_) => Err(Outcome::ConnectFailed.into()),
        }
    }

    /// What has changed while the connection came up so that the request must not be sent any more.
    fn reason_not_to_send(&self) -> Option<NotSentReason> {
        // Guards against sending to a backend that has begun to drain.
        if !self.backend.open.get() {
            return Some(NotSentReason::EndpointDraining);
        }
        // Guards against sending for a client that has left, also where attempts must not be cancelled.
        if !self.request.wanted.get() {
            return Some(NotSentReason::RequestEnded);
        }
        // Guards against an owner that was paused and whose record has been taken over.
        if self.request.claim.as_ref().is_some_and(|claim| !claim.may_act()) {
            return Some(NotSentReason::NotOwner);
        }
        // Guards against writing in the moment in which the time is up.
        (Instant::now() >= self.give_up_at).then_some(NotSentReason::AttemptTimedOut)
    }
}

/// Whether a connection failed for want of something on this machine, so that the backend is not to blame.
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
