//! Clients that disconnect while something of their request is still to be done.

use crate::world::*;
use std::time::{Duration, Instant};

/// Settings in which attempts must not be called off, and connections may take long to come up.
fn without_cancel(config: &str) -> String {
    config
        .replace(r#""may_cancel":true"#, r#""may_cancel":false"#)
        .replace(r#""dial_timeout":250000"#, r#""dial_timeout":9000000"#)
}

#[test]
fn nothing_is_written_for_a_client_that_disconnected_while_the_connection_came_up() {
    for class in ["look", "buy", "once"] {
        let backend = LateListener::start();
        let discovery = Discovery::start(&member("s-1", backend.address(), "ready"));
        let counter = counter();
        let config = config(discovery.stub.address, counter.address);
        let node = Node::spawn(program(&without_cancel(&config)));
        node.wait_ready();
        let mut client = node.client();
        client.send(&request(class, 4000));
        // Its units are counted before it is sent, so the attempt begins about now.
        counter.wait_for("the count", |log| log.requests.len() == 1);
        node.wait_for_figure("in_flight", 1);
        std::thread::sleep(Duration::from_millis(200));
        drop(client);
        node.wait_for_figure("in_flight", 0);
        let written = backend.bytes_of_next_connection();
        assert_eq!(String::from_utf8_lossy(&written), "", "{class}: sent on after its client had left");
        assert_eq!(node.figure("attempts"), 0);
    }
}

#[test]
fn a_client_that_disconnects_behind_pipelined_requests_is_noticed() {
    let backend = Stub::start(|_| Reply::Silence);
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let counter = counter();
    let node = Node::start(&discovery, &counter);
    let mut client = node.client();
    // More than one request, and more than any buffer of the gateway's holds.
    client.send(&request("once", 4000));
    backend.wait_for("the attempt", |log| log.requests.len() == 1);
    for _ in 0..200 {
        client.send(&request("once", 4000));
    }
    let left_at = Instant::now();
    drop(client);
    backend.wait_for("the attempt's connection to close", |log| log.closed == log.opened);
    let noticed = left_at.elapsed();
    assert!(noticed < Duration::from_millis(2500), "noticed after {noticed:?}, not before its time was up");
    assert_eq!(backend.requests().len(), 1, "nothing more goes out");
}
