//! Work that outlives its gateway: joined while its owner lives, taken over once when it is dead, told again once done.

use crate::world::*;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const NAMES: [&str; 3] = ["a", "b", "c"];

/// The fleet's files of three gateways that keep a ledger.
fn files() -> Vec<PathBuf> {
    files_with("")
}

/// The same with further lines and tables, `{name}` being each one's own.
pub fn files_with(more: &str) -> Vec<PathBuf> {
    files_living(2000, more)
}

/// The same with records that live for so long.
fn files_living(life_ms: u64, more: &str) -> Vec<PathBuf> {
    let held: Vec<UdpSocket> =
        NAMES.iter().map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
    let at: Vec<SocketAddr> = held.iter().map(|socket| socket.local_addr().expect("bound")).collect();
    let peers: Vec<String> = NAMES.iter().zip(&at).map(|(name, at)| format!("{name} = \"{at}\"\n")).collect();
    let file = |(name, at): (&&str, &SocketAddr)| {
        let path = std::env::temp_dir().join(format!("ledger-{}-{}.toml", std::process::id(), at.port()));
        let head = format!("fleet = \"test\"\nname = \"{name}\"\nlisten = \"{at}\"\nperiod_ms = 200\n");
        let ledger = format!("[ledger]\nholders = 3\nlease_ms = 400\nlife_ms = {life_ms}\nwait_ms = 100\n");
        let text = format!(
            "{head}seats = {NAMES:?}\n[peers]\n{}{ledger}{}",
            peers.concat(),
            more.replace("{name}", name)
        );
        std::fs::write(&path, text).expect("written");
        path
    };
    NAMES.iter().zip(&at).map(file).collect()
}

pub fn keeper(number: usize, discovery: &Discovery, counter: &Stub, file: &PathBuf) -> Node {
    let own = format!("\"balancers\":3,\"my_number\":{number}");
    let config =
        config(discovery.stub.address, counter.address).replace("\"balancers\":2,\"my_number\":0", &own);
    let mut command: Command = program(&config);
    command.env("NODE_FLEET", file);
    Node::spawn(command)
}

fn wait_for_some(node: &Node, name: &str) {
    let until = Instant::now() + LIMIT;
    while node.figure(name) == 0 {
        assert!(Instant::now() < until, "{name} stays 0");
        thread::sleep(Duration::from_millis(5));
    }
}

fn writes(backend: &Stub) -> usize {
    backend.requests().iter().filter(|r| r.line.starts_with("POST")).count()
}

#[test]
fn a_request_of_a_killed_gateway_is_joined_taken_over_once_and_answered_again() {
    let came = AtomicUsize::new(0);
    let backend = Stub::start(move |_| match came.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Silence,
        _ => http("200 OK", "done"),
    });
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let (counter, files) = (counter(), files());
    let mut nodes: Vec<Node> = (0..3).map(|n| keeper(n, &discovery, &counter, &files[n])).collect();
    for node in &nodes {
        node.wait_ready();
        node.wait_for_figure("fleet.present", 3);
        node.wait_for_figure("fleet.ledger.votes", 1);
    }
    let write = request("buy", 8000);
    let mut first = nodes[0].client();
    first.send(&write);
    backend.wait_for("the first attempt", |log| !log.requests.is_empty());
    // Its client comes again elsewhere while the first gateway still has it.
    let mut again = nodes[1].client();
    again.send(&write);
    wait_for_some(&nodes[1], "fleet.ledger.running");
    assert_eq!(writes(&backend), 1, "the work runs already");
    nodes[0].child.kill().expect("killed");
    nodes[0].child.wait().expect("ended");
    let answer = again.answer().expect("an answer");
    assert_eq!((answer.status(), answer.body.as_str()), (200, "done"));
    let stats = || nodes[1].operate("GET", "/stats").body + &nodes[2].operate("GET", "/stats").body;
    assert_eq!((writes(&backend), nodes[1].figure("fleet.ledger.taken_over")), (2, 1), "{}", stats());
    let told = nodes[2].client().ask(&write);
    assert_eq!((told.status(), told.body.as_str(), writes(&backend)), (200, "done", 2));
    assert_eq!(nodes[2].client().ask(&write.replace("hello", "other")).status(), 422, "the same key");
    assert_eq!((writes(&backend), nodes[2].figure("fleet.ledger.mistakes")), (2, 1));
    drop(first);
}

#[test]
fn a_gateway_without_other_replicas_serves_on_and_counts_unprotected_requests() {
    let backend = Stub::start(|_| http("200 OK", "done"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let (counter, files) = (counter(), files());
    let node = keeper(0, &discovery, &counter, &files[0]);
    node.wait_ready();
    assert_eq!(node.client().ask(&request("buy", 8000)).status(), 200);
    assert_eq!(node.client().ask(&request("look", 3000)).status(), 200);
    let figures =
        ["claims", "unheld", "unprotected"].map(|name| node.figure(&format!("fleet.ledger.{name}")));
    assert_eq!(figures, [1, 1, 1], "what is free to repeat makes no claim");
}

/// A gateway is killed with this request in hand, and its client does not come again before the others had time to finish
/// it. Returns how often it was sent by then, and after the client has asked at last; how many were finished and could not
/// be; and what the client was told.
fn left_alone(more: &str, text: &str) -> (usize, usize, [u64; 2], u16) {
    let came = AtomicUsize::new(0);
    let backend = Stub::start(move |_| match came.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Silence,
        _ => http("200 OK", "done"),
    });
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let (counter, files) = (counter(), files_living(4000, more));
    let mut nodes: Vec<Node> = (0..3).map(|n| keeper(n, &discovery, &counter, &files[n])).collect();
    for node in &nodes {
        node.wait_ready();
        node.wait_for_figure("fleet.present", 3);
        node.wait_for_figure("fleet.ledger.votes", 1);
    }
    let mut client = nodes[0].client();
    client.send(text);
    let until = Instant::now() + LIMIT;
    while writes(&backend) == 0 {
        assert!(Instant::now() < until, "nothing is sent on");
        thread::sleep(Duration::from_millis(5));
    }
    nodes[0].child.kill().expect("killed");
    nodes[0].child.wait().expect("ended");
    drop(client);
    let ends = || {
        ["finished", "not_finished"].map(|name| {
            nodes[1..].iter().map(|node| node.figure(&format!("fleet.ledger.{name}"))).sum::<u64>()
        })
    };
    // Longer than the lease, the time to come again and the turns of two holders; the record lives for longer yet.
    let until = Instant::now() + Duration::from_millis(2_500);
    while Instant::now() < until && ends() == [0, 0] {
        thread::sleep(Duration::from_millis(10));
    }
    let (sent, ended) = (writes(&backend), ends());
    let answer = nodes[1].client().ask(text);
    (sent, writes(&backend), ended, answer.status())
}

const FINISH: &str = "finish = [\"buy\", \"once\"]\n";

#[test]
fn an_abandoned_request_is_finished_where_its_class_says_so() {
    let finished = left_alone(FINISH, &request("buy", 8000));
    assert_eq!(finished, (2, 2, [1, 0], 200), "finished once, and told from its record");
}

#[test]
fn an_abandoned_request_of_another_class_waits_for_its_client() {
    let left = left_alone("", &request("buy", 8000));
    assert_eq!(left, (1, 2, [0, 0], 200), "taken over by whom the client asks");
}

#[test]
fn a_request_that_must_not_run_twice_and_may_have_run_is_not_sent_again() {
    let once = request("once", 4000).replace("X-Quota", "Idempotency-Key: k-18\r\nX-Quota");
    assert_eq!(left_alone(FINISH, &once), (1, 1, [0, 1], 502));
}
