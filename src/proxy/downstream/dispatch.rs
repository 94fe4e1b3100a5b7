//! Sends a request to the runtime and waits for its final response.

use super::context::ProxyContext;
use crate::decision::{Arrival, RequestId};
use crate::proxy::lifecycle::drain::ShutdownPhase;
use crate::proxy::runtime::messages::{send_event, FinalResponse, NewRequest, RuntimeEvent, RuntimeSender};
use crate::proxy::upstream::forwarded_request::ForwardedRequest;
use tokio::sync::oneshot;

/// Notifies the runtime on drop that the client has disconnected, unless the request was answered.
pub(super) struct DisconnectGuard<'a> {
    runtime: &'a RuntimeSender,
    request: RequestId,
    answered: bool,
}

impl<'a> DisconnectGuard<'a> {
    /// Returns a guard for a request that is about to be sent to the runtime.
    pub fn new(runtime: &'a RuntimeSender, request: RequestId) -> DisconnectGuard<'a> {
        DisconnectGuard { runtime, request, answered: false }
    }

    /// Marks the request as answered: dropping the guard then notifies nobody.
    pub fn set_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            send_event(self.runtime, RuntimeEvent::ClientDisconnected(self.request));
        }
    }
}

/// Sends a request with a buffered body to the runtime and returns its final response.
pub async fn dispatch(context: &ProxyContext, arrival: Arrival, forward: ForwardedRequest) -> FinalResponse {
    let id = context.request_ids.next();
    dispatch_with_id(id, context, arrival, forward).await
}

/// Does the work of [`dispatch`] for a request that already has its id.
pub(super) async fn dispatch_with_id(
    id: RequestId,
    context: &ProxyContext,
    arrival: Arrival,
    forward: ForwardedRequest,
) -> FinalResponse {
    let (reply, response) = oneshot::channel();
    let request = NewRequest { arrival: Arrival { id, ..arrival }, forward, reply };
    let mut guard = DisconnectGuard::new(&context.runtime, id);
    let mut lifecycle = context.lifecycle.subscribe();
    // If the runtime has ended, `reply` is dropped with the request, and waiting for the response fails.
    let _ = context.runtime.send(RuntimeEvent::RequestReceived(Box::new(request))).await;
    tokio::select! {
        biased;
        response = response => {
            guard.set_answered();
            response.unwrap_or(FinalResponse::Failed)
        }
        // The guard then reports to the runtime that the client disconnected.
        _ = lifecycle.wait_for(|state| state.shutdown == ShutdownPhase::Final) => FinalResponse::Failed,
    }
}
