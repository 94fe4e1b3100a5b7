//! A request whose body is passed on as it arrives. Its deadline moves on while the client is waited for, and stands
//! while the backend is.

use super::client_input::ClientInput;
use super::context::ProxyContext;
use super::dispatch::DisconnectGuard;
use super::request_body::{RequestBodyReader, RequestBodyResult};
use super::request_error::RequestError;
use crate::decision::{Arrival, Micros, RequestId, UploadClock};
use crate::proxy::admin::metrics::InFlightRequest;
use crate::proxy::lifecycle::drain::ShutdownPhase;
use crate::proxy::runtime::messages::{FinalResponse, NewRequest, RuntimeEvent};
use crate::proxy::upstream::forwarded_request::ForwardedRequest;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep_until, timeout, Instant};
use tracing::debug;

/// How much later than the present deadline the runtime and the attempt have theirs, so that they never enforce one
/// that is about to move on.
const ENFORCEMENT_MARGIN: Micros = Micros(500_000);
/// Longest time between two looks at the progress of a body.
const CHECK_INTERVAL: Micros = Micros(200_000);
/// How long the rest of a body is read and discarded after its request was answered.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);

/// A request whose body is passed on as it arrives.
pub(super) struct StreamedRequest<'a> {
    context: &'a ProxyContext,
    id: RequestId,
    input: Rc<ClientInput>,
    clock: UploadClock,
    /// Receiver of the result of the body. `None` once the result is known.
    body_end: Option<oneshot::Receiver<RequestBodyResult>>,
    /// When the progress is looked at again.
    check_at: Instant,
    /// Deadline that the attempt and the runtime enforce.
    enforced_at: Micros,
    is_overdue: bool,
    /// Publishes the deadline to the attempt that sends the body.
    deadline: watch::Sender<Instant>,
}

impl<'a> StreamedRequest<'a> {
    /// Returns a request whose head was just read, and the receiver of its deadline, which changes while its body
    /// arrives. `budget` is the time that the client waits from the last byte of the body.
    pub fn new(
        context: &'a ProxyContext,
        id: RequestId,
        budget: Micros,
        input: Rc<ClientInput>,
        body_end: oneshot::Receiver<RequestBodyResult>,
    ) -> (StreamedRequest<'a>, watch::Receiver<Instant>) {
        let now = context.clock.now();
        let clock = UploadClock::new(now, budget, input.progress(context.clock));
        let check_at = context.clock.instant_at(clock.deadline().min(now + CHECK_INTERVAL));
        let enforced_at = clock.deadline() + ENFORCEMENT_MARGIN;
        let (deadline, receiver) = watch::channel(context.clock.instant_at(enforced_at));
        let request = StreamedRequest {
            context,
            id,
            input,
            clock,
            body_end: Some(body_end),
            check_at,
            enforced_at,
            is_overdue: false,
            deadline,
        };
        (request, receiver)
    }

    /// Sends the request to the runtime and returns its final response. The request counts as in flight from its last
    /// byte.
    pub async fn dispatch(
        mut self,
        arrival: Arrival,
        forward: ForwardedRequest,
    ) -> Result<(FinalResponse, Option<InFlightRequest>), RequestError> {
        let context = self.context;
        let class = arrival.class;
        let arrival = Arrival { deadline: self.enforced_at, ..arrival };
        let mut in_flight = None;
        let (reply, mut response) = oneshot::channel();
        let request = NewRequest { arrival, forward, reply };
        let mut guard = DisconnectGuard::new(&context.runtime, self.id);
        let mut lifecycle = context.lifecycle.subscribe();
        // If the runtime has ended, `reply` is dropped with the request, and waiting for the response fails.
        let _ = context.runtime.send(RuntimeEvent::RequestReceived(Box::new(request))).await;
        let response = loop {
            let may_move_on = self.body_end.is_some() && !self.is_overdue;
            tokio::select! {
                biased;
                response = &mut response => {
                    guard.set_answered();
                    break response.unwrap_or(FinalResponse::Failed);
                }
                result = wait_for_body_end(&mut self.body_end) => {
                    self.body_end = None;
                    if is_complete(result)? {
                        in_flight = Some(context.metrics.request_received(class));
                        self.body_ended().await;
                    }
                }
                () = sleep_until(self.check_at), if may_move_on => self.check_progress().await,
                // The guard then reports to the runtime that the client disconnected.
                _ = lifecycle.wait_for(|state| state.shutdown == ShutdownPhase::Final) => {
                    break FinalResponse::Failed;
                }
            }
        };
        // A client that is answered early may send the rest of its body before it reads the response.
        if let Some(end) = self.body_end.take() {
            tokio::task::spawn_local(discard_rest(end));
        }
        Ok((response, in_flight))
    }

    /// Looks at the progress of the body. The deadline moves on while the client is waited for; once it has passed, the
    /// request is ended.
    async fn check_progress(&mut self) {
        let now = self.context.clock.now();
        self.clock.observe(now, self.input.progress(self.context.clock));
        let deadline = self.clock.deadline();
        if deadline <= now {
            debug!(request = self.id.0, input = ?self.input, "the body was held up until the deadline");
            self.is_overdue = true;
            self.enforce_at(now).await;
        } else if deadline + ENFORCEMENT_MARGIN >= self.enforced_at + CHECK_INTERVAL {
            self.enforce_at(deadline + ENFORCEMENT_MARGIN).await;
        }
        self.check_at = self.context.clock.instant_at(deadline.min(now + CHECK_INTERVAL));
    }

    /// Sets the deadline that the attempt and the runtime enforce.
    async fn enforce_at(&mut self, deadline: Micros) {
        self.publish_deadline(deadline);
        self.send_event(RuntimeEvent::DeadlineChanged { request: self.id, deadline }).await;
    }

    async fn body_ended(&mut self) {
        let now = self.context.clock.now();
        self.clock.observe(now, self.input.progress(self.context.clock));
        let deadline = self.clock.final_deadline(now);
        self.publish_deadline(deadline);
        self.send_event(RuntimeEvent::RequestBodyEnded { request: self.id, deadline }).await;
    }

    fn publish_deadline(&mut self, deadline: Micros) {
        self.enforced_at = deadline;
        self.deadline.send_replace(self.context.clock.instant_at(deadline));
    }

    async fn send_event(&self, event: RuntimeEvent) {
        // If the runtime has ended, the process is exiting.
        let _ = self.context.runtime.send(event).await;
    }
}

/// Waits for the result of a body. Never returns if the result was already received.
async fn wait_for_body_end(
    end: &mut Option<oneshot::Receiver<RequestBodyResult>>,
) -> Result<RequestBodyResult, oneshot::error::RecvError> {
    match end {
        Some(end) => end.await,
        None => std::future::pending().await,
    }
}

/// Returns whether a body was received completely. If nothing reads the rest any more, a task reads and discards it.
fn is_complete(result: Result<RequestBodyResult, oneshot::error::RecvError>) -> Result<bool, RequestError> {
    match result {
        Ok(RequestBodyResult::Complete) => Ok(true),
        Ok(RequestBodyResult::Broken(error)) => Err(error.into()),
        Ok(RequestBodyResult::Unread(rest)) => {
            tokio::task::spawn_local(discard(rest));
            Ok(false)
        }
        Err(_) => Ok(false),
    }
}

/// Discards the rest of a body once its attempt has ended.
async fn discard_rest(end: oneshot::Receiver<RequestBodyResult>) {
    if let Ok(RequestBodyResult::Unread(rest)) = end.await {
        discard(rest).await;
    }
}

/// Reads and discards the rest of a body. A client that takes longer than the time-out finds its connection closed.
async fn discard(rest: RequestBodyReader) {
    let _ = timeout(DISCARD_TIMEOUT, rest.discard()).await;
}
