//! Bodies of clients' requests: read at the pace that clients are promised, buffered while they are short, streamed to the
//! backend where they are not. Also the body of an outbound call, which may be such a stream.

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, Instant, Sleep};

/// The longest body that a client may send, in bytes.
pub const MAX_REQUEST_BODY_BYTES: usize = 32 << 20;
/// How long one byte of a body may take, in nanoseconds: 64 kB a second with a fifth to spare.
const NANOS_PER_BYTE: u64 = 19_500;

/// Why a body does not come to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is longer than any may be.
    #[error("the body is longer than {MAX_REQUEST_BODY_BYTES} bytes")]
    TooLong,
    /// It comes too slowly.
    #[error("the body comes too slowly")]
    TooSlow,
    /// It broke off, or is malformed.
    #[error("the body broke off")]
    Broken,
}

/// How long the slowest client takes for so many bytes, where it may keep the gateway waiting for `wait` besides.
pub fn slowest_transfer(wait: Duration, bytes: usize) -> Duration {
    wait + Duration::from_nanos(bytes as u64 * NANOS_PER_BYTE)
}

/// Reads a client's body as it comes.
pub struct RequestBodyReader {
    body: Incoming,
    received: usize,
    /// How long it may be waited for, beside what its bytes take.
    wait: Duration,
    /// How long it was waited for, before the present wait.
    waited: Duration,
    waiting_since: Option<Instant>,
    timer: Pin<Box<Sleep>>,
}

impl RequestBodyReader {
    /// Nothing has been read.
    pub fn new(body: Incoming, wait: Duration) -> RequestBodyReader {
        let (waited, timer) = (Duration::ZERO, Box::pin(sleep(Duration::ZERO)));
        RequestBodyReader { body, received: 0, wait, waited, waiting_since: None, timer }
    }

    /// Its length in bytes, if the client has said.
    pub fn announced_length(&self) -> Option<usize> {
        self.body.size_hint().exact().map(|n| usize::try_from(n).unwrap_or(usize::MAX))
    }

    /// The next piece. Only time in which the client keeps the gateway waiting counts.
    fn poll_piece(&mut self, cx: &mut Context) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
                let since = *self.waiting_since.get_or_insert_with(Instant::now);
                let due = since + slowest_transfer(self.wait, self.received).saturating_sub(self.waited);
                if self.timer.deadline() != due {
                    self.timer.as_mut().reset(due);
                }
                ready!(self.timer.as_mut().poll(cx));
                return Poll::Ready(Some(Err(BodyError::TooSlow)));
            };
            self.waited += self.waiting_since.take().map_or(Duration::ZERO, |since| since.elapsed());
            let Some(frame) = frame else { return Poll::Ready(None) };
            // Trailers hold for the client's connection alone.
            let Ok(piece) = frame.map(|f| f.into_data().ok()).map(Option::unwrap_or_default) else {
                return Poll::Ready(Some(Err(BodyError::Broken)));
            };
            self.received += piece.len();
            if self.received > MAX_REQUEST_BODY_BYTES {
                return Poll::Ready(Some(Err(BodyError::TooLong)));
            }
            if !piece.is_empty() {
                return Poll::Ready(Some(Ok(piece)));
            }
        }
    }

    async fn piece(&mut self) -> Option<Result<Bytes, BodyError>> {
        std::future::poll_fn(|cx| self.poll_piece(cx)).await
    }

    /// Reads until the end, or until there is more than `limit`.
    ///
    /// # Errors
    ///
    /// The body does not come to its end.
    pub async fn gather(&mut self, limit: usize) -> Result<GatheredBody, BodyError> {
        let mut gathered = BytesMut::new();
        while gathered.len() <= limit {
            match self.piece().await {
                None => return Ok(GatheredBody { bytes: gathered.freeze(), complete: true }),
                Some(piece) => gathered.extend_from_slice(&piece?),
            }
        }
        Ok(GatheredBody { bytes: gathered.freeze(), complete: false })
    }

    /// Reads to the end and keeps nothing, so that the client can read its answer.
    pub async fn discard(mut self) {
        while let Some(Ok(_)) = self.piece().await {}
    }
}

/// What was gathered of a body.
pub struct GatheredBody {
    /// What has come.
    pub bytes: Bytes,
    /// That is all of it.
    pub complete: bool,
}

/// How far a body has come that is on its way to a backend.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BodyProgress {
    /// More is to come.
    #[default]
    Coming,
    /// Its last byte has come.
    Ended,
    /// Its client does not bring it to its end.
    Broken,
}

/// How a streamed body ended.
pub enum RequestBodyResult {
    /// Its last byte has come.
    Complete,
    /// It does not come to its end.
    Broken(BodyError),
    /// Its reader was dropped before.
    Unread(RequestBodyReader),
}

/// A body that is passed on as it comes. It can be sent once.
pub struct StreamedRequestBody {
    read: Option<Bytes>,
    rest: Option<RequestBodyReader>,
    remaining: Option<usize>,
    on_end: Option<oneshot::Sender<RequestBodyResult>>,
    /// For the connection that it goes out on.
    progress: Rc<Cell<BodyProgress>>,
}

impl StreamedRequestBody {
    /// What has been read, and what is to come.
    pub fn new(
        read: Bytes,
        rest: RequestBodyReader,
    ) -> (StreamedRequestBody, oneshot::Receiver<RequestBodyResult>) {
        let (on_end, end) = oneshot::channel();
        // What has not been read yet, as far as the client has said.
        let remaining = rest.announced_length().map(|n| n + read.len());
        let read = Some(read).filter(|b| !b.is_empty());
        (
            StreamedRequestBody {
                read,
                rest: Some(rest),
                remaining,
                on_end: Some(on_end),
                progress: Rc::default(),
            },
            end,
        )
    }

    fn end(&mut self, end: RequestBodyResult) {
        if let Some(on_end) = self.on_end.take() {
            // The request may have its response already.
            let _ = on_end.send(end);
        }
    }

    fn passed(&mut self, piece: &Bytes) {
        self.remaining = self.remaining.map(|remaining| remaining.saturating_sub(piece.len()));
        if self.remaining == Some(0) {
            self.progress.set(BodyProgress::Ended);
            self.rest = None;
            self.end(RequestBodyResult::Complete);
        }
    }
}

impl Drop for StreamedRequestBody {
    fn drop(&mut self) {
        if let Some(rest) = self.rest.take() {
            self.end(RequestBodyResult::Unread(rest));
        }
    }
}

/// The body of a call to a backend, the counter or discovery.
pub enum OutboundBody {
    /// All of it is here.
    Buffered(Full<Bytes>),
    /// It is still coming from a client.
    Streamed(Box<StreamedRequestBody>),
}

impl OutboundBody {
    /// No body.
    pub fn empty() -> OutboundBody {
        OutboundBody::Buffered(Full::new(Bytes::new()))
    }

    /// How far it has come, now and later.
    pub fn progress(&self) -> Rc<Cell<BodyProgress>> {
        match self {
            OutboundBody::Buffered(_) => Rc::new(Cell::new(BodyProgress::Ended)),
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
        let piece = match (streamed.read.take(), &mut streamed.rest) {
            (Some(read), _) => Some(Ok(read)),
            (None, Some(rest)) => ready!(rest.poll_piece(cx)),
            (None, None) => None,
        };
        Poll::Ready(match piece {
            Some(Ok(piece)) => {
                streamed.passed(&piece);
                Some(Ok(Frame::data(piece)))
            }
            Some(Err(error)) => {
                streamed.progress.set(BodyProgress::Broken);
                streamed.rest = None;
                streamed.end(RequestBodyResult::Broken(error));
                Some(Err(error))
            }
            None => {
                streamed.progress.set(BodyProgress::Ended);
                streamed.rest = None;
                streamed.end(RequestBodyResult::Complete);
                None
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        match self {
            OutboundBody::Buffered(body) => body.is_end_stream(),
            OutboundBody::Streamed(streamed) => streamed.read.is_none() && streamed.rest.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutboundBody::Buffered(body) => body.size_hint(),
            OutboundBody::Streamed(streamed) => {
                streamed.remaining.map_or_else(SizeHint::default, |n| SizeHint::with_exact(n as u64))
            }
        }
    }
}
