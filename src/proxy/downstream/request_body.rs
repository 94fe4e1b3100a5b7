//! Bodies on their way from clients: read at a pace, kept whole while they are short, passed on as they come
//! where they are not.

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

/// The longest body that a client may send.
pub const LONGEST: usize = 32 << 20;
/// What a byte of a body may take: 64 kB a second with a fifth to spare.
const NANOS_A_BYTE: u64 = 19_500;

/// Why a body does not come to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than any may be.
    TooLong,
    /// It comes too slowly.
    TooSlow,
    /// It broke off, or is no proper body.
    Broken,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            BodyError::TooLong => "the body is too long",
            BodyError::TooSlow => "the body comes too slowly",
            BodyError::Broken => "the body broke off",
        })
    }
}
impl std::error::Error for BodyError {}

/// How long the slowest client takes for so many bytes, where it may keep the gateway waiting for so long besides.
pub fn slowest(patience: Duration, bytes: usize) -> Duration {
    patience + Duration::from_nanos(bytes as u64 * NANOS_A_BYTE)
}

/// A client's body as it comes.
pub struct RequestBodyReader {
    body: Incoming,
    received: usize,
    /// For how long it may be waited for, beside what its bytes take.
    patience: Duration,
    /// For how long it was waited for, before this wait.
    waited: Duration,
    waiting_since: Option<Instant>,
    timer: Pin<Box<Sleep>>,
}

impl RequestBodyReader {
    /// Nothing has been read.
    pub fn new(body: Incoming, patience: Duration) -> RequestBodyReader {
        let (waited, timer) = (Duration::ZERO, Box::pin(sleep(Duration::ZERO)));
        RequestBodyReader { body, received: 0, patience, waited, waiting_since: None, timer }
    }

    /// How long it is, where the client has said.
    pub fn announced(&self) -> Option<usize> {
        self.body.size_hint().exact().map(|n| usize::try_from(n).unwrap_or(usize::MAX))
    }

    /// The next piece. Only time in which the client keeps the gateway waiting counts.
    fn poll_piece(&mut self, cx: &mut Context) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
                let since = *self.waiting_since.get_or_insert_with(Instant::now);
                let due = since + slowest(self.patience, self.received).saturating_sub(self.waited);
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
            if self.received > LONGEST {
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

    /// Reads until the end, or until there is more than `most`. Returns what came and whether it is all.
    pub async fn gather(&mut self, most: usize) -> Result<(Bytes, bool), BodyError> {
        let mut gathered = BytesMut::new();
        while gathered.len() <= most {
            match self.piece().await {
                None => return Ok((gathered.freeze(), true)),
                Some(piece) => gathered.extend_from_slice(&piece?),
            }
        }
        Ok((gathered.freeze(), false))
    }

    /// Reads to the end and keeps nothing, so that the client can read its answer.
    pub async fn drain(mut self) {
        while let Some(Ok(_)) = self.piece().await {}
    }
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

/// What became of a body that was passed on as it came.
pub enum RequestBodyResult {
    /// Its last byte has come.
    Whole,
    /// It does not come to its end.
    Broken(BodyError),
    /// Nobody reads it any more.
    Left(RequestBodyReader),
}

/// A body that is passed on as it comes. It can be sent once.
pub struct StreamedRequestBody {
    begun: Option<Bytes>,
    rest: Option<RequestBodyReader>,
    left: Option<usize>,
    tell: Option<oneshot::Sender<RequestBodyResult>>,
    /// For the connection that it goes out on.
    progress: Rc<Cell<BodyProgress>>,
}

impl StreamedRequestBody {
    /// What has been read, and what is to come.
    pub fn new(
        begun: Bytes,
        rest: RequestBodyReader,
    ) -> (StreamedRequestBody, oneshot::Receiver<RequestBodyResult>) {
        let (tell, told) = oneshot::channel();
        // What has not been read yet, as far as the client has said.
        let left = rest.announced().map(|n| n + begun.len());
        let begun = Some(begun).filter(|b| !b.is_empty());
        (
            StreamedRequestBody { begun, rest: Some(rest), left, tell: Some(tell), progress: Rc::default() },
            told,
        )
    }

    fn over(&mut self, how: RequestBodyResult) {
        if let Some(tell) = self.tell.take() {
            // Who asked may have had its answer.
            let _ = tell.send(how);
        }
    }

    fn passed(&mut self, piece: &Bytes) {
        self.left = self.left.map(|left| left.saturating_sub(piece.len()));
        if self.left == Some(0) {
            self.progress.set(BodyProgress::Ended);
            self.rest = None;
            self.over(RequestBodyResult::Whole);
        }
    }
}

impl Drop for StreamedRequestBody {
    fn drop(&mut self) {
        if let Some(rest) = self.rest.take() {
            self.over(RequestBodyResult::Left(rest));
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
            OutboundBody::Streamed(upload) => upload.progress.clone(),
        }
    }
}

impl Body for OutboundBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let upload = match self.get_mut() {
            OutboundBody::Buffered(whole) => {
                let never = |e: Infallible| match e {};
                return Pin::new(whole).poll_frame(cx).map(|f| f.map(|f| f.map_err(never)));
            }
            OutboundBody::Streamed(upload) => upload,
        };
        let piece = match (upload.begun.take(), &mut upload.rest) {
            (Some(begun), _) => Some(Ok(begun)),
            (None, Some(rest)) => ready!(rest.poll_piece(cx)),
            (None, None) => None,
        };
        Poll::Ready(match piece {
            Some(Ok(piece)) => {
                upload.passed(&piece);
                Some(Ok(Frame::data(piece)))
            }
            Some(Err(error)) => {
                upload.progress.set(BodyProgress::Broken);
                upload.rest = None;
                upload.over(RequestBodyResult::Broken(error));
                Some(Err(error))
            }
            None => {
                upload.progress.set(BodyProgress::Ended);
                upload.rest = None;
                upload.over(RequestBodyResult::Whole);
                None
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        match self {
            OutboundBody::Buffered(whole) => whole.is_end_stream(),
            OutboundBody::Streamed(upload) => upload.begun.is_none() && upload.rest.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutboundBody::Buffered(whole) => whole.size_hint(),
            OutboundBody::Streamed(upload) => {
                upload.left.map_or_else(SizeHint::default, |left| SizeHint::with_exact(left as u64))
            }
        }
    }
}
