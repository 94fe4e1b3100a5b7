//! The admin server: metrics, maintenance of backends, draining of the gateway.

use crate::gateway_with_backend;
use crate::world::*;
use std::time::{Duration, Instant};

const HEALTH: &str = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";

#[test]
fn stats_count_requests_by_result_from_zero() {
    let (backend, _discovery, _counter, gateway) =
        gateway_with_backend(|request| match request.line.starts_with("GET") {
            true => http("200 OK", "ok"),
            false => Reply::Silence,
        });
    for class in ["look", "buy", "once"] {
        for result in ["served", "refused", "failed"] {
            assert_eq!(gateway.metric(&format!("requests.{class}.{result}")), 0);
        }
    }
    assert_eq!((gateway.metric("backends_known"), gateway.metric("backends_excluded")), (1, 0));
    let mut client = gateway.client();
    (0..5).for_each(|_| assert_eq!(client.round_trip(&request("look", 3000)).status(), 200));
    let unanswered = request("once", 700);
    client.send(&unanswered);
    backend.wait_for("the attempt", |log| log.requests.len() == 6);
    gateway.wait_for_metric("in_flight", 1);
    assert_eq!(client.read_response().expect("a response").status(), 502);
    gateway.wait_for_metric("in_flight", 0);
    assert_eq!(gateway.metric("requests.look.served"), 5);
    assert_eq!(gateway.metric("requests.once.failed"), 1);
    assert_eq!(gateway.metric("attempts"), 6);
    // Malformed requests are not counted.
    assert_eq!(
        client.round_trip(&request("look", 3000).replace("X-Plan: team", "X-Plan: none")).status(),
        400
    );
    assert_eq!(
        client.round_trip(&request("look", 3000).replace("X-Plan: team", "X-Plan: small")).status(),
        200
    );
    let over_quota =
        request("look", 3000).replace("X-Plan: team", "X-Plan: small").replace("units=2", "units=4");
    assert_eq!(client.round_trip(&over_quota).status(), 429);
    gateway.wait_for_metric("requests.look.refused", 1);
    assert_eq!((gateway.metric("requests.look.served"), gateway.metric("requests.look.failed")), (6, 0));
}

#[test]
fn unknown_paths_methods_and_backends_get_an_error() {
    let (_backend, _discovery, _counter, gateway) = gateway_with_backend(|_| http("200 OK", "ok"));
    for (method, path, status) in [
        ("GET", "/", 404),
        ("GET", "/stats/more", 404),
        ("POST", "/stats", 405),
        ("DELETE", "/healthcheck", 405),
        ("GET", "/backends/s-1/maint", 405),
        ("POST", "/backends/s-9/maint", 404),
        ("POST", "/backends/s-9/ready", 404),
        ("POST", "/backends/s-1/away", 404),
        ("GET", "/healthcheck/fail", 405),
        ("GET", "/healthcheck", 200),
    ] {
        assert_eq!(gateway.admin_call(method, path).status(), status, "{method} {path}");
    }
}

#[test]
fn idle_connections_do_not_delay_other_admin_calls() {
    let (_backend, _discovery, _counter, gateway) = gateway_with_backend(|_| http("200 OK", "ok"));
    let start = Instant::now();
    let idle_connections: Vec<Client> = (0..100)
        .map(|index| {
            let mut connection = connect(gateway.admin_address);
            connection.send(if index % 2 == 0 { "" } else { "GET /heal" });
            connection
        })
        .collect();
    assert_eq!(gateway.admin_call("GET", "/healthcheck").status(), 200);
    // If the server waited for each idle connection in turn, the delay would grow with their number.
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    for mut connection in idle_connections {
        assert!(connection.is_closed_or_gets_error(), "neither an error response nor a close");
    }
}

#[test]
fn a_backend_in_maintenance_gets_no_requests_until_it_is_ready_again() {
    let (first, second) = (Stub::start(|_| http("200 OK", "1")), Stub::start(|_| http("200 OK", "2")));
    let both = [backend_entry("s-1", first.address, "ready"), backend_entry("s-2", second.address, "ready")]
        .join(",");
    let (discovery, counter) = (Discovery::start(&both), counter_stub());
    let gateway = Gateway::start(&discovery, &counter);
    let mut client = gateway.client();
    (0..20).for_each(|_| drop(client.round_trip(&request("look", 3000))));
    assert!(!first.requests().is_empty() && !second.requests().is_empty(), "both backends are used");
    for _ in 0..2 {
        assert_eq!(gateway.admin_call("POST", "/backends/s-1/maint").status(), 200);
    }
    first.wait_for("the idle connections of the backend to close", |log| log.closed == log.opened);
    assert_eq!((gateway.metric("backends_known"), gateway.metric("backends_excluded")), (2, 1));
    // Maintenance persists through new endpoint lists that name the backend as ready, and through a reload.
    discovery.publish_and_wait(42, false, &backend_entry("s-1", first.address, "ready"));
    discovery.publish_and_wait(43, true, &both);
    gateway.signal("HUP");
    let requests_before = first.requests().len();
    for _ in 0..20 {
        assert_eq!(client.round_trip(&request("look", 3000)).body, "2");
    }
    assert_eq!(first.requests().len(), requests_before);
    assert_eq!(gateway.admin_call("POST", "/backends/s-1/ready").status(), 200);
    assert_eq!(gateway.metric("backends_excluded"), 0);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while client.round_trip(&request("look", 3000)).body != "1" {
        assert!(Instant::now() < deadline, "the backend gets no requests after maintenance");
    }
}

#[test]
fn draining_closes_connections_and_can_be_undone() {
    let (_backend, _discovery, _counter, gateway) = gateway_with_backend(|_| http("200 OK", "ok"));
    let (mut open, mut idle) = (gateway.client(), gateway.client());
    assert_eq!(idle.round_trip(HEALTH).status(), 200);
    assert_eq!(open.round_trip(&request("look", 3000)).header("connection"), None);
    let start = Instant::now();
    assert_eq!(gateway.admin_call("POST", "/healthcheck/fail").status(), 200);
    assert_eq!(gateway.admin_call("GET", "/healthcheck").status(), 503);
    // While draining, the gateway still serves one request per connection, on open and on new ones, and then closes it.
    for mut client in [open, gateway.client()] {
        let response = client.round_trip(&request("look", 3000));
        assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
        assert!(client.read_response().is_none(), "the connection is closed");
    }
    assert_eq!(gateway.client().round_trip(HEALTH).status(), 503);
    assert!(idle.read_response().is_none(), "idle connections are closed");
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    assert_eq!(gateway.admin_call("POST", "/healthcheck/ok").status(), 200);
    assert_eq!(gateway.admin_call("GET", "/healthcheck").status(), 200);
    let mut client = gateway.client();
    assert_eq!(client.round_trip(HEALTH).status(), 200);
    assert_eq!(client.round_trip(&request("look", 3000)).header("connection"), None);
    assert_eq!(client.round_trip(&request("look", 3000)).status(), 200, "connections are kept open again");
}
