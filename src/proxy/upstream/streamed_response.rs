//! A backend's response that is not buffered but streamed to the client.

use super::connection::Connection;
use super::pool::ConnectionPool;
use crate::proxy::memory_budget::MemoryReservation;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
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

/// Connection that a response is streamed from, and what it holds.
pub(super) struct StreamConnection {
    pub connection: Connection,
    pub pool: Rc<ConnectionPool>,
    pub address: SocketAddr,
    /// Permit of the connection.
    pub permit: OwnedSemaphorePermit,
    /// Permit of the stream.
    pub stream_permit: OwnedSemaphorePermit,
}

/// Start of a body that was received before it is streamed, with its memory.
struct ReceivedStart {
    bytes: Bytes,
    memory: Option<MemoryReservation>,
}

/// Body of a response that is passed on as it arrives, at the pace of its reader. Dropping it before its end closes its
/// connection.
pub struct StreamedResponseBody {
    received: Option<ReceivedStart>,
    /// Memory of the start of the body once it was passed on.
    passed_on: Option<MemoryReservation>,
    rest: Incoming,
    connection: Option<Connection>,
    pool: Rc<ConnectionPool>,
    address: SocketAddr,
    _permit: OwnedSemaphorePermit,
    _stream_permit: OwnedSemaphorePermit,
    /// Runs while the backend is waited for.
    stall_timer: Pin<Box<Sleep>>,
    waits_for_backend: bool,
    complete: bool,
    on_end: Option<Box<dyn FnOnce(bool)>>,
}

impl StreamedResponseBody {
    /// Returns a body made of the bytes received so far, with their memory, and the rest, which is read from
    /// `connection`.
    pub(super) fn new(
        bytes: Bytes,
        memory: Option<MemoryReservation>,
        rest: Incoming,
        connection: StreamConnection,
    ) -> StreamedResponseBody {
        let StreamConnection { connection, pool, address, permit, stream_permit } = connection;
        StreamedResponseBody {
            received: Some(ReceivedStart { bytes, memory }).filter(|start| !start.bytes.is_empty()),
            passed_on: None,
            rest,
            connection: Some(connection),
            pool,
            address,
            _permit: permit,
            _stream_permit: stream_permit,
            stall_timer: Box::pin(sleep(STALL_TIMEOUT)),
            waits_for_backend: false,
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
        if let Some(start) = self.received.take() {
            self.passed_on = start.memory;
            if self.rest.is_end_stream() {
                self.finish();
            }
            return Poll::Ready(Some(Ok(Frame::data(start.bytes))));
        }
        loop {
            let this = &mut *self;
            let body_error = ResponseBodyError { backend: this.address };
            let Some(connection) = &mut this.connection else { return Poll::Ready(None) };
            connection.poll_io(cx);
            match Pin::new(&mut this.rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    this.waits_for_backend = false;
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
                    // The time in which the client did not read is not the backend's.
                    if !std::mem::replace(&mut this.waits_for_backend, true) {
                        this.stall_timer.as_mut().reset(Instant::now() + STALL_TIMEOUT);
                    }
                    return this.stall_timer.as_mut().poll(cx).map(|()| Some(Err(body_error)));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.complete && self.received.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let received_bytes = self.received.as_ref().map_or(0, |start| start.bytes.len());
        match self.rest.size_hint().exact() {
            Some(rest) if !self.complete => SizeHint::with_exact(rest + received_bytes as u64),
            Some(_) => SizeHint::with_exact(received_bytes as u64),
            None => SizeHint::default(),
        }
    }
}
