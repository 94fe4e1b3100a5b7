//! What operators do: read figures, take backends out, empty the gateway.

use crate::before;
use crate::world::*;
use std::time::{Duration, Instant};

const HEALTH: &str = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";

#[test]
fn stats_count_requests_by_result_from_zero() {
    let (backend, _discovery, _counter, node) = before(|request| match request.line.starts_with("GET") {
        true => http("200 OK", "ok"),
        false => Reply::Silence,
    });
    for class in ["look", "buy", "once"] {
        for end in ["served", "refused", "failed"] {
            assert_eq!(node.figure(&format!("requests.{class}.{end}")), 0);
        }
    }
    assert_eq!((node.figure("backends_known"), node.figure("backends_excluded")), (1, 0));
    let mut client = node.client();
    (0..5).for_each(|_| assert_eq!(client.ask(&request("look", 3000)).status(), 200));
    let waiting = request("once", 700);
    client.send(&waiting);
    backend.wait_for("the attempt", |log| log.requests.len() == 6);
    node.wait_for_figure("in_flight", 1);
    assert_eq!(client.answer().expect("an answer").status(), 502);
    node.wait_for_figure("in_flight", 0);
    assert_eq!(node.figure("requests.look.served"), 5);
    assert_eq!(node.figure("requests.once.failed"), 1);
    assert_eq!(node.figure("attempts"), 6);
    // What is turned away as malformed is no request.
    assert_eq!(client.ask(&request("look", 3000).replace("X-Plan: team", "X-Plan: none")).status(), 400);
    assert_eq!(client.ask(&request("look", 3000).replace("X-Plan: team", "X-Plan: small")).status(), 200);
    let over = request("look", 3000).replace("X-Plan: team", "X-Plan: small").replace("units=2", "units=4");
    assert_eq!(client.ask(&over).status(), 429);
    node.wait_for_figure("requests.look.refused", 1);
    assert_eq!((node.figure("requests.look.served"), node.figure("requests.look.failed")), (6, 0));
}

#[test]
fn unknown_calls_methods_and_backends_get_an_error() {
    let (_backend, _discovery, _counter, node) = before(|_| http("200 OK", "ok"));
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
        assert_eq!(node.operate(method, path).status(), status, "{method} {path}");
    }
}

#[test]
fn idle_callers_keep_no_operator_waiting() {
    let (_backend, _discovery, _counter, node) = before(|_| http("200 OK", "ok"));
    let start = Instant::now();
    let silent: Vec<Client> = (0..100)
        .map(|i| {
            let mut caller = caller(node.ops);
            caller.send(if i % 2 == 0 { "" } else { "GET /heal" });
            caller
        })
        .collect();
    assert_eq!(node.operate("GET", "/healthcheck").status(), 200);
    // Behind callers that are waited for, one after another, this would take as many times as long.
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    for mut caller in silent {
        assert!(caller.ends_or_errs(), "neither an error nor a close");
    }
}

#[test]
fn a_backend_in_maintenance_gets_no_requests_until_it_is_ready_again() {
    let (first, second) = (Stub::start(|_| http("200 OK", "1")), Stub::start(|_| http("200 OK", "2")));
    let both = [member("s-1", first.address, "ready"), member("s-2", second.address, "ready")].join(",");
    let (discovery, counter) = (Discovery::start(&both), counter());
    let node = Node::start(&discovery, &counter);
    let mut client = node.client();
    (0..20).for_each(|_| drop(client.ask(&request("look", 3000))));
    assert!(!first.requests().is_empty() && !second.requests().is_empty(), "both are used");
    for _ in 0..2 {
        assert_eq!(node.operate("POST", "/backends/s-1/maint").status(), 200);
    }
    first.wait_for("its idle connections to close", |log| log.closed == log.opened);
    assert_eq!((node.figure("backends_known"), node.figure("backends_excluded")), (2, 1));
    // Whatever discovery says of it meanwhile, and over a reload.
    discovery.tell(42, false, &member("s-1", first.address, "ready"));
    discovery.tell(43, true, &both);
    node.signal("HUP");
    let before = first.requests().len();
    for _ in 0..20 {
        assert_eq!(client.ask(&request("look", 3000)).body, "2");
    }
    assert_eq!(first.requests().len(), before);
    assert_eq!(node.operate("POST", "/backends/s-1/ready").status(), 200);
    assert_eq!(node.figure("backends_excluded"), 0);
    let until = Instant::now() + LIMIT;
    while client.ask(&request("look", 3000)).body != "1" {
        assert!(Instant::now() < until, "never used again");
    }
}

#[test]
fn draining_closes_connections_and_can_be_undone() {
    let (_backend, _discovery, _counter, node) = before(|_| http("200 OK", "ok"));
    let (mut kept, mut idle) = (node.client(), node.client());
    assert_eq!(idle.ask(HEALTH).status(), 200);
    assert_eq!(kept.ask(&request("look", 3000)).header("connection"), None);
    let start = Instant::now();
    assert_eq!(node.operate("POST", "/healthcheck/fail").status(), 200);
    assert_eq!(node.operate("GET", "/healthcheck").status(), 503);
    // What still comes is served, on kept connections and on new ones, and is the last on its own.
    for mut client in [kept, node.client()] {
        let answer = client.ask(&request("look", 3000));
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert!(client.answer().is_none(), "it is closed");
    }
    assert_eq!(node.client().ask(HEALTH).status(), 503);
    assert!(idle.answer().is_none(), "idle ones are closed");
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    assert_eq!(node.operate("POST", "/healthcheck/ok").status(), 200);
    assert_eq!(node.operate("GET", "/healthcheck").status(), 200);
    let mut client = node.client();
    assert_eq!(client.ask(HEALTH).status(), 200);
    assert_eq!(client.ask(&request("look", 3000)).header("connection"), None);
    assert_eq!(client.ask(&request("look", 3000)).status(), 200, "connections are kept again");
}
