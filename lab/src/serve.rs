//! Server side of an HTTP/1.1 connection at a stand-in, with an idle time-out.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderValue, CONTENT_LENGTH};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::DuplexStream;
use tokio::time::{sleep_until, Instant};

/// Answer of a stand-in.
pub type Answer = Response<UnsyncBoxBody<Bytes, TruncatedAnswer>>;

/// Error of an answer's body that is cut off by an injected fault.
#[derive(Debug, thiserror::Error)]
#[error("answer cut off by an injected fault")]
pub struct TruncatedAnswer;

/// Builds an answer with a status and a body.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Builds an answer 200 whose `Content-Length` exceeds its body, after which the connection breaks.
pub fn truncated_answer(body: Bytes) -> Answer {
    let length = body.len() * 2 + 2;
    let mut response = Response::new(TruncatedBody(Some(body)).boxed_unsync());
    response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
    response
}

struct TruncatedBody(Option<Bytes>);

impl Body for TruncatedBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;
    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        Poll::Ready(Some(self.0.take().map(Frame::data).ok_or(TruncatedAnswer)))
    }
    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// Serves a connection until it ends. A connection without an open request is closed after one to two times the idle
/// time-out.
pub async fn connection<F, R>(stream: DuplexStream, idle: Duration, handle: F)
where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Answer>,
{
    let open = Arc::new(AtomicUsize::new(0));
    let served = Arc::new(AtomicUsize::new(0));
    let service = service_fn(|request| {
        let (open, served) = (open.clone(), served.clone());
        open.fetch_add(1, Ordering::Relaxed);
        let answering = handle(request);
        async move {
            let answer = answering.await;
            open.fetch_sub(1, Ordering::Relaxed);
            served.fetch_add(1, Ordering::Relaxed);
            Ok::<_, Infallible>(answer)
        }
    });
    let connection =
        http1::Builder::new().max_buf_size(128 * 1024).serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut last_count = 0;
    let mut until = Instant::now() + idle;
    loop {
        tokio::select! {
            // An error is ignored: the attempts on the connection record their own outcomes.
            _ = connection.as_mut() => return,
            () = sleep_until(until) => {
                let count = served.load(Ordering::Relaxed);
                if open.load(Ordering::Relaxed) == 0 && count == last_count {
                    connection.as_mut().graceful_shutdown();
                }
                last_count = count;
                until = Instant::now() + idle;
            }
        }
    }
}
