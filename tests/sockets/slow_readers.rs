//! Clients that read long responses slowly, while few more responses may be streamed.

use crate::replacement::{wait_until_serving, Platform};
use crate::world::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time::{interval, sleep, Instant};

/// Memory of the gateway, and its descriptors, of which 48 may carry long responses.
const MEMORY_MB: usize = 64;
const DESCRIPTORS: usize = 256;
/// Long responses at a time from which on few more may be streamed.
const SCARCE_FROM: usize = 43;
const BACKENDS: usize = 6;
/// Length of a response, beyond what the buffers of both systems take.
const RESPONSE_BYTES: usize = 12 << 20;
/// Interval at which the clients arrive.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(20);
/// Receive buffer of a client that lets its system take much ahead; some six seconds of it are reported as read at a time.
const LARGE_BUFFER_BYTES: u32 = 2_000_000;

/// How a client reads its response.
#[derive(Clone, Copy, Debug)]
struct Reader {
    piece_bytes: usize,
    interval: Duration,
    buffer_bytes: Option<u32>,
}

/// A reader of the minimum rate of 64 kB a second, or a little more.
const fn steady(piece_bytes: usize, interval_ms: u64) -> Reader {
    Reader { piece_bytes, interval: Duration::from_millis(interval_ms), buffer_bytes: None }
}

const STEADY_READERS: [Reader; 4] = [
    steady(6_400, 80),
    steady(1_300, 20),
    steady(130_000, 2_000),
    Reader { buffer_bytes: Some(LARGE_BUFFER_BYTES), ..steady(6_500, 100) },
];

/// Sends a request with a long response, and returns the connection once the response has begun.
async fn begin_response(gateway: SocketAddr, reader: Reader) -> std::io::Result<tokio::net::TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if let Some(bytes) = reader.buffer_bytes {
        socket.set_recv_buffer_size(bytes)?;
    }
    let mut stream = socket.connect(gateway).await?;
    let request = with_new_customer(&request("look", 6000)).replace("x=1", "long=1");
    stream.write_all(request.as_bytes()).await?;
    let mut status = [0; 12];
    stream.read_exact(&mut status).await?;
    assert_eq!(&status, b"HTTP/1.1 200", "the response begins");
    Ok(stream)
}

/// Reads steadily until `end`. Returns whether the response was still there.
async fn read_steadily(gateway: SocketAddr, reader: Reader, end: Instant) -> bool {
    let mut stream = begin_response(gateway, reader).await.expect("a response");
    let mut piece = vec![0; reader.piece_bytes];
    let mut next_piece = interval(reader.interval);
    while Instant::now() < end {
        next_piece.tick().await;
        if stream.read_exact(&mut piece).await.is_err() {
            return false;
        }
    }
    true
}

fn long_responses() -> (Discovery, Stub) {
    let members: Vec<String> = (0..BACKENDS)
        .map(|number| {
            let address = backend_with_responses_of(RESPONSE_BYTES);
            backend_entry(&format!("s-{number}"), address, "ready")
        })
        .collect();
    (Discovery::start(&members.join(",")), counter_stub())
}

fn gateway_with_long_responses() -> (Discovery, Stub, Gateway) {
    let (discovery, counter) = long_responses();
    let gateway = Gateway::start_with_limits(&discovery, &counter, MEMORY_MB, DESCRIPTORS);
    (discovery, counter, gateway)
}

/// Starts this many readers. Returns those that were cut off before `end`.
async fn readers_cut_off(address: SocketAddr, count: usize, end: Instant) -> Vec<Reader> {
    let mut clients = Vec::new();
    for number in 0..count {
        let reader = STEADY_READERS[number % STEADY_READERS.len()];
        clients.push((reader, tokio::spawn(read_steadily(address, reader, end))));
        sleep(ARRIVAL_INTERVAL).await;
    }
    let mut cut_off = Vec::new();
    for (reader, client) in clients {
        if !client.await.expect("the client's task ends") {
            cut_off.push(reader);
        }
    }
    cut_off
}

// Guards against closing the connections of clients that read, as their systems take the bytes in large steps.
#[test]
fn clients_that_read_steadily_are_not_cut_off_while_transfers_are_scarce() {
    let (_discovery, _counter, gateway) = gateway_with_long_responses();
    let address = gateway.address;
    let cut_off = on_runtime(async move {
        readers_cut_off(address, SCARCE_FROM + 3, Instant::now() + Duration::from_secs(12)).await
    });
    assert!(cut_off.is_empty(), "{} of {} cut off: {cut_off:?}", cut_off.len(), SCARCE_FROM + 3);
    assert_eq!(gateway.metric("client_closes.evicted"), 0);
}

// Guards against clients that keep their connections although they read nothing.
#[test]
fn clients_that_read_nothing_make_room_for_others() {
    const LATER_CLIENTS: usize = 2 * SCARCE_FROM;
    let (_discovery, _counter, gateway) = gateway_with_long_responses();
    let address = gateway.address;
    on_runtime(async move {
        let mut unread = Vec::new();
        for _ in 0..SCARCE_FROM + 3 {
            unread.push(begin_response(address, steady(1, 1)).await.expect("a response"));
        }
        sleep(Duration::from_secs(4)).await;
        for _ in 0..LATER_CLIENTS {
            unread.push(begin_response(address, steady(1, 1)).await.expect("a response"));
            sleep(Duration::from_millis(100)).await;
        }
    });
    assert!(gateway.metric("client_closes.evicted") >= LATER_CLIENTS as u64 / 2);
}

// Guards against cutting off the readers of a replaced process, as its successor needs their connections.
#[test]
fn clients_that_read_steadily_are_not_cut_off_when_their_process_is_replaced() {
    const READERS: usize = 24;
    let ((discovery, counter), platform) = (long_responses(), Platform::new());
    let limits = format!("\"memory_mb\":{MEMORY_MB},\"sockets\":{DESCRIPTORS}");
    let config = config(discovery.stub.address, counter.address)
        .replace("\"memory_mb\":192,\"sockets\":1024", &limits);
    let predecessor = Gateway::spawn(platform.command(&config));
    wait_until_serving(&predecessor);
    let address = predecessor.address;
    let cut_off = std::thread::scope(|scope| {
        let readers = scope.spawn(move || {
            on_runtime(async move {
                readers_cut_off(address, READERS, Instant::now() + Duration::from_secs(9)).await
            })
        });
        std::thread::sleep(Duration::from_secs(1));
        let successor = Gateway::spawn(platform.command(&config));
        wait_until_serving(&successor);
        let cut_off = readers.join().expect("the readers end");
        assert_eq!(successor.metric("client_closes.evicted"), 0);
        cut_off
    });
    assert!(cut_off.is_empty(), "{} of {READERS} cut off: {cut_off:?}", cut_off.len());
    assert_eq!(predecessor.metric("client_closes.evicted"), 0);
}
