//! A request as gateways store it for each other, a form on wire and disk: what a backend is sent, and no more.

use crate::decision::Micros;
use crate::proxy::downstream::context::ProxyContext;
use crate::proxy::downstream::request_head::RequestHead;
use crate::proxy::upstream::forwarded_request::{ForwardedRequest, RequestPayload};
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Uri};
use serde::{Deserialize, Serialize};

/// A stored request. The form is postcard's, which has no names: the order of the fields is fixed.
#[derive(Serialize, Deserialize)]
struct SerializedRequest {
    method: String,
    uri: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

/// The bytes of a request.
pub fn serialize(method: &Method, uri: &Uri, headers: &HeaderMap, body: &Bytes) -> Option<Vec<u8>> {
    let request = SerializedRequest {
        method: method.to_string(),
        uri: uri.to_string(),
        headers: headers.iter().map(|(name, v)| (name.to_string(), v.as_bytes().to_vec())).collect(),
        body: body.to_vec(),
    };
    postcard::to_allocvec(&request).ok()
}

/// The request of these bytes, with all the time that its class allows, as nobody waits for it. None: it makes no sense
/// with this gateway's configuration.
pub fn deserialize(context: &ProxyContext, bytes: &[u8]) -> Option<(RequestHead, ForwardedRequest)> {
    let request: SerializedRequest = postcard::from_bytes(bytes).ok()?;
    let mut headers = HeaderMap::new();
    for (name, value) in &request.headers {
        headers.append(HeaderName::from_bytes(name.as_bytes()).ok()?, HeaderValue::from_bytes(value).ok()?);
    }
    let method: Method = request.method.parse().ok()?;
    let uri: Uri = request.uri.parse().ok()?;
    let mut head = RequestHead::read(&method, uri.query(), &headers, &context.rules).ok()?;
    head.budget = context.rules.deadline(head.arrival.class).max(Micros(1));
    let body = RequestPayload::Buffered(Bytes::from(request.body));
    Some((head, ForwardedRequest::new(method, uri, headers, body)))
}
