//! SIGHUP with requests in flight, with another customer's file, and before SIGTERM.

use crate::world::*;
use std::path::PathBuf;
use std::sync::Arc;

/// A gateway, its configuration file, and the services around it.
struct Scene {
    backend: Stub,
    discovery: Discovery,
    counter: Stub,
    file: PathBuf,
    node: Node,
}

impl Scene {
    fn start(backend: Stub) -> Scene {
        let (discovery, counter) = (Discovery::start(&member("s-1", backend.address, "ready")), counter());
        let command = program(&config(discovery.stub.address, counter.address));
        let file = config_path(&command);
        let node = Node::spawn(command);
        node.wait_ready();
        Scene { backend, discovery, counter, file, node }
    }
    /// The same with a request at its backend, which answers once the gate is open.
    fn with_a_request_in_flight() -> (Scene, Client, Arc<Gate>) {
        let release = Arc::new(Gate::default());
        let gate = release.clone();
        let scene = Scene::start(Stub::start(move |_| {
            gate.wait();
            http("200 OK", "ok")
        }));
        let mut client = scene.node.client();
        client.send(&request("once", 4000));
        scene.backend.wait_for("the attempt", |log| log.requests.len() == 1);
        (scene, client, release)
    }
    fn text(&self) -> String {
        config(self.discovery.stub.address, self.counter.address)
    }
    /// Replaces the file, and returns once the gateway has read it: it asks discovery for the whole list anew.
    fn reload(&self, text: &str) {
        let whole_lists =
            |requests: &[Message]| requests.iter().filter(|r| WatchCall::of(r).is_none()).count();
        let before = whole_lists(&self.discovery.stub.requests());
        std::fs::write(&self.file, text).expect("written");
        self.node.signal("HUP");
        self.discovery.stub.wait_for("the list asked for anew", |log| whole_lists(&log.requests) > before);
    }
}

/// The same classes and plans in another order, with other effects, limits and deadlines.
fn of_another_customer(text: &str) -> String {
    let other = r#""classes":[
        {"name":"once","effect":"pure","deadline":9000000,"on_time":1000000},
        {"name":"buy","effect":"pure","deadline":9000000,"on_time":2500000},
        {"name":"look","effect":"side_effect","deadline":100000,"on_time":50000}],
    "plans":[{"name":"small","per_second":1000.0,"peak_units":1000.0,"price":1.0},
        {"name":"team","per_second":0.001,"peak_units":0.001,"price":1.0}],"#;
    let (before, rest) = text.split_once(r#""classes":["#).expect("classes");
    let (_, after) = rest.split_once(r#""specifics""#).expect("what follows the plans");
    format!("{before}{other}\n    \"specifics\"{after}")
}

#[test]
fn a_reload_takes_addresses_and_no_other_settings() {
    let scene = Scene::start(Stub::start(|_| http("200 OK", "ok")));
    scene.reload(&of_another_customer(&scene.text()));
    let mut client = scene.node.client();
    for class in ["look", "buy", "once"] {
        for _ in 0..3 {
            let answer = client.ask(&request(class, 3000));
            assert_eq!(answer.status(), 200, "{class}: {}", answer.body);
        }
    }
    // Its effect is still the one of the start: a safe request comes as GET.
    let wrong_method = request("look", 3000).replacen("GET", "POST", 1);
    assert_eq!(client.ask(&wrong_method).status(), 405);
    assert_eq!(scene.backend.requests().len(), 9);
}

#[test]
fn a_request_in_flight_is_answered_over_valid_and_invalid_reloads() {
    let (scene, mut client, release) = Scene::with_a_request_in_flight();
    std::fs::write(&scene.file, "{\"listen\":7}").expect("written");
    scene.node.signal("HUP");
    scene.reload(&scene.text());
    release.open();
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(scene.backend.requests().len(), 1, "one attempt");
}

#[test]
fn sigterm_right_after_sighup_ends_the_process_with_all_requests_answered() {
    let (scene, mut client, release) = Scene::with_a_request_in_flight();
    let mut node = scene.node;
    node.signal("HUP");
    node.terminate();
    release.open();
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(node.ended(), Some(0));
}

#[test]
fn at_sighup_discovery_and_the_counter_are_called_at_their_new_addresses() {
    let (old, new) = (Stub::start(|_| http("200 OK", "old")), Stub::start(|_| http("200 OK", "new")));
    let (first, second) = (
        Discovery::start(&member("s-1", old.address, "ready")),
        Discovery::start(&member("s-1", new.address, "ready")),
    );
    let (counter, other) = (counter(), counter());
    let mut command = program(&config(first.stub.address, counter.address));
    let path = config_path(&command);
    // The environment's address is the one from the start; after a reload the file's counts.
    command.env("NODE_DISCOVERY", first.stub.address.to_string());
    let node = Node::spawn(command);
    node.wait_ready();
    assert_eq!(node.client().ask(&request("look", 3000)).body, "old");
    // What makes no sense changes nothing.
    std::fs::write(&path, "{").expect("written");
    node.signal("HUP");
    assert_eq!(node.client().ask(&request("look", 3000)).body, "old");
    std::fs::write(&path, config(second.stub.address, other.address)).expect("written");
    node.signal("HUP");
    second.wait_for_watch(41);
    assert_eq!(node.client().ask(&request("look", 3000)).body, "new");
    assert_eq!(counter.requests().len(), 2, "no more goes to the old one");
    assert!(!other.requests().is_empty(), "the new one is asked");
}
