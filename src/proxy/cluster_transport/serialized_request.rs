//! A request as gateways keep it for each other: what a backend is sent, and no more.

use crate::decision::Micros;
use crate::proxy::downstream::context::ProxyContext;
use crate::proxy::downstream::request_head::RequestHead;
use crate::proxy::upstream::forwarded_request::{ForwardedRequest, RequestPayload};
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Uri};
use serde::{Deserialize, Serialize};

/// A request as it is kept.
#[derive(Serialize, Deserialize)]
struct Kept {
    method: String,
    uri: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

/// The bytes of a request that is whole.
pub fn serialize(method: &Method, uri: &Uri, headers: &HeaderMap, body: &Bytes) -> Option<Vec<u8>> {
    let kept = Kept {
        method: method.to_string(),
        uri: uri.to_string(),
        headers: headers.iter().map(|(name, v)| (name.to_string(), v.as_bytes().to_vec())).collect(),
        body: body.to_vec(),
    };
    postcard::to_allocvec(&kept).ok()
}

/// The request of these bytes, with all the time of its class: nobody waits for it.
pub fn request(front: &ProxyContext, bytes: &[u8]) -> Option<(RequestHead, ForwardedRequest)> {
    let kept: Kept = postcard::from_bytes(bytes).ok()?;
    let mut headers = HeaderMap::new();
    for (name, value) in &kept.headers {
        headers.append(HeaderName::from_bytes(name.as_bytes()).ok()?, HeaderValue::from_bytes(value).ok()?);
    }
    let (method, uri): (Method, Uri) = (kept.method.parse().ok()?, kept.uri.parse().ok()?);
    let mut asked = RequestHead::read(&method, uri.query(), &headers, &front.rules).ok()?;
    asked.budget = front.rules.deadline(asked.arrival.class).max(Micros(1));
    let body = RequestPayload::Buffered(Bytes::from(kept.body));
    Some((asked, ForwardedRequest::new(method, uri, headers, body)))
}
