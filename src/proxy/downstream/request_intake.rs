//! Reads a request as far as it has to be read before it is dispatched, within the memory and the connections that
//! requests may take.
//!
//! A body that arrives with its head takes memory alone. Any other keeps its connection for as long as its client likes:
//! such bodies may hold a part of the connections, so that the rest is free for others.

use super::idle_connections::OpenRequestGuard;
use super::request_body::{
    BodyError, RequestBodyReader, RequestBodyResult, StreamedRequestBody, MAX_REQUEST_BODY_BYTES,
};
use super::request_error::RequestError;
use crate::proxy::memory_budget::{MemoryBudget, MemoryOwner, MemoryReservation};
use crate::proxy::upstream::connection::MAX_BUFFERED_BODY_BYTES;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// State of an open request without its head and body, in bytes.
const REQUEST_STATE_BYTES: usize = 8 * 1024;
/// Memory of a header field in the request and in the copy that an attempt sends, in bytes.
const BYTES_PER_FIELD: usize = 224;
/// A body of at most this many bytes may arrive with its head.
const PROMPT_BODY_BYTES: usize = 8 * 1024;
/// Such a body that has arrived this long after its head is not slow.
const PROMPT_BODY_TIME: Duration = Duration::from_millis(5);

/// Body of a request, as far as it has been read.
pub(super) enum ReceivedBody {
    /// Complete body.
    Buffered(Bytes),
    /// Body whose rest is passed on as it arrives, and the receiver of its result.
    Streamed(Box<StreamedRequestBody>, oneshot::Receiver<RequestBodyResult>),
}

impl ReceivedBody {
    fn streamed(read: Bytes, rest: RequestBodyReader) -> ReceivedBody {
        let (body, end) = StreamedRequestBody::new(read, rest);
        ReceivedBody::Streamed(Box::new(body), end)
    }
}

/// A request that can be dispatched, and its memory.
pub(super) struct ReceivedRequest {
    pub body: ReceivedBody,
    pub memory: MemoryReservation,
}

/// Reads the body of a request whose head was read, if it is short and there is memory for it. Any other is streamed: a
/// body of known length without reading any of it, a body of unknown length once it has turned out not to be short, or at
/// its first bytes if there is no memory. Returns `None` if there is no room for the request.
///
/// # Errors
///
/// Returns why the body was not received.
pub(super) async fn receive(
    body: Incoming,
    headers: &HeaderMap,
    open_request: &OpenRequestGuard,
    budget: &MemoryBudget,
) -> Result<Option<ReceivedRequest>, RequestError> {
    // The head stays in the connection's buffer while its fields are in use.
    let head_bytes = REQUEST_STATE_BYTES + budget.buffer_bytes() + headers.capacity() * BYTES_PER_FIELD;
    if body.is_end_stream() {
        let memory = budget.reserve(MemoryOwner::Request, head_bytes);
        return Ok(
            memory.map(|memory| ReceivedRequest { body: ReceivedBody::Buffered(Bytes::new()), memory })
        );
    }
    let reader = RequestBodyReader::new(body, open_request.body_wait(), open_request.input());
    let intake = Intake { reader, budget, head_bytes };
    match intake.reader.declared_length() {
        Some(length) if length > MAX_REQUEST_BODY_BYTES => Err(BodyError::TooLong.into()),
        Some(length) if length > MAX_BUFFERED_BODY_BYTES => Ok(intake.stream()),
        // A buffer of unknown length grows by doubling.
        length => intake.collect(length.unwrap_or(2 * MAX_BUFFERED_BODY_BYTES)).await,
    }
}

/// A request whose body is not read yet.
struct Intake<'a> {
    reader: RequestBodyReader,
    budget: &'a MemoryBudget,
    /// Memory of the request without its body.
    head_bytes: usize,
}

impl Intake<'_> {
    /// Collects a body that may be short, for which `body_bytes` are needed if it is.
    async fn collect(mut self, body_bytes: usize) -> Result<Option<ReceivedRequest>, RequestError> {
        let mut collected = BytesMut::new();
        if let Some(memory) = self.collect_promptly(&mut collected).await? {
            return Ok(Some(ReceivedRequest { body: ReceivedBody::Buffered(collected.freeze()), memory }));
        }
        let memory = self.budget.reserve(MemoryOwner::Upload, self.head_bytes + body_bytes);
        // Without memory for all of it, what was read is passed on.
        let limit = memory.as_ref().map_or(0, |_| MAX_BUFFERED_BODY_BYTES);
        let memory = memory.or_else(|| self.budget.reserve(MemoryOwner::Upload, self.head_bytes));
        let (Some(memory), Some(permit)) = (memory, self.budget.reserve_slow_body()) else { return Ok(None) };
        self.reader.hold(permit);
        let is_complete = self.reader.collect_into(&mut collected, limit).await?;
        let body = match is_complete {
            true => ReceivedBody::Buffered(collected.freeze()),
            false => ReceivedBody::streamed(collected.freeze(), self.reader),
        };
        Ok(Some(ReceivedRequest { body, memory }))
    }

    /// Collects a body of a few bytes that arrives with its head. Returns its memory, or `None` if it has not ended.
    async fn collect_promptly(
        &mut self,
        collected: &mut BytesMut,
    ) -> Result<Option<MemoryReservation>, RequestError> {
        let owner = match self.reader.declared_length() {
            Some(length) if length > PROMPT_BODY_BYTES => return Ok(None),
            Some(_) => MemoryOwner::Request,
            // It may turn out to be long.
            None => MemoryOwner::Upload,
        };
        let bytes = self.head_bytes + PROMPT_BODY_BYTES;
        let Some(memory) = self.budget.reserve(owner, bytes) else { return Ok(None) };
        let collecting = self.reader.collect_into(collected, PROMPT_BODY_BYTES);
        match timeout(PROMPT_BODY_TIME, collecting).await {
            Ok(is_complete) => Ok(is_complete?.then_some(memory)),
            Err(_) => Ok(None),
        }
    }

    /// Streams a body of which nothing was read.
    fn stream(mut self) -> Option<ReceivedRequest> {
        let memory = self.budget.reserve(MemoryOwner::Upload, self.head_bytes)?;
        self.reader.hold(self.budget.reserve_slow_body()?);
        Some(ReceivedRequest { body: ReceivedBody::streamed(Bytes::new(), self.reader), memory })
    }
}
