//! Messages of any size and framing, slow clients, and many idle connections.

use crate::gateway_with_backend;
use crate::world::*;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Starts a gateway with one backend, whose connections the test accepts and serves itself.
pub fn gateway_with_manual_backend(sockets: usize) -> (TcpListener, Discovery, Stub, Gateway) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let discovery =
        Discovery::start(&backend_entry("s-1", listener.local_addr().expect("the socket is bound"), "ready"));
    let counter = counter_stub();
    let config = config(discovery.stub.address, counter.address);
    let limits = format!("\"memory_mb\":16,\"sockets\":{sockets}");
    let gateway =
        Gateway::spawn(gateway_command(&config.replace("\"memory_mb\":192,\"sockets\":1024", &limits)));
    gateway.wait_ready();
    (listener, discovery, counter, gateway)
}

pub fn accept_attempt(listener: &TcpListener) -> Client {
    let (stream, _) = listener.accept().expect("an attempt");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read time-out is set");
    client_over(stream)
}

fn text(length: usize) -> String {
    "0123456789abcdef".repeat(length / 16)
}

/// Returns the head of a request with an idempotency key and a body of this framing.
fn head(framing: &str) -> String {
    request("buy", 7000).replace("Content-Length: 5\r\n\r\nhello", &format!("{framing}\r\n\r\n"))
}

#[test]
fn a_long_response_is_streamed() {
    let (listener, _discovery, _counter, gateway) = gateway_with_manual_backend(128);
    let (first, rest) = (text(128 * 1024), text(2 << 20));
    for chunked in [false, true] {
        let mut client = gateway.client();
        client.send(&request("look", 3000));
        let mut backend = accept_attempt(&listener);
        backend.read_head();
        let framing = match chunked {
            false => format!("Content-Length: {}", first.len() + rest.len()),
            true => "Transfer-Encoding: chunked".to_string(),
        };
        let piece = |text: &str| match chunked {
            false => text.to_string(),
            true => format!("{:x}\r\n{text}\r\n", text.len()),
        };
        backend.send(&format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{}", piece(&first)));
        let head = client.read_head();
        assert!(head[0].ends_with("200 OK"), "{head:?}");
        let framed = head.iter().any(|line| line.eq_ignore_ascii_case(&framing));
        assert!(framed, "{framing} in {head:?}");
        // The beginning of the response arrives before the backend has sent the rest.
        let chunk_size =
            |client: &mut Client| usize::from_str_radix(&client.read_line(), 16).expect("a chunk size");
        let mut read_body = |length: usize| {
            let mut received = Vec::new();
            while received.len() < length {
                let next_length = if chunked { chunk_size(&mut client) } else { length };
                received.extend(client.read_bytes(next_length));
                if chunked {
                    assert_eq!(client.read_line(), "");
                }
            }
            received
        };
        assert!(read_body(first.len()) == first.as_bytes());
        assert_eq!(gateway.metric("in_flight"), 1);
        let end = if chunked { "0\r\nX-Trailer: t\r\n\r\n" } else { "" };
        let all = format!("{}{end}", piece(&rest));
        let writer = std::thread::spawn(move || {
            backend.send(&all);
            backend
        });
        assert!(read_body(rest.len()) == rest.as_bytes());
        drop(writer.join().expect("the writer finishes"));
        gateway.wait_for_metric("in_flight", 0);
        gateway.wait_for_metric("requests.look.served", 1 + u64::from(chunked));
    }
}

#[test]
fn a_truncated_long_response_is_not_delivered_as_complete() {
    let (listener, _discovery, _counter, gateway) = gateway_with_manual_backend(128);
    let mut client = gateway.client();
    client.send(&request("look", 3000));
    let mut backend = accept_attempt(&listener);
    backend.read_head();
    let part = text(256 * 1024);
    backend.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{part}"));
    drop(backend);
    assert!(client.read_response().is_none(), "the response is incomplete");
    gateway.wait_for_metric("requests.look.failed", 1);
}

#[test]
fn a_long_request_body_is_streamed() {
    let (listener, _discovery, _counter, gateway) = gateway_with_manual_backend(128);
    let (first, rest) = (text(96 * 1024), text(1 << 20));
    for chunked in [false, true] {
        let mut client = gateway.client();
        let piece = |text: &str| match chunked {
            false => text.to_string(),
            true => format!("{:x}\r\n{text}\r\n", text.len()),
        };
        let framing = match chunked {
            false => format!("Content-Length: {}", first.len() + rest.len()),
            true => "Transfer-Encoding: chunked".to_string(),
        };
        client.send(&head(&format!("Expect: 100-continue\r\n{framing}")));
        assert!(client.read_line().contains("100"), "an interim response");
        assert_eq!(client.read_line(), "");
        client.send(&piece(&first));
        let mut backend = accept_attempt(&listener);
        let attempt_head = backend.read_head();
        assert!(
            attempt_head.iter().any(|line| line.eq_ignore_ascii_case(&framing)),
            "{framing} in {attempt_head:?}"
        );
        assert!(!attempt_head.iter().any(|line| line.to_ascii_lowercase().starts_with("expect")));
        let mut received = Vec::new();
        let read_body = |backend: &mut Client, received: &mut Vec<u8>, length: usize| {
            while received.len() < length {
                let next_length = match chunked {
                    false => length - received.len(),
                    true => usize::from_str_radix(&backend.read_line(), 16).expect("a chunk size"),
                };
                received.extend(backend.read_bytes(next_length));
                if chunked {
                    assert_eq!(backend.read_line(), "");
                }
            }
        };
        read_body(&mut backend, &mut received, first.len());
        // An attempt is counted only once the last byte of its request has been sent; until then the request
        // is not in flight either.
        assert_eq!((gateway.metric("attempts"), gateway.metric("in_flight")), (u64::from(chunked), 0));
        let end = if chunked { "0\r\nX-Trailer: t\r\n\r\n" } else { "" };
        let all = format!("{}{end}", piece(&rest));
        let writer = std::thread::spawn(move || {
            client.send(&all);
            client
        });
        read_body(&mut backend, &mut received, first.len() + rest.len());
        assert!(received == format!("{first}{rest}").as_bytes());
        if chunked {
            assert_eq!((backend.read_line(), backend.read_line()), ("0".to_string(), String::new()));
        }
        let mut client = writer.join().expect("the writer finishes");
        gateway.wait_for_metric("attempts", 1 + u64::from(chunked));
        backend.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assert_eq!(client.read_response().expect("a response").body, "ok");
    }
}

#[test]
fn a_stalled_request_body_times_out_and_its_attempt_is_not_counted() {
    let (listener, _discovery, _counter, gateway) = gateway_with_manual_backend(128);
    let mut client = gateway.client();
    client.send(&head("Content-Length: 1000000"));
    client.send(&text(96 * 1024));
    let mut backend = accept_attempt(&listener);
    backend.read_head();
    let response = client.read_response().expect("a response");
    assert_eq!(response.status(), 408);
    assert_eq!(gateway.metric("attempts"), 0);
    // The backend is not at fault and stays in use.
    assert_eq!(gateway.metric("backends_excluded"), 0);
    drop(backend);
    let mut client = gateway.client();
    client.send(&request("look", 3000));
    let mut backend = accept_attempt(&listener);
    backend.read_head();
    backend.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    assert_eq!(client.read_response().expect("a response").status(), 200);
}

#[test]
fn the_body_of_a_rejected_request_is_read_in_full_so_that_the_response_arrives() {
    let (_backend, _discovery, _counter, gateway) = gateway_with_backend(|_| http("200 OK", "ok"));
    let mut client = gateway.client();
    let over_quota = head("Content-Length: 3000000").replace("X-Plan: team", "X-Plan: small");
    let first = over_quota.replace("units=2", "units=4").replace("3000000", "5") + "hello";
    assert_eq!(client.round_trip(&first).status(), 200);
    client.send(&over_quota.replace("units=2", "units=4"));
    assert_eq!(client.read_response().expect("an immediate response").status(), 429);
    client.send(&text(3_000_000));
    assert_eq!(client.round_trip(&request("look", 3000)).status(), 200, "the connection stays usable");
}

#[test]
fn every_framing_of_a_short_message_is_accepted() {
    let (listener, _discovery, _counter, gateway) = gateway_with_manual_backend(128);
    let mut client = gateway.client();
    // Two pipelined requests, the first chunked with a trailer, the second with an absolute URI.
    let chunked = head("Transfer-Encoding: chunked") + "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nX-T: t\r\n\r\n";
    client.send(&(chunked + &request("look", 3000).replace("GET /api", "GET http://origin.svc/api")));
    let mut backend = accept_attempt(&listener);
    let attempt_head = backend.read_head();
    assert!(
        attempt_head.iter().any(|line| line.eq_ignore_ascii_case("Content-Length: 5")),
        "{attempt_head:?}"
    );
    assert_eq!(backend.read_bytes(5), b"hello");
    // The backend sends interim responses and then a chunked response.
    backend.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n");
    backend.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n");
    assert_eq!(client.read_response().expect("a response").body, "ok");
    let attempt_head = backend.read_head();
    assert!(attempt_head[0].starts_with("GET /api?customer="), "{attempt_head:?}");
    // The backend sends a response whose body ends when the connection is closed.
    backend.send("HTTP/1.0 200 OK\r\n\r\nto the end");
    drop(backend);
    assert_eq!(client.read_response().expect("a response").body, "to the end");
    client.send("HEAD /_health HTTP/1.1\r\nHost: h\r\n\r\n");
    assert!(client.read_head()[0].ends_with("200 OK"));
    assert_eq!(
        client.round_trip("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").status(),
        200,
        "the response to HEAD has no body"
    );
}

#[test]
fn a_request_head_may_take_two_seconds_also_on_a_reused_connection() {
    let (_backend, _discovery, _counter, gateway) = gateway_with_backend(|_| http("200 OK", "ok"));
    let mut client = gateway.client();
    assert_eq!(client.round_trip(&request("look", 3000)).status(), 200);
    std::thread::sleep(Duration::from_millis(900));
    let text = request("look", 3000);
    let step = text.len().div_ceil(8);
    for piece in text.as_bytes().chunks(step) {
        client.send(std::str::from_utf8(piece).expect("UTF-8 text"));
        std::thread::sleep(Duration::from_millis(190));
    }
    assert_eq!(client.read_response().expect("a response").status(), 200);
}

#[test]
fn many_connections_without_requests_leave_permits_for_clients() {
    // 64 descriptors leave permits for 22 clients.
    let (listener, _discovery, _counter, gateway) = gateway_with_manual_backend(64);
    let clients_without_request: Vec<Client> = (0..120)
        .map(|index| {
            let mut peer = gateway.client();
            peer.send(if index % 2 == 0 { "" } else { "GET /api?cust" });
            peer
        })
        .collect();
    let start = Instant::now();
    let mut client = gateway.client();
    client.send(&request("look", 3000));
    let mut backend = accept_attempt(&listener);
    backend.read_head();
    backend.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    assert_eq!(client.read_response().expect("a response").status(), 200);
    // If each of these connections held a permit until its time-out, this would take five times as long.
    assert!(start.elapsed() < Duration::from_secs(8), "{:?}", start.elapsed());
    for mut peer in clients_without_request {
        assert!(peer.is_closed_or_gets_error(), "neither an error response nor a close");
    }
}

#[test]
fn idle_connections_do_not_exclude_other_clients() {
    // 64 descriptors leave permits for 22 clients.
    let (listener, _discovery, _counter, gateway) = gateway_with_manual_backend(64);
    let mut idle_clients = Vec::new();
    let start = Instant::now();
    let server = std::thread::spawn(move || {
        let mut backend = accept_attempt(&listener);
        for _ in 0..150 {
            if backend.read_head().is_empty() {
                backend = accept_attempt(&listener);
                backend.read_head();
            }
            backend.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    for _ in 0..150 {
        let mut client = gateway.client();
        assert_eq!(client.round_trip(&request("look", 3000)).status(), 200);
        idle_clients.push(client);
    }
    server.join().expect("all requests are served");
    // If each idle connection held its permit for two seconds, only 11 clients would be served per second.
    assert!(start.elapsed() < Duration::from_secs(8), "{:?}", start.elapsed());
}

#[test]
fn a_streamed_response_is_completed_after_sigterm() {
    let (listener, _discovery, _counter, mut gateway) = gateway_with_manual_backend(128);
    let mut client = gateway.client();
    client.send(&request("look", 3000));
    let mut backend = accept_attempt(&listener);
    backend.read_head();
    let half = text(200 * 1024);
    backend.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{half}", 2 * half.len()));
    client.read_head();
    assert!(client.read_bytes(half.len()) == half.as_bytes());
    gateway.terminate();
    // This is longer than the gateway waits after SIGTERM for requests that are still unanswered.
    std::thread::sleep(Duration::from_millis(4000));
    backend.send(&half);
    assert!(client.read_bytes(half.len()) == half.as_bytes());
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn a_request_may_take_two_seconds_wherever_the_client_pauses() {
    let (_backend, _discovery, _counter, gateway) = gateway_with_backend(|_| http("200 OK", "ok"));
    let text = request("buy", 4000);
    let (in_head, after_head, in_body) = (20, text.len() - 5, text.len() - 1);
    std::thread::scope(|scope| {
        for pause_after in [in_head, after_head, in_body] {
            let (gateway, text) = (&gateway, &text);
            scope.spawn(move || {
                let mut client = gateway.client();
                client.send(&text[..pause_after]);
                std::thread::sleep(Duration::from_millis(1600));
                client.send(&text[pause_after..]);
                let response = client.read_response().expect("a response");
                assert_eq!(response.status(), 200, "paused after {pause_after} of {} bytes", text.len());
            });
        }
    });
}
