//! Attempts at a backend and the connection pool, on loopback sockets.
#[path = "sockets/world/mod.rs"]
mod world;

use quota_gateway::decision::Outcome;
use quota_gateway::proxy::control_plane::config::SocketLimits;
use quota_gateway::proxy::memory_budget::MemoryBudget;
use quota_gateway::proxy::upstream::attempt_result::AttemptResult;
use quota_gateway::proxy::upstream::backend::Backend;
use quota_gateway::proxy::upstream::forwarded_request::{ForwardedRequest, RequestPayload};
use quota_gateway::proxy::upstream::pool::ConnectionPool;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use world::{http, on_runtime, Refusing, Reply, Stub};

const LONG: Duration = Duration::from_secs(5);

fn backend(stub: &Stub) -> Backend {
    Backend { address: stub.address, started_at_unix_ms: 0, accepts_requests: Cell::new(true) }
}

fn pool(connections: usize, idle: Duration) -> Rc<ConnectionPool> {
    let memory = MemoryBudget::new(192.0, 1, SocketLimits { clients: 8, backends: connections, counter: 1 });
    Rc::new(ConnectionPool::new(connections, LONG, idle, Rc::default(), Rc::new(memory)))
}

fn post() -> ForwardedRequest {
    let (method, uri) = (hyper::Method::POST, "/api?customer=1".parse().expect("a path"));
    ForwardedRequest::new(method, uri, hyper::HeaderMap::new(), RequestPayload::Buffered("hello".into()))
}

/// Makes an attempt with this time limit that is never cancelled.
async fn attempt(pool: &Rc<ConnectionPool>, backend: &Backend, limit: Duration) -> AttemptResult {
    let (_cancel, cancelled) = oneshot::channel();
    pool.attempt(backend, &post(), Instant::now() + limit, cancelled).await
}

#[test]
fn attempt_is_not_sent_if_the_backend_drains_while_connecting() {
    let stub = Stub::start(|_| http("200 OK", "ok"));
    let (pool, backend) = (pool(8, LONG), backend(&stub));
    backend.accepts_requests.set(false);
    let result = on_runtime(attempt(&pool, &backend, LONG));
    assert_eq!(result.outcome, Outcome::NotSent);
    stub.wait_for("the connection to close", |log| log.opened == 1 && log.closed == 1);
    assert_eq!(stub.requests().len(), 0, "nothing was written");
}

#[test]
fn request_reset_on_an_idle_connection_is_not_retried() {
    let request_count = std::sync::atomic::AtomicUsize::new(0);
    let stub = Stub::start(move |_| match request_count.fetch_add(1, std::sync::atomic::Ordering::SeqCst) {
        0 => http("200 OK", "ok"),
        _ => Reply::RawThenClose(String::new()),
    });
    let (pool, backend) = (pool(8, LONG), backend(&stub));
    on_runtime(async {
        assert_eq!(attempt(&pool, &backend, LONG).await.outcome, Outcome::Success);
        assert_eq!(attempt(&pool, &backend, LONG).await.outcome, Outcome::ConnectionReset);
    });
    let requests = stub.requests();
    assert_eq!(requests.len(), 2, "the request is not sent again");
    assert_eq!(requests[1].connection, requests[0].connection, "the request was sent on the idle connection");
}

#[test]
fn reset_on_an_idle_connection_shortens_the_idle_time_of_others() {
    let request_count = std::sync::atomic::AtomicUsize::new(0);
    let stub = Stub::start(move |_| match request_count.fetch_add(1, std::sync::atomic::Ordering::SeqCst) {
        1 => Reply::RawThenClose(String::new()),
        _ => http("200 OK", "ok"),
    });
    let (pool, backend) = (pool(8, LONG), backend(&stub));
    let idle = Duration::from_millis(400);
    on_runtime(async {
        for outcome in [Outcome::Success, Outcome::ConnectionReset, Outcome::Success, Outcome::Success] {
            assert_eq!(attempt(&pool, &backend, LONG).await.outcome, outcome);
            tokio::time::sleep(idle).await;
        }
    });
    let connections: Vec<usize> = stub.requests().iter().map(|request| request.connection).collect();
    assert_eq!(connections, [0, 0, 1, 2], "after the reset, no connection is used that was idle for as long");
}

#[test]
fn timed_out_or_cancelled_attempt_closes_its_connection() {
    let stub = Stub::start(|_| Reply::Silence);
    let (pool, backend) = (pool(8, LONG), backend(&stub));
    on_runtime(async {
        let result = attempt(&pool, &backend, Duration::from_millis(50)).await;
        assert_eq!(result.outcome, Outcome::Timeout);
        let (cancel, cancelled) = oneshot::channel();
        let forward = post();
        let attempt = pool.attempt(&backend, &forward, Instant::now() + LONG, cancelled);
        let (result, ()) = tokio::join!(attempt, async {
            while stub.requests().len() < 2 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            cancel.send(()).expect("the attempt is in flight");
        });
        assert_eq!(result.outcome, Outcome::Cancelled);
    });
    stub.wait_for("both connections to close", |log| log.opened == 2 && log.closed == 2);
}

#[test]
fn unreachable_backend_gives_connect_failed() {
    let refusing = Refusing::start();
    let unused_address = refusing.address();
    let backend =
        Backend { address: unused_address, started_at_unix_ms: 0, accepts_requests: Cell::new(true) };
    let pool = pool(8, LONG);
    assert_eq!(on_runtime(attempt(&pool, &backend, LONG)).outcome, Outcome::ConnectFailed);
}

#[test]
fn idle_connections_are_retired_before_the_backend_closes_them() {
    let stub = Stub::start(|_| http("200 OK", "ok"));
    let (pool, backend) = (pool(8, Duration::from_millis(40)), backend(&stub));
    on_runtime(async {
        assert_eq!(attempt(&pool, &backend, LONG).await.outcome, Outcome::Success);
        tokio::time::sleep(Duration::from_millis(25)).await;
        pool.close_expired();
    });
    stub.wait_for("the idle connection to close", |log| log.closed == 1);
}

#[test]
fn number_of_connections_is_limited() {
    let (busy, other) = (Stub::start(|_| Reply::Silence), Stub::start(|_| http("200 OK", "ok")));
    let pool = pool(1, LONG);
    let (to_busy, to_other) = (backend(&busy), backend(&other));
    on_runtime(async {
        // An idle connection is closed when another one is needed.
        assert_eq!(attempt(&pool, &to_other, LONG).await.outcome, Outcome::Success);
        let (first, second) = tokio::join!(
            attempt(&pool, &to_busy, Duration::from_millis(50)),
            attempt(&pool, &to_other, LONG)
        );
        assert_eq!((first.outcome, second.outcome), (Outcome::Timeout, Outcome::NotSent));
    });
    other.wait_for("the idle connection to close", |log| log.closed == 1);
    assert_eq!(other.requests().len(), 1);
}

#[test]
fn response_of_unknown_length_starts_with_its_first_bytes() {
    let stub = Stub::start(|_| {
        Reply::Raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n".to_string())
    });
    let (pool, backend) = (pool(8, LONG), backend(&stub));
    on_runtime(async {
        // The length is unknown and no further bytes arrive, but the response has started.
        let result = attempt(&pool, &backend, LONG).await;
        let started_at = result.response_started_at.expect("the response has started");
        assert_eq!(result.outcome, Outcome::Success);
        assert!(
            result.request_sent_at.is_some_and(|sent_at| sent_at <= started_at)
                && started_at < Instant::now()
        );
    });
}
