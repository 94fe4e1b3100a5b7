//! Client side of an HTTP/1.1 connection: one request and one answer at a time, and detection of unexpected data.

use bytes::{Buf, BytesMut};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::Poll;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, DuplexStream, ReadBuf};

/// Maximum size of an answer in bytes, with its head.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Complete answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<f64>,
    /// `Location`.
    pub location: Option<String>,
    /// Body, with the chunked encoding removed.
    pub body: Vec<u8>,
    /// Whether the connection can carry another request.
    pub keep_alive: bool,
}

/// Client connection.
pub struct Connection {
    stream: DuplexStream,
    buffer: BytesMut,
    /// Number of requests written so far.
    pub used: usize,
}

/// State of a connection on which no answer is expected.
#[derive(Debug, PartialEq, Eq)]
pub enum IdleState {
    /// The connection is open and without data, so that it can carry a request.
    Usable,
    /// The connection has ended.
    Ended,
    /// The gateway wrote bytes that belong to no request.
    UnexpectedData,
}

impl Connection {
    /// Creates a connection over a stream.
    pub fn new(stream: DuplexStream) -> Connection {
        Connection { stream, buffer: BytesMut::new(), used: 0 }
    }

    /// Returns the state of the idle connection without waiting.
    pub async fn idle_state(&mut self) -> IdleState {
        if !self.buffer.is_empty() {
            return IdleState::UnexpectedData;
        }
        let mut byte = [0; 1];
        let stream = &mut self.stream;
        poll_fn(|context| {
            let mut read = ReadBuf::new(&mut byte);
            Poll::Ready(match Pin::new(&mut *stream).poll_read(context, &mut read) {
                Poll::Pending => IdleState::Usable,
                Poll::Ready(Ok(())) if !read.filled().is_empty() => IdleState::UnexpectedData,
                Poll::Ready(_) => IdleState::Ended,
            })
        })
        .await
    }

    /// Writes a request.
    pub async fn write(&mut self, request: &[u8]) -> io::Result<()> {
        self.used += 1;
        self.stream.write_all(request).await
    }

    /// Reads one answer. Returns `Ok(None)` if the connection ended before the first byte of the answer.
    pub async fn read(&mut self) -> io::Result<Option<Answer>> {
        let mut started = false;
        loop {
            if let Some(answer) = self.parse()? {
                return Ok(Some(answer));
            }
            started |= !self.buffer.is_empty();
            if self.buffer.len() > MAX_ANSWER_BYTES {
                return Err(io::Error::other("answer longer than 1 MiB"));
            }
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) if !started => return Ok(None),
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) => {}
                Err(error) if started => return Err(error),
                Err(_) => return Ok(None),
            }
        }
    }

    /// Removes a complete answer from the buffer, if there is one.
    fn parse(&mut self) -> io::Result<Option<Answer>> {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut head = httparse::Response::new(&mut headers);
        let parsed = head.parse(&self.buffer).map_err(io::Error::other)?;
        let httparse::Status::Complete(head_length) = parsed else { return Ok(None) };
        let value = |name: &str| {
            let header = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
            std::str::from_utf8(header.value).ok().map(str::trim)
        };
        let status = head.code.unwrap_or(0);
        let retry_after = value("retry-after").and_then(|text| text.parse().ok());
        let location = value("location").map(str::to_string);
        let keep_alive = value("connection").is_none_or(|text| !text.eq_ignore_ascii_case("close"));
        let chunked = value("transfer-encoding").is_some_and(|text| text.eq_ignore_ascii_case("chunked"));
        let content_length = match value("content-length") {
            Some(text) => Some(text.parse::<usize>().map_err(io::Error::other)?),
            None if status == 204 || status < 200 => Some(0),
            None => None,
        };
        let rest = &self.buffer[head_length..];
        let (body, body_length) = match (chunked, content_length) {
            (true, _) => match decode_chunked(rest)? {
                Some(decoded) => decoded,
                None => return Ok(None),
            },
            (false, Some(size)) if rest.len() >= size => (rest[..size].to_vec(), size),
            (false, Some(_)) => return Ok(None),
            (false, None) => return Err(io::Error::other("answer without Content-Length and not chunked")),
        };
        self.buffer.advance(head_length + body_length);
        Ok(Some(Answer { status, retry_after, location, body, keep_alive }))
    }
}

/// Decodes a chunked body. Returns the body and its encoded length, or `None` if it is incomplete.
fn decode_chunked(mut rest: &[u8]) -> io::Result<Option<(Vec<u8>, usize)>> {
    let encoded_length = rest.len();
    let mut body = Vec::new();
    loop {
        let size = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((head, size))) => {
                rest = &rest[head..];
                size as usize
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(io::Error::other("invalid chunk size")),
        };
        if rest.len() < size.saturating_add(2) {
            return Ok(None);
        }
        body.extend_from_slice(&rest[..size]);
        rest = &rest[size + 2..];
        if size == 0 {
            return Ok(Some((body, encoded_length - rest.len())));
        }
    }
}
