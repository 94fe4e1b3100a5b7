//! Test harness on loopback sockets: a gateway process, and its backends, counter, discovery and clients.
//! Every read has a time-out, so that a failing test fails soon.
#![allow(dead_code, unused_imports)]

mod client;
mod crowd;
mod discovery;
mod gateway;
mod stub;

pub use client::{client_over, connect, request, Client};
pub use crowd::{backend_with_responses_of, long_response_backend, with_new_customer, Crowd, SlowClient};
pub use discovery::{backend_entry, endpoint_list, Discovery, WatchRequest};
pub use gateway::{config, config_path, gateway_command, Gateway};
pub use stub::{counter_stub, http, FullBacklogListener, Gate, Log, Message, Refusing, Reply, Stub};

use std::time::Duration;

/// Longest time that a test waits for a read or a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a future to completion on a runtime of its own.
pub fn on_runtime<T>(work: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(work)
}
