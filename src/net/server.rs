//! Clients: taking their requests, answering them, and `/_health`.

use super::backend::{strip_hop_by_hop, Forward, Payload, BUDGET};
use super::crowd::{Busy, Crowd, SWEEP_EVERY};
use super::download::{BrokeOff, Giving};
use super::drain::{self, Duty};
use super::driver::{tell, Answer, Clock, Inbox, Input, Taken};
use super::figures::{End, Figures, Ticket};
use super::http::MAX_BODY;
use super::memory::Memory;
use super::share::Share;
use super::upload::{slowest, Arrived, BodyError, Intake, Upload, LONGEST};
use crate::api::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, OwnedSemaphorePermit};
use tokio::time::{interval, sleep, sleep_until, Instant};
use tracing::{debug, warn};

/// Places are short where less than one in so many is free.
const SHORT: usize = 4;
/// The pause after an accept that failed, which it does at once while descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How often a connection that waits for a place looks for one that can be closed for it.
const MAKE_ROOM_EVERY: Duration = Duration::from_millis(2);
/// How long after SIGTERM new connections are taken; they go on coming for 0.4 s.
const LAST_CALL: Duration = Duration::from_millis(600);
/// After SIGTERM what is still unanswered by then is failed; SIGKILL comes 3.7 s on at the earliest.
const LAST_WAIT: Duration = Duration::from_millis(3200);
/// Long answers that have begun go on after that. To end before them would cut them off, so it takes SIGKILL or
/// this.
const LAST_ANSWER: Duration = Duration::from_secs(60);

/// What all connections of clients share.
pub struct Front {
    /// The way to the driver.
    pub inbox: Inbox,
    /// The module's clock.
    pub clock: Clock,
    /// Whether the gateway serves, drains or ends.
    pub duty: Rc<Duty>,
    /// The counters for operators.
    pub figures: Rc<Figures>,
    /// The places for connections.
    pub places: Rc<Share>,
    /// The budget for what is kept whole, and for buffers.
    pub memory: Rc<Memory>,
    /// The names of classes, with what they may do and the longest wait.
    pub classes: HashMap<String, (ClassId, Effect, Micros)>,
    /// The names of plans.
    pub plans: HashMap<String, PlanId>,
    /// How many gateways there are.
    pub gateways: u32,
    /// The units of the largest request.
    pub most_units: f64,
    /// The number of the last request.
    pub last: Cell<u64>,
}

/// Takes clients until SIGTERM, answers what was taken, and returns.
pub async fn serve(listener: TcpListener, front: Rc<Front>, mut elsewhere: watch::Receiver<usize>) {
    let places = front.places.clone();
    let crowd = Rc::new(Crowd::new(front.duty.clone()));
    let mut state = front.duty.changes();
    let stops = || front.duty.state().end > drain::End::Open;
    let mut last_call = stops().then(Instant::now);
    let mut sweep = interval(SWEEP_EVERY);
    // Accepted, without a place yet.
    let mut waiting: Option<TcpStream> = None;
    loop {
        let room = waiting.is_some();
        tokio::select! {
            biased;
            accepted = listener.accept(), if !room && !front.duty.is_replaced() => match accepted {
                Ok((stream, _)) => {
                    waiting = Some(stream);
                    if places.free() == 0 {
                        crowd.make_room();
                    }
                }
                Err(error) => {
                    warn!(%error, "accept failed");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            place = places.take(), if room => {
                if let Some(stream) = waiting.take() {
                    let (front, crowd) = (front.clone(), crowd.clone());
                    tokio::task::spawn_local(async move {
                        connection(stream, front, crowd).await;
                        drop(place);
                    });
                }
            }
            () = sleep(MAKE_ROOM_EVERY), if room => crowd.make_room(),
            _ = sweep.tick() => crowd.sweep(),
            Ok(()) = elsewhere.changed() => places.leave(*elsewhere.borrow_and_update()),
            Ok(()) = state.changed() => {
                crowd.sweep();
                if last_call.is_none() && stops() {
                    last_call = Some(Instant::now());
                }
            }
            // Where another process takes the new connections, none is left to wait for.
            () = std::future::ready(()), if !room && last_call.is_some() && front.duty.is_replaced() => break,
            () = sleep_until(last_call.unwrap_or_else(Instant::now) + LAST_CALL), if last_call.is_some() => break,
        }
    }
    drop(listener);
    let mut empty = pin!(places.empty());
    let last_call = last_call.unwrap_or_else(Instant::now);
    loop {
        tokio::select! {
            () = &mut empty => return,
            _ = sweep.tick() => crowd.sweep(),
            () = sleep_until(last_call + LAST_WAIT), if front.duty.state().end < drain::End::Ending => {
                front.duty.end(drain::End::Ending);
            }
            () = sleep_until(last_call + LAST_ANSWER) => return warn!("some connections were still open"),
        }
    }
}

async fn connection(stream: TcpStream, front: Rc<Front>, crowd: Rc<Crowd>) {
    // Without it answers may come late, which is no reason to hang up. A client that is gone is noticed anyway.
    if let Err(error) = stream.set_nodelay(true) {
        debug!(%error, "a client's connection stays without TCP_NODELAY");
    }
    let (peer, socket) = crowd.welcome(stream);
    let service = service_fn(|request| {
        let (front, busy) = (front.clone(), crowd.busy(&peer));
        async move { Ok::<_, Infallible>(respond(request, &front, busy).await) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(front.memory.buffer())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(socket), service);
    tokio::select! {
        biased;
        done = connection => if let Err(error) = done {
            debug!(%error, "a client's connection ended");
        },
        () = peer.closed() => debug!("a quiet client's connection is closed"),
    }
}

/// An answer's body. While it lasts, its request is in flight and its connection busy.
struct Body {
    giving: Giving,
    ticket: Option<Ticket>,
    _busy: Option<Busy>,
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = BrokeOff;
    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokeOff>>> {
        let next = Pin::new(&mut self.giving).poll_frame(cx);
        // Until its last byte is passed on, a long answer may yet fail.
        if matches!(&self.giving, Giving::Download(download) if download.is_whole()) {
            self.ticket.iter_mut().for_each(|ticket| ticket.ends(End::Served));
        }
        next
    }
    fn is_end_stream(&self) -> bool {
        self.giving.is_end_stream()
    }
    fn size_hint(&self) -> SizeHint {
        self.giving.size_hint()
    }
}

async fn respond(request: Request<Incoming>, front: &Front, busy: Busy) -> Response<Body> {
    let mut response = match request.uri().path() {
        "/_health" => match front.duty.healthy() {
            true => plain(StatusCode::OK, "ready\n"),
            false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        },
        "/api" => match take(request, front).await {
            Ok(answer) => answer,
            Err(Malformed(status, problem)) => plain(status, problem),
        },
        _ => plain(StatusCode::NOT_FOUND, "no such path\n"),
    };
    response.body_mut()._busy = Some(busy);
    // Where places are short a client that keeps its connection keeps another out.
    if front.duty.lets_go() || front.places.free() * SHORT < front.places.all() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn giving(status: StatusCode, giving: Giving) -> Response<Body> {
    let mut response = Response::new(Body { giving, ticket: None, _busy: None });
    *response.status_mut() = status;
    response
}

fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    giving(status, Giving::Whole(Full::new(Bytes::from_static(text.as_bytes())), None))
}

/// What a peer is told whose request is none.
struct Malformed(StatusCode, &'static str);

/// Tells the driver that the client is gone, unless it was answered.
struct Watch<'a> {
    inbox: &'a Inbox,
    id: RequestId,
    answered: bool,
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        tell(self.inbox, Input::Gone(self.id));
    }
}

impl From<BodyError> for Malformed {
    fn from(error: BodyError) -> Malformed {
        match error {
            BodyError::TooLong => {
                Malformed(StatusCode::PAYLOAD_TOO_LARGE, "the body is longer than 32 MiB\n")
            }
            BodyError::TooSlow => Malformed(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n"),
            BodyError::Broken => Malformed(StatusCode::BAD_REQUEST, "the body broke off\n"),
        }
    }
}

/// Reads a short body whole, where there is room for it, and none of any other.
async fn body(
    body: Incoming,
    memory: &Memory,
) -> Result<(Received, Option<OwnedSemaphorePermit>), Malformed> {
    let mut intake = Intake::new(body);
    let announced = intake.announced();
    if announced.is_some_and(|length| length > LONGEST) {
        return Err(BodyError::TooLong.into());
    }
    let length = announced.unwrap_or(MAX_BODY);
    let room = if length <= MAX_BODY { memory.hold(length) } else { None };
    let most = if room.is_some() { MAX_BODY } else { 0 };
    if room.is_none() && announced.is_some() {
        let (upload, arrived) = Upload::new(Bytes::new(), intake);
        return Ok((Received::Begun(Box::new(upload), arrived), None));
    }
    let (begun, ended) = intake.gather(most).await?;
    if ended {
        return Ok((Received::Whole(begun), room));
    }
    let (upload, arrived) = Upload::new(begun, intake);
    Ok((Received::Begun(Box::new(upload), arrived), room))
}

/// A body as far as it has been read.
enum Received {
    Whole(Bytes),
    Begun(Box<Upload>, oneshot::Receiver<Arrived>),
}

async fn take(request: Request<Incoming>, front: &Front) -> Result<Response<Body>, Malformed> {
    let (head, incoming) = request.into_parts();
    let asked = Asked::read(&head.method, head.uri.query(), &head.headers, front)?;
    let (received, _room) = body(incoming, &front.memory).await?;
    let id = RequestId(front.last.replace(front.last.get() + 1) + 1);
    let mut ticket = None;
    // The request's time runs from its last byte.
    let mut deadline = front.clock.now() + asked.budget;
    let (body, mut arrived) = match received {
        Received::Whole(body) if head.method == Method::GET && !body.is_empty() => {
            return Err(Malformed(StatusCode::BAD_REQUEST, "a GET carries no body\n"));
        }
        Received::Whole(body) => {
            ticket = Some(front.figures.taken(asked.arrival.class));
            (Payload::Whole(body), None)
        }
        Received::Begun(..) if head.method == Method::GET => {
            return Err(Malformed(StatusCode::BAD_REQUEST, "a GET carries no body\n"));
        }
        Received::Begun(upload, arrived) => {
            deadline = deadline + Micros(slowest(LONGEST).as_micros() as u64);
            (Payload::Upload(RefCell::new(Some(upload))), Some(arrived))
        }
    };
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    // A client may name the whole address; a backend is asked for the path.
    let path = head.uri.into_parts().path_and_query;
    let uri = path.map_or_else(|| Uri::from_static("/"), Uri::from);
    let forward = Forward { method: head.method, uri, headers, body };
    let (reply, mut answer) = oneshot::channel();
    let (class, upload) = (asked.arrival.class, arrived.is_some());
    let taken = Taken { arrival: Arrival { id, deadline, upload, ..asked.arrival }, forward, reply };
    let (mut watch, mut state) = (Watch { inbox: &front.inbox, id, answered: false }, front.duty.changes());
    // Without a driver the answer's sender is gone with the request.
    let _ = front.inbox.send(Input::Taken(Box::new(taken))).await;
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
                break answer.unwrap_or(Answer::Failed);
            }
            how = arriving => {
                arrived = None;
                match how {
                    Ok(Arrived::Whole) => {
                        ticket = Some(front.figures.taken(class));
                        let deadline = front.clock.now() + asked.budget;
                        let _ = front.inbox.send(Input::Uploaded(id, deadline)).await;
                    }
                    Ok(Arrived::Broken(error)) => return Err(error.into()),
                    Ok(Arrived::Left(rest)) => drop(tokio::task::spawn_local(rest.drain())),
                    Err(_) => {}
                }
            }
            // To the driver it is as if the client had left.
            _ = state.wait_for(|state| state.end == drain::End::Ending) => break Answer::Failed,
        }
    };
    // A client that is answered early may still finish its body, and then reads the answer.
    if let Some(Ok(Arrived::Left(rest))) = arrived.as_mut().map(|arrived| arrived.try_recv()) {
        tokio::task::spawn_local(rest.drain());
    }
    let mut ticket = ticket.unwrap_or_else(|| front.figures.taken(class));
    let mut response = match answer {
        Answer::Served(body) => {
            // A long answer is served once its last byte is passed on.
            ticket.ends(if matches!(body, Giving::Whole(..)) { End::Served } else { End::Failed });
            giving(StatusCode::OK, body)
        }
        Answer::Refused(wait) => {
            ticket.ends(End::Refused);
            let mut response = plain(StatusCode::TOO_MANY_REQUESTS, "refused\n");
            let wait = wait.and_then(|w| HeaderValue::from_str(&format!("{:.3}", w.secs())).ok());
            wait.into_iter().for_each(|w| drop(response.headers_mut().insert(header::RETRY_AFTER, w)));
            response
        }
        Answer::Failed => {
            ticket.ends(End::Failed);
            plain(StatusCode::BAD_GATEWAY, "failed\n")
        }
    };
    response.body_mut().ticket = Some(ticket);
    Ok(response)
}

/// What a request's head says of it.
struct Asked {
    arrival: Arrival,
    budget: Micros,
}

impl Asked {
    fn read(
        method: &Method,
        query: Option<&str>,
        headers: &HeaderMap,
        front: &Front,
    ) -> Result<Asked, Malformed> {
        let bad = |problem| Malformed(StatusCode::BAD_REQUEST, problem);
        let text = |name: HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
        let named = |name| text(HeaderName::from_static(name));
        let (class, effect, longest) = named("x-call-class")
            .and_then(|class| front.classes.get(class))
            .ok_or_else(|| bad("X-Call-Class: expected a known class\n"))?;
        let plan = named("x-plan").and_then(|plan| front.plans.get(plan));
        let plan = plan.ok_or_else(|| bad("X-Plan: expected a known plan\n"))?;
        let customer = query.and_then(customer).ok_or_else(|| bad("customer: expected 16 hex digits\n"))?;
        let budget = text(BUDGET).and_then(|v| v.parse::<u64>().ok());
        let budget = budget.ok_or_else(|| bad("X-Budget-Ms: expected whole milliseconds\n"))?;
        let (units, spread, first) = named("x-quota")
            .and_then(quota)
            .filter(|quota| quota.units <= front.most_units)
            .filter(|quota| quota.spread <= front.gateways && quota.first < front.gateways)
            .map(|quota| (quota.units, quota.spread, quota.first))
            .ok_or_else(|| bad("X-Quota: expected the units, spread and first of this site\n"))?;
        let mut ids = headers.get_all("x-call-id").iter();
        if ids.next().is_none_or(|id| id.is_empty()) || ids.next().is_some() {
            return Err(bad("X-Call-Id: expected an id\n"));
        }
        let (wanted, keyed) = match effect {
            Effect::Safe => (Method::GET, false),
            Effect::Keyed => (Method::POST, true),
            Effect::Unsafe => (Method::POST, false),
        };
        if *method != wanted {
            return Err(Malformed(StatusCode::METHOD_NOT_ALLOWED, "not this class's method\n"));
        }
        if keyed && headers.get("idempotency-key").is_none_or(|key| key.is_empty()) {
            return Err(bad("Idempotency-Key: expected a key\n"));
        }
        let arrival = Arrival {
            class: *class,
            plan: *plan,
            customer,
            spread,
            first,
            units,
            resent: named("x-again") == Some("1"),
            ..Arrival::default()
        };
        // No client waits longer than its class says.
        let budget = Micros(budget.saturating_mul(1000)).min(*longest);
        Ok(Asked { arrival, budget })
    }
}

/// Customers are numbers below this.
const CUSTOMERS: u64 = 1 << 33;

fn customer(query: &str) -> Option<CustomerId> {
    let digits = query.split('&').find_map(|pair| pair.strip_prefix("customer="))?;
    let hex = digits.len() == 16 && digits.bytes().all(|b| b.is_ascii_hexdigit());
    let number = u64::from_str_radix(digits, 16).ok().filter(|_| hex)?;
    (number < CUSTOMERS).then_some(CustomerId(number))
}

/// What `X-Quota` says.
struct Quota {
    units: f64,
    spread: u32,
    first: u32,
}

fn quota(value: &str) -> Option<Quota> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for part in value.split(',') {
        match part.trim().split_once('=')? {
            ("units", v) => units = v.parse::<f64>().ok().filter(|u| u.is_finite() && *u > 0.0),
            ("spread", v) => spread = v.parse::<u32>().ok().filter(|s| *s > 0),
            ("first", v) => first = v.parse::<u32>().ok(),
            _ => {}
        }
    }
    Some(Quota { units: units?, spread: spread?, first: first? })
}

#[cfg(test)]
mod tests {
    use super::super::config::SocketLimits;
    use super::*;
    use std::os::fd::OwnedFd;
    use std::os::unix::net::UnixStream;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::sync::mpsc;

    fn front(duty: Rc<Duty>) -> Front {
        let (inbox, _) = mpsc::channel(1);
        Front {
            inbox,
            clock: Clock::start(),
            duty,
            figures: Rc::default(),
            places: Rc::new(Share::new(4)),
            memory: Rc::new(Memory::new(32.0, SocketLimits { clients: 4, backends: 4, counter: 1 })),
            classes: HashMap::new(),
            plans: HashMap::new(),
            gateways: 1,
            most_units: 1.0,
            last: Cell::new(0),
        }
    }

    #[test]
    fn a_client_whose_connection_takes_no_option_is_served() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            // Such a pair carries bytes as TCP does, but no option of TCP's can be set on it.
            let (ours, theirs) = UnixStream::pair().expect("a pair");
            ours.set_nonblocking(true).expect("an option");
            theirs.set_nonblocking(true).expect("an option");
            let ours = std::net::TcpStream::from(OwnedFd::from(ours));
            let stream = TcpStream::from_std(ours).expect("a stream");
            assert!(stream.set_nodelay(true).is_err(), "else this shows nothing");
            let duty = Rc::new(Duty::default());
            duty.listed();
            duty.serve();
            let crowd = Rc::new(Crowd::new(duty.clone()));
            tokio::task::spawn_local(connection(stream, Rc::new(front(duty)), crowd));
            let mut client = tokio::net::UnixStream::from_std(theirs).expect("a stream");
            client.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("taken");
            let mut head = [0; 12];
            client.read_exact(&mut head).await.expect("an answer");
            assert_eq!(&head, b"HTTP/1.1 200");
        });
    }
}
