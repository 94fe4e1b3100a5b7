//! Configuration reloads by SIGHUP: with requests in flight, with the file of another customer, and before SIGTERM.

use crate::world::*;
use std::path::PathBuf;
use std::sync::Arc;

/// A gateway, its configuration file and the services that it uses.
struct Deployment {
    backend: Stub,
    discovery: Discovery,
    counter: Stub,
    file: PathBuf,
    gateway: Gateway,
}

impl Deployment {
    fn start(backend: Stub) -> Deployment {
        let (discovery, counter) =
            (Discovery::start(&backend_entry("s-1", backend.address, "ready")), counter_stub());
        let command = gateway_command(&config(discovery.stub.address, counter.address));
        let file = config_path(&command);
        let gateway = Gateway::spawn(command);
        gateway.wait_ready();
        Deployment { backend, discovery, counter, file, gateway }
    }
    /// Starts a deployment with a request in flight; its backend answers once the gate is open.
    fn with_a_request_in_flight() -> (Deployment, Client, Arc<Gate>) {
        let release = Arc::new(Gate::default());
        let backend_gate = release.clone();
        let deployment = Deployment::start(Stub::start(move |_| {
            backend_gate.wait();
            http("200 OK", "ok")
        }));
        let mut client = deployment.gateway.client();
        client.send(&request("once", 4000));
        deployment.backend.wait_for("the attempt", |log| log.requests.len() == 1);
        (deployment, client, release)
    }
    fn config_text(&self) -> String {
        config(self.discovery.stub.address, self.counter.address)
    }
    /// Replaces the file and returns once the gateway has read it, which shows in a new request for the complete list.
    fn reload(&self, text: &str) {
        let complete_list_requests =
            |requests: &[Message]| requests.iter().filter(|r| WatchRequest::parse(r).is_none()).count();
        let requests_before = complete_list_requests(&self.discovery.stub.requests());
        std::fs::write(&self.file, text).expect("the file is written");
        self.gateway.signal("HUP");
        self.discovery.stub.wait_for("a new request for the complete list", |log| {
            complete_list_requests(&log.requests) > requests_before
        });
    }
}

/// Changes the order, effects, limits and deadlines of the classes and plans.
fn with_settings_of_another_customer(text: &str) -> String {
    let other_settings = r#""classes":[
        {"name":"once","effect":"pure","deadline":9000000,"on_time":1000000},
        {"name":"buy","effect":"pure","deadline":9000000,"on_time":2500000},
        {"name":"look","effect":"side_effect","deadline":100000,"on_time":50000}],
    "plans":[{"name":"small","per_second":1000.0,"peak_units":1000.0,"price":1.0},
        {"name":"team","per_second":0.001,"peak_units":0.001,"price":1.0}],"#;
    let (preceding, from_classes) = text.split_once(r#""classes":["#).expect("classes");
    let (_, from_specifics) = from_classes.split_once(r#""specifics""#).expect("the key after the plans");
    format!("{preceding}{other_settings}\n    \"specifics\"{from_specifics}")
}

#[test]
fn a_reload_applies_addresses_and_no_other_settings() {
    let deployment = Deployment::start(Stub::start(|_| http("200 OK", "ok")));
    deployment.reload(&with_settings_of_another_customer(&deployment.config_text()));
    let mut client = deployment.gateway.client();
    for class in ["look", "buy", "once"] {
        for _ in 0..3 {
            let response = client.round_trip(&request(class, 3000));
            assert_eq!(response.status(), 200, "{class}: {}", response.body);
        }
    }
    // The class keeps its effect from the start: a safe request must be a GET.
    let wrong_method = request("look", 3000).replacen("GET", "POST", 1);
    assert_eq!(client.round_trip(&wrong_method).status(), 405);
    assert_eq!(deployment.backend.requests().len(), 9);
}

#[test]
fn a_request_in_flight_is_answered_after_valid_and_invalid_reloads() {
    let (deployment, mut client, release) = Deployment::with_a_request_in_flight();
    std::fs::write(&deployment.file, "{\"listen\":7}").expect("the file is written");
    deployment.gateway.signal("HUP");
    deployment.reload(&deployment.config_text());
    release.open();
    assert_eq!(client.read_response().expect("a response").status(), 200);
    assert_eq!(deployment.backend.requests().len(), 1, "one attempt");
}

#[test]
fn sigterm_right_after_sighup_ends_the_process_with_all_requests_answered() {
    let (deployment, mut client, release) = Deployment::with_a_request_in_flight();
    let mut gateway = deployment.gateway;
    gateway.signal("HUP");
    gateway.terminate();
    release.open();
    assert_eq!(client.read_response().expect("a response").status(), 200);
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn at_sighup_discovery_and_the_counter_are_called_at_their_new_addresses() {
    let (old, new) = (Stub::start(|_| http("200 OK", "old")), Stub::start(|_| http("200 OK", "new")));
    let (old_discovery, new_discovery) = (
        Discovery::start(&backend_entry("s-1", old.address, "ready")),
        Discovery::start(&backend_entry("s-1", new.address, "ready")),
    );
    let (counter, new_counter) = (counter_stub(), counter_stub());
    let mut command = gateway_command(&config(old_discovery.stub.address, counter.address));
    let path = config_path(&command);
    // The address in the environment holds at the start; after a reload the address in the file does.
    command.env("NODE_DISCOVERY", old_discovery.stub.address.to_string());
    let gateway = Gateway::spawn(command);
    gateway.wait_ready();
    assert_eq!(gateway.client().round_trip(&request("look", 3000)).body, "old");
    // An invalid file changes nothing.
    std::fs::write(&path, "{").expect("the file is written");
    gateway.signal("HUP");
    assert_eq!(gateway.client().round_trip(&request("look", 3000)).body, "old");
    std::fs::write(&path, config(new_discovery.stub.address, new_counter.address))
        .expect("the file is written");
    gateway.signal("HUP");
    new_discovery.wait_for_watch(41);
    assert_eq!(gateway.client().round_trip(&request("look", 3000)).body, "new");
    assert_eq!(counter.requests().len(), 2, "no more increments go to the old counter");
    assert!(!new_counter.requests().is_empty(), "the new counter is used");
}
