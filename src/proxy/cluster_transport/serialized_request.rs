//! Serialized form of a request that gateways replicate and store: only the parts that are sent to a backend. This is
//! a wire and disk form.

use crate::decision::Micros;
use crate::proxy::downstream::context::ProxyContext;
use crate::proxy::downstream::request_head::RequestHead;
use crate::proxy::upstream::forwarded_request::{ForwardedRequest, RequestPayload};
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Uri};
use serde::{Deserialize, Serialize};

/// A serialized request. Postcard is positional, so the order of the fields must not change.
#[derive(Serialize, Deserialize)]
struct SerializedRequest {
    method: String,
    uri: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

/// Serializes a request.
pub fn serialize(method: &Method, uri: &Uri, headers: &HeaderMap, body: &Bytes) -> Option<Vec<u8>> {
    let request = SerializedRequest {
        method: method.to_string(),
        uri: uri.to_string(),
        headers: headers.iter().map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect(),
        body: body.to_vec(),
    };
    postcard::to_allocvec(&request).ok()
}

/// A request that was stored or replicated.
pub struct DeserializedRequest {
    /// Its head. The time budget is the full deadline of its class.
    pub head: RequestHead,
    /// The request as forwarded to backends.
    pub forward: ForwardedRequest,
    /// Time budget that its client gave it.
    pub client_budget: Micros,
}

/// Deserializes a request. Returns `None` if the bytes are invalid or the request does not match this gateway's
/// configuration.
pub fn deserialize(context: &ProxyContext, bytes: &[u8]) -> Option<DeserializedRequest> {
    let request: SerializedRequest = postcard::from_bytes(bytes).ok()?;
    let mut headers = HeaderMap::new();
    for (name, value) in &request.headers {
        headers.append(HeaderName::from_bytes(name.as_bytes()).ok()?, HeaderValue::from_bytes(value).ok()?);
    }
    let method: Method = request.method.parse().ok()?;
    let uri: Uri = request.uri.parse().ok()?;
    let mut head = RequestHead::read(&method, uri.query(), &headers, &context.rules).ok()?;
    let client_budget = head.budget;
    head.budget = context.rules.deadline(head.arrival.class).max(Micros(1));
    let body = RequestPayload::Buffered(Bytes::from(request.body));
    let forward = ForwardedRequest::new(method, uri, headers, body);
    Some(DeserializedRequest { head, forward, client_budget })
}
