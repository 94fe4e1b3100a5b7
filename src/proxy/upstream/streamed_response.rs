//! A backend's response that is not buffered but streamed to the client.

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

/// A backend that sends no more of a response for this long is considered failed.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A backend's response ended early, after its first bytes were passed on to the client.
#[derive(Debug, thiserror::Error)]
#[error("response of backend {backend} ended before its last byte")]
pub struct ResponseBodyError {
    backend: SocketAddr,
}

/// Body of a response that is passed on as it arrives, at the pace of its reader. Dropping it before its end closes its
/// connection.
pub struct StreamedResponseBody {
    received_chunks: VecDeque<Bytes>,
    rest: Incoming,
    connection: Option<Connection>,
    pool: Rc<ConnectionPool>,
    address: SocketAddr,
    _permit: OwnedSemaphorePermit,
    stall_timer: Pin<Box<Sleep>>,
    complete: bool,
    on_end: Option<Box<dyn FnOnce(bool)>>,
}

impl StreamedResponseBody {
    /// Returns a body made of the chunks received so far and the rest, which is read from `connection`.
    pub fn new(
        received_chunks: VecDeque<Bytes>,
        rest: Incoming,
        connection: Connection,
        pool: Rc<ConnectionPool>,
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> StreamedResponseBody {
        let (connection, stall_timer) = (Some(connection), Box::pin(sleep(STALL_TIMEOUT)));
        StreamedResponseBody {
            received_chunks,
            rest,
            connection,
            pool,
            address,
            _permit: permit,
            stall_timer,
            complete: false,
            on_end: None,
        }
    }

    /// Registers a callback that is called when the body is dropped, with whether the body was passed on to its end.
    pub fn on_end(&mut self, callback: impl FnOnce(bool) + 'static) {
        self.on_end = Some(Box::new(callback));
    }

    /// Returns whether the whole body was received and passed on.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    fn finish(&mut self) {
        self.complete = true;
        if let Some(connection) = self.connection.take() {
            self.pool.release(self.address, connection);
        }
    }
}

impl Drop for StreamedResponseBody {
    fn drop(&mut self) {
        if let Some(callback) = self.on_end.take() {
            callback(self.complete);
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
        if let Some(chunk) = self.received_chunks.pop_front() {
            if self.received_chunks.is_empty() && self.rest.is_end_stream() {
                self.finish();
            }
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        loop {
            let this = &mut *self;
            let body_error = ResponseBodyError { backend: this.address };
            let Some(connection) = &mut this.connection else { return Poll::Ready(None) };
            connection.poll_io(cx);
            match Pin::new(&mut this.rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    this.stall_timer.as_mut().reset(Instant::now() + STALL_TIMEOUT);
                    if this.rest.is_end_stream() {
                        this.finish();
                    }
                    // Trailers apply to the backend's connection only and are dropped.
                    if frame.is_data() {
                        return Poll::Ready(Some(Ok(frame)));
                    }
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(body_error))),
                Poll::Ready(None) => {
                    this.finish();
                    return Poll::Ready(None);
                }
                Poll::Pending if connection.is_closed() => return Poll::Ready(Some(Err(body_error))),
                Poll::Pending => {
                    return this.stall_timer.as_mut().poll(cx).map(|()| Some(Err(body_error)));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.complete && self.received_chunks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        let received_bytes: usize = self.received_chunks.iter().map(Bytes::len).sum();
        match self.rest.size_hint().exact() {
            Some(rest) if !self.complete => SizeHint::with_exact(rest + received_bytes as u64),
            Some(_) => SizeHint::with_exact(received_bytes as u64),
            None => SizeHint::default(),
        }
    }
}
