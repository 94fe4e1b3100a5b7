//! A client's request as it goes on to backends, for as many attempts as it takes.

use crate::decision::Outcome;
use crate::proxy::cluster_transport::ledger_claim::LedgerClaim;
use crate::proxy::downstream::request_body::{OutboundBody, StreamedRequestBody};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout_at, Instant};

/// How long the client waits; to a backend: how long this gateway does.
pub const BUDGET: HeaderName = HeaderName::from_static("x-budget-ms");

/// A client's request as it goes on to backends.
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Its headers, without those that hold for the client's connection alone.
    pub headers: HeaderMap,
    /// Its body.
    pub body: RequestPayload,
    /// Cleared once the request has its answer or its client has left: from then on nothing of it is sent.
    pub wanted: Cell<bool>,
    /// Told of each attempt, where somebody has to know whether one may have run.
    pub tries: Option<Rc<AttemptTracker>>,
    /// Its work at the ledger, where a record is kept of it.
    pub work: Option<Rc<LedgerClaim>>,
}

impl ForwardedRequest {
    /// A request as its client sent it, which nobody has to know of.
    pub fn new(method: Method, uri: Uri, headers: HeaderMap, body: RequestPayload) -> ForwardedRequest {
        ForwardedRequest { method, uri, headers, body, wanted: Cell::new(true), tries: None, work: None }
    }
    /// The client's id of the request, for logs.
    pub fn call_id(&self) -> Option<&str> {
        self.headers.get("x-call-id").and_then(|id| id.to_str().ok())
    }
    /// The same once more, for a body that is here whole; nothing of one that is still coming.
    pub fn again(&self) -> ForwardedRequest {
        let body = match &self.body {
            RequestPayload::Buffered(whole) => whole.clone(),
            RequestPayload::Streamed(_) => Bytes::new(),
        };
        let (method, uri, headers) = (self.method.clone(), self.uri.clone(), self.headers.clone());
        let forward = ForwardedRequest::new(method, uri, headers, RequestPayload::Buffered(body));
        ForwardedRequest { tries: self.tries.clone(), work: self.work.clone(), ..forward }
    }
}

/// Attempts of one request that may have run. An answer may come before the end of an attempt that is called off: what is
/// out may have run as well.
#[derive(Debug, Default)]
pub struct AttemptTracker {
    out: Cell<usize>,
    ran: Cell<bool>,
    over: Notify,
}

impl AttemptTracker {
    /// Such that have run already, for all that is known.
    pub fn that_ran(ran: bool) -> Rc<AttemptTracker> {
        Rc::new(AttemptTracker { ran: Cell::new(ran), ..AttemptTracker::default() })
    }
    /// One is about to be sent.
    pub fn begins(&self) {
        self.out.set(self.out.get() + 1);
    }
    /// One has ended.
    pub fn ended(&self, outcome: Outcome) {
        self.out.set(self.out.get().saturating_sub(1));
        self.ran.set(self.ran.get() || !outcome.never_ran());
        self.over.notify_waiters();
    }
    /// Whether one may have run, once all have ended, or after so long what is known then.
    pub async fn may_have_run(&self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        loop {
            let over = self.over.notified();
            if self.out.get() == 0 || timeout_at(until, over).await.is_err() {
                return self.ran.get() || self.out.get() > 0;
            }
        }
    }
}

/// The body of a request that goes on to backends.
pub enum RequestPayload {
    /// All of it is here, for as many attempts as it takes.
    Buffered(Bytes),
    /// It is still coming, for one attempt.
    Streamed(RefCell<Option<Box<StreamedRequestBody>>>),
}

impl ForwardedRequest {
    /// The call to a backend; none if the body has gone to another.
    pub fn request(&self, until: Instant) -> Option<Request<OutboundBody>> {
        let body = match &self.body {
            RequestPayload::Buffered(body) => OutboundBody::Buffered(Full::new(body.clone())),
            RequestPayload::Streamed(upload) => OutboundBody::Streamed(upload.take()?),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        // The time of an upload begins with its last byte; until then the client's own word stands.
        if matches!(self.body, RequestPayload::Buffered(_)) {
            let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
            request.headers_mut().insert(BUDGET, HeaderValue::from(left));
        }
        Some(request)
    }
}

/// Removes what holds for one connection alone; framing is the next connection's own.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    const NAMES: [HeaderName; 7] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::TRANSFER_ENCODING,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::EXPECT,
    ];
    NAMES.iter().for_each(|name| drop(headers.remove(name)));
    headers.remove("keep-alive");
}
