//! Clients: taking their requests, answering them, and `/_health`.

use crate::decision::{ClassId, Idempotency, Micros, PlanId};
use crate::proxy::admin::metrics::{ConnectionCloseReason, InFlightRequest, Metrics, RequestResult};
use crate::proxy::cluster_transport::ClusterTransport;
use crate::proxy::downstream::accept::AcceptBackoff;
use crate::proxy::downstream::close::{end_after_answer, ended_by_client};
use crate::proxy::downstream::idle_connections::{IdleConnections, OpenRequestGuard, SWEEP_EVERY};
use crate::proxy::downstream::request::take;
use crate::proxy::downstream::response_body::ResponseBody;
use crate::proxy::lifecycle::drain::{Lifecycle, ShutdownPhase};
use crate::proxy::lifecycle::permits::Permits;
use crate::proxy::memory_budget::MemoryBudget;
use crate::proxy::runtime::{duration, Clock, RuntimeSender};
use crate::proxy::upstream::streamed_response::ResponseBodyError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{interval, sleep, sleep_until, Instant};
use tracing::{debug, warn};

/// Places are short where less than one in so many is free.
const SHORT: usize = 4;
/// How often a connection that waits for a place looks for one that can be closed for it.
const MAKE_ROOM_EVERY: Duration = Duration::from_millis(2);
/// How long after SIGTERM new connections are taken; they go on coming for 0.4 s.
const LAST_CALL: Duration = Duration::from_millis(600);
/// SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as this where it is longer, and 0.7 s.
const LONGEST_AWAITED: Duration = Duration::from_secs(3);
/// What is still unanswered so long after the longest deadline is failed.
const LAST_WAIT: Duration = Duration::from_millis(200);
/// Long answers that have begun go on after that. To end before them would cut them off, so it takes SIGKILL or
/// this.
const LAST_ANSWER: Duration = Duration::from_secs(60);

/// What all connections of clients share.
pub struct ProxyContext {
    /// The way to the driver.
    pub inbox: RuntimeSender,
    /// The module's clock.
    pub clock: Clock,
    /// Whether the gateway serves, drains or ends.
    pub duty: Rc<Lifecycle>,
    /// The counters for operators.
    pub figures: Rc<Metrics>,
    /// The places for connections.
    pub places: Rc<Permits>,
    /// The budget for what is kept whole, and for buffers.
    pub memory: Rc<MemoryBudget>,
    /// The names of classes, with what they may do and the longest wait.
    pub classes: HashMap<String, (ClassId, Idempotency, Micros)>,
    /// The names of plans.
    pub plans: HashMap<String, PlanId>,
    /// How many gateways there are.
    pub gateways: u32,
    /// The units of the largest request.
    pub most_units: f64,
    /// The number of the last request.
    pub last: Cell<u64>,
    /// So long before its deadline a request has its answer.
    pub last_moment: Micros,
    /// The gateway's place in its fleet, where a ledger is kept there.
    pub peers: Option<Rc<ClusterTransport>>,
}

impl ProxyContext {
    /// A class's name.
    pub fn class_name(&self, class: ClassId) -> &str {
        self.classes.iter().find(|(_, (id, ..))| *id == class).map_or("", |(name, _)| name.as_str())
    }
    /// How long after SIGTERM what is still unanswered is failed: well before SIGKILL may come.
    fn last_wait(&self) -> Duration {
        let longest = self.classes.values().map(|(_, _, longest)| duration(*longest)).max();
        longest.unwrap_or_default().min(LONGEST_AWAITED) + LAST_WAIT
    }
    /// The longest that a client of a class waits.
    pub fn longest(&self, class: ClassId) -> Micros {
        self.classes.values().find(|(id, ..)| *id == class).map_or(Micros(0), |(_, _, longest)| *longest)
    }
}

/// Takes clients until SIGTERM, answers what was taken, and returns.
pub async fn serve(listener: TcpListener, front: Rc<ProxyContext>, mut elsewhere: watch::Receiver<usize>) {
    let places = front.places.clone();
    let crowd = Rc::new(IdleConnections::new(front.duty.clone()));
    let mut state = front.duty.subscribe();
    let stops = || front.duty.state().shutdown > ShutdownPhase::Running;
    let ending = || front.duty.state().shutdown == ShutdownPhase::Final;
    let ending_at = |last_call: Option<Instant>| last_call.unwrap_or_else(Instant::now) + front.last_wait();
    let mut last_call = stops().then(Instant::now);
    let mut sweep = interval(SWEEP_EVERY);
    let mut accepting = AcceptBackoff::default();
    // Accepted, without a place yet.
    let mut waiting: Option<TcpStream> = None;
    loop {
        let room = waiting.is_some();
        tokio::select! {
            biased;
            accepted = listener.accept(), if !room && !front.duty.is_replaced() => match accepted {
                Ok((stream, _)) => {
                    accepting.succeeded();
                    waiting = Some(stream);
                    if places.available() == 0 {
                        crowd.make_room();
                    }
                }
                Err(error) => accepting.failed(&error).await,
            },
            place = places.acquire(), if room => {
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
            Ok(()) = elsewhere.changed() => places.reserve_for_other_process(*elsewhere.borrow_and_update()),
            Ok(()) = state.changed() => {
                crowd.sweep();
                if last_call.is_none() && stops() {
                    last_call = Some(Instant::now());
                }
            }
            () = sleep_until(ending_at(last_call)), if last_call.is_some() && !ending() => {
                front.duty.advance_shutdown(ShutdownPhase::Final);
            }
            // Where another process takes the new connections, none is left to wait for.
            () = std::future::ready(()), if !room && last_call.is_some() && front.duty.is_replaced() => break,
            // Not before all that was accepted has its place: a client that waits for one may have sent its request.
            () = sleep_until(last_call.unwrap_or_else(Instant::now) + LAST_CALL),
                if !room && last_call.is_some() => break,
        }
    }
    drop(listener);
    let mut empty = pin!(places.wait_until_unused());
    let last_call = last_call.or_else(|| Some(Instant::now()));
    loop {
        tokio::select! {
            () = &mut empty => return,
            _ = sweep.tick() => crowd.sweep(),
            () = sleep_until(ending_at(last_call)), if !ending() => front.duty.advance_shutdown(ShutdownPhase::Final),
            () = sleep_until(last_call.unwrap_or_else(Instant::now) + LAST_ANSWER) => return warn!("some connections were still open"),
        }
    }
}

async fn connection(stream: TcpStream, front: Rc<ProxyContext>, crowd: Rc<IdleConnections>) {
    // Without it answers may come late, which is no reason to hang up. A client that is gone is noticed anyway.
    if let Err(error) = stream.set_nodelay(true) {
        debug!(%error, "a client's connection stays without TCP_NODELAY");
    }
    let stream = Rc::new(stream);
    let (peer, socket) = crowd.welcome(stream.clone());
    let service = service_fn(|request| {
        let (front, busy) = (front.clone(), crowd.busy(&peer));
        async move { Ok::<_, Infallible>(respond(request, &front, busy).await) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(front.memory.buffer())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(socket), service);
    let why = tokio::select! {
        biased;
        done = connection => match done {
            Ok(()) => ConnectionCloseReason::Completed,
            Err(error) => {
                debug!(%error, "a client's connection broke");
                ConnectionCloseReason::Broken
            }
        },
        () = peer.closed() => ConnectionCloseReason::Idle,
        () = ended_by_client(&stream) => ConnectionCloseReason::ClosedByClient,
    };
    debug!(?why, client = ?stream.peer_addr().ok(), "a client's connection is closed");
    front.figures.connection_closes.increment(why);
    let had_last_answer = matches!(why, ConnectionCloseReason::Completed | ConnectionCloseReason::Broken);
    // Where no answer can be under way there is nothing to guard: bytes that cross the close are left unread, and the
    // reset tells the client that it may send them once more.
    if had_last_answer && front.places.available() > 0 {
        end_after_answer(&stream).await;
    }
}

/// An answer's body. While it lasts, its request is in flight and its connection busy.
pub struct Body {
    giving: ResponseBody,
    /// While it lives its request is in flight.
    pub ticket: Option<InFlightRequest>,
    _busy: Option<OpenRequestGuard>,
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = ResponseBodyError;
    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        let next = Pin::new(&mut self.giving).poll_frame(cx);
        // Until its last byte is passed on, a long answer may yet fail.
        if matches!(&self.giving, ResponseBody::Streamed(download) if download.is_complete()) {
            self.ticket.iter_mut().for_each(|ticket| ticket.set_result(RequestResult::Served));
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

/// Where clients ask for writes that a branch accepted.
pub const WRITES: &str = "/writes/";

/// What became of a write.
fn written(front: &ProxyContext, method: &Method, path: &str) -> Response<Body> {
    let peers = front.peers.as_ref().filter(|peers| peers.is_of_branch());
    let Some(peers) = peers else { return plain(StatusCode::NOT_FOUND, "no such path\n") };
    if *method != Method::GET {
        return plain(StatusCode::METHOD_NOT_ALLOWED, "not this path's method\n");
    }
    let dot = path.strip_prefix(WRITES).and_then(|name| name.parse().ok());
    let Some(dot) = dot else { return plain(StatusCode::NOT_FOUND, "no such path\n") };
    let (known, words) = crate::proxy::cluster_transport::write_queue_sender::told(peers.write_status(dot));
    let status = if known { StatusCode::OK } else { StatusCode::NOT_FOUND };
    giving(status, ResponseBody::Buffered(Full::new(Bytes::from(words)), None))
}

async fn respond(request: Request<Incoming>, front: &ProxyContext, busy: OpenRequestGuard) -> Response<Body> {
    let mut response = match request.uri().path() {
        "/_health" => match front.duty.is_healthy() {
            true => plain(StatusCode::OK, "ready\n"),
            false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        },
        path if path.starts_with(WRITES) => written(front, request.method(), path),
        "/api" => match take(request, busy.patience(), front).await {
            Ok(answer) => answer,
            Err(RequestError(status, problem)) => plain(status, problem),
        },
        _ => plain(StatusCode::NOT_FOUND, "no such path\n"),
    };
    response.body_mut()._busy = Some(busy);
    // Where places are short a client that keeps its connection keeps another out.
    if front.duty.closes_connections() || front.places.available() * SHORT < front.places.total() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// An answer with that status.
pub fn giving(status: StatusCode, giving: ResponseBody) -> Response<Body> {
    let mut response = Response::new(Body { giving, ticket: None, _busy: None });
    *response.status_mut() = status;
    response
}

/// A short answer in plain text.
pub fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    giving(status, ResponseBody::Buffered(Full::new(Bytes::from_static(text.as_bytes())), None))
}

/// What a peer is told whose request is none.
pub struct RequestError(pub StatusCode, pub &'static str);

#[cfg(test)]
mod tests {
    use super::*;
    use crate::proxy::control_plane::config::SocketLimits;
    use std::os::fd::OwnedFd;
    use std::os::unix::net::UnixStream;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::sync::mpsc;

    fn front(duty: Rc<Lifecycle>) -> ProxyContext {
        let (inbox, _) = mpsc::channel(1);
        ProxyContext {
            inbox,
            clock: Clock::start(),
            duty,
            figures: Rc::default(),
            places: Rc::new(Permits::new(4)),
            memory: Rc::new(MemoryBudget::new(32.0, SocketLimits { clients: 4, backends: 4, counter: 1 })),
            classes: HashMap::new(),
            plans: HashMap::new(),
            gateways: 1,
            most_units: 1.0,
            last: Cell::new(0),
            last_moment: Micros(0),
            peers: None,
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
            let duty = Rc::new(Lifecycle::default());
            duty.mark_endpoints_known();
            duty.start_serving();
            let crowd = Rc::new(IdleConnections::new(duty.clone()));
            tokio::task::spawn_local(connection(stream, Rc::new(front(duty)), crowd));
            let mut client = tokio::net::UnixStream::from_std(theirs).expect("a stream");
            client.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("taken");
            let mut head = [0; 12];
            client.read_exact(&mut head).await.expect("an answer");
            assert_eq!(&head, b"HTTP/1.1 200");
        });
    }
}
