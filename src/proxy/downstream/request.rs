//! Handles one client request from its head to its response. The write queue of a branch that is cut off may accept a
//! write; a request with an idempotency key goes through the ledger if there is one; any other is dispatched at once.

use super::client_input::ClientInput;
use super::client_response::{final_response, plain_text, ClientResponseBody};
use super::context::ProxyContext;
use super::dispatch::dispatch_with_id;
use super::idle_connections::OpenRequestGuard;
use super::request_body::{RequestBodyResult, StreamedRequestBody};
use super::request_error::RequestError;
use super::request_head::RequestHead;
use super::request_intake::{receive, ReceivedBody, ReceivedRequest};
use super::streamed_request::StreamedRequest;
use crate::cluster::write_queue::Dot;
use crate::decision::{Arrival, Micros, RequestId};
use crate::proxy::admin::metrics::{InFlightRequest, RequestResult};
use crate::proxy::cluster_transport::ledger_request::{serve_recorded, RecordedRequest};
use crate::proxy::cluster_transport::serialized_request::serialize;
use crate::proxy::cluster_transport::write_queue_sender::offer_write;
use crate::proxy::cluster_transport::writes::OfferedWrite;
use crate::proxy::cluster_transport::ClusterTransport;
use crate::proxy::memory_budget::MemoryReservation;
use crate::proxy::runtime::messages::FinalResponse;
use crate::proxy::upstream::forwarded_request::{strip_hop_by_hop, ForwardedRequest, RequestPayload};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::oneshot;
use tracing::debug;

/// Path prefix under which clients query the status of writes that a branch accepted.
pub const WRITES_PATH: &str = "/writes/";

/// Handles a request and returns its response.
///
/// # Errors
///
/// Returns why the request is invalid, or why its body was not received.
pub async fn handle(
    request: Request<Incoming>,
    open_request: &OpenRequestGuard,
    context: &ProxyContext,
) -> Result<Response<ClientResponseBody>, RequestError> {
    let (parts, incoming) = request.into_parts();
    let head = RequestHead::read(&parts.method, parts.uri.query(), &parts.headers, &context.rules)?;
    let received = receive(incoming, &parts.headers, open_request, &context.memory).await?;
    let Some(ReceivedRequest { body, memory }) = received else {
        let in_flight = context.metrics.request_received(head.arrival.class);
        debug!(?open_request, "request rejected: its memory or connection is not available");
        return Ok(final_response(FinalResponse::Rejected { retry_after: None }, in_flight));
    };
    let id = context.request_ids.next();
    // The time budget of a request starts with its last byte.
    let deadline = context.clock.time_at(open_request.input().last_arrival()) + head.budget;
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    // A client may send an absolute URI; a backend gets only path and query.
    let path = parts.uri.into_parts().path_and_query;
    let uri = path.map_or_else(|| Uri::from_static("/"), Uri::from);
    let memory = Rc::new(memory);
    let request = ClientRequest { context, id, head, method: parts.method, uri, headers, deadline, memory };
    match body {
        ReceivedBody::Buffered(body) => request.handle_buffered(body).await,
        ReceivedBody::Streamed(body, end) => request.handle_streamed(body, end, open_request.input()).await,
    }
}

/// A client request whose head is valid.
struct ClientRequest<'a> {
    context: &'a ProxyContext,
    id: RequestId,
    head: RequestHead,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    deadline: Micros,
    memory: Rc<MemoryReservation>,
}

impl ClientRequest<'_> {
    fn count_in_flight(&self) -> InFlightRequest {
        self.context.metrics.request_received(self.head.arrival.class)
    }

    async fn handle_buffered(self, body: Bytes) -> Result<Response<ClientResponseBody>, RequestError> {
        if self.method == Method::GET && !body.is_empty() {
            return Err(RequestError::BodyOnGet);
        }
        let in_flight = self.count_in_flight();
        if let Some(cluster) = &self.context.cluster {
            if self.method == Method::POST {
                match self.offer_write(cluster, &body).await {
                    OfferedWrite::Accepted(write) => return Ok(accepted_response(write, in_flight)),
                    OfferedWrite::Unconfirmed => return Ok(final_response(FinalResponse::Failed, in_flight)),
                    OfferedWrite::NotQueued => {}
                }
            }
            if let Some(key) = self.head.idempotency_key {
                let response = self.serve_recorded(cluster, key, &body).await?;
                return Ok(final_response(response, in_flight));
            }
        }
        let arrival = Arrival { deadline: self.deadline, ..self.head.arrival };
        let payload = RequestPayload::Buffered(body);
        let forward = ForwardedRequest {
            memory: Some(self.memory),
            ..ForwardedRequest::new(self.method, self.uri, self.headers, payload)
        };
        let response = dispatch_with_id(self.id, self.context, arrival, forward).await;
        Ok(final_response(response, in_flight))
    }

    /// Offers a write to the write queue of a branch.
    async fn offer_write(&self, cluster: &Rc<ClusterTransport>, body: &Bytes) -> OfferedWrite {
        let class = self.context.rules.class_name(self.head.arrival.class);
        offer_write(cluster, &self.head, class, &self.uri, &self.headers, body).await
    }

    /// Serves the request through the ledger.
    async fn serve_recorded(
        &self,
        cluster: &Rc<ClusterTransport>,
        key: u64,
        body: &Bytes,
    ) -> Result<FinalResponse, RequestError> {
        let forward = |claim| {
            let payload = RequestPayload::Buffered(body.clone());
            let (method, uri, headers) = (self.method.clone(), self.uri.clone(), self.headers.clone());
            let memory = Some(self.memory.clone());
            ForwardedRequest { claim, memory, ..ForwardedRequest::new(method, uri, headers, payload) }
        };
        let mut record = RecordedRequest::new(&self.head, key, &forward(None), body);
        let arrival = Arrival { deadline: self.deadline, ..self.head.arrival.clone() };
        if cluster.finishes_abandoned(self.context.rules.class_name(arrival.class)) {
            record.serialized = serialize(&self.method, &self.uri, &self.headers, body);
        }
        serve_recorded(self.context, cluster, &record, arrival, forward).await
    }

    /// Dispatches a request whose body is still arriving.
    async fn handle_streamed(
        self,
        body: Box<StreamedRequestBody>,
        body_end: oneshot::Receiver<RequestBodyResult>,
        input: Rc<ClientInput>,
    ) -> Result<Response<ClientResponseBody>, RequestError> {
        if self.method == Method::GET {
            return Err(RequestError::BodyOnGet);
        }
        let ClientRequest { context, id, head, method, uri, headers, memory, .. } = self;
        let class = head.arrival.class;
        let (streamed, deadline) = StreamedRequest::new(context, id, head.budget, input, body_end);
        let payload = RequestPayload::Streamed { body: RefCell::new(Some(body)), deadline };
        let forward =
            ForwardedRequest { memory: Some(memory), ..ForwardedRequest::new(method, uri, headers, payload) };
        let arrival = Arrival { id, streaming_body: true, ..head.arrival };
        let (response, in_flight) = streamed.dispatch(arrival, forward).await?;
        let in_flight = in_flight.unwrap_or_else(|| context.metrics.request_received(class));
        Ok(final_response(response, in_flight))
    }
}

/// Returns the response to a write that the write queue of a branch accepted.
fn accepted_response(write: Dot, mut in_flight: InFlightRequest) -> Response<ClientResponseBody> {
    let mut response = plain_text(StatusCode::ACCEPTED, "accepted\n");
    if let Ok(location) = HeaderValue::from_str(&format!("{WRITES_PATH}{write}")) {
        response.headers_mut().insert(header::LOCATION, location);
    }
    in_flight.set_result(RequestResult::Served);
    response.body_mut().count_in_flight(in_flight);
    response
}
