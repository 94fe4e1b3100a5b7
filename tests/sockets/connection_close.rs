//! The moments in which a client's connection is closed, at the end of a process above all.

use crate::before;
use crate::world::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A gateway whose limits leave few permits for clients, and how many.
fn small_gateway(discovery: &Discovery, counter: &Stub) -> (Node, usize) {
    let text =
        config(discovery.stub.address, counter.address).replace(r#""sockets":1024"#, r#""sockets":64"#);
    let node = Node::spawn(program(&text));
    node.wait_ready();
    (node, 32)
}

#[test]
fn at_sigterm_a_client_that_waits_for_a_permit_is_still_served() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let (discovery, counter) = (Discovery::start(&member("s-1", backend.address, "ready")), counter());
    let (mut node, places) = small_gateway(&discovery, &counter);
    // Bodies that do not come to their end hold all permits for more than a second.
    let unfinished = request("buy", 4000);
    let unfinished = &unfinished[..unfinished.len() - 3];
    let mut holders: Vec<Client> = (0..places).map(|_| node.client()).collect();
    holders.iter_mut().for_each(|holder| holder.send(unfinished));
    std::thread::sleep(Duration::from_millis(300));
    let mut waiting: Vec<Client> = (0..4).map(|_| node.client()).collect();
    waiting.iter_mut().for_each(|client| client.send(&request("once", 4000)));
    node.terminate();
    for (number, client) in waiting.iter_mut().enumerate() {
        let answer =
            client.answer().unwrap_or_else(|| panic!("client {number} was closed without an answer"));
        assert_eq!(answer.status(), 200, "client {number}");
    }
    assert_eq!(node.ended(), Some(0));
}

/// A client whose machine takes little of a response before the client reads it: the rest waits at the gateway.
fn client_with_small_window(address: SocketAddr) -> Client {
    on_runtime(async {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4096).expect("an option");
        let stream = socket.connect(address).await.expect("it listens").into_std().expect("a socket");
        stream.set_nonblocking(false).expect("an option");
        over(stream)
    })
}

#[test]
fn the_last_response_is_complete_though_the_client_has_sent_more() {
    const LENGTH: usize = 24 * 1024;
    let release = Arc::new(Gate::default());
    let gate = release.clone();
    let backend = Stub::start(move |_| {
        gate.wait();
        http("200 OK", &"a".repeat(LENGTH))
    });
    let (discovery, counter) = (Discovery::start(&member("s-1", backend.address, "ready")), counter());
    let mut node = Node::start(&discovery, &counter);
    let mut client = client_with_small_window(node.address);
    client.send(&request("look", 4000));
    backend.wait_for("the attempt", |log| log.requests.len() == 1);
    // From now on every response is the last on its connection. What the client sends behind its request stays unread.
    node.terminate_and_wait();
    client.send(&request("look", 4000).repeat(400));
    release.open();
    // The gateway closes its side while most of the response is still to be delivered.
    std::thread::sleep(Duration::from_millis(500));
    let answer = client.answer().expect("a whole answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(answer.body.len(), LENGTH);
    assert_eq!(backend.requests().len(), 1, "nothing that came behind it is sent on");
    assert_eq!(node.ended(), Some(0));
}

#[test]
fn late_requests_after_sigterm_are_answered_before_the_process_is_killed() {
    let backend = Stub::start(|_| Reply::Silence);
    let (discovery, counter) = (Discovery::start(&member("s-1", backend.address, "ready")), counter());
    // The longest deadline is 1.5 s, so the process may be killed 2.2 s after SIGTERM.
    let text = config(discovery.stub.address, counter.address);
    let text = text.replace(r#""deadline":4000000"#, r#""deadline":1500000"#);
    let text =
        text.replace(r#""deadline":8000000,"on_time":2500000"#, r#""deadline":1500000,"on_time":1000000"#);
    let mut node = Node::spawn(program(&text));
    node.wait_ready();
    let mut resting = node.client();
    node.terminate();
    let stopped = Instant::now();
    // Not before its process has begun to fail what is open, and while this connection may still be silent.
    std::thread::sleep(Duration::from_millis(1800));
    let asked = Instant::now();
    resting.send(&request("once", 1500));
    assert_eq!(resting.answer().expect("an answer").status(), 502);
    let (took, after) = (asked.elapsed(), stopped.elapsed());
    assert!(took < Duration::from_millis(1000), "answered after {took:?}, {after:?} after SIGTERM");
    assert_eq!(node.ended(), Some(0));
}

#[test]
fn at_sigterm_every_accepted_request_is_answered() {
    let (backend, _discovery, _counter, mut node) = before(|_| {
        std::thread::sleep(Duration::from_millis(300));
        http("200 OK", "ok")
    });
    let (mut early, mut idle) = (node.client(), node.client());
    assert_eq!(idle.ask("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").status(), 200);
    early.send(&request("once", 3000));
    backend.wait_for("the attempt", |log| log.requests.len() == 1);
    node.terminate();
    assert!(idle.answer().is_none(), "idle connections are closed");
    let mut late = node.client();
    assert_eq!(late.ask("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").status(), 503);
    let answer = node.client().ask(&request("once", 3000));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    let answer = early.answer().expect("the answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(node.ended(), Some(0));
}

#[test]
fn at_sigterm_a_request_is_served_that_takes_longer_than_new_connections_are_accepted() {
    let (backend, _discovery, _counter, mut node) = before(|_| {
        std::thread::sleep(Duration::from_millis(1500));
        http("200 OK", "ok")
    });
    let mut client = node.client();
    client.send(&request("once", 4000));
    backend.wait_for("the attempt", |log| log.requests.len() == 1);
    node.terminate();
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(node.ended(), Some(0));
}

#[test]
fn at_sigterm_a_request_that_no_backend_answers_is_failed_before_the_end() {
    let (backend, _discovery, _counter, mut node) = before(|_| Reply::Silence);
    let mut client = node.client();
    client.send(&request("once", 4000));
    backend.wait_for("the attempt", |log| log.requests.len() == 1);
    node.terminate();
    assert_eq!(client.answer().expect("an answer").status(), 502);
    assert_eq!(node.ended(), Some(0));
}

#[test]
fn a_request_that_crosses_the_close_at_sigterm_is_answered_on_a_new_connection() {
    use std::sync::atomic::{AtomicUsize, Ordering};
    let (_backend, _discovery, _counter, mut node) = before(|_| http("200 OK", "ok"));
    let (answered, stopped) = (AtomicUsize::new(0), std::sync::OnceLock::<Instant>::new());
    std::thread::scope(|scope| {
        for _ in 0..16 {
            scope.spawn(|| {
                // New connections come for a moment after SIGTERM; old ones are used while they are open.
                let late = || stopped.get().is_some_and(|at| at.elapsed() > Duration::from_millis(100));
                while !late() {
                    let mut client = node.client();
                    let mut answer = client.answer_to(&request("look", 3000));
                    assert!(answer.is_some(), "a new connection is answered");
                    while answer.is_some_and(|a| a.header("connection") != Some("close")) {
                        answered.fetch_add(1, Ordering::Relaxed);
                        answer = client.answer_to(&request("look", 3000));
                    }
                }
            });
        }
        while answered.load(Ordering::Relaxed) < 200 {
            std::thread::sleep(Duration::from_millis(1));
        }
        node.terminate();
        stopped.set(Instant::now()).expect("once");
    });
    assert_eq!(node.ended(), Some(0));
}
