//! One HTTP/1.1 connection at a stand-in: hyper over a link, with a limit on idle time.

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

/// An answer's body.
pub type Answer = Response<UnsyncBoxBody<Bytes, Broken>>;

/// An answer that breaks off on purpose.
#[derive(Debug, thiserror::Error)]
#[error("this answer breaks off")]
pub struct Broken;

/// An answer with a body.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// A 200 that says it is longer than it is, and ends.
pub fn half(body: Bytes) -> Answer {
    let length = body.len() * 2 + 2;
    let mut response = Response::new(Half(Some(body)).boxed_unsync());
    response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
    response
}

struct Half(Option<Bytes>);

impl Body for Half {
    type Data = Bytes;
    type Error = Broken;
    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        Poll::Ready(Some(self.0.take().map(Frame::data).ok_or(Broken)))
    }
    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// Serves a connection until it ends. It is closed when it has stood idle for so long.
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
        let work = handle(request);
        async move {
            let answer = work.await;
            open.fetch_sub(1, Ordering::Relaxed);
            served.fetch_add(1, Ordering::Relaxed);
            Ok::<_, Infallible>(answer)
        }
    });
    let connection =
        http1::Builder::new().max_buf_size(128 * 1024).serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut seen = 0;
    let mut until = Instant::now() + idle;
    loop {
        tokio::select! {
            // However it ends, the attempts on it have noted what became of them.
            _ = connection.as_mut() => return,
            () = sleep_until(until) => {
                let now = served.load(Ordering::Relaxed);
                if open.load(Ordering::Relaxed) == 0 && now == seen {
                    connection.as_mut().graceful_shutdown();
                }
                seen = now;
                until = Instant::now() + idle;
            }
        }
    }
}
