//! Clients that disconnect before their request is complete.

use crate::world::*;
use std::time::{Duration, Instant};

/// Changes the settings so that attempts must not be cancelled and connections may take long to be established.
fn without_cancel(config: &str) -> String {
    config
        .replace(r#""may_cancel":true"#, r#""may_cancel":false"#)
        .replace(r#""dial_timeout":250000"#, r#""dial_timeout":9000000"#)
}

#[test]
fn no_request_is_sent_for_a_client_that_disconnected_during_the_backend_connect() {
    for class in ["look", "buy", "once"] {
        let backend = FullBacklogListener::start();
        let discovery = Discovery::start(&backend_entry("s-1", backend.address(), "ready"));
        let counter = counter_stub();
        let config = config(discovery.stub.address, counter.address);
        let gateway = Gateway::spawn(gateway_command(&without_cancel(&config)));
        gateway.wait_ready();
        let mut client = gateway.client();
        client.send(&request(class, 4000));
        // Units are counted before the request is sent, so the attempt begins about now.
        counter.wait_for("the increment of the counter", |log| log.requests.len() == 1);
        gateway.wait_for_metric("in_flight", 1);
        std::thread::sleep(Duration::from_millis(200));
        drop(client);
        gateway.wait_for_metric("in_flight", 0);
        let written = backend.accept_and_read_all();
        assert_eq!(
            String::from_utf8_lossy(&written),
            "",
            "{class}: sent although the client had disconnected"
        );
        assert_eq!(gateway.metric("attempts"), 0);
    }
}

#[test]
fn the_disconnect_of_a_client_with_pipelined_requests_is_detected() {
    let backend = Stub::start(|_| Reply::Silence);
    let discovery = Discovery::start(&backend_entry("s-1", backend.address, "ready"));
    let counter = counter_stub();
    let gateway = Gateway::start(&discovery, &counter);
    let mut client = gateway.client();
    // Pipelines more requests than any buffer of the gateway holds.
    client.send(&request("once", 4000));
    backend.wait_for("the attempt", |log| log.requests.len() == 1);
    for _ in 0..200 {
        client.send(&request("once", 4000));
    }
    let disconnected_at = Instant::now();
    drop(client);
    backend.wait_for("the attempt's connection to close", |log| log.closed == log.opened);
    let detected_after = disconnected_at.elapsed();
    assert!(
        detected_after < Duration::from_millis(2500),
        "detected after {detected_after:?}, only when the request deadline had passed"
    );
    assert_eq!(backend.requests().len(), 1, "no further attempt is made");
}
