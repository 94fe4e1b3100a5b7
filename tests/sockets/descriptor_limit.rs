//! Few descriptors: clients that rest may fill theirs, and nobody else's.

use crate::world::*;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const DESCRIPTORS: usize = 64;

/// The program on a machine with few descriptors, which it is told of.
fn limited(config: &str) -> Command {
    let text = config.replace(r#""sockets":1024"#, &format!(r#""sockets":{DESCRIPTORS}"#));
    let inner = program(&text);
    let mut command = Command::new("/bin/sh");
    let script = format!("ulimit -n {DESCRIPTORS}; exec {}", env!("CARGO_BIN_EXE_quota-gateway"));
    command.args(["-c", &script]).envs(inner.get_envs().filter_map(|(name, value)| Some((name, value?))));
    command.stderr(Stdio::piped());
    command
}

#[test]
fn discovery_and_the_counter_are_reached_while_idle_clients_fill_the_descriptors() {
    let (old, new) = (Stub::start(|_| http("200 OK", "old")), Stub::start(|_| http("200 OK", "new")));
    let both = [member("s-1", old.address, "ready"), member("s-2", new.address, "ready")].join(",");
    let whole = list(41, true, &both);
    let drained = list(42, true, &member("s-2", new.address, "ready"));
    let crowd_is_there = Arc::new(AtomicBool::new(false));
    let crowded = crowd_is_there.clone();
    // Every call needs a new connection.
    let discovery = Stub::start(move |request| match WatchCall::of(request) {
        Some(watch) if watch.from == 42 => http("200 OK", &list(watch.from, false, "")),
        Some(_) if crowded.load(Ordering::SeqCst) => http("200 OK", &drained),
        Some(_) => Reply::RawThenClose(String::new()),
        None => http("200 OK", &whole),
    });
    let counter = Stub::start(|_| {
        Reply::RawThenClose("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\n1".into())
    });
    let node = Node::spawn(limited(&config(discovery.address, counter.address)));
    node.wait_ready();
    let crowd: Vec<Client> = (0..2 * DESCRIPTORS).map(|_| node.client()).collect();
    crowd_is_there.store(true, Ordering::SeqCst);
    discovery.wait_for("the news taken by a new connection", |log| {
        log.requests.iter().filter_map(WatchCall::of).any(|watch| watch.from == 42)
    });
    let mut client = node.client();
    for _ in 0..4 {
        let answer = client.answer_to(&request("look", 3000));
        let answer = match answer {
            Some(answer) => answer,
            // A connection may be closed for others to come in.
            None => node.client().ask(&request("look", 3000)),
        };
        assert_eq!(answer.body, "new");
        client = node.client();
    }
    assert!(!counter.requests().is_empty(), "the counter is asked");
    drop(crowd);
}
