//! Bodies of responses to clients, buffered or streamed.

use crate::proxy::memory_budget::MemoryReservation;
use crate::proxy::upstream::streamed_response::{ResponseBodyError, StreamedResponseBody};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Body of a response to a client.
pub enum ResponseBody {
    /// Complete body, and its reserved memory, which is released once the body is written.
    Buffered(Full<Bytes>, Option<MemoryReservation>),
    /// Body that is still arriving from a backend.
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
            ResponseBody::Buffered(body, _) => {
                let never = |e: Infallible| match e {};
                Pin::new(body).poll_frame(cx).map(|f| f.map(|f| f.map_err(never)))
            }
            ResponseBody::Streamed(body) => Pin::new(body.as_mut()).poll_frame(cx),
        }
    }
    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(body, _) => body.is_end_stream(),
            ResponseBody::Streamed(body) => body.is_end_stream(),
        }
    }
    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(body, _) => body.size_hint(),
            ResponseBody::Streamed(body) => body.size_hint(),
        }
    }
}
