//! Messages of any size and form, slow clients, crowds.

use crate::before;
use crate::world::*;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// A gateway before one backend whose connections a test serves by hand.
pub fn before_hand(sockets: usize) -> (TcpListener, Discovery, Stub, Node) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let discovery = Discovery::start(&member("s-1", listener.local_addr().expect("bound"), "ready"));
    let counter = counter();
    let config = config(discovery.stub.address, counter.address);
    let limits = format!("\"memory_mb\":16,\"sockets\":{sockets}");
    let node = Node::spawn(program(&config.replace("\"memory_mb\":192,\"sockets\":1024", &limits)));
    node.wait_ready();
    (listener, discovery, counter, node)
}

pub fn accepted(listener: &TcpListener) -> Client {
    let (stream, _) = listener.accept().expect("an attempt");
    stream.set_read_timeout(Some(LIMIT)).expect("a socket");
    over(stream)
}

fn text(length: usize) -> String {
    "0123456789abcdef".repeat(length / 16)
}

/// A keyed request with a body, without its body.
fn head(framing: &str) -> String {
    request("buy", 7000).replace("Content-Length: 5\r\n\r\nhello", &format!("{framing}\r\n\r\n"))
}

#[test]
fn a_long_response_is_streamed() {
    let (listener, _discovery, _counter, node) = before_hand(128);
    let (first, rest) = (text(128 * 1024), text(2 << 20));
    for chunked in [false, true] {
        let mut client = node.client();
        client.send(&request("look", 3000));
        let mut backend = accepted(&listener);
        backend.head();
        let framing = match chunked {
            false => format!("Content-Length: {}", first.len() + rest.len()),
            true => "Transfer-Encoding: chunked".to_string(),
        };
        let piece = |text: &str| match chunked {
            false => text.to_string(),
            true => format!("{:x}\r\n{text}\r\n", text.len()),
        };
        backend.send(&format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{}", piece(&first)));
        let head = client.head();
        assert!(head[0].ends_with("200 OK"), "{head:?}");
        let framed = head.iter().any(|line| line.eq_ignore_ascii_case(&framing));
        assert!(framed, "{framing} in {head:?}");
        // Its beginning is there before the backend has given the rest.
        let size = |client: &mut Client| usize::from_str_radix(&client.line(), 16).expect("a size");
        let mut take = |length: usize| {
            let mut taken = Vec::new();
            while taken.len() < length {
                let next = if chunked { size(&mut client) } else { length };
                taken.extend(client.bytes(next));
                if chunked {
                    assert_eq!(client.line(), "");
                }
            }
            taken
        };
        assert!(take(first.len()) == first.as_bytes());
        assert_eq!(node.figure("in_flight"), 1);
        let end = if chunked { "0\r\nX-Trailer: t\r\n\r\n" } else { "" };
        let all = format!("{}{end}", piece(&rest));
        let writing = std::thread::spawn(move || {
            backend.send(&all);
            backend
        });
        assert!(take(rest.len()) == rest.as_bytes());
        drop(writing.join().expect("written"));
        node.wait_for_figure("in_flight", 0);
        node.wait_for_figure("requests.look.served", 1 + u64::from(chunked));
    }
}

#[test]
fn a_long_response_that_breaks_off_is_distinguished_from_a_complete_one() {
    let (listener, _discovery, _counter, node) = before_hand(128);
    let mut client = node.client();
    client.send(&request("look", 3000));
    let mut backend = accepted(&listener);
    backend.head();
    let part = text(256 * 1024);
    backend.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{part}"));
    drop(backend);
    assert!(client.answer().is_none(), "not a whole answer");
    node.wait_for_figure("requests.look.failed", 1);
}

#[test]
fn a_long_request_body_is_streamed() {
    let (listener, _discovery, _counter, node) = before_hand(128);
    let (first, rest) = (text(96 * 1024), text(1 << 20));
    for chunked in [false, true] {
        let mut client = node.client();
        let piece = |text: &str| match chunked {
            false => text.to_string(),
            true => format!("{:x}\r\n{text}\r\n", text.len()),
        };
        let framing = match chunked {
            false => format!("Content-Length: {}", first.len() + rest.len()),
            true => "Transfer-Encoding: chunked".to_string(),
        };
        client.send(&head(&format!("Expect: 100-continue\r\n{framing}")));
        assert!(client.line().contains("100"), "go on");
        assert_eq!(client.line(), "");
        client.send(&piece(&first));
        let mut backend = accepted(&listener);
        let heard = backend.head();
        assert!(heard.iter().any(|line| line.eq_ignore_ascii_case(&framing)), "{framing} in {heard:?}");
        assert!(!heard.iter().any(|line| line.to_ascii_lowercase().starts_with("expect")));
        let mut taken = Vec::new();
        let take = |backend: &mut Client, taken: &mut Vec<u8>, length: usize| {
            while taken.len() < length {
                let next = match chunked {
                    false => length - taken.len(),
                    true => usize::from_str_radix(&backend.line(), 16).expect("a size"),
                };
                taken.extend(backend.bytes(next));
                if chunked {
                    assert_eq!(backend.line(), "");
                }
            }
        };
        take(&mut backend, &mut taken, first.len());
        // No attempt counts before its last byte, and no request is taken.
        assert_eq!((node.figure("attempts"), node.figure("in_flight")), (u64::from(chunked), 0));
        let end = if chunked { "0\r\nX-Trailer: t\r\n\r\n" } else { "" };
        let all = format!("{}{end}", piece(&rest));
        let writing = std::thread::spawn(move || {
            client.send(&all);
            client
        });
        take(&mut backend, &mut taken, first.len() + rest.len());
        assert!(taken == format!("{first}{rest}").as_bytes());
        if chunked {
            assert_eq!((backend.line(), backend.line()), ("0".to_string(), String::new()));
        }
        let mut client = writing.join().expect("written");
        node.wait_for_figure("attempts", 1 + u64::from(chunked));
        backend.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assert_eq!(client.answer().expect("an answer").body, "ok");
    }
}

#[test]
fn a_stalled_request_body_times_out_and_its_attempt_never_ran() {
    let (listener, _discovery, _counter, node) = before_hand(128);
    let mut client = node.client();
    client.send(&head("Content-Length: 1000000"));
    client.send(&text(96 * 1024));
    let mut backend = accepted(&listener);
    backend.head();
    let answer = client.answer().expect("an answer");
    assert_eq!(answer.status(), 408);
    assert_eq!(node.figure("attempts"), 0);
    // The server is not to blame for it.
    assert_eq!(node.figure("backends_excluded"), 0);
    drop(backend);
    let mut client = node.client();
    client.send(&request("look", 3000));
    let mut backend = accepted(&listener);
    backend.head();
    backend.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    assert_eq!(client.answer().expect("an answer").status(), 200);
}

#[test]
fn an_unwanted_request_body_is_read_to_its_end_so_that_the_response_arrives() {
    let (_backend, _discovery, _counter, node) = before(|_| http("200 OK", "ok"));
    let mut client = node.client();
    let over = head("Content-Length: 3000000").replace("X-Plan: team", "X-Plan: small");
    let first = over.replace("units=2", "units=4").replace("3000000", "5") + "hello";
    assert_eq!(client.ask(&first).status(), 200);
    client.send(&over.replace("units=2", "units=4"));
    assert_eq!(client.answer().expect("at once").status(), 429);
    client.send(&text(3_000_000));
    assert_eq!(client.ask(&request("look", 3000)).status(), 200, "the connection goes on");
}

#[test]
fn every_framing_of_a_short_message_is_accepted() {
    let (listener, _discovery, _counter, node) = before_hand(128);
    let mut client = node.client();
    // Two requests one behind the other, the first in chunks with a trailer, the second with a whole address.
    let chunked = head("Transfer-Encoding: chunked") + "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nX-T: t\r\n\r\n";
    client.send(&(chunked + &request("look", 3000).replace("GET /api", "GET http://origin.svc/api")));
    let mut backend = accepted(&listener);
    let heard = backend.head();
    assert!(heard.iter().any(|line| line.eq_ignore_ascii_case("Content-Length: 5")), "{heard:?}");
    assert_eq!(backend.bytes(5), b"hello");
    // An answer after interim ones, in chunks.
    backend.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n");
    backend.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n");
    assert_eq!(client.answer().expect("an answer").body, "ok");
    let heard = backend.head();
    assert!(heard[0].starts_with("GET /api?customer="), "{heard:?}");
    // One that ends with its connection.
    backend.send("HTTP/1.0 200 OK\r\n\r\nto the end");
    drop(backend);
    assert_eq!(client.answer().expect("an answer").body, "to the end");
    client.send("HEAD /_health HTTP/1.1\r\nHost: h\r\n\r\n");
    assert!(client.head()[0].ends_with("200 OK"));
    assert_eq!(client.ask("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").status(), 200, "no body came before");
}

#[test]
fn a_head_may_take_two_seconds_also_on_an_idle_connection() {
    let (_backend, _discovery, _counter, node) = before(|_| http("200 OK", "ok"));
    let mut client = node.client();
    assert_eq!(client.ask(&request("look", 3000)).status(), 200);
    std::thread::sleep(Duration::from_millis(900));
    let text = request("look", 3000);
    let step = text.len().div_ceil(8);
    for piece in text.as_bytes().chunks(step) {
        client.send(std::str::from_utf8(piece).expect("text"));
        std::thread::sleep(Duration::from_millis(190));
    }
    assert_eq!(client.answer().expect("an answer").status(), 200);
}

#[test]
fn many_silent_connections_leave_permits_for_clients() {
    // Places for 24 clients or so.
    let (listener, _discovery, _counter, node) = before_hand(64);
    let crowd: Vec<Client> = (0..120)
        .map(|i| {
            let mut peer = node.client();
            peer.send(if i % 2 == 0 { "" } else { "GET /api?cust" });
            peer
        })
        .collect();
    let start = Instant::now();
    let mut client = node.client();
    client.send(&request("look", 3000));
    let mut backend = accepted(&listener);
    backend.head();
    backend.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    // If each had its time, those before it would take five times as long.
    assert!(start.elapsed() < Duration::from_secs(8), "{:?}", start.elapsed());
    for mut peer in crowd {
        assert!(peer.ends_or_errs(), "neither an error nor a close");
    }
}

#[test]
fn idle_connections_keep_no_other_clients_out() {
    // Places for 22 clients.
    let (listener, _discovery, _counter, node) = before_hand(64);
    let mut left = Vec::new();
    let start = Instant::now();
    let serving = std::thread::spawn(move || {
        let mut backend = accepted(&listener);
        for _ in 0..150 {
            if backend.head().is_empty() {
                backend = accepted(&listener);
                backend.head();
            }
            backend.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    for _ in 0..150 {
        let mut client = node.client();
        assert_eq!(client.ask(&request("look", 3000)).status(), 200);
        left.push(client);
    }
    serving.join().expect("all served");
    // Idle ones, if each had its two seconds, would let 11 pass in one.
    assert!(start.elapsed() < Duration::from_secs(8), "{:?}", start.elapsed());
}

#[test]
fn a_streamed_response_goes_on_after_sigterm() {
    let (listener, _discovery, _counter, mut node) = before_hand(128);
    let mut client = node.client();
    client.send(&request("look", 3000));
    let mut backend = accepted(&listener);
    backend.head();
    let half = text(200 * 1024);
    backend.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{half}", 2 * half.len()));
    client.head();
    assert!(client.bytes(half.len()) == half.as_bytes());
    node.terminate();
    // Longer than any request without an answer is waited for.
    std::thread::sleep(Duration::from_millis(4000));
    backend.send(&half);
    assert!(client.bytes(half.len()) == half.as_bytes());
    assert_eq!(node.ended(), Some(0));
}

#[test]
fn a_request_may_be_written_in_two_seconds_wherever_its_head_ends() {
    let (_backend, _discovery, _counter, node) = before(|_| http("200 OK", "ok"));
    let text = request("buy", 4000);
    let (in_head, after_head, in_body) = (20, text.len() - 5, text.len() - 1);
    std::thread::scope(|scope| {
        for pause_at in [in_head, after_head, in_body] {
            let (node, text) = (&node, &text);
            scope.spawn(move || {
                let mut client = node.client();
                client.send(&text[..pause_at]);
                std::thread::sleep(Duration::from_millis(1600));
                client.send(&text[pause_at..]);
                let answer = client.answer().expect("an answer");
                assert_eq!(answer.status(), 200, "paused after {pause_at} of {} bytes", text.len());
            });
        }
    });
}
