//! System calls that fail as Linux documents, and a wall clock that steps: the shim of `lab/shim` does it to the program.

use crate::world::*;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The library to load; built beside this test.
fn library() -> PathBuf {
    let own = std::env::current_exe().expect("this test");
    let path = own.with_file_name("libsyscall_faults.so");
    assert!(path.is_file(), "{} is not there", path.display());
    path
}

/// The program under faults, and where they are reported.
struct Faulty {
    command: Command,
    report: PathBuf,
}

impl Faulty {
    fn new(config: &str, name: &str, value: &str) -> Faulty {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let report = std::env::temp_dir().join(format!("shim-{}-{number}", std::process::id()));
        let mut command = program(config);
        command.env("LD_PRELOAD", library()).env("SHIM_REPORT", &report).env("SHIM_SEED", "7");
        command.env(name, value);
        Faulty { command, report }
    }
    fn start(&mut self) -> Node {
        let node = Node::spawn(std::mem::replace(&mut self.command, Command::new("true")));
        node.wait_ready();
        node
    }
    /// How often a fault struck.
    fn struck(&self, fault: &str) -> usize {
        let told = std::fs::read_to_string(&self.report).unwrap_or_default();
        told.lines().filter(|line| *line == fault).count()
    }
}

impl Drop for Faulty {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.report);
    }
}

/// A gateway before one backend, under such a plan of faults.
fn under(plan: &str, answer: fn() -> Reply) -> (Stub, Discovery, Stub, Faulty, Node) {
    let backend = Stub::start(move |_| answer());
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let counter = counter();
    let mut faulty = Faulty::new(&config(discovery.stub.address, counter.address), "SHIM_PLAN", plan);
    let node = faulty.start();
    (backend, discovery, counter, faulty, node)
}

#[test]
fn an_aborted_connection_delays_no_other() {
    for error in ["ECONNABORTED", "EINTR", "ENETUNREACH"] {
        let (_backend, _discovery, _counter, faulty, node) =
            under(&format!("accept4={error}@0.9"), || http("200 OK", "ok"));
        let begun = Instant::now();
        for _ in 0..60 {
            assert_eq!(node.client().ask(&request("look", 3000)).status(), 200);
        }
        // Nine accepts in ten fail: with a pause of 20 ms after each, 60 clients would take 10 s.
        assert!(begun.elapsed() < Duration::from_secs(6), "{error}: {:?}", begun.elapsed());
        assert!(faulty.struck(&format!("accept4 {error}")) > 200, "{error} did not strike");
    }
}

#[test]
fn clients_are_served_while_accept_fails_now_and_then() {
    for error in ["EMFILE", "ENFILE", "ENOBUFS"] {
        let (_backend, _discovery, _counter, faulty, node) =
            under(&format!("accept4={error}@0.3"), || http("200 OK", "ok"));
        for _ in 0..20 {
            assert_eq!(node.client().ask(&request("look", 3000)).status(), 200);
        }
        assert!(faulty.struck(&format!("accept4 {error}")) > 2, "{error} did not strike");
    }
}

#[test]
fn a_local_shortage_is_not_held_against_a_backend() {
    for error in ["EADDRNOTAVAIL", "EMFILE", "ENOBUFS"] {
        // Each answer ends its connection, so that each attempt needs a new one.
        let ends = || Reply::RawThenClose("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".into());
        let (backend, _discovery, _counter, faulty, node) = under(&format!("connect={error}@0.4"), ends);
        let mut served = 0;
        for _ in 0..60 {
            // A class that must not run twice: a connection that never came up is no run.
            let answer = node.client().ask(&request("once", 3000));
            assert!([200, 429].contains(&answer.status()), "{error}: {}", answer.status());
            served += usize::from(answer.status() == 200);
        }
        assert!(served > 40, "{error}: {served} of 60 served");
        assert_eq!(backend.requests().len(), served, "{error}: nothing ran that was not answered");
        assert_eq!(node.figure("backends_excluded"), 0, "{error}");
        assert!(node.figure("attempts_unsent.shortage") > 10, "{error}");
        assert!(faulty.struck(&format!("connect {error}")) > 10, "{error} did not strike");
    }
}

#[test]
fn interrupted_and_short_calls_change_nothing() {
    let plan = "recv=EINTR@0.2;recv=short@0.2;send=EINTR@0.2;send=short@0.2;epoll_wait=EINTR@0.2";
    let (backend, _discovery, _counter, faulty, node) = under(plan, || http("200 OK", "whole and sound"));
    let mut client = node.client();
    for class in ["look", "buy", "once"].into_iter().cycle().take(60) {
        let answer = client.ask(&request(class, 3000));
        assert_eq!((answer.status(), answer.body.as_str()), (200, "whole and sound"));
    }
    assert_eq!(backend.requests().len(), 60, "each ran once");
    for fault in ["recv EINTR", "recv short", "send EINTR", "send short", "epoll_wait EINTR"] {
        assert!(faulty.struck(fault) > 5, "{fault} did not strike");
    }
}

#[test]
fn a_backend_that_starts_after_the_wall_clock_was_set_back_is_cold() {
    // The slower one is chosen less while the other is taken to be warm.
    let old = Stub::start(|_| {
        std::thread::sleep(Duration::from_millis(30));
        http("200 OK", "old")
    });
    let new = Stub::start(|_| http("200 OK", "new"));
    let both = [member("s-1", old.address, "ready"), member("s-2", new.address, "ready")].join(",");
    let (discovery, counter) = (Discovery::start(&both), counter());
    let mut faulty = Faulty::new(&config(discovery.stub.address, counter.address), "SHIM_CLOCK", "-3600@0.5");
    let node = faulty.start();
    std::thread::sleep(Duration::from_millis(1500));
    let mut client = node.client();
    for _ in 0..20 {
        assert_eq!(client.ask(&request("look", 3000)).status(), 200);
    }
    // It starts now, by the clock that all machines read: an hour back.
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64;
    let started = member("s-2", new.address, "ready")
        .replace(r#""up_since_ms":0"#, &format!(r#""up_since_ms":{}"#, now - 3_600_000));
    discovery.tell(42, false, &started);
    let before = new.requests().len();
    for _ in 0..100 {
        assert_eq!(client.ask(&request("look", 3000)).status(), 200);
    }
    let got = new.requests().len() - before;
    assert!(got <= 25, "{got} of 100 went to a backend that has just started");
}
