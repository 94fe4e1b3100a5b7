//! Clients that send small or unsound requests at full speed, and what others see of it.

use crate::world::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long a flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(3);
/// Longest time of another client's answer.
const MAX_LATENCY: Duration = Duration::from_millis(300);
/// Memory of the gateway, in millions of bytes.
const MEMORY_MB: usize = 32;
/// Requests that a client writes at once.
const BATCH: usize = 200;

/// What the clients of a flood send.
#[derive(Clone, Copy, Debug)]
enum Flood {
    UnknownPath,
    UnknownClass,
    NewCustomers { budget_ms: u32 },
    NewCustomersOverQuota,
    SmallChunks,
    BrokenChunks,
    UnknownWrites,
}

impl Flood {
    /// Returns a batch of requests.
    fn batch(self) -> Vec<u8> {
        let chunked = |chunks: &str| {
            let framing = format!("Transfer-Encoding: chunked\r\n\r\n{chunks}");
            with_new_customer(&request("buy", 1000)).replace("Content-Length: 5\r\n\r\nhello", &framing)
        };
        let request = || match self {
            Flood::UnknownPath => "GET / HTTP/1.1\r\nHost: h\r\n\r\n".to_string(),
            Flood::UnknownClass => request("look", 1000).replace("Class: look", "Class: none"),
            Flood::NewCustomers { budget_ms } => with_new_customer(&request("look", budget_ms)),
            Flood::NewCustomersOverQuota => {
                with_new_customer(&request("look", 4000)).replace("X-Plan: team", "X-Plan: small")
            }
            Flood::SmallChunks => chunked(&("1;ext=xxxxxxxxxxxxxxxx\r\nx\r\n".repeat(100) + "0\r\n\r\n")),
            Flood::BrokenChunks => chunked("zz\r\n"),
            Flood::UnknownWrites => "GET /writes/0.1.2 HTTP/1.1\r\nHost: h\r\n\r\n".to_string(),
        };
        (0..BATCH).flat_map(|_| request().into_bytes()).collect()
    }
}

/// Clients that flood a gateway until this is dropped.
struct Flooding {
    stopping: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Flooding {
    fn start(gateway: SocketAddr, flood: Flood, connections: usize) -> Flooding {
        let stopping = Arc::new(AtomicBool::new(false));
        let clients = (0..connections).map(|_| {
            let stop = stopping.clone();
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    flood_once(gateway, flood, &stop);
                }
            })
        });
        Flooding { clients: clients.collect(), stopping }
    }
}

impl Drop for Flooding {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let ended = client.join();
            assert!(ended.is_ok() || thread::panicking(), "a client of the flood failed");
        }
    }
}

/// Floods over one connection until it ends. The answers are read and discarded.
fn flood_once(gateway: SocketAddr, flood: Flood, stopping: &AtomicBool) {
    let Ok(mut stream) = TcpStream::connect(gateway) else { return };
    stream.set_write_timeout(Some(Duration::from_millis(200))).expect("the socket option is set");
    let mut reading = stream.try_clone().expect("a socket");
    let reader = thread::spawn(move || {
        let mut answers = vec![0; 64 * 1024];
        while reading.read(&mut answers).is_ok_and(|length| length > 0) {}
    });
    while !stopping.load(Ordering::Relaxed) && stream.write_all(&flood.batch()).is_ok() {}
    drop(stream.shutdown(std::net::Shutdown::Both));
    reader.join().expect("the reader ends");
}

/// Plays a flood, and checks the answers of another client and the memory.
fn check_flood(flood: Flood, connections: usize) {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&backend_entry("s-1", backend.address, "ready"));
    let counter = counter_stub();
    let gateway = Gateway::start_with_limits(&discovery, &counter, MEMORY_MB, 1024);
    let mut slowest = Duration::ZERO;
    let mut requests = 0;
    {
        let _flooding = Flooding::start(gateway.address, flood, connections);
        let end = Instant::now() + FLOOD_TIME;
        let mut client = gateway.client();
        while Instant::now() < end {
            let sent_at = Instant::now();
            // `/_health` passes the client's connection, the loop and no backend.
            let status = client.round_trip("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").status();
            assert_eq!(status, 200);
            slowest = slowest.max(sent_at.elapsed());
            requests += 1;
            thread::sleep(Duration::from_millis(20));
        }
    }
    let peak = gateway.peak_memory();
    println!("{flood:?} over {connections}: slowest of {requests} {slowest:?}, {peak} bytes at most");
    assert!(slowest <= MAX_LATENCY, "{flood:?} over {connections}: {slowest:?}");
    assert!(peak <= MEMORY_MB as u64 * 1_000_000, "{flood:?} over {connections}: {peak} bytes");
}

#[test]
fn a_flood_of_requests_for_unknown_paths_holds_up_no_other_client() {
    check_flood(Flood::UnknownPath, 1);
    check_flood(Flood::UnknownPath, 48);
}

#[test]
fn a_flood_of_unknown_classes_and_writes_holds_up_no_other_client() {
    check_flood(Flood::UnknownClass, 48);
    check_flood(Flood::UnknownWrites, 48);
}

#[test]
fn a_flood_of_new_customers_stays_within_the_memory_limit() {
    check_flood(Flood::NewCustomers { budget_ms: 1 }, 8);
    check_flood(Flood::NewCustomersOverQuota, 8);
}

#[test]
fn a_flood_of_long_budgets_stays_within_the_memory_limit() {
    check_flood(Flood::NewCustomers { budget_ms: 4000 }, 8);
}

#[test]
fn a_flood_of_small_and_broken_chunks_holds_up_no_other_client() {
    check_flood(Flood::SmallChunks, 8);
    check_flood(Flood::BrokenChunks, 8);
}
