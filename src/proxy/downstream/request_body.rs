//! Bodies of client requests: buffered if they are short, otherwise streamed to the backend. A body that arrives below
//! the minimum rate is an error. [`OutboundBody`] is the body of an outbound call, which may be such a stream.

use super::client_input::ClientInput;
use super::wake_flag::WakeFlag;
use crate::decision::NANOS_PER_CLIENT_BYTE;
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::{oneshot, OwnedSemaphorePermit};
use tokio::time::{sleep, Instant, Sleep};

/// Longest body that a client may send, in bytes.
pub const MAX_REQUEST_BODY_BYTES: usize = 32 << 20;

/// Why a body was not received completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than `MAX_REQUEST_BODY_BYTES`.
    #[error("request body is longer than {MAX_REQUEST_BODY_BYTES} bytes")]
    TooLong,
    /// The body arrives below the minimum rate.
    #[error("request body arrives too slowly")]
    TooSlow,
    /// The connection ended before the body, or the body is malformed.
    #[error("request body ended early or is malformed")]
    Broken,
}

/// A client that sends nothing of its body for this long has stopped; its error is due 3 s after its last byte.
const MAX_SILENCE: Duration = Duration::from_millis(2300);

/// Returns the longest time that a client may take to send `bytes` bytes, with `extra_wait` on top of the time for the
/// bytes.
fn max_transfer_time(extra_wait: Duration, bytes: usize) -> Duration {
    extra_wait + Duration::from_nanos(bytes as u64 * NANOS_PER_CLIENT_BYTE)
}

/// Reads the body of a client's request as it arrives.
pub struct RequestBodyReader {
    body: Incoming,
    received_bytes: usize,
    /// Waiting time allowed in addition to the time for the bytes received.
    extra_wait: Duration,
    /// Time spent waiting for the client so far, not counting the current wait.
    time_waited: Duration,
    waiting_since: Option<Instant>,
    timer: Pin<Box<Sleep>>,
    input: Rc<ClientInput>,
    /// Held once the body has turned out not to arrive with its head.
    connection_permit: Option<OwnedSemaphorePermit>,
}

impl RequestBodyReader {
    /// Returns a reader that has read nothing yet.
    pub fn new(body: Incoming, extra_wait: Duration, input: Rc<ClientInput>) -> RequestBodyReader {
        let (time_waited, timer) = (Duration::ZERO, Box::pin(sleep(Duration::ZERO)));
        RequestBodyReader {
            body,
            received_bytes: 0,
            extra_wait,
            time_waited,
            waiting_since: None,
            timer,
            input,
            connection_permit: None,
        }
    }

    /// Keeps the permit for a connection with a slow body until the body has been read.
    pub fn hold(&mut self, permit: OwnedSemaphorePermit) {
        self.connection_permit = Some(permit);
    }

    /// Returns the length in bytes, if the client declared it.
    pub fn declared_length(&self) -> Option<usize> {
        self.body.size_hint().exact().map(|n| usize::try_from(n).unwrap_or(usize::MAX))
    }

    /// Polls for the next chunk that is not empty. Only time spent waiting for the client counts towards the time-out.
    fn poll_chunk(&mut self, cx: &mut Context) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            let flag = WakeFlag::new(cx.waker().clone());
            let waker = Waker::from(flag.clone());
            let frame = Pin::new(&mut self.body).poll_frame(&mut Context::from_waker(&waker));
            self.input.set_body_reader(Some(flag).filter(|_| frame.is_pending()));
            let Poll::Ready(frame) = frame else {
                let since = *self.waiting_since.get_or_insert_with(Instant::now);
                let max_wait =
                    max_transfer_time(self.extra_wait, self.received_bytes).saturating_sub(self.time_waited);
                let due = since + max_wait.min(MAX_SILENCE);
                if self.timer.deadline() != due {
                    self.timer.as_mut().reset(due);
                }
                ready!(self.timer.as_mut().poll(cx));
                return Poll::Ready(Some(Err(BodyError::TooSlow)));
            };
            self.time_waited += self.waiting_since.take().map_or(Duration::ZERO, |since| since.elapsed());
            let Some(frame) = frame else { return Poll::Ready(None) };
            // Trailers apply to the client's connection only and are dropped.
            let Ok(chunk) = frame.map(|f| f.into_data().ok()).map(Option::unwrap_or_default) else {
                return Poll::Ready(Some(Err(BodyError::Broken)));
            };
            self.received_bytes += chunk.len();
            if self.received_bytes > MAX_REQUEST_BODY_BYTES {
                return Poll::Ready(Some(Err(BodyError::TooLong)));
            }
            if !chunk.is_empty() {
                return Poll::Ready(Some(Ok(chunk)));
            }
        }
    }

    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        std::future::poll_fn(|cx| self.poll_chunk(cx)).await
    }

    /// Adds what arrives to `collected`, until the end of the body or until it holds more than `limit` bytes. Returns whether
    /// the body has ended. Nothing is lost if the call is dropped.
    ///
    /// # Errors
    ///
    /// Returns why the body was not received completely.
    pub async fn collect_into(&mut self, collected: &mut BytesMut, limit: usize) -> Result<bool, BodyError> {
        while collected.len() <= limit {
            match self.next_chunk().await {
                None => return Ok(true),
                Some(chunk) => collected.extend_from_slice(&chunk?),
            }
        }
        Ok(false)
    }

    /// Reads and discards the rest, so that the client finishes sending and reads its response.
    pub async fn discard(mut self) {
        while let Some(Ok(_)) = self.next_chunk().await {}
    }
}

/// Progress of a body that is being sent to a backend.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BodyProgress {
    /// More bytes are expected.
    #[default]
    InProgress,
    /// The last byte was passed on to the connection, or the body is buffered as a whole.
    Complete,
    /// The client did not send the body to its end.
    Broken,
}

/// How a streamed body ended.
pub enum RequestBodyResult {
    /// The last byte has arrived.
    Complete,
    /// The body was not received completely.
    Broken(BodyError),
    /// The body was dropped before its end. The reader can read the rest.
    Unread(RequestBodyReader),
}

/// Body that is passed on as it arrives. It can be sent only once.
pub struct StreamedRequestBody {
    /// Bytes that were read before the body was first polled.
    buffered: Option<Bytes>,
    rest: Option<RequestBodyReader>,
    /// Number of bytes still to be passed on, if the client declared the length.
    remaining_bytes: Option<usize>,
    on_end: Option<oneshot::Sender<RequestBodyResult>>,
    /// Shared with the connection that sends the body.
    progress: Rc<Cell<BodyProgress>>,
}

impl StreamedRequestBody {
    /// Returns a body made of the bytes already read and the reader of the rest, and a receiver of the result.
    pub fn new(
        buffered: Bytes,
        rest: RequestBodyReader,
    ) -> (StreamedRequestBody, oneshot::Receiver<RequestBodyResult>) {
        let (on_end, end) = oneshot::channel();
        let remaining_bytes = rest.declared_length().map(|n| n + buffered.len());
        let buffered = Some(buffered).filter(|b| !b.is_empty());
        (
            StreamedRequestBody {
                buffered,
                rest: Some(rest),
                remaining_bytes,
                on_end: Some(on_end),
                progress: Rc::default(),
            },
            end,
        )
    }

    fn finish(&mut self, result: RequestBodyResult) {
        if let Some(on_end) = self.on_end.take() {
            // The receiver is gone if the request was already answered.
            let _ = on_end.send(result);
        }
    }

    fn count_passed_on(&mut self, chunk: &Bytes) {
        self.remaining_bytes = self.remaining_bytes.map(|remaining| remaining.saturating_sub(chunk.len()));
        if self.remaining_bytes == Some(0) {
            self.progress.set(BodyProgress::Complete);
            self.rest = None;
            self.finish(RequestBodyResult::Complete);
        }
    }
}

impl Drop for StreamedRequestBody {
    fn drop(&mut self) {
        if let Some(rest) = self.rest.take() {
            self.finish(RequestBodyResult::Unread(rest));
        }
    }
}

/// Body of a call to a backend, the counter or discovery.
pub enum OutboundBody {
    /// Complete body.
    Buffered(Full<Bytes>),
    /// Body that is still arriving from a client.
    Streamed(Box<StreamedRequestBody>),
}

impl OutboundBody {
    /// Returns an empty body.
    pub fn empty() -> OutboundBody {
        OutboundBody::Buffered(Full::new(Bytes::new()))
    }

    /// Returns the progress of the body, which is updated while the body is sent.
    pub fn progress(&self) -> Rc<Cell<BodyProgress>> {
        match self {
            OutboundBody::Buffered(_) => Rc::new(Cell::new(BodyProgress::Complete)),
            OutboundBody::Streamed(streamed) => streamed.progress.clone(),
        }
    }
}

impl Body for OutboundBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let streamed = match self.get_mut() {
            OutboundBody::Buffered(body) => {
                let never = |e: Infallible| match e {};
                return Pin::new(body).poll_frame(cx).map(|f| f.map(|f| f.map_err(never)));
            }
            OutboundBody::Streamed(streamed) => streamed,
        };
        let chunk = match (streamed.buffered.take(), &mut streamed.rest) {
            (Some(buffered), _) => Some(Ok(buffered)),
            (None, Some(rest)) => ready!(rest.poll_chunk(cx)),
            (None, None) => None,
        };
        Poll::Ready(match chunk {
            Some(Ok(chunk)) => {
                streamed.count_passed_on(&chunk);
                Some(Ok(Frame::data(chunk)))
            }
            Some(Err(error)) => {
                streamed.progress.set(BodyProgress::Broken);
                streamed.rest = None;
                streamed.finish(RequestBodyResult::Broken(error));
                Some(Err(error))
            }
            None => {
                streamed.progress.set(BodyProgress::Complete);
                streamed.rest = None;
                streamed.finish(RequestBodyResult::Complete);
                None
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        match self {
            OutboundBody::Buffered(body) => body.is_end_stream(),
            OutboundBody::Streamed(streamed) => streamed.buffered.is_none() && streamed.rest.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutboundBody::Buffered(body) => body.size_hint(),
            OutboundBody::Streamed(streamed) => {
                streamed.remaining_bytes.map_or_else(SizeHint::default, |n| SizeHint::with_exact(n as u64))
            }
        }
    }
}
