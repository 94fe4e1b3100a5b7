//! HTTP form of calls to the shared counter: `POST /v1/count/<key>?add=<amount>&ttl_ms=<lifetime>`, answered with the
//! total as a decimal number in plain text.

use super::{CounterReply, Increment};
use crate::decision::Outcome;
use crate::proxy::downstream::request_body::OutboundBody;
use bytes::Bytes;
use hyper::{header, Method, Request, Response, StatusCode};
use std::net::SocketAddr;
use thiserror::Error;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1000;

/// Builds the request of a call.
pub(super) fn request(address: SocketAddr, increment: Increment) -> Request<OutboundBody> {
    let Increment { key, amount, lifetime } = increment;
    let ttl_ms = (lifetime.0 / MICROS_PER_MILLI).max(1);
    let mut request = Request::new(OutboundBody::empty());
    *request.method_mut() = Method::POST;
    // The inserted values consist of digits and signs only, so the URI is always valid.
    if let Ok(uri) = format!("/v1/count/{}?add={amount}&ttl_ms={ttl_ms}", key.0).parse() {
        *request.uri_mut() = uri;
    }
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}

/// Response that the counter's protocol does not define.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProtocolError {
    /// A successful response without a total.
    #[error("response 200 without a valid total")]
    NotANumber,
    /// A status that the protocol does not define.
    #[error("unexpected response status")]
    UnexpectedStatus,
}

/// Interprets the response to a call.
pub(super) fn reply(response: &Response<Bytes>) -> Result<CounterReply, ProtocolError> {
    match response.status() {
        StatusCode::OK => total(response.body()),
        StatusCode::SERVICE_UNAVAILABLE => Ok(Outcome::Rejected.into()),
        // The counter did not accept the request, so nothing was added.
        StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND => Ok(Outcome::NotSent.into()),
        _ => Err(ProtocolError::UnexpectedStatus),
    }
}

fn total(body: &Bytes) -> Result<CounterReply, ProtocolError> {
    let text = std::str::from_utf8(body).unwrap_or("").trim();
    match text.parse::<f64>() {
        Ok(total) if total.is_finite() => Ok(CounterReply { outcome: Outcome::Success, total }),
        _ => Err(ProtocolError::NotANumber),
    }
}
