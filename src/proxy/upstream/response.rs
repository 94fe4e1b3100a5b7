//! Reads a backend's response: buffered while it is short and there is memory for it, so that a broken one can be retried;
//! streamed otherwise.

use super::attempt_result::{AttemptResult, UpstreamResponseBody};
use super::connection::{Connection, MAX_BODY};
use super::load_report;
use super::pool::ConnectionPool;
use super::streamed_response::StreamedResponseBody;
use crate::decision::{LoadReport, Outcome};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::HeaderName;
use hyper::{Response, StatusCode};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{sleep_until, Instant};
use tracing::warn;

const REJECTED: HeaderName = HeaderName::from_static("x-rejected");

/// A response of unknown length is streamed after this, from its first bytes, if it has not come to its end.
const MAX_GATHER_TIME: Duration = Duration::from_millis(20);

/// What a response is read from and with.
pub(super) struct ResponseReading<'a> {
    pub pool: &'a Rc<ConnectionPool>,
    pub address: SocketAddr,
    pub connection: Connection,
    /// The attempt's permit for its connection.
    pub permit: OwnedSemaphorePermit,
}

/// What has come of a body.
#[derive(Default)]
struct Gathered {
    pieces: VecDeque<Bytes>,
    bytes: usize,
    /// When the first piece came.
    started_at: Option<Instant>,
}

/// How far a body was gathered.
enum GatherEnd {
    Complete,
    /// The rest is to be streamed.
    Started,
    Broken,
}

impl Gathered {
    fn add(&mut self, frame: Frame<Bytes>) {
        // Trailers hold for the backend's connection alone.
        let piece = frame.into_data().unwrap_or_default();
        self.bytes += piece.len();
        self.started_at = self.started_at.or_else(|| Some(Instant::now()));
        if !piece.is_empty() {
            self.pieces.push_back(piece);
        }
    }

    fn into_bytes(mut self) -> Bytes {
        match self.pieces.len() {
            1 => self.pieces.pop_front().unwrap_or_default(),
            _ => Bytes::from(self.pieces.make_contiguous().concat()),
        }
    }
}

/// Reads a response to its end, or until its body has started and is to be streamed.
pub(super) async fn read_response(
    reading: ResponseReading<'_>,
    response: Response<Incoming>,
) -> AttemptResult {
    let outcome = outcome_of(&response);
    let parsed = load_report::parse(response.headers());
    if parsed.malformed && reading.pool.malformed_report_log.allows(Instant::now()) {
        warn!(address = %reading.address, "invalid load report; its unreadable figures are ignored");
    }
    match outcome {
        Outcome::Success => read_body(reading, response.into_body(), parsed.report).await,
        outcome => {
            skip_body(reading, response.into_body()).await;
            AttemptResult { report: parsed.report, ..outcome.into() }
        }
    }
}

/// Reads the body of an error, so that the connection can be used again.
async fn skip_body(mut reading: ResponseReading<'_>, body: Incoming) {
    let read = reading.connection.drive(Limited::new(body, MAX_BODY).collect()).await;
    if matches!(read, Some(Ok(_))) {
        reading.pool.give_back(reading.address, reading.connection);
    }
}

async fn read_body(reading: ResponseReading<'_>, mut body: Incoming, report: LoadReport) -> AttemptResult {
    let ResponseReading { pool, address, mut connection, permit } = reading;
    let length = body.size_hint().exact().map(|n| usize::try_from(n).unwrap_or(usize::MAX));
    let reserved = length.unwrap_or(MAX_BODY);
    let memory = if reserved <= MAX_BODY { pool.memory.hold(reserved) } else { None };
    let limits = GatherLimits { has_memory: memory.is_some(), length_known: length.is_some() };
    let mut gathered = Gathered::default();
    match gather(&mut connection, &mut body, limits, &mut gathered).await {
        GatherEnd::Broken => Outcome::ConnectionReset.into(),
        GatherEnd::Complete => {
            pool.give_back(address, connection);
            let body = UpstreamResponseBody::Buffered(gathered.into_bytes(), memory);
            AttemptResult { body: Some(body), report, ..Outcome::Success.into() }
        }
        GatherEnd::Started => {
            let Gathered { pieces, started_at, .. } = gathered;
            let streamed = StreamedResponseBody::new(pieces, body, connection, pool.clone(), address, permit);
            AttemptResult {
                body: Some(UpstreamResponseBody::Streamed(Box::new(streamed))),
                response_started_at: started_at,
                report,
                ..Outcome::Success.into()
            }
        }
    }
}

/// What decides how much of a body is gathered.
#[derive(Clone, Copy)]
struct GatherLimits {
    /// There is memory to buffer it.
    has_memory: bool,
    /// The response says how long it is.
    length_known: bool,
}

async fn gather(
    connection: &mut Connection,
    body: &mut Incoming,
    limits: GatherLimits,
    gathered: &mut Gathered,
) -> GatherEnd {
    loop {
        let waits_for_more = gathered.pieces.is_empty() || limits.has_memory && limits.length_known;
        let stream_at = gathered.started_at.unwrap_or_else(Instant::now) + MAX_GATHER_TIME;
        let frame = tokio::select! {
            biased;
            frame = connection.drive(body.frame()) => frame,
            () = sleep_until(stream_at), if !waits_for_more => return GatherEnd::Started,
        };
        match frame {
            Some(Some(Ok(frame))) => gathered.add(frame),
            Some(None) => return GatherEnd::Complete,
            Some(Some(Err(_))) | None => return GatherEnd::Broken,
        }
        if gathered.bytes > 0 && (!limits.has_memory || gathered.bytes > MAX_BODY) {
            return GatherEnd::Started;
        }
    }
}

/// What a response's head says. Guards against taking a bare 503 or 504 for a rejection: only the header proves that the
/// request never ran.
fn outcome_of<T>(response: &Response<T>) -> Outcome {
    let rejected = response.headers().get(REJECTED).is_some_and(|v| v.as_bytes() == b"1");
    match response.status() {
        StatusCode::OK => Outcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => Outcome::Rejected,
        _ => Outcome::ServerError,
    }
}
