//! Replacement of a gateway process by a successor, under load.

use crate::world::*;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What the platform provides to both processes: the listening socket for clients and a shared folder.
pub struct Platform {
    listener: TcpListener,
    folder: PathBuf,
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Platform {
    pub fn new() -> Platform {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("sh-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        Platform { listener: TcpListener::bind("127.0.0.1:0").expect("a port"), folder }
    }
    /// Returns the command that starts the gateway with the listening socket as descriptor 7.
    pub fn command(&self, config: &str) -> Command {
        let base_command = gateway_command(config);
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &format!("exec {} 7<&0 0</dev/null", env!("CARGO_BIN_EXE_quota-gateway"))]);
        command.envs(base_command.get_envs().filter_map(|(k, v)| Some((k, v?))));
        command.env("NODE_ACCEPT_FD", "7").env("TMPDIR", &self.folder);
        command.stdin(Stdio::from(OwnedFd::from(self.listener.try_clone().expect("a socket"))));
        command.stderr(Stdio::piped());
        command
    }
    fn handover_path(&self) -> PathBuf {
        self.folder
            .join(format!("starlinghill-{}.sock", self.listener.local_addr().expect("the socket is bound")))
    }
}

pub fn wait_until_serving(gateway: &Gateway) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while gateway.admin_call("GET", "/healthcheck").status() != 200 {
        assert!(Instant::now() < deadline, "the gateway did not become ready");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_replacement_under_load_loses_no_request_and_preserves_maintenance() {
    let (first, second) = (Stub::start(|_| http("200 OK", "1")), Stub::start(|_| http("200 OK", "2")));
    let both = [backend_entry("s-1", first.address, "ready"), backend_entry("s-2", second.address, "ready")]
        .join(",");
    let (discovery, counter, platform) = (Discovery::start(&both), counter_stub(), Platform::new());
    let config = config(discovery.stub.address, counter.address);
    let mut predecessor = Gateway::spawn(platform.command(&config));
    wait_until_serving(&predecessor);
    assert_eq!(predecessor.admin_call("POST", "/backends/s-1/maint").status(), 200);
    let requests_before = first.requests().len();
    let stop = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..8)
            .map(|_| {
                scope.spawn(|| {
                    let mut served = 0;
                    while !stop.load(Ordering::Relaxed) {
                        let mut client = predecessor.client();
                        loop {
                            // Every request on an open connection is answered.
                            let response = client.try_round_trip(&request("look", 3000)).expect("a response");
                            assert_eq!(response.status(), 200);
                            served += 1;
                            std::thread::sleep(Duration::from_millis(2));
                            if response.header("connection") == Some("close") {
                                break;
                            }
                            if stop.load(Ordering::Relaxed) {
                                break;
                            }
                        }
                    }
                    served
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(100));
        let successor = Gateway::spawn(platform.command(&config));
        wait_until_serving(&successor);
        let served = || successor.metric("requests.look.served");
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while served() < 50 {
            assert!(Instant::now() < deadline, "the successor does not serve requests");
            std::thread::sleep(Duration::from_millis(5));
        }
        // A maintenance order to one process applies to both, and the predecessor reports healthy until its end.
        assert_eq!(successor.metric("backends_excluded"), 1);
        assert_eq!(first.requests().len(), requests_before, "no request goes to the backend in maintenance");
        assert_eq!(successor.admin_call("POST", "/backends/s-1/ready").status(), 200);
        predecessor.wait_for_metric("backends_excluded", 0);
        assert_eq!(successor.admin_call("POST", "/backends/s-1/maint").status(), 200);
        predecessor.wait_for_metric("backends_excluded", 1);
        predecessor.terminate();
        std::thread::sleep(Duration::from_millis(300));
        stop.store(true, Ordering::Relaxed);
        for client in clients {
            assert!(client.join().expect("no request is lost") > 0);
        }
        // The successor is now the only process and keeps serving.
        assert_eq!(successor.client().round_trip(&request("look", 3000)).status(), 200);
    });
    assert_eq!(predecessor.wait_for_exit(), Some(0));
}

#[test]
fn the_predecessor_serves_again_after_its_successor_was_killed() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&backend_entry("s-1", backend.address, "ready"));
    let (counter, platform) = (counter_stub(), Platform::new());
    let config = config(discovery.stub.address, counter.address);
    let predecessor = Gateway::spawn(platform.command(&config));
    wait_until_serving(&predecessor);
    for _ in 0..2 {
        let successor = Gateway::spawn(platform.command(&config));
        wait_until_serving(&successor);
        assert_eq!(successor.client().round_trip(&request("look", 3000)).status(), 200);
        assert_eq!(predecessor.metric("requests.look.served"), 0, "the successor takes all new requests");
        drop(successor);
    }
    assert_eq!(predecessor.client().round_trip(&request("look", 3000)).status(), 200);
    assert_eq!(predecessor.metric("requests.look.served"), 1);
}

/// Starts two processes of one gateway; the predecessor has a request in flight whose backend answers when the gate opens.
fn replacement_with_a_request_at_the_predecessor(release: &Arc<Gate>) -> (Gateway, Gateway, Client) {
    let backend_gate = release.clone();
    let backend = Stub::start(move |_| {
        backend_gate.wait();
        http("200 OK", "ok")
    });
    let discovery = Discovery::start(&backend_entry("s-1", backend.address, "ready"));
    let (counter, platform) = (counter_stub(), Platform::new());
    let config = config(discovery.stub.address, counter.address);
    let predecessor = Gateway::spawn(platform.command(&config));
    wait_until_serving(&predecessor);
    let mut client = predecessor.client();
    client.send(&request("once", 8000));
    backend.wait_for("the attempt", |log| log.requests.len() == 1);
    let successor = Gateway::spawn(platform.command(&config));
    wait_until_serving(&successor);
    (predecessor, successor, client)
}

#[test]
fn a_request_in_flight_is_answered_whichever_of_two_processes_is_stopped() {
    let release = Arc::new(Gate::default());
    let (mut predecessor, mut successor, mut at_predecessor) =
        replacement_with_a_request_at_the_predecessor(&release);
    let mut at_successor = successor.client();
    at_successor.send(&request("once", 8000));
    successor.wait_for_metric("in_flight", 1);
    // Both processes are stopped, the successor first.
    successor.terminate();
    predecessor.terminate();
    release.open();
    assert_eq!(at_predecessor.read_response().expect("the predecessor's response").status(), 200);
    assert_eq!(at_successor.read_response().expect("the successor's response").status(), 200);
    assert_eq!((predecessor.wait_for_exit(), successor.wait_for_exit()), (Some(0), Some(0)));
}

#[test]
fn a_request_of_the_predecessor_is_answered_though_its_successor_is_killed() {
    let release = Arc::new(Gate::default());
    let (predecessor, successor, mut client) = replacement_with_a_request_at_the_predecessor(&release);
    drop(successor);
    release.open();
    assert_eq!(client.read_response().expect("a response").status(), 200);
    // The predecessor accepts new connections again.
    wait_until_serving(&predecessor);
    assert_eq!(predecessor.client().round_trip(&request("once", 3000)).status(), 200);
}

#[test]
fn a_successor_whose_predecessor_is_killed_serves_alone() {
    let release = Arc::new(Gate::default());
    let (predecessor, successor, client) = replacement_with_a_request_at_the_predecessor(&release);
    release.open();
    drop(predecessor);
    drop(client);
    for _ in 0..5 {
        assert_eq!(successor.client().round_trip(&request("once", 3000)).status(), 200);
    }
    assert_eq!(successor.metric("requests.once.served"), 5);
}

/// Asserts that a gateway starts and serves when `prepare` has put something other than a gateway at the hand-over path.
fn assert_starts_with(prepare: impl FnOnce(&Path)) {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&backend_entry("s-1", backend.address, "ready"));
    let (counter, platform) = (counter_stub(), Platform::new());
    prepare(&platform.handover_path());
    let gateway = Gateway::spawn(platform.command(&config(discovery.stub.address, counter.address)));
    wait_until_serving(&gateway);
    assert_eq!(gateway.client().round_trip(&request("look", 3000)).status(), 200);
}

#[test]
fn a_stale_unresponsive_or_malformed_hand_over_socket_does_not_block_the_start() {
    use std::io::{Read, Write};
    use std::os::unix::net::UnixListener;
    assert_starts_with(|path| std::fs::write(path, "rubbish").expect("the file is written"));
    assert_starts_with(|path| drop(UnixListener::bind(path).expect("the socket is bound")));
    let mut open_listener = None;
    assert_starts_with(|path| open_listener = Some(UnixListener::bind(path).expect("the socket is bound")));
    for sent in ["what\n", "{\"Will\":{\"members\":{},\"estate\":7}}\n"] {
        assert_starts_with(|path| {
            let listener = UnixListener::bind(path).expect("the socket is bound");
            std::thread::spawn(move || {
                let (mut peer, _) = listener.accept().expect("a peer");
                let _ = peer.write_all(sent.as_bytes());
                let _ = peer.read_to_end(&mut Vec::new());
            });
        });
    }
}

#[test]
fn a_descriptor_that_is_not_a_socket_is_reported_in_one_line() {
    let config = config("127.0.0.1:1".parse().unwrap(), "127.0.0.1:1".parse().unwrap());
    for (number, expected_word) in [("seven", "NODE_ACCEPT_FD"), ("1", "NODE_ACCEPT_FD"), ("93", "listen")] {
        let output = gateway_command(&config)
            .env("NODE_ACCEPT_FD", number)
            .output()
            .expect("the gateway command runs");
        let stderr = String::from_utf8(output.stderr).expect("UTF-8 text");
        assert_eq!(output.status.code(), Some(1), "{stderr}");
        assert!(stderr.lines().count() == 1 && stderr.contains(expected_word), "{expected_word}: {stderr}");
    }
}

/// Starts a gateway and its successor, whose discovery is silent, so that it takes over about a second after its start.
fn start_slow_replacement(backends: &[&Stub]) -> (Platform, Gateway, Gateway, (Discovery, Stub, Stub)) {
    let entry = |(number, backend): (usize, &&Stub)| {
        backend_entry(&format!("s-{}", number + 1), backend.address, "ready")
    };
    let members = backends.iter().enumerate().map(entry).collect::<Vec<_>>().join(",");
    let (discovery, silent) = (Discovery::start(&members), Stub::start(|_| Reply::Silence));
    let (counter, platform) = (counter_stub(), Platform::new());
    let known = format!("{{\"known\":{},", endpoint_list(7, true, &members));
    let config_with = |discovery| config(discovery, counter.address).replacen('{', &known, 1);
    let predecessor = Gateway::spawn(platform.command(&config_with(discovery.stub.address)));
    wait_until_serving(&predecessor);
    let successor = Gateway::spawn(platform.command(&config_with(silent.address)));
    (platform, predecessor, successor, (discovery, counter, silent))
}

/// Sends requests for this long, each on a new connection.
fn send_requests(gateway: &Gateway, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        assert_eq!(gateway.client().round_trip(&request("look", 3000)).status(), 200);
        std::thread::sleep(Duration::from_millis(5));
    }
}

// Guards against a yes to an order that neither the process that serves has heard of, nor the one that takes over keeps.
#[test]
fn an_order_to_a_process_that_has_not_taken_over_applies_at_once_and_after_the_take_over() {
    let (first, second) = (Stub::start(|_| http("200 OK", "1")), Stub::start(|_| http("200 OK", "2")));
    let (_platform, predecessor, successor, _services) = start_slow_replacement(&[&first, &second]);
    assert_eq!(successor.admin_call("POST", "/backends/s-1/maint").status(), 200);
    assert_eq!(successor.admin_call("POST", "/backends/s-7/maint").status(), 404, "an unknown backend");
    assert_eq!(successor.admin_call("GET", "/healthcheck").status(), 503, "not taken over yet");
    let requests_before = first.requests().len();
    send_requests(&predecessor, Duration::from_millis(300));
    assert_eq!(predecessor.metric("backends_excluded"), 1, "the process that serves has the order");
    wait_until_serving(&successor);
    send_requests(&predecessor, Duration::from_millis(500));
    assert_eq!(successor.metric("backends_excluded"), 1);
    assert_eq!(first.requests().len(), requests_before, "no request goes to the backend in maintenance");
    // The call that puts it back reaches both.
    assert_eq!(successor.admin_call("POST", "/backends/s-1/ready").status(), 200);
    predecessor.wait_for_metric("backends_excluded", 0);
    assert_eq!(successor.metric("backends_excluded"), 0);
}

// Guards against a call that puts a backend back, and that is forgotten at the take-over.
#[test]
fn a_backend_that_is_put_back_at_a_process_that_has_not_taken_over_is_used_again() {
    let (first, second) = (Stub::start(|_| http("200 OK", "1")), Stub::start(|_| http("200 OK", "2")));
    let (_platform, predecessor, successor, _services) = start_slow_replacement(&[&first, &second]);
    assert_eq!(predecessor.admin_call("POST", "/backends/s-1/maint").status(), 200);
    assert_eq!(successor.admin_call("POST", "/backends/s-1/ready").status(), 200);
    assert_eq!(successor.admin_call("GET", "/healthcheck").status(), 503, "not taken over yet");
    assert_eq!(predecessor.metric("backends_excluded"), 0);
    wait_until_serving(&successor);
    assert_eq!(successor.metric("backends_excluded"), 0);
    let requests_before = first.requests().len();
    send_requests(&predecessor, Duration::from_millis(500));
    assert!(first.requests().len() > requests_before, "the backend is used again");
}
