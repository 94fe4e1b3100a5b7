//! A branch that is cut off: writes are accepted by more than half of it, outlive the gateway that took them, and run in
//! their order after the heal.

use crate::takeover::{files_with, keeper};
use crate::world::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const BRANCH: &str =
    "[branch]\nseats = [\"a\", \"b\", \"c\"]\nclasses = [\"buy\"]\ncut_after_ms = 200\nper_s = 50\n";

fn write(number: usize) -> String {
    request("buy", 3000)
        .replace("k-17", &format!("k-{number}"))
        .replace("hello", &format!("mark{number}")[..5])
}

/// Reads that nobody outside answers tell the gateways that the line is down.
fn cut_off(nodes: &[Node]) {
    let until = Instant::now() + LIMIT;
    while nodes.iter().any(|node| node.figure("fleet.branch.cut") == 0) {
        let stats = || nodes.iter().map(|node| node.operate("GET", "/stats").body).collect::<String>();
        assert!(Instant::now() < until, "the branch does not notice: {}", stats());
        nodes
            .iter()
            .for_each(|node| drop(node.client().ask(&request("look", 600).replace("b4d65521", "b4d65522"))));
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn writes_of_a_cut_off_branch_outlive_their_gateway_and_run_once_in_order() {
    let backend = Stub::start(|_| http("200 OK", "done"));
    // The line is down.
    let refusing = Refusing::start();
    let nowhere = refusing.address();
    let discovery = Discovery::start(&member("s-1", nowhere, "ready"));
    let (counter, files) = (counter(), files_with(BRANCH));
    let mut nodes: Vec<Node> = (0..3).map(|n| keeper(n, &discovery, &counter, &files[n])).collect();
    for node in &nodes {
        node.wait_ready();
        node.wait_for_figure("fleet.present", 3);
        node.wait_for_figure("fleet.ledger.votes", 1);
        node.wait_for_figure("fleet.branch.votes", 1);
    }
    assert_ne!(nodes[0].client().ask(&write(0)).status(), 202, "it is not cut off yet, as far as it knows");
    cut_off(&nodes);
    let mut places = Vec::new();
    for (number, node) in [(1, 0), (2, 1), (3, 0), (4, 2), (5, 0)] {
        let answer = nodes[node].client().ask(&write(number));
        assert_eq!(answer.status(), 202, "{}", answer.body);
        places.push(answer.header("location").expect("where to ask").to_string());
    }
    let again = nodes[2].client().ask(&write(1));
    assert_eq!((again.status(), again.header("location")), (202, Some(places[0].as_str())), "the same write");
    nodes[0].child.kill().expect("killed");
    nodes[0].child.wait().expect("ended");
    let status = |node: &Node, place: &str| {
        let answer = node.client().ask(&format!("GET {place} HTTP/1.1\r\nHost: origin.svc\r\n\r\n"));
        (answer.status(), answer.body.trim().to_string())
    };
    for place in &places {
        assert_eq!(status(&nodes[1], place), (200, "waiting".into()), "{place}");
    }
    assert_eq!(status(&nodes[1], "/writes/0-00000001-1").0, 404);
    assert_eq!(status(&nodes[1], "/writes/rubbish").0, 404);
    assert!(backend.requests().iter().all(|r| r.line.starts_with("GET")), "nothing has run");
    // A backend at another place, of which nobody holds anything against it.
    let moved = member("s-1", nowhere, "gone") + "," + &member("s-2", backend.address, "ready");
    discovery.say(42, &list(42, false, &moved));
    let until = Instant::now() + LIMIT * 4;
    for place in &places {
        while status(&nodes[2], place).1 != "done 200" {
            let stats = || nodes[1].operate("GET", "/stats").body + &nodes[2].operate("GET", "/stats").body;
            assert!(Instant::now() < until, "{place}: {:?} {}", status(&nodes[2], place), stats());
            thread::sleep(Duration::from_millis(20));
        }
    }
    let ran: Vec<String> =
        backend.requests().iter().filter(|r| r.line.starts_with("POST")).map(|r| r.body.clone()).collect();
    assert_eq!(
        ran,
        ["mark1", "mark2", "mark3", "mark4", "mark5"],
        "each once, one customer's in their order"
    );
    let straight = nodes[1].client().ask(&write(6));
    assert_eq!(straight.status(), 200, "nothing waits: it goes straight on");
    let sent: u64 = nodes[1..].iter().map(|node| node.figure("fleet.branch.done")).sum();
    assert_eq!(sent, 5);
}

/// A write of its own for each number: key and mark tell them apart.
fn accepted(node: &Node, number: usize) -> String {
    let answer = node.client().ask(&write(number));
    assert_eq!(answer.status(), 202, "{}", answer.body);
    answer.header("location").expect("where to ask").to_string()
}

#[test]
fn what_a_branch_accepted_is_on_its_disks_when_all_of_it_was_killed() {
    let backend = Stub::start(|_| http("200 OK", "done"));
    let refusing = Refusing::start();
    let nowhere = refusing.address();
    let discovery = Discovery::start(&member("s-1", nowhere, "ready"));
    let counter = counter();
    let disks = std::env::temp_dir().join(format!("disks-{}", std::process::id()));
    for name in ["a", "b", "c"] {
        std::fs::create_dir_all(disks.join(name)).expect("a folder");
    }
    let files = files_with(&format!("dir = \"{}/{{name}}\"\n{BRANCH}", disks.display()));
    let start = |n: usize| keeper(n, &discovery, &counter, &files[n]);
    let ready = |nodes: &[Node]| {
        for node in nodes {
            node.wait_ready();
            node.wait_for_figure("fleet.present", 3);
            node.wait_for_figure("fleet.disk.works", 1);
            node.wait_for_figure("fleet.branch.votes", 1);
        }
    };
    let mut nodes: Vec<Node> = (0..3).map(start).collect();
    ready(&nodes);
    cut_off(&nodes);
    let places: Vec<String> = (1..6).map(|number| accepted(&nodes[number % 3], number)).collect();
    for node in &mut nodes {
        node.child.kill().expect("killed");
        node.child.wait().expect("ended");
    }
    let nodes: Vec<Node> = (0..3).map(start).collect();
    ready(&nodes);
    let status = |node: &Node, place: &str| {
        node.client()
            .ask(&format!("GET {place} HTTP/1.1\r\nHost: origin.svc\r\n\r\n"))
            .body
            .trim()
            .to_string()
    };
    let moved = member("s-1", nowhere, "gone") + "," + &member("s-2", backend.address, "ready");
    discovery.say(42, &list(42, false, &moved));
    let until = Instant::now() + LIMIT * 4;
    for place in &places {
        while status(&nodes[2], place) != "done 200" {
            let stats = || nodes.iter().map(|node| node.operate("GET", "/stats").body).collect::<String>();
            assert!(Instant::now() < until, "{place}: {:?} {}", status(&nodes[2], place), stats());
            thread::sleep(Duration::from_millis(20));
        }
    }
    let ran: Vec<String> =
        backend.requests().iter().filter(|r| r.line.starts_with("POST")).map(|r| r.body.clone()).collect();
    assert_eq!(ran, ["mark1", "mark2", "mark3", "mark4", "mark5"], "each once, in their order");
    drop(nodes);
    std::fs::remove_dir_all(disks).expect("removed");
}

#[test]
fn a_write_that_may_have_run_and_must_not_run_twice_ends_as_unknown() {
    let came = AtomicUsize::new(0);
    let backend = Stub::start(move |request| match request.line.starts_with("POST") {
        true if came.fetch_add(1, Ordering::SeqCst) == 0 => Reply::Silence,
        _ => http("200 OK", "done"),
    });
    let refusing = Refusing::start();
    let nowhere = refusing.address();
    let discovery = Discovery::start(&member("s-1", nowhere, "ready"));
    let (counter, files) = (counter(), files_with(&BRANCH.replace("\"buy\"", "\"buy\", \"once\"")));
    let nodes: Vec<Node> = (0..3).map(|n| keeper(n, &discovery, &counter, &files[n])).collect();
    for node in &nodes {
        node.wait_ready();
        node.wait_for_figure("fleet.present", 3);
        node.wait_for_figure("fleet.branch.votes", 1);
    }
    cut_off(&nodes);
    let answer = nodes[0].client().ask(&request("once", 2000));
    assert_eq!(answer.status(), 202, "{}", answer.body);
    let place = answer.header("location").expect("where to ask").to_string();
    let moved = member("s-1", nowhere, "gone") + "," + &member("s-2", backend.address, "ready");
    discovery.say(42, &list(42, false, &moved));
    let told = || nodes[1].client().ask(&format!("GET {place} HTTP/1.1\r\nHost: origin.svc\r\n\r\n")).body;
    let until = Instant::now() + LIMIT * 4;
    while ["waiting\n", "sent\n"].contains(&told().as_str()) {
        assert!(Instant::now() < until, "{}", told());
        thread::sleep(Duration::from_millis(20));
    }
    let sent = backend.requests().iter().filter(|r| r.line.starts_with("POST")).count();
    assert_eq!((told().trim(), sent), ("unknown: it may have run", 1));
}
