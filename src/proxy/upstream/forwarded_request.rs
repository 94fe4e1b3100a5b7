//! A client's request as it is forwarded to backends, in as many attempts as it takes.

use super::attempt_tracker::AttemptTracker;
use crate::proxy::cluster_transport::ledger_claim::LedgerClaim;
use crate::proxy::downstream::request_body::{OutboundBody, StreamedRequestBody};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::time::Instant;

/// The header that says for how many milliseconds the client waits, or, to a backend, the gateway does.
pub const BUDGET_MS: HeaderName = HeaderName::from_static("x-budget-ms");

/// A client's request as it is forwarded to backends.
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Its headers, without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Its body.
    pub body: RequestPayload,
    /// Cleared once the request has its response or its client has left: from then on nothing of it is sent.
    pub wanted: Cell<bool>,
    /// Notified of each attempt, where somebody has to know whether one may have run.
    pub tracker: Option<Rc<AttemptTracker>>,
    /// Its claim at the ledger, where a record is kept of it.
    pub claim: Option<Rc<LedgerClaim>>,
}

impl ForwardedRequest {
    /// A request as its client sent it, without claim and tracker.
    pub fn new(method: Method, uri: Uri, headers: HeaderMap, body: RequestPayload) -> ForwardedRequest {
        ForwardedRequest { method, uri, headers, body, wanted: Cell::new(true), tracker: None, claim: None }
    }
    /// The client's id of the request, for logs.
    pub fn call_id(&self) -> Option<&str> {
        self.headers.get("x-call-id").and_then(|id| id.to_str().ok())
    }
    /// The same request once more. A streamed body can't be sent twice: the copy has none.
    pub fn duplicate(&self) -> ForwardedRequest {
        let body = match &self.body {
            RequestPayload::Buffered(body) => body.clone(),
            RequestPayload::Streamed(_) => Bytes::new(),
        };
        let (method, uri, headers) = (self.method.clone(), self.uri.clone(), self.headers.clone());
        let forward = ForwardedRequest::new(method, uri, headers, RequestPayload::Buffered(body));
        ForwardedRequest { tracker: self.tracker.clone(), claim: self.claim.clone(), ..forward }
    }
}

/// The body of a request that is forwarded to backends.
pub enum RequestPayload {
    /// All of it is here, for as many attempts as it takes.
    Buffered(Bytes),
    /// It is still coming, for one attempt.
    Streamed(RefCell<Option<Box<StreamedRequestBody>>>),
}

impl ForwardedRequest {
    /// The request as it is sent to a backend by an attempt that is given up at `give_up_at`. None: its streamed body has
    /// gone to another backend.
    pub fn to_request(&self, give_up_at: Instant) -> Option<Request<OutboundBody>> {
        let body = match &self.body {
            RequestPayload::Buffered(body) => OutboundBody::Buffered(Full::new(body.clone())),
            RequestPayload::Streamed(upload) => OutboundBody::Streamed(upload.take()?),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        // The time of a streamed body begins with its last byte; until then the client's own header stands.
        if matches!(self.body, RequestPayload::Buffered(_)) {
            let left = give_up_at.saturating_duration_since(Instant::now()).as_millis() as u64;
            request.headers_mut().insert(BUDGET_MS, HeaderValue::from(left));
        }
        Some(request)
    }
}

/// Removes the hop-by-hop headers (RFC 9110, 7.6.1), and those of the framing, which is each connection's own.
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
