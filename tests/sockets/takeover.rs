//! Requests of a killed gateway: a repeated request joins the running attempt, is taken over once after the gateway was
//! killed, and is answered from the ledger once complete.

use crate::world::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAY_NAMES: [&str; 3] = ["a", "b", "c"];

/// Writes the cluster files of three gateways with a ledger.
fn cluster_files() -> Vec<PathBuf> {
    cluster_files_with("")
}

/// Writes the cluster files of three gateways with a ledger and with these further lines and tables, in which
/// `{name}` is replaced by the name of the gateway.
pub fn cluster_files_with(extra_sections: &str) -> Vec<PathBuf> {
    cluster_files_with_lifetime(2000, extra_sections)
}

/// Writes the cluster files of three gateways with this lifetime of the ledger's records and with these
/// further lines and tables.
fn cluster_files_with_lifetime(lifetime_ms: u64, extra_sections: &str) -> Vec<PathBuf> {
    let addresses: Vec<SocketAddr> = GATEWAY_NAMES.iter().map(|_| free_udp_address()).collect();
    let peers: Vec<String> = GATEWAY_NAMES
        .iter()
        .zip(&addresses)
        .map(|(name, address)| format!("{name} = \"{address}\"\n"))
        .collect();
    let write_file = |(name, address): (&&str, &SocketAddr)| {
        let path =
            std::env::temp_dir().join(format!("ledger-{}-{}.toml", std::process::id(), address.port()));
        let head = format!("fleet = \"test\"\nname = \"{name}\"\nlisten = \"{address}\"\nperiod_ms = 200\n");
        let ledger =
            format!("[ledger]\nholders = 3\nlease_ms = 400\nlife_ms = {lifetime_ms}\nwait_ms = 100\n");
        let text = format!(
            "{head}seats = {GATEWAY_NAMES:?}\n[peers]\n{}{ledger}{}",
            peers.concat(),
            extra_sections.replace("{name}", name)
        );
        std::fs::write(&path, text).expect("the file is written");
        path
    };
    GATEWAY_NAMES.iter().zip(&addresses).map(write_file).collect()
}

pub fn start_ledger_gateway(number: usize, discovery: &Discovery, counter: &Stub, file: &PathBuf) -> Gateway {
    start_ledger_gateway_with(number, &config(discovery.stub.address, counter.address), file)
}

/// Starts a gateway of the cluster with this configuration, apart from its number.
pub fn start_ledger_gateway_with(number: usize, config: &str, file: &PathBuf) -> Gateway {
    let position = format!("\"balancers\":3,\"my_number\":{number}");
    let config = config.replace("\"balancers\":2,\"my_number\":0", &position);
    let mut command: Command = gateway_command(&config);
    command.env("NODE_FLEET", file);
    Gateway::spawn(command)
}

fn wait_until_not_zero(gateway: &Gateway, name: &str) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while gateway.metric(name) == 0 {
        assert!(Instant::now() < deadline, "metric {name} stays 0");
        thread::sleep(Duration::from_millis(5));
    }
}

fn posts_received(backend: &Stub) -> usize {
    backend.requests().iter().filter(|r| r.line.starts_with("POST")).count()
}

#[test]
fn a_repeated_request_joins_the_attempt_is_taken_over_once_after_a_kill_and_answered_from_its_record() {
    let requests_received = AtomicUsize::new(0);
    let backend = Stub::start(move |_| match requests_received.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Silence,
        _ => http("200 OK", "done"),
    });
    let discovery = Discovery::start(&backend_entry("s-1", backend.address, "ready"));
    let (counter, cluster_files) = (counter_stub(), cluster_files());
    let mut gateways: Vec<Gateway> = (0..3)
        .map(|number| start_ledger_gateway(number, &discovery, &counter, &cluster_files[number]))
        .collect();
    for gateway in &gateways {
        gateway.wait_ready();
        gateway.wait_for_metric("fleet.present", 3);
        gateway.wait_for_metric("fleet.ledger.votes", 1);
    }
    let write = request("buy", 8000);
    let mut first = gateways[0].client();
    first.send(&write);
    backend.wait_for("the first attempt", |log| !log.requests.is_empty());
    // The client repeats the request at another gateway while the first gateway still processes it.
    let mut repeating_client = gateways[1].client();
    repeating_client.send(&write);
    wait_until_not_zero(&gateways[1], "fleet.ledger.running");
    assert_eq!(posts_received(&backend), 1, "the repeated request joins the running attempt");
    gateways[0].child.kill().expect("the process is killed");
    gateways[0].child.wait().expect("the process exits");
    let response = repeating_client.read_response().expect("a response");
    assert_eq!((response.status(), response.body.as_str()), (200, "done"));
    let stats =
        || gateways[1].admin_call("GET", "/stats").body + &gateways[2].admin_call("GET", "/stats").body;
    assert_eq!(
        (posts_received(&backend), gateways[1].metric("fleet.ledger.taken_over")),
        (2, 1),
        "{}",
        stats()
    );
    let replayed = gateways[2].client().round_trip(&write);
    assert_eq!((replayed.status(), replayed.body.as_str(), posts_received(&backend)), (200, "done", 2));
    assert_eq!(
        gateways[2].client().round_trip(&write.replace("hello", "other")).status(),
        422,
        "the idempotency key was reused for another request"
    );
    assert_eq!((posts_received(&backend), gateways[2].metric("fleet.ledger.mistakes")), (2, 1));
    drop(first);
}

#[test]
fn a_gateway_without_other_replicas_keeps_serving_and_counts_unprotected_requests() {
    let backend = Stub::start(|_| http("200 OK", "done"));
    let discovery = Discovery::start(&backend_entry("s-1", backend.address, "ready"));
    let (counter, cluster_files) = (counter_stub(), cluster_files());
    let gateway = start_ledger_gateway(0, &discovery, &counter, &cluster_files[0]);
    gateway.wait_ready();
    assert_eq!(gateway.client().round_trip(&request("buy", 8000)).status(), 200);
    assert_eq!(gateway.client().round_trip(&request("look", 3000)).status(), 200);
    let metrics =
        ["claims", "unheld", "unprotected"].map(|name| gateway.metric(&format!("fleet.ledger.{name}")));
    assert_eq!(metrics, [1, 1, 1], "a safe request makes no claim");
}

/// Kills a gateway while this request is in flight. The client repeats the request only after the other
/// gateways had time to finish it. Returns how often the backend received the request before the repetition
/// and in total, the numbers of finished and not finished requests, and the status that the repetition got.
fn abandon_request(extra_sections: &str, text: &str) -> (usize, usize, [u64; 2], u16) {
    let requests_received = AtomicUsize::new(0);
    let backend = Stub::start(move |_| match requests_received.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Silence,
        _ => http("200 OK", "done"),
    });
    let discovery = Discovery::start(&backend_entry("s-1", backend.address, "ready"));
    let (counter, cluster_files) = (counter_stub(), cluster_files_with_lifetime(4000, extra_sections));
    let mut gateways: Vec<Gateway> = (0..3)
        .map(|number| start_ledger_gateway(number, &discovery, &counter, &cluster_files[number]))
        .collect();
    for gateway in &gateways {
        gateway.wait_ready();
        gateway.wait_for_metric("fleet.present", 3);
        gateway.wait_for_metric("fleet.ledger.votes", 1);
    }
    let mut client = gateways[0].client();
    client.send(text);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while posts_received(&backend) == 0 {
        assert!(Instant::now() < deadline, "the request was not forwarded");
        thread::sleep(Duration::from_millis(5));
    }
    gateways[0].child.kill().expect("the process is killed");
    gateways[0].child.wait().expect("the process exits");
    drop(client);
    let outcome_counts = || {
        ["finished", "not_finished"].map(|name| {
            gateways[1..].iter().map(|gateway| gateway.metric(&format!("fleet.ledger.{name}"))).sum::<u64>()
        })
    };
    // This is longer than the lease, the time for the client to repeat the request and the waiting times of
    // two replicas together, and shorter than the lifetime of the record.
    let deadline = Instant::now() + Duration::from_millis(2_500);
    while Instant::now() < deadline && outcome_counts() == [0, 0] {
        thread::sleep(Duration::from_millis(10));
    }
    let (sent_before, outcomes) = (posts_received(&backend), outcome_counts());
    let response = gateways[1].client().round_trip(text);
    (sent_before, posts_received(&backend), outcomes, response.status())
}

const FINISH: &str = "finish = [\"buy\", \"once\"]\n";

#[test]
fn an_abandoned_request_is_finished_if_its_class_is_listed_in_finish() {
    let finished = abandon_request(FINISH, &request("buy", 8000));
    assert_eq!(finished, (2, 2, [1, 0], 200), "finished once, then answered from its record");
}

#[test]
fn an_abandoned_request_of_a_class_not_listed_in_finish_waits_for_its_client() {
    let abandoned = abandon_request("", &request("buy", 8000));
    assert_eq!(abandoned, (1, 2, [0, 0], 200), "the gateway that gets the repeated request takes it over");
}

#[test]
fn an_abandoned_request_that_may_have_run_and_is_not_idempotent_is_not_sent_again() {
    let once = request("once", 4000).replace("X-Quota", "Idempotency-Key: k-18\r\nX-Quota");
    assert_eq!(abandon_request(FINISH, &once), (1, 1, [0, 1], 502));
}
