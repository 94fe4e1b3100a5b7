//! Answers on their way to clients: kept whole while they are short, passed on as they come where they are not.

use crate::proxy::upstream::backend::ConnectionPool;
use crate::proxy::upstream::connection::Connection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{sleep, Instant, Sleep};

/// A backend that gives nothing more of an answer for so long is gone.
const STALL_TIME: Duration = Duration::from_secs(30);

/// A backend's answer broke off after its first bytes had gone to the client.
#[derive(Debug)]
pub struct ResponseBodyError;

impl std::fmt::Display for ResponseBodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the backend's answer broke off")
    }
}
impl std::error::Error for ResponseBodyError {}

/// The body of a backend's answer.
pub enum UpstreamResponseBody {
    /// All of it, and what it holds of the memory.
    Buffered(Bytes, Option<OwnedSemaphorePermit>),
    /// Its beginning, and the rest as it comes.
    Streamed(Box<StreamedResponseBody>),
}

/// An answer that is passed on as it comes, pulled by whoever reads it. Dropped before its end it closes its
/// connection.
pub struct StreamedResponseBody {
    begun: VecDeque<Bytes>,
    rest: Incoming,
    connection: Option<Connection>,
    pool: Rc<ConnectionPool>,
    address: SocketAddr,
    _place: OwnedSemaphorePermit,
    stall: Pin<Box<Sleep>>,
    whole: bool,
    tell: Option<Box<dyn FnOnce(bool)>>,
}

impl StreamedResponseBody {
    /// What has come of an answer, and where the rest comes from.
    pub fn new(
        begun: VecDeque<Bytes>,
        rest: Incoming,
        connection: Connection,
        pool: Rc<ConnectionPool>,
        address: SocketAddr,
        place: OwnedSemaphorePermit,
    ) -> StreamedResponseBody {
        let (connection, stall) = (Some(connection), Box::pin(sleep(STALL_TIME)));
        StreamedResponseBody {
            begun,
            rest,
            connection,
            pool,
            address,
            _place: place,
            stall,
            whole: false,
            tell: None,
        }
    }

    /// Calls this at the end, with whether the answer came whole.
    pub fn tells(&mut self, tell: impl FnOnce(bool) + 'static) {
        self.tell = Some(Box::new(tell));
    }

    /// Whether all of it has come and was passed on.
    pub fn is_whole(&self) -> bool {
        self.whole
    }

    fn end(&mut self) {
        self.whole = true;
        if let Some(connection) = self.connection.take() {
            self.pool.give_back(self.address, connection);
        }
    }
}

impl Drop for StreamedResponseBody {
    fn drop(&mut self) {
        self.tell.take().into_iter().for_each(|tell| tell(self.whole));
    }
}

impl Body for StreamedResponseBody {
    type Data = Bytes;
    type Error = ResponseBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        if let Some(piece) = self.begun.pop_front() {
            if self.begun.is_empty() && self.rest.is_end_stream() {
                self.end();
            }
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        loop {
            let me = &mut *self;
            let Some(connection) = &mut me.connection else { return Poll::Ready(None) };
            connection.turn(cx);
            match Pin::new(&mut me.rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    me.stall.as_mut().reset(Instant::now() + STALL_TIME);
                    if me.rest.is_end_stream() {
                        me.end();
                    }
                    // Trailers hold for the backend's connection alone.
                    if frame.is_data() {
                        return Poll::Ready(Some(Ok(frame)));
                    }
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(ResponseBodyError))),
                Poll::Ready(None) => {
                    me.end();
                    return Poll::Ready(None);
                }
                Poll::Pending if connection.is_closed() => return Poll::Ready(Some(Err(ResponseBodyError))),
                Poll::Pending => {
                    return me.stall.as_mut().poll(cx).map(|()| Some(Err(ResponseBodyError)));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.whole && self.begun.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        let begun: usize = self.begun.iter().map(Bytes::len).sum();
        match self.rest.size_hint().exact() {
            Some(rest) if !self.whole => SizeHint::with_exact(rest + begun as u64),
            Some(_) => SizeHint::with_exact(begun as u64),
            None => SizeHint::default(),
        }
    }
}

/// The body of an answer to a client.
pub enum ResponseBody {
    /// All of it is here; what it holds of the memory is free once it is written.
    Buffered(Full<Bytes>, Option<OwnedSemaphorePermit>),
    /// It is still coming from a backend.
    Streamed(Box<StreamedResponseBody>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseBodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        match self.get_mut() {
            ResponseBody::Buffered(whole, _) => {
                let never = |e: Infallible| match e {};
                Pin::new(whole).poll_frame(cx).map(|f| f.map(|f| f.map_err(never)))
            }
            ResponseBody::Streamed(download) => Pin::new(download.as_mut()).poll_frame(cx),
        }
    }
    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(whole, _) => whole.is_end_stream(),
            ResponseBody::Streamed(download) => download.is_end_stream(),
        }
    }
    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(whole, _) => whole.size_hint(),
            ResponseBody::Streamed(download) => download.size_hint(),
        }
    }
}
