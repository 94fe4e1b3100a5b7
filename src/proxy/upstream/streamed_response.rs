//! A backend's response that is too long to buffer, on its way to the client.

use super::connection::Connection;
use super::pool::ConnectionPool;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{sleep, Instant, Sleep};

/// A backend that sends nothing more of a response for so long is taken for dead.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A backend's response broke off after its first bytes had gone to the client.
#[derive(Debug, thiserror::Error)]
#[error("the response of backend {backend} broke off")]
pub struct ResponseBodyError {
    backend: SocketAddr,
}

/// The body of a response that is passed on as it comes, pulled by whoever reads it. Dropped before its end it closes its
/// connection.
pub struct StreamedResponseBody {
    received: VecDeque<Bytes>,
    rest: Incoming,
    connection: Option<Connection>,
    pool: Rc<ConnectionPool>,
    address: SocketAddr,
    _permit: OwnedSemaphorePermit,
    stall: Pin<Box<Sleep>>,
    complete: bool,
    on_end: Option<Box<dyn FnOnce(bool)>>,
}

impl StreamedResponseBody {
    /// What has been received of a response, and where the rest comes from.
    pub fn new(
        received: VecDeque<Bytes>,
        rest: Incoming,
        connection: Connection,
        pool: Rc<ConnectionPool>,
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> StreamedResponseBody {
        let (connection, stall) = (Some(connection), Box::pin(sleep(STALL_TIMEOUT)));
        StreamedResponseBody {
            received,
            rest,
            connection,
            pool,
            address,
            _permit: permit,
            stall,
            complete: false,
            on_end: None,
        }
    }

    /// Calls this when the body is dropped, with whether it was passed on to its end.
    pub fn on_end(&mut self, notify: impl FnOnce(bool) + 'static) {
        self.on_end = Some(Box::new(notify));
    }

    /// Whether all of it has come and was passed on.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    fn end(&mut self) {
        self.complete = true;
        if let Some(connection) = self.connection.take() {
            self.pool.give_back(self.address, connection);
        }
    }
}

impl Drop for StreamedResponseBody {
    fn drop(&mut self) {
        if let Some(notify) = self.on_end.take() {
            notify(self.complete);
        }
    }
}

impl Body for StreamedResponseBody {
    type Data = Bytes;
    type Error = ResponseBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        if let Some(piece) = self.received.pop_front() {
            if self.received.is_empty() && self.rest.is_end_stream() {
                self.end();
            }
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        loop {
            let me = &mut *self;
            let broke_off = ResponseBodyError { backend: me.address };
            let Some(connection) = &mut me.connection else { return Poll::Ready(None) };
            connection.poll_io(cx);
            match Pin::new(&mut me.rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    me.stall.as_mut().reset(Instant::now() + STALL_TIMEOUT);
                    if me.rest.is_end_stream() {
                        me.end();
                    }
                    // Trailers hold for the backend's connection alone.
                    if frame.is_data() {
                        return Poll::Ready(Some(Ok(frame)));
                    }
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(broke_off))),
                Poll::Ready(None) => {
                    me.end();
                    return Poll::Ready(None);
                }
                Poll::Pending if connection.is_closed() => return Poll::Ready(Some(Err(broke_off))),
                Poll::Pending => {
                    return me.stall.as_mut().poll(cx).map(|()| Some(Err(broke_off)));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.complete && self.received.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        let received: usize = self.received.iter().map(Bytes::len).sum();
        match self.rest.size_hint().exact() {
            Some(rest) if !self.complete => SizeHint::with_exact(rest + received as u64),
            Some(_) => SizeHint::with_exact(received as u64),
            None => SizeHint::default(),
        }
    }
}
