//! Builds the responses to clients.

use super::idle_connections::OpenRequestGuard;
use super::request_error::RequestError;
use super::response_body::ResponseBody;
use crate::decision::Micros;
use crate::proxy::admin::metrics::{InFlightRequest, RequestResult};
use crate::proxy::runtime::messages::FinalResponse;
use crate::proxy::upstream::streamed_response::ResponseBodyError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Body of a response. Until it is dropped, its request counts as in flight and its connection as not idle.
pub struct ClientResponseBody {
    body: ResponseBody,
    in_flight: Option<InFlightRequest>,
    open_request: Option<OpenRequestGuard>,
}

impl ClientResponseBody {
    /// Counts the request as in flight until this body is dropped.
    pub fn count_in_flight(&mut self, request: InFlightRequest) {
        self.in_flight = Some(request);
    }

    /// Keeps the connection from counting as idle until this body is dropped.
    pub fn keep_open(&mut self, request: OpenRequestGuard) {
        self.open_request = Some(request);
    }
}

impl Body for ClientResponseBody {
    type Data = Bytes;
    type Error = ResponseBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        // A streamed response can fail until its last byte is passed on.
        if matches!(&self.body, ResponseBody::Streamed(body) if body.is_complete()) {
            if let Some(request) = &mut self.in_flight {
                request.set_result(RequestResult::Served);
            }
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns a response with this status and body.
pub fn response_with_body(status: StatusCode, body: ResponseBody) -> Response<ClientResponseBody> {
    let mut response = Response::new(ClientResponseBody { body, in_flight: None, open_request: None });
    *response.status_mut() = status;
    response
}

/// Returns a short plain-text response.
pub fn plain_text(status: StatusCode, text: impl Into<Bytes>) -> Response<ClientResponseBody> {
    response_with_body(status, ResponseBody::Buffered(Full::new(text.into()), None))
}

/// Returns the response to an invalid request.
pub fn error_response(error: RequestError) -> Response<ClientResponseBody> {
    plain_text(error.status(), format!("{error}\n"))
}

/// Returns the response to a request that was dispatched.
pub fn final_response(response: FinalResponse, mut request: InFlightRequest) -> Response<ClientResponseBody> {
    let (result, mut response) = match response {
        FinalResponse::Served(body) => {
            // A streamed response counts as served once its last byte is passed on.
            let result = match body {
                ResponseBody::Buffered(..) => RequestResult::Served,
                ResponseBody::Streamed(_) => RequestResult::Failed,
            };
            (result, response_with_body(StatusCode::OK, body))
        }
        FinalResponse::Rejected { retry_after } => (RequestResult::Rejected, rejected_response(retry_after)),
        FinalResponse::Failed => (RequestResult::Failed, plain_text(StatusCode::BAD_GATEWAY, "failed\n")),
    };
    request.set_result(result);
    response.body_mut().count_in_flight(request);
    response
}

/// Returns the response to a request that is refused.
pub fn rejected_response(retry_after: Option<Micros>) -> Response<ClientResponseBody> {
    let mut response = plain_text(StatusCode::TOO_MANY_REQUESTS, "refused\n");
    let seconds = retry_after.and_then(|wait| HeaderValue::from_str(&format!("{:.3}", wait.secs())).ok());
    if let Some(seconds) = seconds {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}
