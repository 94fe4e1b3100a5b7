//! A process takes another's place under load.

use crate::world::*;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What the platform holds: the clients' listening socket and the folder that the processes share.
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
    /// The program with the socket as descriptor 7.
    pub fn command(&self, config: &str) -> Command {
        let inner = program(config);
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &format!("exec {} 7<&0 0</dev/null", env!("CARGO_BIN_EXE_quota-gateway"))]);
        command.envs(inner.get_envs().filter_map(|(k, v)| Some((k, v?))));
        command.env("NODE_ACCEPT_FD", "7").env("TMPDIR", &self.folder);
        command.stdin(Stdio::from(OwnedFd::from(self.listener.try_clone().expect("a socket"))));
        command.stderr(Stdio::piped());
        command
    }
    fn socket(&self) -> PathBuf {
        self.folder.join(format!("starlinghill-{}.sock", self.listener.local_addr().expect("bound")))
    }
}

pub fn wait_until_serving(node: &Node) {
    let until = Instant::now() + LIMIT;
    while node.operate("GET", "/healthcheck").status() != 200 {
        assert!(Instant::now() < until, "never ready");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_replacement_under_load_loses_no_request_and_keeps_maintenance() {
    let (first, second) = (Stub::start(|_| http("200 OK", "1")), Stub::start(|_| http("200 OK", "2")));
    let both = [member("s-1", first.address, "ready"), member("s-2", second.address, "ready")].join(",");
    let (discovery, counter, platform) = (Discovery::start(&both), counter(), Platform::new());
    let config = config(discovery.stub.address, counter.address);
    let mut predecessor = Node::spawn(platform.command(&config));
    wait_until_serving(&predecessor);
    assert_eq!(predecessor.operate("POST", "/backends/s-1/maint").status(), 200);
    let before = first.requests().len();
    let over = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..8)
            .map(|_| {
                scope.spawn(|| {
                    let mut served = 0;
                    while !over.load(Ordering::Relaxed) {
                        let mut client = predecessor.client();
                        loop {
                            // On a connection that was not closed every request is answered.
                            let answer = client.answer_to(&request("look", 3000)).expect("an answer");
                            assert_eq!(answer.status(), 200);
                            served += 1;
                            std::thread::sleep(Duration::from_millis(2));
                            if answer.header("connection") == Some("close") {
                                break;
                            }
                            if over.load(Ordering::Relaxed) {
                                break;
                            }
                        }
                    }
                    served
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(100));
        let successor = Node::spawn(platform.command(&config));
        wait_until_serving(&successor);
        let served = || successor.figure("requests.look.served");
        let until = Instant::now() + LIMIT;
        while served() < 50 {
            assert!(Instant::now() < until, "the successor serves");
            std::thread::sleep(Duration::from_millis(5));
        }
        // A maintenance order to one holds for both, and the predecessor reports the gateway healthy to the end.
        assert_eq!(successor.figure("backends_excluded"), 1);
        assert_eq!(first.requests().len(), before, "nothing to the one that is out");
        assert_eq!(successor.operate("POST", "/backends/s-1/ready").status(), 200);
        predecessor.wait_for_figure("backends_excluded", 0);
        assert_eq!(successor.operate("POST", "/backends/s-1/maint").status(), 200);
        predecessor.wait_for_figure("backends_excluded", 1);
        predecessor.terminate();
        std::thread::sleep(Duration::from_millis(300));
        over.store(true, Ordering::Relaxed);
        for client in clients {
            assert!(client.join().expect("no request is lost") > 0);
        }
        // The successor is the only process now and goes on.
        assert_eq!(successor.client().ask(&request("look", 3000)).status(), 200);
    });
    assert_eq!(predecessor.ended(), Some(0));
}

#[test]
fn the_predecessor_serves_again_when_its_successor_dies() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let (counter, platform) = (counter(), Platform::new());
    let config = config(discovery.stub.address, counter.address);
    let predecessor = Node::spawn(platform.command(&config));
    wait_until_serving(&predecessor);
    for _ in 0..2 {
        let successor = Node::spawn(platform.command(&config));
        wait_until_serving(&successor);
        assert_eq!(successor.client().ask(&request("look", 3000)).status(), 200);
        assert_eq!(predecessor.figure("requests.look.served"), 0, "the successor takes what comes");
        drop(successor);
    }
    assert_eq!(predecessor.client().ask(&request("look", 3000)).status(), 200);
    assert_eq!(predecessor.figure("requests.look.served"), 1);
}

/// Two processes of one gateway, the predecessor with a request in flight whose backend answers when the gate opens.
fn both_with_a_request_at_the_predecessor(release: &Arc<Gate>) -> (Node, Node, Client) {
    let gate = release.clone();
    let backend = Stub::start(move |_| {
        gate.wait();
        http("200 OK", "ok")
    });
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let (counter, platform) = (counter(), Platform::new());
    let config = config(discovery.stub.address, counter.address);
    let predecessor = Node::spawn(platform.command(&config));
    wait_until_serving(&predecessor);
    let mut client = predecessor.client();
    client.send(&request("once", 8000));
    backend.wait_for("the attempt", |log| log.requests.len() == 1);
    let successor = Node::spawn(platform.command(&config));
    wait_until_serving(&successor);
    (predecessor, successor, client)
}

#[test]
fn a_request_in_flight_is_answered_whichever_of_two_processes_is_stopped() {
    let release = Arc::new(Gate::default());
    let (mut predecessor, mut successor, mut at_predecessor) =
        both_with_a_request_at_the_predecessor(&release);
    let mut at_successor = successor.client();
    at_successor.send(&request("once", 8000));
    successor.wait_for_figure("in_flight", 1);
    // Both are stopped, the successor first.
    successor.terminate();
    predecessor.terminate();
    release.open();
    assert_eq!(at_predecessor.answer().expect("the predecessor's answer").status(), 200);
    assert_eq!(at_successor.answer().expect("the successor's answer").status(), 200);
    assert_eq!((predecessor.ended(), successor.ended()), (Some(0), Some(0)));
}

#[test]
fn a_request_of_the_predecessor_is_answered_though_its_successor_is_killed() {
    let release = Arc::new(Gate::default());
    let (predecessor, successor, mut client) = both_with_a_request_at_the_predecessor(&release);
    drop(successor);
    release.open();
    assert_eq!(client.answer().expect("an answer").status(), 200);
    // It accepts what comes from now on.
    wait_until_serving(&predecessor);
    assert_eq!(predecessor.client().ask(&request("once", 3000)).status(), 200);
}

#[test]
fn a_successor_whose_predecessor_is_killed_serves_alone() {
    let release = Arc::new(Gate::default());
    let (predecessor, successor, client) = both_with_a_request_at_the_predecessor(&release);
    release.open();
    drop(predecessor);
    drop(client);
    for _ in 0..5 {
        assert_eq!(successor.client().ask(&request("once", 3000)).status(), 200);
    }
    assert_eq!(successor.figure("requests.once.served"), 5);
}

/// What may stand at the socket's place without being a gateway.
fn starts_beside(plant: impl FnOnce(&Path)) {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let (counter, platform) = (counter(), Platform::new());
    plant(&platform.socket());
    let node = Node::spawn(platform.command(&config(discovery.stub.address, counter.address)));
    wait_until_serving(&node);
    assert_eq!(node.client().ask(&request("look", 3000)).status(), 200);
}

#[test]
fn a_stale_silent_or_garbled_predecessor_is_not_waited_for() {
    use std::io::{Read, Write};
    use std::os::unix::net::UnixListener;
    starts_beside(|path| std::fs::write(path, "rubbish").expect("written"));
    starts_beside(|path| drop(UnixListener::bind(path).expect("bound")));
    let mut held = None;
    starts_beside(|path| held = Some(UnixListener::bind(path).expect("bound")));
    for told in ["what\n", "{\"Will\":{\"members\":{},\"estate\":7}}\n"] {
        starts_beside(|path| {
            let listener = UnixListener::bind(path).expect("bound");
            std::thread::spawn(move || {
                let (mut peer, _) = listener.accept().expect("a peer");
                let _ = peer.write_all(told.as_bytes());
                let _ = peer.read_to_end(&mut Vec::new());
            });
        });
    }
}

#[test]
fn a_descriptor_that_is_no_socket_is_a_one_line_error() {
    let config = config("127.0.0.1:1".parse().unwrap(), "127.0.0.1:1".parse().unwrap());
    for (number, named) in [("seven", "NODE_ACCEPT_FD"), ("1", "NODE_ACCEPT_FD"), ("93", "listen")] {
        let done = program(&config).env("NODE_ACCEPT_FD", number).output().expect("it runs");
        let told = String::from_utf8(done.stderr).expect("text");
        assert_eq!(done.status.code(), Some(1), "{told}");
        assert!(told.lines().count() == 1 && told.contains(named), "{named}: {told}");
    }
}
