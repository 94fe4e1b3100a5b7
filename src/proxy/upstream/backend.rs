//! Attempts at backends: a pool of connections, and the outcome of each attempt by what was written.

use crate::decision::{LoadReport, Outcome};
use crate::proxy::admin::metrics::{Metrics, NotSentReason};
use crate::proxy::downstream::response_body::{StreamedResponseBody, UpstreamResponseBody};
use crate::proxy::lifecycle::permits::Share;
use crate::proxy::log_rate_limit::LogRateLimiter;
use crate::proxy::memory_budget::MemoryBudget;
use crate::proxy::upstream::connection::{CallError, Connection, MAX_BODY};
use crate::proxy::upstream::forwarded_request::{ForwardedRequest, RequestPayload};
use crate::site_settings::note;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Response, StatusCode};
use rustix::io::Errno;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, OwnedSemaphorePermit};
use tokio::time::{sleep_until, timeout, Instant};
use tracing::warn;

const REJECTED: HeaderName = HeaderName::from_static("x-rejected");
const LOAD_REPORT: HeaderName = HeaderName::from_static("x-load-report");

/// However early kept connections break, one that stood idle for no longer than this is used again.
const LEAST_IDLE: Duration = Duration::from_millis(100);

/// An answer that does not say how long it is goes on after this, if it has not come to its end.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// One backend as the list has it now.
#[derive(Debug)]
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    /// When it last started, as told; a change means that old connections are dead.
    pub up_since_ms: u64,
    /// Cleared when the list says that it drains or is gone.
    pub open: Cell<bool>,
}

/// How an attempt ended, or that its answer has begun.
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// A 200's body.
    pub body: Option<UpstreamResponseBody>,
    /// When the backend had all of the request, if it had.
    pub whole_at: Option<Instant>,
    /// When the first bytes of a long answer came.
    pub begun_at: Option<Instant>,
    /// What the backend said of its load.
    pub report: LoadReport,
    /// Why nothing was written, where the gateway itself kept it back.
    pub unsent: Option<NotSentReason>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            body: None,
            whole_at: None,
            begun_at: None,
            report: LoadReport::default(),
            unsent: None,
        }
    }
}

/// The connections to all backends.
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    places: Share,
    dial_timeout: Duration,
    /// How long a connection may stand idle and be used again: half of what is known to be safe, less where
    /// connections broke earlier.
    longest_idle: Cell<Duration>,
    idle_limit: Duration,
    figures: Rc<Metrics>,
    memory: Rc<MemoryBudget>,
    garbled: LogRateLimiter,
}

impl ConnectionPool {
    /// A pool that holds at most so many connections, those in use included.
    pub fn new(
        connections: usize,
        dial_timeout: Duration,
        conn_idle: Duration,
        figures: Rc<Metrics>,
        memory: Rc<MemoryBudget>,
    ) -> ConnectionPool {
        // Guards against writing to a connection that its backend is about to close: half the time is left.
        let idle_limit = conn_idle / 2;
        let (idle, places) = (RefCell::default(), Share::new(connections));
        let (longest_idle, garbled) = (Cell::new(idle_limit), LogRateLimiter::default());
        ConnectionPool { idle, places, dial_timeout, longest_idle, idle_limit, figures, memory, garbled }
    }

    /// The connection used last is taken first, so that those not needed age and are retired.
    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let stack = idle.get_mut(&address)?;
        while let Some(mut connection) = stack.pop() {
            if connection.idle_since.elapsed() < self.longest_idle.get() && connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Takes a connection back that may carry another call.
    pub fn give_back(&self, address: SocketAddr, mut connection: Connection) {
        if connection.is_usable() {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().entry(address).or_default().push(connection);
        }
    }

    /// Guards against backends that drop idle connections, unheard, long before their limit: where one broke
    /// as it was used again, others must not stand idle for so long.
    fn broke(&self, idle: Duration) {
        if idle >= LEAST_IDLE {
            self.longest_idle.set(self.longest_idle.get().min((idle / 2).max(LEAST_IDLE)));
        }
    }

    /// Closes idle connections that are old or were closed by the other side. What was learned of how long
    /// they last fades.
    pub fn retire(&self) {
        self.longest_idle.set((self.longest_idle.get() * 21 / 20).min(self.idle_limit));
        self.idle.borrow_mut().retain(|_, stack| {
            stack.retain_mut(|c| c.idle_since.elapsed() < self.longest_idle.get() && c.is_usable());
            !stack.is_empty()
        });
    }

    /// Closes the idle connections to an address that is no longer a backend's, or whose backend restarted.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes one idle connection to make room for another.
    fn evict(&self) {
        let mut idle = self.idle.borrow_mut();
        if let Some(stack) = idle.values_mut().filter(|s| !s.is_empty()).max_by_key(|s| s.len()) {
            stack.remove(0);
        }
    }

    /// Leaves so many quarters of the connections to the other process of this gateway.
    pub fn leave(&self, quarters: usize) {
        self.places.leave(self.places.all() * quarters / 4);
        while self.held() > self.places.free() {
            self.evict();
        }
    }

    /// The end of an attempt that the gateway itself keeps back.
    pub fn unsent(&self, why: NotSentReason) -> AttemptResult {
        self.figures.not_sent.increment(why);
        AttemptResult { unsent: Some(why), ..Outcome::NotSent.into() }
    }

    fn held(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Makes one attempt and returns how it ended, its connection closed or back in the pool, or that a long
    /// answer has begun. It ends or begins by `until`, or when called off.
    pub async fn attempt(
        self: &Rc<ConnectionPool>,
        backend: &Backend,
        request: &ForwardedRequest,
        until: Instant,
        called_off: oneshot::Receiver<()>,
    ) -> AttemptResult {
        // Guards the limit on descriptors: an attempt without a place was never sent.
        let Some(place) = self.places.try_take() else {
            return self.unsent(NotSentReason::NoConnectionPermit);
        };
        while self.held() > self.places.free() {
            self.evict();
        }
        let (wrote, whole_at) = (Cell::new(false), Cell::new(None));
        // An answer that is here when the time is up is an answer.
        let ended = tokio::select! {
            biased;
            _ = called_off => Outcome::Cancelled.into(),
            ended = self.exchange(backend, request, until, place, &wrote, &whole_at) => ended,
            () = sleep_until(until) => match wrote.get() {
                true => Outcome::Timeout.into(),
                false => Outcome::ConnectFailed.into(),
            },
        };
        AttemptResult { whole_at: whole_at.get(), ..ended }
    }

    async fn exchange(
        self: &Rc<ConnectionPool>,
        backend: &Backend,
        request: &ForwardedRequest,
        until: Instant,
        place: OwnedSemaphorePermit,
        wrote: &Cell<bool>,
        whole_at: &Cell<Option<Instant>>,
    ) -> AttemptResult {
        loop {
            // What can be sent once goes out on a connection that has not stood idle.
            let kept = match request.body {
                RequestPayload::Buffered(_) => self.take(backend.address),
                RequestPayload::Streamed(_) => None,
            };
            let (mut connection, reused) = match kept {
                Some(connection) => (connection, true),
                None => {
                    let opening = Connection::open(backend.address, self.memory.buffer());
                    match timeout(self.dial_timeout, opening).await {
                        Ok(Ok(connection)) => (connection, false),
                        Ok(Err(error)) if is_own_shortage(&error) => {
                            return self.unsent(NotSentReason::LocalResourceShortage)
                        }
                        _ => return Outcome::ConnectFailed.into(),
                    }
                }
            };
            // Guards against sending to a backend that began to drain while the connection came up, and for a client
            // that left meanwhile, also where attempts must not be called off.
            if !backend.open.get() {
                return self.unsent(NotSentReason::EndpointDraining);
            }
            if !request.wanted.get() {
                return self.unsent(NotSentReason::RequestEnded);
            }
            // Guards against an owner that was paused and has been taken over meanwhile.
            if request.work.as_ref().is_some_and(|work| !work.may_act()) {
                return self.unsent(NotSentReason::NotOwner);
            }
            // Guards against writing in the moment in which the time is up.
            if Instant::now() >= until {
                return self.unsent(NotSentReason::AttemptTimedOut);
            }
            let idle = connection.idle_since.elapsed();
            let Some(call) = request.request(until) else {
                return self.unsent(NotSentReason::BodyAlreadySent);
            };
            // From here on the attempt may have run, for all that a caller who stops waiting can know.
            wrote.set(true);
            let whole = || {
                whole_at.set(Some(Instant::now()));
                self.figures.attempts_sent.increment();
            };
            match connection.begin(call, whole).await {
                Ok(response) => return self.read(backend.address, response, connection, place).await,
                // Guards against a pooled connection that was closed just before it was written to.
                Err(CallError::NotSent) if reused => wrote.set(false),
                Err(CallError::NotSent) => return Outcome::ConnectFailed.into(),
                Err(CallError::Cut) => return Outcome::NotSent.into(),
                Err(CallError::Broken) => {
                    if reused {
                        self.broke(idle);
                    }
                    return Outcome::ConnectionReset.into();
                }
            }
        }
    }

    /// Reads an answer: whole where it is short and there is room, so that a broken one can be tried again;
    /// else until it has begun.
    async fn read(
        self: &Rc<ConnectionPool>,
        address: SocketAddr,
        response: Response<Incoming>,
        mut connection: Connection,
        place: OwnedSemaphorePermit,
    ) -> AttemptResult {
        let outcome = outcome_of(&response);
        let (report, whole) = report_of(response.headers());
        if !whole && self.garbled.speaks(Instant::now()) {
            warn!(%address, "a load report makes no sense; what can't be read of it is passed over");
        }
        let mut body = response.into_body();
        if outcome != Outcome::Success {
            let read = connection.drive(Limited::new(body, MAX_BODY).collect()).await;
            if matches!(read, Some(Ok(_))) {
                self.give_back(address, connection);
            }
            return AttemptResult { report, ..outcome.into() };
        }
        let announced = body.size_hint().exact().map(|n| usize::try_from(n).unwrap_or(usize::MAX));
        let short = announced.unwrap_or(MAX_BODY) <= MAX_BODY;
        let room = short.then(|| self.memory.hold(announced.unwrap_or(MAX_BODY))).flatten();
        let mut begun_at = None;
        let (mut begun, mut length) = (VecDeque::new(), 0);
        loop {
            let waits = begun.is_empty() || room.is_some() && announced.is_some();
            let next = tokio::select! {
                biased;
                next = connection.drive(body.frame()) => next,
                () = sleep_until(begun_at.unwrap_or_else(Instant::now) + GATHER_TIME), if !waits => break,
            };
            match next {
                Some(Some(Ok(frame))) => {
                    // Trailers hold for the backend's connection alone.
                    let piece = frame.into_data().unwrap_or_default();
                    length += piece.len();
                    begun_at = begun_at.or_else(|| Some(Instant::now()));
                    begun.extend(Some(piece).filter(|piece| !piece.is_empty()));
                }
                Some(None) => {
                    self.give_back(address, connection);
                    let whole = match begun.len() {
                        1 => begun.pop_front().unwrap_or_default(),
                        _ => Bytes::from(begun.make_contiguous().concat()),
                    };
                    let body = Some(UpstreamResponseBody::Buffered(whole, room));
                    return AttemptResult { body, report, ..outcome.into() };
                }
                Some(Some(Err(_))) | None => return Outcome::ConnectionReset.into(),
            }
            if length > 0 && (room.is_none() || length > MAX_BODY) {
                break;
            }
        }
        let download = StreamedResponseBody::new(begun, body, connection, self.clone(), address, place);
        let body = Some(UpstreamResponseBody::Streamed(Box::new(download)));
        AttemptResult { body, begun_at, report, ..outcome.into() }
    }
}

/// Whether a connection failed for want of something on this machine, so that nothing is to be held against the backend.
fn is_own_shortage(error: &io::Error) -> bool {
    const SHORTAGES: [Errno; 7] = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::AGAIN,
        Errno::INTR,
    ];
    Errno::from_io_error(error).is_some_and(|errno| SHORTAGES.contains(&errno))
}

/// What a backend says of its load: `TEXT name=number, name=number`. What can't be read is passed over.
/// Also tells whether all of it could be read.
fn report_of(headers: &HeaderMap) -> (LoadReport, bool) {
    let mut report = LoadReport::default();
    let Some(header) = headers.get(LOAD_REPORT) else { return (report, true) };
    let Some(text) = header.to_str().ok().and_then(|text| text.strip_prefix("TEXT ")) else {
        return (report, false);
    };
    let mut whole = true;
    for pair in text.split(',') {
        match pair.trim().split_once('=').map(|(name, value)| (name, value.parse::<f64>())) {
            Some((name, Ok(value))) if value.is_finite() && value >= 0.0 => note(&mut report, name, value),
            _ => whole = false,
        }
    }
    (report, whole)
}

/// What an answer says. Guards against taking a bare 503 or 504 for a turn-away: only the header proves that
/// the request never ran.
fn outcome_of<T>(response: &Response<T>) -> Outcome {
    let rejected = response.headers().get(REJECTED).is_some_and(|v| v.as_bytes() == b"1");
    match response.status() {
        StatusCode::OK => Outcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => Outcome::Rejected,
        _ => Outcome::ServerError,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::header::HeaderValue;

    fn read(text: &str) -> (LoadReport, bool) {
        let mut headers = HeaderMap::new();
        headers.insert(LOAD_REPORT, HeaderValue::from_str(text).expect("a header"));
        report_of(&headers)
    }

    #[test]
    fn a_load_report_is_read_as_far_as_it_makes_sense() {
        let whole = LoadReport { in_flight: Some(7.0), queued: Some(2.0), busy_fraction: Some(0.61) };
        assert_eq!(read("TEXT concurrent=7, depth=2, load_share=0.61, tps=3"), (whole, true));
        let busy = LoadReport { busy_fraction: Some(0.5), ..LoadReport::default() };
        assert_eq!(read("TEXT concurrent=NaN,depth=-1, load_share=0.5"), (busy, false));
        assert_eq!(read("TEXT concurrent=, =, ,load_share=0.5=,"), (LoadReport::default(), false));
        assert_eq!(read("BINARY concurrent=7"), (LoadReport::default(), false));
        assert_eq!(report_of(&HeaderMap::new()), (LoadReport::default(), true), "none is none");
    }
}
