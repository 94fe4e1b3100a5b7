//! Reads a backend's response. A short response is buffered if there is memory for it, so that the request can be
//! retried if the response breaks off; any other is streamed.

use super::attempt_result::{AttemptResult, UpstreamResponseBody};
use super::connection::{Connection, MAX_BUFFERED_BODY_BYTES};
use super::load_report;
use super::pool::ConnectionPool;
use super::streamed_response::{StreamConnection, StreamedResponseBody};
use crate::decision::{LoadReport, Outcome};
use crate::proxy::memory_budget::MemoryOwner;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::HeaderName;
use hyper::{Response, StatusCode};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{sleep_until, Instant};
use tracing::{debug, warn};

const REJECTED: HeaderName = HeaderName::from_static("x-rejected");

/// A response of unknown length that has not ended this long after its first bytes is streamed.
const MAX_COLLECT_TIME: Duration = Duration::from_millis(20);

/// Connection that a response is read from, with its pool, address and permit.
pub(super) struct ResponseReading<'a> {
    pub pool: &'a Rc<ConnectionPool>,
    pub address: SocketAddr,
    pub connection: Connection,
    /// The attempt's permit for its connection.
    pub permit: OwnedSemaphorePermit,
}

/// Part of a body that has arrived, in one piece: a chunk of a few bytes would keep the whole buffer that it was read to.
#[derive(Default)]
struct CollectedBody {
    bytes: BytesMut,
    /// When the first bytes arrived.
    started_at: Option<Instant>,
}

/// How collecting a body ended.
enum CollectResult {
    Complete,
    /// The rest is to be streamed.
    Partial,
    Broken,
}

impl CollectedBody {
    fn with_capacity(bytes: usize) -> CollectedBody {
        CollectedBody { bytes: BytesMut::with_capacity(bytes), started_at: None }
    }

    fn add_frame(&mut self, frame: Frame<Bytes>) {
        // Trailers apply to the backend's connection only and are dropped.
        let chunk = frame.into_data().unwrap_or_default();
        self.started_at = self.started_at.or_else(|| Some(Instant::now()));
        self.bytes.extend_from_slice(&chunk);
    }
}

/// Reads a response to its end, or until its body has started and the rest is to be streamed.
pub(super) async fn read_response(
    reading: ResponseReading<'_>,
    response: Response<Incoming>,
) -> AttemptResult {
    let outcome = response_outcome(&response);
    let parsed = load_report::parse(response.headers());
    if parsed.malformed && reading.pool.malformed_report_log.try_log(Instant::now()) {
        warn!(address = %reading.address, "invalid load report from a backend; ignoring its malformed parts");
    }
    match outcome {
        Outcome::Success => read_body(reading, response.into_body(), parsed.report).await,
        outcome => {
            discard_body(reading, response.into_body()).await;
            AttemptResult { report: parsed.report, ..outcome.into() }
        }
    }
}

/// Reads and discards the body of an error response, so that the connection can be reused.
async fn discard_body(mut reading: ResponseReading<'_>, body: Incoming) {
    let read = reading.connection.drive(Limited::new(body, MAX_BUFFERED_BODY_BYTES).collect()).await;
    if matches!(read, Some(Ok(_))) {
        reading.pool.release(reading.address, reading.connection);
    }
}

async fn read_body(reading: ResponseReading<'_>, mut body: Incoming, report: LoadReport) -> AttemptResult {
    let ResponseReading { pool, address, mut connection, permit } = reading;
    let length = body.size_hint().exact().map(|n| usize::try_from(n).unwrap_or(usize::MAX));
    let reserved = length.unwrap_or(MAX_BUFFERED_BODY_BYTES);
    let memory = match reserved <= MAX_BUFFERED_BODY_BYTES {
        true => pool.memory.reserve(MemoryOwner::Response, reserved),
        false => None,
    };
    let limits = CollectLimits { has_memory: memory.is_some(), length_known: length.is_some() };
    let mut collected = CollectedBody::with_capacity(length.filter(|_| memory.is_some()).unwrap_or(0));
    match collect_body(&mut connection, &mut body, limits, &mut collected).await {
        CollectResult::Broken => Outcome::ConnectionReset.into(),
        CollectResult::Complete => {
            pool.release(address, connection);
            let body = UpstreamResponseBody::Buffered(collected.bytes.freeze(), memory);
            AttemptResult { body: Some(body), report, ..Outcome::Success.into() }
        }
        CollectResult::Partial => {
            let Some(stream_permit) = pool.memory.reserve_transfer() else {
                return response_without_room(address, report);
            };
            let connection =
                StreamConnection { connection, pool: pool.clone(), address, permit, stream_permit };
            let streamed = StreamedResponseBody::new(collected.bytes.freeze(), memory, body, connection);
            AttemptResult {
                body: Some(UpstreamResponseBody::Streamed(Box::new(streamed))),
                response_started_at: collected.started_at,
                report,
                ..Outcome::Success.into()
            }
        }
    }
}

/// Returns the result of an attempt whose response is long, while as many are streamed as may be.
fn response_without_room(address: SocketAddr, report: LoadReport) -> AttemptResult {
    debug!(%address, "response given up: too many responses are being streamed");
    // It has run, and the backend is not at fault.
    AttemptResult { report, ..Outcome::Cancelled.into() }
}

/// Conditions that decide how much of a body is collected.
#[derive(Clone, Copy)]
struct CollectLimits {
    /// Whether there is memory to buffer the body.
    has_memory: bool,
    /// Whether the response declares its length.
    length_known: bool,
}

async fn collect_body(
    connection: &mut Connection,
    body: &mut Incoming,
    limits: CollectLimits,
    collected: &mut CollectedBody,
) -> CollectResult {
    loop {
        let waits_for_more = collected.bytes.is_empty() || limits.has_memory && limits.length_known;
        let stream_at = collected.started_at.unwrap_or_else(Instant::now) + MAX_COLLECT_TIME;
        let frame = tokio::select! {
            biased;
            frame = connection.drive(body.frame()) => frame,
            () = sleep_until(stream_at), if !waits_for_more => return CollectResult::Partial,
        };
        match frame {
            Some(Some(Ok(frame))) => collected.add_frame(frame),
            Some(None) => return CollectResult::Complete,
            Some(Some(Err(_))) | None => return CollectResult::Broken,
        }
        let length = collected.bytes.len();
        if length > 0 && (!limits.has_memory || length > MAX_BUFFERED_BODY_BYTES) {
            return CollectResult::Partial;
        }
    }
}

/// Returns the outcome that the head of a response states. Guards against taking a plain 503 or 504 for a rejection:
/// only the `X-Rejected` header proves that the request never ran.
fn response_outcome<T>(response: &Response<T>) -> Outcome {
    let rejected = response.headers().get(REJECTED).is_some_and(|v| v.as_bytes() == b"1");
    match response.status() {
        StatusCode::OK => Outcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => Outcome::Rejected,
        _ => Outcome::ServerError,
    }
}
