//! Few descriptors: idle clients may use up their own share and no other.

use crate::world::*;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const DESCRIPTORS: usize = 64;

/// Returns the gateway command under a low descriptor limit, which the configuration states.
fn command_with_descriptor_limit(config: &str) -> Command {
    let limited_config = config.replace(r#""sockets":1024"#, &format!(r#""sockets":{DESCRIPTORS}"#));
    let base_command = gateway_command(&limited_config);
    let mut command = Command::new("/bin/sh");
    let script = format!("ulimit -n {DESCRIPTORS}; exec {}", env!("CARGO_BIN_EXE_quota-gateway"));
    command
        .args(["-c", &script])
        .envs(base_command.get_envs().filter_map(|(name, value)| Some((name, value?))));
    command.stderr(Stdio::piped());
    command
}

#[test]
fn discovery_and_the_counter_are_reachable_while_idle_clients_use_up_the_descriptors() {
    let (old, new) = (Stub::start(|_| http("200 OK", "old")), Stub::start(|_| http("200 OK", "new")));
    let both =
        [backend_entry("s-1", old.address, "ready"), backend_entry("s-2", new.address, "ready")].join(",");
    let complete_list = endpoint_list(41, true, &both);
    let list_without_old = endpoint_list(42, true, &backend_entry("s-2", new.address, "ready"));
    let idle_clients_connected = Arc::new(AtomicBool::new(false));
    let clients_connected = idle_clients_connected.clone();
    // Watches and counter calls end by closing their connection, so that each call needs a new one.
    let discovery = Stub::start(move |request| match WatchRequest::parse(request) {
        Some(watch) if watch.from == 42 => http("200 OK", &endpoint_list(watch.from, false, "")),
        Some(_) if clients_connected.load(Ordering::SeqCst) => http("200 OK", &list_without_old),
        Some(_) => Reply::RawThenClose(String::new()),
        None => http("200 OK", &complete_list),
    });
    let counter = Stub::start(|_| {
        Reply::RawThenClose("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\n1".into())
    });
    let gateway = Gateway::spawn(command_with_descriptor_limit(&config(discovery.address, counter.address)));
    gateway.wait_ready();
    let idle_clients: Vec<Client> = (0..2 * DESCRIPTORS).map(|_| gateway.client()).collect();
    idle_clients_connected.store(true, Ordering::SeqCst);
    discovery.wait_for("the new list to be received over a new connection", |log| {
        log.requests.iter().filter_map(WatchRequest::parse).any(|watch| watch.from == 42)
    });
    let mut client = gateway.client();
    for _ in 0..4 {
        let response = client.try_round_trip(&request("look", 3000));
        let response = match response {
            Some(response) => response,
            // The gateway may close an idle connection to admit others.
            None => gateway.client().round_trip(&request("look", 3000)),
        };
        assert_eq!(response.body, "new");
        client = gateway.client();
    }
    assert!(!counter.requests().is_empty(), "the counter is called");
    drop(idle_clients);
}
