//! A crowd of slow clients on one runtime, each of which connects again once its connection has ended, and backends
//! with long responses.

use super::request;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Length of the response to a request whose query has `long=1`, in bytes.
const LONG_RESPONSE_BYTES: usize = 4 << 20;
/// Number of header fields of a request with many short ones; hyper accepts 100 in all.
const SHORT_FIELDS: usize = 90;
/// How long a client waits for the gateway to end its connection before it ends it itself.
const PATIENCE: Duration = Duration::from_secs(4);
/// Pause before a client connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// What a slow client does on each connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowClient {
    /// Sends a head of many short fields without its end.
    HalfHead,
    /// Sends a complete head of many short fields, and nothing of the short body that it announces.
    ManyFields,
    /// Sends half of a long body.
    HalfBody,
    /// Sends half of a long body in chunks of a few bytes.
    SmallChunks,
    /// Reads nothing of a long response.
    UnreadResponse,
}

/// Slow clients that run until this is dropped.
pub struct Crowd {
    stopping: Arc<AtomicUsize>,
    runtime: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Starts `count` clients, whose kinds alternate.
    pub fn start(gateway: SocketAddr, count: usize, kinds: &[SlowClient]) -> Crowd {
        let stopping = Arc::new(AtomicUsize::new(0));
        let (stop, kinds) = (stopping.clone(), kinds.to_vec());
        let runtime = std::thread::spawn(move || {
            super::on_runtime(async move {
                let clients = (0..count).map(|number| {
                    let client = repeat(gateway, kinds[number % kinds.len()], stop.clone());
                    tokio::spawn(client)
                });
                for client in clients.collect::<Vec<_>>() {
                    client.await.expect("the client's task ends");
                }
            });
        });
        Crowd { stopping, runtime: Some(runtime) }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stopping.store(1, Ordering::Relaxed);
        let ended = self.runtime.take().map(JoinHandle::join);
        assert!(matches!(ended, Some(Ok(()))) || std::thread::panicking(), "a client of the crowd failed");
    }
}

async fn repeat(gateway: SocketAddr, kind: SlowClient, stopping: Arc<AtomicUsize>) {
    while stopping.load(Ordering::Relaxed) == 0 {
        if let Ok(Ok(stream)) = timeout(PATIENCE, TcpStream::connect(gateway)).await {
            // A client of the crowd takes every end of its connection for an end.
            let _ = timeout(PATIENCE, stay_slow(stream, kind, &stopping)).await;
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

async fn stay_slow(mut stream: TcpStream, kind: SlowClient, stopping: &AtomicUsize) -> std::io::Result<()> {
    stream.write_all(&first_bytes(kind)).await?;
    if kind == SlowClient::UnreadResponse {
        while stopping.load(Ordering::Relaxed) == 0 {
            sleep(RECONNECT_PAUSE).await;
        }
        return Ok(());
    }
    let mut answer = [0; 1024];
    while stopping.load(Ordering::Relaxed) == 0 {
        if let Ok(read) = timeout(RECONNECT_PAUSE, stream.read(&mut answer)).await {
            if read? == 0 {
                return Ok(());
            }
        }
    }
    Ok(())
}

fn first_bytes(kind: SlowClient) -> Vec<u8> {
    let fields: String = (0..SHORT_FIELDS).map(|number| format!("h{number}: v\r\n")).collect();
    let body = |framing: &str, start: &[u8]| {
        let head =
            with_new_customer(&request("buy", 2000)).replace("Content-Length: 5\r\n\r\nhello", framing);
        [format!("{head}\r\n\r\n").as_bytes(), start].concat()
    };
    match kind {
        SlowClient::HalfHead => {
            let head = with_new_customer(&request("look", 2000));
            let unfinished = head.strip_suffix("\r\n").expect("an empty line at the end");
            format!("{unfinished}{fields}").into_bytes()
        }
        SlowClient::ManyFields => body(&format!("{fields}Content-Length: 60000"), b""),
        SlowClient::HalfBody => body("Content-Length: 600000", &vec![b'x'; 300_000]),
        SlowClient::SmallChunks => body("Transfer-Encoding: chunked", &b"2\r\nxx\r\n".repeat(40_000)),
        SlowClient::UnreadResponse => {
            with_new_customer(&request("look", 2000)).replace("x=1", "long=1").into_bytes()
        }
    }
}

/// Replaces the customer by one that no request before had.
pub fn with_new_customer(request: &str) -> String {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let customer = LAST.fetch_add(1, Ordering::Relaxed) + 1;
    request.replace("customer=00000000b4d65521", &format!("customer={customer:016x}"))
}

/// Starts a backend whose long responses have 4 MiB.
pub fn long_response_backend() -> SocketAddr {
    backend_with_responses_of(LONG_RESPONSE_BYTES)
}

/// Starts a backend on a runtime of its own, which ends with the test process. Its long responses have this many bytes.
pub fn backend_with_responses_of(long_response_bytes: usize) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("the socket option is set");
    let address = listener.local_addr().expect("the socket is bound");
    std::thread::spawn(move || {
        super::on_runtime(async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            let long: Arc<[u8]> = vec![b'y'; long_response_bytes].into();
            while let Ok((stream, _)) = listener.accept().await {
                let long = long.clone();
                // The gateway may end the connection at any time.
                tokio::spawn(async move { serve_backend(stream, &long).await });
            }
        });
    });
    address
}

async fn serve_backend(stream: TcpStream, long: &[u8]) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    loop {
        let (mut length, mut chunked, mut wants_long) = (0, false, false);
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line).await? == 0 {
                return Ok(());
            }
            let lower = line.to_ascii_lowercase();
            wants_long |= line.contains("long=1");
            chunked |= lower.starts_with("transfer-encoding:");
            if let Some(value) = lower.strip_prefix("content-length:") {
                length = value.trim().parse().map_err(std::io::Error::other)?;
            }
            if line == "\r\n" {
                break;
            }
        }
        match chunked {
            true => {
                while !stream.fill_buf().await?.ends_with(b"0\r\n\r\n") {
                    let received = stream.buffer().len();
                    stream.consume(received);
                    if received == 0 {
                        return Ok(());
                    }
                }
            }
            false => {
                tokio::io::copy(&mut (&mut stream).take(length), &mut tokio::io::sink()).await?;
            }
        }
        let body = if wants_long { long } else { b"ok" };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(body).await?;
    }
}
