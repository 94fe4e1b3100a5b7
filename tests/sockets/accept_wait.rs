//! The wait of a client before its connection is accepted counts towards the time budget of its request.

use crate::world::*;
use std::thread::sleep;
use std::time::Duration;

/// How long the gateway is stopped after a client has sent its request.
const STOPPED: Duration = Duration::from_millis(1000);

/// Sends a request with this budget, of this class, while the gateway is stopped. Returns the status of the answer and the
/// number of requests that the backend got.
fn request_to_a_stopped_gateway(class: &str, budget_ms: u32) -> (u16, usize) {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&backend_entry("s-1", backend.address, "ready"));
    let counter = counter_stub();
    let gateway = Gateway::start(&discovery, &counter);
    gateway.signal("STOP");
    let mut client = gateway.client();
    client.send(&request(class, budget_ms));
    sleep(STOPPED);
    gateway.signal("CONT");
    let status = client.read_response().expect("a response").status();
    (status, backend.requests().len())
}

#[test]
fn a_request_whose_budget_ended_before_the_accept_is_not_sent_to_a_backend() {
    for class in ["look", "buy"] {
        assert_eq!(request_to_a_stopped_gateway(class, 400), (429, 0), "{class}");
    }
}

#[test]
fn a_request_whose_budget_is_longer_than_the_wait_is_served() {
    for class in ["look", "buy"] {
        assert_eq!(request_to_a_stopped_gateway(class, 3000), (200, 1), "{class}");
    }
}
