//! One request of a client's, from its body to its answer: on its way through the driver, and at the ledger.

use crate::decision::{Arrival, Micros, RequestId};
use crate::proxy::admin::metrics::{InFlightRequest, RequestResult};
use crate::proxy::cluster_transport::ledger_request::{record_of, recorded};
use crate::proxy::cluster_transport::serialized_request::kept;
use crate::proxy::cluster_transport::write_queue_sender::accepted;
use crate::proxy::downstream::request_body::{
    slowest, BodyError, RequestBodyReader, RequestBodyResult, StreamedRequestBody, LONGEST,
};
use crate::proxy::downstream::request_head::RequestHead;
use crate::proxy::downstream::response_body::ResponseBody;
use crate::proxy::downstream::server::{giving, plain, Body, ProxyContext, RequestError, WRITES};
use crate::proxy::lifecycle::drain::ShutdownPhase;
use crate::proxy::memory_budget::MemoryBudget;
use crate::proxy::runtime::{send_event, FinalResponse, NewRequest, RuntimeEvent, RuntimeSender};
use crate::proxy::upstream::connection::MAX_BODY;
use crate::proxy::upstream::forwarded_request::{strip_hop_by_hop, ForwardedRequest, RequestPayload};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::cell::RefCell;
use std::time::Duration;
use tokio::sync::{oneshot, OwnedSemaphorePermit};

/// Tells the driver that the client is gone, unless it was answered.
struct Watch<'a> {
    inbox: &'a RuntimeSender,
    id: RequestId,
    answered: bool,
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        send_event(self.inbox, RuntimeEvent::ClientDisconnected(self.id));
    }
}

impl From<BodyError> for RequestError {
    fn from(error: BodyError) -> RequestError {
        match error {
            BodyError::TooLong => {
                RequestError(StatusCode::PAYLOAD_TOO_LARGE, "the body is longer than 32 MiB\n")
            }
            BodyError::TooSlow => {
                RequestError(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n")
            }
            BodyError::Broken => RequestError(StatusCode::BAD_REQUEST, "the body broke off\n"),
        }
    }
}

/// Reads a short body whole, where there is room for it, and none of any other.
async fn body(
    body: Incoming,
    patience: Duration,
    memory: &MemoryBudget,
) -> Result<(Received, Option<OwnedSemaphorePermit>), RequestError> {
    let mut intake = RequestBodyReader::new(body, patience);
    let announced = intake.announced();
    if announced.is_some_and(|length| length > LONGEST) {
        return Err(BodyError::TooLong.into());
    }
    let length = announced.unwrap_or(MAX_BODY);
    let room = if length <= MAX_BODY { memory.hold(length) } else { None };
    let most = if room.is_some() { MAX_BODY } else { 0 };
    if room.is_none() && announced.is_some() {
        let (upload, arrived) = StreamedRequestBody::new(Bytes::new(), intake);
        return Ok((Received::Begun(Box::new(upload), arrived), None));
    }
    let (begun, ended) = intake.gather(most).await?;
    if ended {
        return Ok((Received::Whole(begun), room));
    }
    let (upload, arrived) = StreamedRequestBody::new(begun, intake);
    Ok((Received::Begun(Box::new(upload), arrived), room))
}

/// A body as far as it has been read.
enum Received {
    Whole(Bytes),
    Begun(Box<StreamedRequestBody>, oneshot::Receiver<RequestBodyResult>),
}

/// Takes a request and returns its answer. Beside what the length of its body allows, the client may keep the gateway
/// waiting for the body's end for as long as `patience`.
pub async fn take(
    request: Request<Incoming>,
    patience: Duration,
    front: &ProxyContext,
) -> Result<Response<Body>, RequestError> {
    let (head, incoming) = request.into_parts();
    let asked = RequestHead::read(&head.method, head.uri.query(), &head.headers, front)?;
    let (received, _room) = body(incoming, patience, &front.memory).await?;
    let id = RequestId(front.last.replace(front.last.get() + 1) + 1);
    let mut ticket = None;
    // The request's time runs from its last byte.
    let mut deadline = front.clock.now() + asked.budget;
    let (body, mut arrived) = match received {
        Received::Whole(body) if head.method == Method::GET && !body.is_empty() => {
            return Err(RequestError(StatusCode::BAD_REQUEST, "a GET carries no body\n"));
        }
        Received::Whole(body) => {
            ticket = Some(front.figures.request_received(asked.arrival.class));
            (RequestPayload::Buffered(body), None)
        }
        Received::Begun(..) if head.method == Method::GET => {
            return Err(RequestError(StatusCode::BAD_REQUEST, "a GET carries no body\n"));
        }
        Received::Begun(upload, arrived) => {
            deadline = deadline + Micros(slowest(patience, LONGEST).as_micros() as u64);
            (RequestPayload::Streamed(RefCell::new(Some(upload))), Some(arrived))
        }
    };
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    // A client may name the whole address; a backend is asked for the path.
    let path = head.uri.into_parts().path_and_query;
    let uri = path.map_or_else(|| Uri::from_static("/"), Uri::from);
    if let (RequestPayload::Buffered(whole), Some(peers), true) =
        (&body, &front.peers, head.method == Method::POST)
    {
        let class = front.class_name(asked.arrival.class);
        if let Some(dot) = accepted(peers, &asked, class, &uri, &headers, whole).await {
            let mut response = plain(StatusCode::ACCEPTED, "accepted\n");
            let place = HeaderValue::from_str(&format!("{WRITES}{dot}")).ok();
            place.into_iter().for_each(|at| drop(response.headers_mut().insert(header::LOCATION, at)));
            let mut ticket = ticket.unwrap_or_else(|| front.figures.request_received(asked.arrival.class));
            ticket.set_result(RequestResult::Served);
            response.body_mut().ticket = Some(ticket);
            return Ok(response);
        }
    }
    if let (RequestPayload::Buffered(whole), Some(peers), Some(key)) = (&body, &front.peers, asked.key) {
        let forward = |work| {
            let (method, uri, headers) = (head.method.clone(), uri.clone(), headers.clone());
            ForwardedRequest {
                claim: work,
                ..ForwardedRequest::new(method, uri, headers, RequestPayload::Buffered(whole.clone()))
            }
        };
        let of = record_of(&asked, key, &forward(None), whole);
        let arrival = Arrival { deadline, ..asked.arrival };
        let class = arrival.class;
        let wanted = peers.finishes(front.class_name(class));
        let request = if wanted { kept(&head.method, &uri, &headers, whole) } else { None };
        let answer = recorded(front, peers, (of, request), arrival, forward).await?;
        return Ok(answered(answer, ticket.unwrap_or_else(|| front.figures.request_received(class))));
    }
    let forward = ForwardedRequest::new(head.method, uri, headers, body);
    let (reply, mut answer) = oneshot::channel();
    let (class, upload) = (asked.arrival.class, arrived.is_some());
    let taken = NewRequest {
        arrival: Arrival { id, deadline, streaming_body: upload, ..asked.arrival },
        forward,
        reply,
    };
    let (mut watch, mut state) = (Watch { inbox: &front.inbox, id, answered: false }, front.duty.subscribe());
    // Without a driver the answer's sender is gone with the request.
    let _ = front.inbox.send(RuntimeEvent::RequestReceived(Box::new(taken))).await;
    let answer = loop {
        let arriving = async {
            match &mut arrived {
                Some(arrived) => arrived.await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            answer = &mut answer => {
                watch.answered = true;
                break answer.unwrap_or(FinalResponse::Failed);
            }
            how = arriving => {
                arrived = None;
                match how {
                    Ok(RequestBodyResult::Whole) => {
                        ticket = Some(front.figures.request_received(class));
                        let deadline = front.clock.now() + asked.budget;
                        let _ = front.inbox.send(RuntimeEvent::RequestBodyEnded { request: id, deadline }).await;
                    }
                    Ok(RequestBodyResult::Broken(error)) => return Err(error.into()),
                    Ok(RequestBodyResult::Left(rest)) => drop(tokio::task::spawn_local(rest.drain())),
                    Err(_) => {}
                }
            }
            // To the driver it is as if the client had left.
            _ = state.wait_for(|state| state.shutdown == ShutdownPhase::Final) => break FinalResponse::Failed,
        }
    };
    // A client that is answered early may still finish its body, and then reads the answer.
    if let Some(Ok(RequestBodyResult::Left(rest))) = arrived.as_mut().map(|arrived| arrived.try_recv()) {
        tokio::task::spawn_local(rest.drain());
    }
    Ok(answered(answer, ticket.unwrap_or_else(|| front.figures.request_received(class))))
}

/// Takes a request that is whole through the driver to its answer.
pub async fn carried(front: &ProxyContext, arrival: Arrival, forward: ForwardedRequest) -> FinalResponse {
    let id = RequestId(front.last.replace(front.last.get() + 1) + 1);
    let (reply, answer) = oneshot::channel();
    let taken = NewRequest { arrival: Arrival { id, ..arrival }, forward, reply };
    let (mut watch, mut state) = (Watch { inbox: &front.inbox, id, answered: false }, front.duty.subscribe());
    // Without a driver the answer's sender is gone with the request.
    let _ = front.inbox.send(RuntimeEvent::RequestReceived(Box::new(taken))).await;
    tokio::select! {
        biased;
        answer = answer => {
            watch.answered = true;
            answer.unwrap_or(FinalResponse::Failed)
        }
        _ = state.wait_for(|state| state.shutdown == ShutdownPhase::Final) => FinalResponse::Failed,
    }
}

/// The answer as its client gets it.
fn answered(answer: FinalResponse, mut ticket: InFlightRequest) -> Response<Body> {
    let mut response = match answer {
        FinalResponse::Served(body) => {
            // A long answer is served once its last byte is passed on.
            ticket.set_result(if matches!(body, ResponseBody::Buffered(..)) {
                RequestResult::Served
            } else {
                RequestResult::Failed
            });
            giving(StatusCode::OK, body)
        }
        FinalResponse::Rejected { retry_after: wait } => {
            ticket.set_result(RequestResult::Rejected);
            let mut response = plain(StatusCode::TOO_MANY_REQUESTS, "refused\n");
            let wait = wait.and_then(|w| HeaderValue::from_str(&format!("{:.3}", w.secs())).ok());
            wait.into_iter().for_each(|w| drop(response.headers_mut().insert(header::RETRY_AFTER, w)));
            response
        }
        FinalResponse::Failed => {
            ticket.set_result(RequestResult::Failed);
            plain(StatusCode::BAD_GATEWAY, "failed\n")
        }
    };
    response.body_mut().ticket = Some(ticket);
    response
}
