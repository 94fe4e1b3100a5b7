//! Test harness on loopback sockets: a gateway process, and its backends, counter, discovery and clients.
//! Every read has a time-out, so that a failing test fails soon.
#![allow(dead_code, unused_imports)]

mod client;
mod crowd;
mod discovery;
mod gateway;
mod recording;
mod stub;

pub use client::{client_over, connect, request, Client};
pub use crowd::{backend_with_responses_of, long_response_backend, with_new_customer, Crowd, SlowClient};
pub use discovery::{backend_entry, endpoint_list, Discovery, WatchRequest};
pub use gateway::{config, config_path, gateway_command, Gateway};
pub use recording::{check_attempts, check_no_attempt_after_answer, Answer, Attempt, RecordingBackends};
pub use stub::{counter_stub, http, FullBacklogListener, Gate, Log, Message, Refusing, Reply, Stub};

use std::time::Duration;

/// Longest time that a test waits for a read or a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a future to completion on a runtime of its own.
pub fn on_runtime<T>(work: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(work)
}

/// Returns an address on which nothing listens, outside the range from which the system assigns ports, so that no other
/// socket gets it before its gateway has started.
pub fn free_udp_address() -> std::net::SocketAddr {
    use std::sync::atomic::{AtomicU32, Ordering};
    const FIRST_PORT: u32 = 20_000;
    const PORTS: u32 = 12_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    // Test processes that run side by side begin in different places.
    let start = std::process::id().wrapping_mul(131);
    let candidates = std::iter::repeat_with(|| NEXT.fetch_add(1, Ordering::Relaxed));
    let ports = candidates.take(PORTS as usize).map(|number| FIRST_PORT + start.wrapping_add(number) % PORTS);
    let mut addresses = ports.map(|port| std::net::SocketAddr::from(([127, 0, 0, 1], port as u16)));
    addresses.find(|address| std::net::UdpSocket::bind(address).is_ok()).expect("a free port")
}
