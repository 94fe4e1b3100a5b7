//! Endpoint lists from discovery: watches that stall, break or respond late, and all forms of a list.

use crate::world::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after which a change counts as announced, from its publication, whether or not the watch delivered it.
const ANNOUNCED_AFTER: Duration = Duration::from_secs(6);

/// Two backends, of which discovery at some time lists `old` as draining.
struct BackendPair {
    old: Stub,
    new: Stub,
}

impl BackendPair {
    fn start() -> BackendPair {
        BackendPair {
            old: Stub::start(|_| http("200 OK", "old")),
            new: Stub::start(|_| http("200 OK", "new")),
        }
    }
    fn both_ready(&self) -> String {
        [backend_entry("s-1", self.old.address, "ready"), backend_entry("s-2", self.new.address, "ready")]
            .join(",")
    }
    fn old_draining(&self) -> String {
        backend_entry("s-1", self.old.address, "draining")
    }
    /// Starts a gateway and waits until it has a list.
    fn ready_gateway(&self, discovery: &Stub) -> Gateway {
        let counter = counter_stub();
        let gateway = Gateway::spawn(gateway_command(&config(discovery.address, counter.address)));
        gateway.wait_ready();
        gateway
    }
    /// Starts a gateway and waits until it has a list and has sent a request to both backends.
    fn gateway_that_used_both(&self, discovery: &Stub) -> Gateway {
        let gateway = self.ready_gateway(discovery);
        let mut client = gateway.client();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.old.requests().is_empty() || self.new.requests().is_empty() {
            assert!(Instant::now() < deadline, "one of two backends is not used");
            assert_eq!(client.round_trip(&request("look", 3000)).status(), 200);
        }
        gateway
    }
    /// Sends requests and asserts that none reaches the drained backend.
    fn assert_only_new_is_used(&self, gateway: &Gateway) {
        let requests_before = self.old.requests().len();
        let mut client = gateway.client();
        for _ in 0..20 {
            assert_eq!(client.round_trip(&request("look", 3000)).body, "new");
        }
        assert_eq!(self.old.requests().len(), requests_before, "a drained backend got a request");
    }
}

/// Waits for the hold of the watch, then returns a response without changes.
fn no_change(watch: WatchRequest) -> Reply {
    std::thread::sleep(watch.hold);
    http("200 OK", &endpoint_list(watch.from, false, ""))
}

/// Waits for a watch from this revision.
fn wait_for_watch(discovery: &Stub, revision: u64) {
    discovery.wait_for("a watch from the new revision", |log| {
        log.requests.iter().filter_map(WatchRequest::parse).any(|watch| watch.from == revision)
    });
}

#[test]
fn a_watch_without_response_is_retried_before_its_change_counts_as_announced() {
    for unanswered_watches in [1, 2] {
        let backends = BackendPair::start();
        let (complete_list, drain_list) = (
            endpoint_list(41, true, &backends.both_ready()),
            endpoint_list(42, false, &backends.old_draining()),
        );
        let watches = AtomicUsize::new(0);
        let discovery = Stub::start(move |request| match WatchRequest::parse(request) {
            None => http("200 OK", &complete_list),
            Some(watch) if watch.from == 42 => no_change(watch),
            Some(_) if watches.fetch_add(1, Ordering::SeqCst) < unanswered_watches => Reply::Silence,
            Some(_) => http("200 OK", &drain_list),
        });
        let gateway = backends.gateway_that_used_both(&discovery);
        wait_for_watch(&discovery, 41);
        let unanswered_since = Instant::now();
        wait_for_watch(&discovery, 42);
        let change_received_after = unanswered_since.elapsed();
        assert!(
            change_received_after < ANNOUNCED_AFTER,
            "{unanswered_watches} watches without response: change received after {change_received_after:?}"
        );
        backends.assert_only_new_is_used(&gateway);
    }
}

#[test]
fn the_late_response_of_an_abandoned_watch_does_not_revert_a_newer_list() {
    let backends = BackendPair::start();
    let (complete_list, drain_list) =
        (endpoint_list(41, true, &backends.both_ready()), endpoint_list(43, false, &backends.old_draining()));
    // An outdated revision, older than the response of the next watch: only the drained backend, listed as ready.
    let late_list = endpoint_list(42, true, &backend_entry("s-1", backends.old.address, "ready"));
    let (watches, newer_is_sent, late_is_written) =
        (AtomicUsize::new(0), Arc::new(Gate::default()), Arc::new(Gate::default()));
    let (newer_sent, late_written) = (newer_is_sent.clone(), late_is_written.clone());
    let discovery = Stub::start(move |request| match WatchRequest::parse(request) {
        None => http("200 OK", &complete_list),
        Some(watch) if watch.from == 43 => {
            newer_sent.open();
            no_change(watch)
        }
        Some(_) if watches.fetch_add(1, Ordering::SeqCst) == 0 => {
            newer_sent.wait();
            late_written.open();
            http("200 OK", &late_list)
        }
        Some(_) => http("200 OK", &drain_list),
    });
    let gateway = backends.gateway_that_used_both(&discovery);
    wait_for_watch(&discovery, 43);
    late_is_written.wait();
    discovery.wait_for("the abandoned connection to end", |log| log.closed >= 1);
    backends.assert_only_new_is_used(&gateway);
}

#[test]
fn unresponsive_discovery_is_polled_over_few_connections() {
    let backends = BackendPair::start();
    let (complete_list, drain_list) =
        (endpoint_list(41, true, &backends.both_ready()), endpoint_list(42, false, &backends.old_draining()));
    let responsive = Arc::new(AtomicBool::new(false));
    let is_responsive = responsive.clone();
    let discovery = Stub::start(move |request| match WatchRequest::parse(request) {
        None => http("200 OK", &complete_list),
        Some(watch) if watch.from == 42 => no_change(watch),
        Some(_) if is_responsive.load(Ordering::SeqCst) => http("200 OK", &drain_list),
        Some(_) => Reply::Silence,
    });
    let gateway = backends.gateway_that_used_both(&discovery);
    discovery.wait_for("calls besides the one without response", |log| {
        assert!(
            log.opened - log.closed <= 5,
            "{} connections are open at the same time",
            log.opened - log.closed
        );
        log.requests.len() >= 8
    });
    // Once discovery responds again, a new call is answered at once while earlier calls still wait.
    responsive.store(true, Ordering::SeqCst);
    wait_for_watch(&discovery, 42);
    backends.assert_only_new_is_used(&gateway);
}

#[test]
fn a_watch_that_ends_without_a_list_is_retried_and_backends_missing_from_a_complete_list_are_removed() {
    let backends = BackendPair::start();
    let complete_list = endpoint_list(41, true, &backends.both_ready());
    let list_without_old = endpoint_list(42, true, &backend_entry("s-2", backends.new.address, "ready"));
    let watches = AtomicUsize::new(0);
    let discovery = Stub::start(move |request| match WatchRequest::parse(request) {
        None => http("200 OK", &complete_list),
        Some(watch) if watch.from == 42 => no_change(watch),
        Some(_) => match watches.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::RawThenClose(String::new()),
            1 => {
                Reply::RawThenClose("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"revision\":42,".into())
            }
            _ => http("200 OK", &list_without_old),
        },
    });
    let gateway = backends.gateway_that_used_both(&discovery);
    wait_for_watch(&discovery, 42);
    backends.assert_only_new_is_used(&gateway);
}

/// Adds white space and line breaks to JSON, as in a list written by hand.
fn indented(text: &str) -> String {
    text.replace(',', ",\r\n\t  ").replace('{', "{\r\n    ").replace('}', "\n  }\n").replace(':', " : ")
}

fn chunked(text: &str, size: usize) -> String {
    let chunk = |piece: &[u8]| format!("{:x};x=y\r\n{}\r\n", piece.len(), String::from_utf8_lossy(piece));
    let chunks: String = text.as_bytes().chunks(size).map(chunk).collect();
    format!("HTTP/1.1 200 OK\r\ntransfer-ENCODING:chunked\r\n\r\n{chunks}0\r\nX-Trailer: 1\r\n\r\n")
}

#[test]
fn a_list_is_read_in_every_http_framing() {
    let framings: [fn(&str) -> Reply; 5] = [
        |text| http("200 OK", text),
        |text| Reply::Raw(chunked(text, 7)),
        |text| Reply::Raw(chunked(text, 100_000)),
        |text| Reply::RawThenClose(format!("HTTP/1.1 200 OK\r\n\r\n{text}")),
        |text| {
            Reply::RawThenClose(format!("HTTP/1.0 200 Fine\r\ncontent-length:{}\r\n\r\n{text}", text.len()))
        },
    ];
    for (number, framing) in framings.into_iter().enumerate() {
        let backends = BackendPair::start();
        let complete_list = endpoint_list(41, true, &backends.both_ready());
        // `indented` also spaces the colon before the port, the only one inside a string; this restores it.
        let drain_list = indented(&endpoint_list(42, false, &backends.old_draining()))
            .replace("127.0.0.1 : ", "127.0.0.1:");
        let discovery = Stub::start(move |request| match WatchRequest::parse(request) {
            None => framing(&complete_list),
            Some(watch) if watch.from == 42 => no_change(watch),
            Some(_) => framing(&drain_list),
        });
        let gateway = backends.ready_gateway(&discovery);
        wait_for_watch(&discovery, 42);
        println!("framing {number}");
        gateway.wait_for_metric("backends_excluded", 1);
        backends.assert_only_new_is_used(&gateway);
    }
}

#[test]
fn after_a_reload_a_drain_listed_only_by_the_new_discovery_address_is_applied() {
    let backends = BackendPair::start();
    let complete_list = endpoint_list(41, true, &backends.both_ready());
    // The old discovery stops responding; the revisions of the new one are unrelated to those of the old one.
    let unresponsive = Stub::start(move |request| match WatchRequest::parse(request) {
        None => http("200 OK", &complete_list),
        Some(_) => Reply::Silence,
    });
    let new_members =
        [backends.old_draining(), backend_entry("s-2", backends.new.address, "ready")].join(",");
    let discovery = Discovery::start(&new_members);
    let counter = counter_stub();
    let command = gateway_command(&config(unresponsive.address, counter.address));
    let path = config_path(&command);
    let gateway = Gateway::spawn(command);
    gateway.wait_ready();
    wait_for_watch(&unresponsive, 41);
    std::fs::write(path, config(discovery.stub.address, counter.address)).expect("the file is written");
    // Two reloads at once have the effect of one.
    gateway.signal("HUP");
    gateway.signal("HUP");
    discovery.wait_for_watch(41);
    unresponsive.wait_for("the connections to the old discovery to close", |log| log.closed == log.opened);
    backends.assert_only_new_is_used(&gateway);
}
