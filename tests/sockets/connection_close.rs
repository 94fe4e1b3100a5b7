//! When client connections are closed, in particular during graceful shutdown.

use crate::gateway_with_backend;
use crate::world::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Starts a gateway with few connection permits for clients; returns it and the number of permits.
fn small_gateway(discovery: &Discovery, counter: &Stub) -> (Gateway, usize) {
    let text =
        config(discovery.stub.address, counter.address).replace(r#""sockets":1024"#, r#""sockets":64"#);
    let gateway = Gateway::spawn(gateway_command(&text));
    gateway.wait_ready();
    (gateway, 32)
}

#[test]
fn at_sigterm_a_client_that_waits_for_a_permit_is_served() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let (discovery, counter) =
        (Discovery::start(&backend_entry("s-1", backend.address, "ready")), counter_stub());
    let (mut gateway, permits) = small_gateway(&discovery, &counter);
    // Requests with unfinished bodies hold all permits for more than a second.
    let unfinished = request("buy", 4000);
    let unfinished = &unfinished[..unfinished.len() - 3];
    let mut permit_holders: Vec<Client> = (0..permits).map(|_| gateway.client()).collect();
    permit_holders.iter_mut().for_each(|permit_holder| permit_holder.send(unfinished));
    std::thread::sleep(Duration::from_millis(300));
    let mut waiting: Vec<Client> = (0..4).map(|_| gateway.client()).collect();
    waiting.iter_mut().for_each(|client| client.send(&request("once", 4000)));
    gateway.terminate();
    for (number, client) in waiting.iter_mut().enumerate() {
        let response =
            client.read_response().unwrap_or_else(|| panic!("client {number} was closed without a response"));
        assert_eq!(response.status(), 200, "client {number}");
    }
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

/// Opens a client connection with a small receive buffer, so that most of an unread response stays at the gateway.
fn client_with_small_window(address: SocketAddr) -> Client {
    on_runtime(async {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4096).expect("the socket option is set");
        let stream = socket
            .connect(address)
            .await
            .expect("the gateway accepts the connection")
            .into_std()
            .expect("a socket");
        stream.set_nonblocking(false).expect("the socket option is set");
        client_over(stream)
    })
}

#[test]
fn the_last_response_is_delivered_in_full_although_the_client_has_sent_more_requests() {
    const LENGTH: usize = 24 * 1024;
    let release = Arc::new(Gate::default());
    let backend_gate = release.clone();
    let backend = Stub::start(move |_| {
        backend_gate.wait();
        http("200 OK", &"a".repeat(LENGTH))
    });
    let (discovery, counter) =
        (Discovery::start(&backend_entry("s-1", backend.address, "ready")), counter_stub());
    let mut gateway = Gateway::start(&discovery, &counter);
    let mut client = client_with_small_window(gateway.address);
    client.send(&request("look", 4000));
    backend.wait_for("the attempt", |log| log.requests.len() == 1);
    // From now on every response is the last on its connection, and the gateway does not read the requests pipelined behind.
    gateway.terminate_and_wait_until_draining();
    client.send(&request("look", 4000).repeat(400));
    release.open();
    // The gateway closes its side while most of the response is still undelivered.
    std::thread::sleep(Duration::from_millis(500));
    let response = client.read_response().expect("a complete response");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert_eq!(response.body.len(), LENGTH);
    assert_eq!(backend.requests().len(), 1, "no pipelined request is forwarded");
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn a_late_request_after_sigterm_is_answered_before_the_process_may_be_killed() {
    let backend = Stub::start(|_| Reply::Silence);
    let (discovery, counter) =
        (Discovery::start(&backend_entry("s-1", backend.address, "ready")), counter_stub());
    // The longest deadline is 1.5 s, so the process may be killed 2.2 s after SIGTERM.
    let text = config(discovery.stub.address, counter.address);
    let text = text.replace(r#""deadline":4000000"#, r#""deadline":1500000"#);
    let text =
        text.replace(r#""deadline":8000000,"on_time":2500000"#, r#""deadline":1500000,"on_time":1000000"#);
    let mut gateway = Gateway::spawn(gateway_command(&text));
    gateway.wait_ready();
    let mut idle = gateway.client();
    gateway.terminate();
    let terminated_at = Instant::now();
    // By now the process has begun to fail open requests, and this connection may still be idle.
    std::thread::sleep(Duration::from_millis(1800));
    let sent_at = Instant::now();
    idle.send(&request("once", 1500));
    assert_eq!(idle.read_response().expect("a response").status(), 502);
    let (response_time, since_sigterm) = (sent_at.elapsed(), terminated_at.elapsed());
    assert!(
        response_time < Duration::from_millis(1000),
        "answered after {response_time:?}, {since_sigterm:?} after SIGTERM"
    );
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn at_sigterm_every_accepted_request_is_answered() {
    let (backend, _discovery, _counter, mut gateway) = gateway_with_backend(|_| {
        std::thread::sleep(Duration::from_millis(300));
        http("200 OK", "ok")
    });
    let (mut early, mut idle) = (gateway.client(), gateway.client());
    assert_eq!(idle.round_trip("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").status(), 200);
    early.send(&request("once", 3000));
    backend.wait_for("the attempt", |log| log.requests.len() == 1);
    gateway.terminate();
    assert!(idle.read_response().is_none(), "idle connections are closed");
    let mut late_client = gateway.client();
    assert_eq!(late_client.round_trip("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").status(), 503);
    let response = gateway.client().round_trip(&request("once", 3000));
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    let response = early.read_response().expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn at_sigterm_a_request_that_outlasts_the_accept_period_is_served() {
    let (backend, _discovery, _counter, mut gateway) = gateway_with_backend(|_| {
        std::thread::sleep(Duration::from_millis(1500));
        http("200 OK", "ok")
    });
    let mut client = gateway.client();
    client.send(&request("once", 4000));
    backend.wait_for("the attempt", |log| log.requests.len() == 1);
    gateway.terminate();
    assert_eq!(client.read_response().expect("a response").status(), 200);
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn at_sigterm_a_request_that_no_backend_answers_fails_before_the_process_exits() {
    let (backend, _discovery, _counter, mut gateway) = gateway_with_backend(|_| Reply::Silence);
    let mut client = gateway.client();
    client.send(&request("once", 4000));
    backend.wait_for("the attempt", |log| log.requests.len() == 1);
    gateway.terminate();
    assert_eq!(client.read_response().expect("a response").status(), 502);
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn a_request_that_races_with_the_close_at_sigterm_is_answered_on_a_new_connection() {
    use std::sync::atomic::{AtomicUsize, Ordering};
    let (_backend, _discovery, _counter, mut gateway) = gateway_with_backend(|_| http("200 OK", "ok"));
    let (answered, terminated_at) = (AtomicUsize::new(0), std::sync::OnceLock::<Instant>::new());
    std::thread::scope(|scope| {
        for _ in 0..16 {
            scope.spawn(|| {
                // Clients open new connections until 100 ms after SIGTERM, and use old ones while they are open.
                let is_over = || {
                    terminated_at
                        .get()
                        .is_some_and(|terminated_at| terminated_at.elapsed() > Duration::from_millis(100))
                };
                while !is_over() {
                    let mut client = gateway.client();
                    let mut response = client.try_round_trip(&request("look", 3000));
                    assert!(response.is_some(), "a new connection is answered");
                    while response.is_some_and(|last| last.header("connection") != Some("close")) {
                        answered.fetch_add(1, Ordering::Relaxed);
                        response = client.try_round_trip(&request("look", 3000));
                    }
                }
            });
        }
        while answered.load(Ordering::Relaxed) < 200 {
            std::thread::sleep(Duration::from_millis(1));
        }
        gateway.terminate();
        terminated_at.set(Instant::now()).expect("set once");
    });
    assert_eq!(gateway.wait_for_exit(), Some(0));
}
