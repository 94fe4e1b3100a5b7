//! A client's request as it is forwarded to backends, in one or more attempts.

use super::attempt_tracker::AttemptTracker;
use crate::proxy::cluster_transport::ledger_claim::LedgerClaim;
use crate::proxy::downstream::request_body::{OutboundBody, StreamedRequestBody};
use crate::proxy::memory_budget::MemoryReservation;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Header with the milliseconds that the client waits for a response or, in a request to a backend, the gateway waits.
pub const BUDGET_MS: HeaderName = HeaderName::from_static("x-budget-ms");

/// A client's request as it is forwarded to backends.
pub struct ForwardedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: RequestPayload,
    /// Cleared once the request is answered or its client has disconnected: from then on no attempt sends it.
    pub is_sendable: Cell<bool>,
    /// Notified of each attempt, if it must be known whether one may have run.
    pub tracker: Option<Rc<AttemptTracker>>,
    /// Claim on the request's ledger record, if there is one.
    pub claim: Option<Rc<LedgerClaim>>,
    /// Memory reserved for the request, if it comes from a client.
    pub memory: Option<Rc<MemoryReservation>>,
}

impl ForwardedRequest {
    /// Returns a request as the client sent it, without claim and tracker.
    pub fn new(method: Method, uri: Uri, headers: HeaderMap, body: RequestPayload) -> ForwardedRequest {
        ForwardedRequest {
            method,
            uri,
            headers,
            body,
            is_sendable: Cell::new(true),
            tracker: None,
            claim: None,
            memory: None,
        }
    }
    /// Returns the client's id of the request, for logs.
    pub fn call_id(&self) -> Option<&str> {
        self.headers.get("x-call-id").and_then(|id| id.to_str().ok())
    }
    /// Returns a copy of the request. A streamed body cannot be sent twice, so the copy of such a request has no body.
    pub fn duplicate(&self) -> ForwardedRequest {
        let body = match &self.body {
            RequestPayload::Buffered(body) => body.clone(),
            RequestPayload::Streamed { .. } => Bytes::new(),
        };
        let (method, uri, headers) = (self.method.clone(), self.uri.clone(), self.headers.clone());
        let forward = ForwardedRequest::new(method, uri, headers, RequestPayload::Buffered(body));
        let (tracker, claim, memory) = (self.tracker.clone(), self.claim.clone(), self.memory.clone());
        ForwardedRequest { tracker, claim, memory, ..forward }
    }
}

/// Body of a request that is forwarded to backends.
pub enum RequestPayload {
    /// Complete body, for any number of attempts.
    Buffered(Bytes),
    /// Body that is still arriving, for one attempt only.
    Streamed {
        /// The body, until an attempt takes it.
        body: RefCell<Option<Box<StreamedRequestBody>>>,
        /// Deadline of the request, which moves on while the body arrives.
        deadline: watch::Receiver<Instant>,
    },
}

impl ForwardedRequest {
    /// Returns when an attempt is given up that the runtime gives up at `give_up_at`: a streamed body may move the time
    /// on.
    pub fn attempt_deadline(&self, give_up_at: Instant) -> Instant {
        match &self.body {
            RequestPayload::Buffered(_) => give_up_at,
            RequestPayload::Streamed { deadline, .. } => *deadline.borrow(),
        }
    }

    /// Waits until an attempt is given up.
    pub async fn attempt_timed_out(&self, give_up_at: Instant) {
        let RequestPayload::Streamed { deadline, .. } = &self.body else {
            return sleep_until(give_up_at).await;
        };
        let mut deadline = deadline.clone();
        loop {
            let at = *deadline.borrow_and_update();
            tokio::select! {
                Ok(()) = deadline.changed() => {}
                () = sleep_until(at) => return,
            }
        }
    }

    /// Returns the request that an attempt which is given up at `give_up_at` sends to a backend, or `None` if the
    /// streamed body was already sent to another backend.
    pub fn to_request(&self, give_up_at: Instant) -> Option<Request<OutboundBody>> {
        let body = match &self.body {
            RequestPayload::Buffered(body) => OutboundBody::Buffered(Full::new(body.clone())),
            RequestPayload::Streamed { body, .. } => OutboundBody::Streamed(body.take()?),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        // The time budget of a streamed request starts with its last byte; until then the client's own header applies.
        if matches!(self.body, RequestPayload::Buffered(_)) {
            let remaining_ms = give_up_at.saturating_duration_since(Instant::now()).as_millis() as u64;
            request.headers_mut().insert(BUDGET_MS, HeaderValue::from(remaining_ms));
        }
        Some(request)
    }
}

/// Removes the hop-by-hop headers (RFC 9110, 7.6.1) and the framing headers, since each connection has its own framing.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    const HOP_BY_HOP: [HeaderName; 7] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::TRANSFER_ENCODING,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::EXPECT,
    ];
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
