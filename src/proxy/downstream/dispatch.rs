//! Dispatches a request to the runtime and waits for its final response.

use super::context::ProxyContext;
use crate::decision::{Arrival, RequestId};
use crate::proxy::lifecycle::drain::ShutdownPhase;
use crate::proxy::runtime::messages::{send_event, FinalResponse, NewRequest, RuntimeEvent, RuntimeSender};
use crate::proxy::upstream::forwarded_request::ForwardedRequest;
use tokio::sync::oneshot;

/// Tells the runtime at its drop that the client has disconnected, unless the request has its response.
pub(super) struct DisconnectGuard<'a> {
    runtime: &'a RuntimeSender,
    request: RequestId,
    answered: bool,
}

impl<'a> DisconnectGuard<'a> {
    /// A guard for a request that is about to be sent to the runtime.
    pub fn new(runtime: &'a RuntimeSender, request: RequestId) -> DisconnectGuard<'a> {
        DisconnectGuard { runtime, request, answered: false }
    }

    /// The request has its response.
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

/// Takes a request with a buffered body through the runtime to its final response.
pub async fn dispatch(context: &ProxyContext, arrival: Arrival, forward: ForwardedRequest) -> FinalResponse {
    let id = context.request_ids.next();
    dispatch_as(id, context, arrival, forward).await
}

/// The same, for a request that has its number.
pub(super) async fn dispatch_as(
    id: RequestId,
    context: &ProxyContext,
    arrival: Arrival,
    forward: ForwardedRequest,
) -> FinalResponse {
    let (reply, response) = oneshot::channel();
    let request = NewRequest { arrival: Arrival { id, ..arrival }, forward, reply };
    let mut guard = DisconnectGuard::new(&context.runtime, id);
    let mut lifecycle = context.lifecycle.subscribe();
    // Without a runtime the reply's sender is gone with the request.
    let _ = context.runtime.send(RuntimeEvent::RequestReceived(Box::new(request))).await;
    tokio::select! {
        biased;
        response = response => {
            guard.set_answered();
            response.unwrap_or(FinalResponse::Failed)
        }
        // To the runtime it is as if the client had disconnected.
        _ = lifecycle.wait_for(|state| state.shutdown == ShutdownPhase::Final) => FinalResponse::Failed,
    }
}
