//! Faults injected by the shim of `lab/shim`: system calls that fail as Linux documents, and a wall clock that steps.

use crate::world::*;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns the path of the shim library, which is built into the folder of this test.
fn shim_library() -> PathBuf {
    let test_binary = std::env::current_exe().expect("the path of this test");
    let path = test_binary.with_file_name("libsyscall_faults.so");
    assert!(path.is_file(), "{} is not there", path.display());
    path
}

/// The gateway command with fault injection, and the file in which the shim reports the injected faults.
struct FaultyGateway {
    command: Command,
    report: PathBuf,
}

impl FaultyGateway {
    fn new(config: &str, name: &str, value: &str) -> FaultyGateway {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let report = std::env::temp_dir().join(format!("shim-{}-{number}", std::process::id()));
        let mut command = gateway_command(config);
        command.env("LD_PRELOAD", shim_library()).env("SHIM_REPORT", &report).env("SHIM_SEED", "7");
        command.env(name, value);
        FaultyGateway { command, report }
    }
    fn start(&mut self) -> Gateway {
        let gateway = Gateway::spawn(std::mem::replace(&mut self.command, Command::new("true")));
        gateway.wait_ready();
        gateway
    }
    /// Returns how often a fault was injected.
    fn times_injected(&self, fault: &str) -> usize {
        let reported = std::fs::read_to_string(&self.report).unwrap_or_default();
        reported.lines().filter(|line| *line == fault).count()
    }
}

impl Drop for FaultyGateway {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.report);
    }
}

/// Starts a gateway with one backend under this plan of faults.
fn gateway_under_faults(
    plan: &str,
    respond: fn() -> Reply,
) -> (Stub, Discovery, Stub, FaultyGateway, Gateway) {
    let backend = Stub::start(move |_| respond());
    let discovery = Discovery::start(&backend_entry("s-1", backend.address, "ready"));
    let counter = counter_stub();
    let mut faults = FaultyGateway::new(&config(discovery.stub.address, counter.address), "SHIM_PLAN", plan);
    let gateway = faults.start();
    (backend, discovery, counter, faults, gateway)
}

#[test]
fn an_aborted_connection_does_not_delay_others() {
    for error in ["ECONNABORTED", "EINTR", "ENETUNREACH"] {
        let (_backend, _discovery, _counter, faults, gateway) =
            gateway_under_faults(&format!("accept4={error}@0.9"), || http("200 OK", "ok"));
        let start = Instant::now();
        for _ in 0..60 {
            assert_eq!(gateway.client().round_trip(&request("look", 3000)).status(), 200);
        }
        // Nine accepts in ten fail: with a pause of 20 ms after each, 60 clients would take 10 s.
        assert!(start.elapsed() < Duration::from_secs(6), "{error}: {:?}", start.elapsed());
        assert!(faults.times_injected(&format!("accept4 {error}")) > 200, "{error} was not injected");
    }
}

#[test]
fn clients_are_served_while_accept_fails_occasionally() {
    for error in ["EMFILE", "ENFILE", "ENOBUFS"] {
        let (_backend, _discovery, _counter, faults, gateway) =
            gateway_under_faults(&format!("accept4={error}@0.3"), || http("200 OK", "ok"));
        for _ in 0..20 {
            assert_eq!(gateway.client().round_trip(&request("look", 3000)).status(), 200);
        }
        assert!(faults.times_injected(&format!("accept4 {error}")) > 2, "{error} was not injected");
    }
}

#[test]
fn a_local_resource_shortage_does_not_count_as_a_backend_fault() {
    for error in ["EADDRNOTAVAIL", "EMFILE", "ENOBUFS"] {
        // Each response ends its connection, so that each attempt needs a new one.
        let respond_and_close = || {
            Reply::RawThenClose("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok".into())
        };
        let (backend, _discovery, _counter, faults, gateway) =
            gateway_under_faults(&format!("connect={error}@0.4"), respond_and_close);
        let mut served = 0;
        for _ in 0..60 {
            // The class is not idempotent; an attempt whose connection was not established has certainly not run.
            let response = gateway.client().round_trip(&request("once", 3000));
            assert!([200, 429].contains(&response.status()), "{error}: {}", response.status());
            served += usize::from(response.status() == 200);
        }
        assert!(served > 40, "{error}: {served} of 60 served");
        assert_eq!(backend.requests().len(), served, "{error}: every request that ran was answered");
        assert_eq!(gateway.metric("backends_excluded"), 0, "{error}");
        assert!(gateway.metric("attempts_unsent.shortage") > 10, "{error}");
        assert!(faults.times_injected(&format!("connect {error}")) > 10, "{error} was not injected");
    }
}

#[test]
fn interrupted_and_short_system_calls_do_not_affect_requests() {
    let plan = "recv=EINTR@0.2;recv=short@0.2;send=EINTR@0.2;send=short@0.2;epoll_wait=EINTR@0.2";
    let (backend, _discovery, _counter, faults, gateway) =
        gateway_under_faults(plan, || http("200 OK", "whole and sound"));
    let mut client = gateway.client();
    for class in ["look", "buy", "once"].into_iter().cycle().take(60) {
        let response = client.round_trip(&request(class, 3000));
        assert_eq!((response.status(), response.body.as_str()), (200, "whole and sound"));
    }
    assert_eq!(backend.requests().len(), 60, "each request ran once");
    for fault in ["recv EINTR", "recv short", "send EINTR", "send short", "epoll_wait EINTR"] {
        assert!(faults.times_injected(fault) > 5, "{fault} was not injected");
    }
}

#[test]
fn a_backend_that_starts_after_the_wall_clock_was_set_back_is_warming_up() {
    // The slower backend is selected less often while the other counts as warmed up.
    let old = Stub::start(|_| {
        std::thread::sleep(Duration::from_millis(30));
        http("200 OK", "old")
    });
    let new = Stub::start(|_| http("200 OK", "new"));
    let both =
        [backend_entry("s-1", old.address, "ready"), backend_entry("s-2", new.address, "ready")].join(",");
    let (discovery, counter) = (Discovery::start(&both), counter_stub());
    let mut faults =
        FaultyGateway::new(&config(discovery.stub.address, counter.address), "SHIM_CLOCK", "-3600@0.5");
    let gateway = faults.start();
    std::thread::sleep(Duration::from_millis(1500));
    let mut client = gateway.client();
    for _ in 0..20 {
        assert_eq!(client.round_trip(&request("look", 3000)).status(), 200);
    }
    // The new backend starts now, by the wall clock that was set back by an hour.
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64;
    let started = backend_entry("s-2", new.address, "ready")
        .replace(r#""up_since_ms":0"#, &format!(r#""up_since_ms":{}"#, now - 3_600_000));
    discovery.publish_and_wait(42, false, &started);
    let requests_before = new.requests().len();
    for _ in 0..100 {
        assert_eq!(client.round_trip(&request("look", 3000)).status(), 200);
    }
    let requests_to_new = new.requests().len() - requests_before;
    assert!(requests_to_new <= 25, "{requests_to_new} of 100 went to a backend that has just started");
}
