//! The shared counter's HTTP form: `POST /v1/count/<key>?add=<amount>&ttl_ms=<lifetime>`, answered with the total as a
//! decimal number in plain text.

use super::{CounterReply, Increment};
use crate::decision::Outcome;
use crate::proxy::downstream::request_body::OutboundBody;
use bytes::Bytes;
use hyper::{header, Method, Request, Response, StatusCode};
use std::net::SocketAddr;
use thiserror::Error;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1000;

/// The request of one call.
pub(super) fn request(address: SocketAddr, increment: Increment) -> Request<OutboundBody> {
    let Increment { key, amount, lifetime } = increment;
    let ttl_ms = (lifetime.0 / MICROS_PER_MILLI).max(1);
    let mut request = Request::new(OutboundBody::empty());
    *request.method_mut() = Method::POST;
    // Digits and signs alone: always a valid URI.
    if let Ok(uri) = format!("/v1/count/{}?add={amount}&ttl_ms={ttl_ms}", key.0).parse() {
        *request.uri_mut() = uri;
    }
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}

/// A response that the counter's protocol does not know.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProtocolError {
    /// A success without a total.
    #[error("the counter answered 200 without a number")]
    NotANumber,
    /// A status that the protocol has no meaning for.
    #[error("the counter answered with an unexpected status")]
    UnexpectedStatus,
}

/// What a response says of its call.
pub(super) fn reply(response: &Response<Bytes>) -> Result<CounterReply, ProtocolError> {
    match response.status() {
        StatusCode::OK => total(response.body()),
        StatusCode::SERVICE_UNAVAILABLE => Ok(Outcome::Rejected.into()),
        // No such call: nothing was added.
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
