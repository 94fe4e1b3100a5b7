//! Endpoint lists from discovery: watches that fall silent, end or answer late, and every form in which a list may come.

use crate::world::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A change counts as announced so long after discovery had it, whatever became of the watch.
const ANNOUNCED_AFTER: Duration = Duration::from_secs(6);

/// Two backends, of which discovery lists `old` as draining at some time.
struct Pair {
    old: Stub,
    new: Stub,
}

impl Pair {
    fn start() -> Pair {
        Pair { old: Stub::start(|_| http("200 OK", "old")), new: Stub::start(|_| http("200 OK", "new")) }
    }
    fn both_ready(&self) -> String {
        [member("s-1", self.old.address, "ready"), member("s-2", self.new.address, "ready")].join(",")
    }
    fn drain(&self) -> String {
        member("s-1", self.old.address, "draining")
    }
    /// A new gateway that has a list.
    fn gateway_ready_before(&self, discovery: &Stub) -> Node {
        let counter = counter();
        let node = Node::spawn(program(&config(discovery.address, counter.address)));
        node.wait_ready();
        node
    }
    /// The same, once it has used both.
    fn gateway_before(&self, discovery: &Stub) -> Node {
        let node = self.gateway_ready_before(discovery);
        let mut client = node.client();
        let until = Instant::now() + LIMIT;
        while self.old.requests().is_empty() || self.new.requests().is_empty() {
            assert!(Instant::now() < until, "one of two backends is not used");
            assert_eq!(client.ask(&request("look", 3000)).status(), 200);
        }
        node
    }
    /// Sends requests, none of which may come to the drained one.
    fn assert_only_new_is_used(&self, node: &Node) {
        let before = self.old.requests().len();
        let mut client = node.client();
        for _ in 0..20 {
            assert_eq!(client.ask(&request("look", 3000)).body, "new");
        }
        assert_eq!(self.old.requests().len(), before, "a drained backend got a request");
    }
}

/// Discovery's response that nothing has changed, once the hold is over.
fn no_change(watch: WatchCall) -> Reply {
    std::thread::sleep(watch.hold);
    http("200 OK", &list(watch.from, false, ""))
}

/// Waits for a watch from there on.
fn wait_for_watch(discovery: &Stub, revision: u64) {
    discovery.wait_for("a watch from the new revision", |log| {
        log.requests.iter().filter_map(WatchCall::of).any(|watch| watch.from == revision)
    });
}

#[test]
fn a_silent_watch_is_retried_before_its_change_counts_as_announced() {
    for silent_watches in [1, 2] {
        let pair = Pair::start();
        let (whole, drain) = (list(41, true, &pair.both_ready()), list(42, false, &pair.drain()));
        let watches = AtomicUsize::new(0);
        let discovery = Stub::start(move |request| match WatchCall::of(request) {
            None => http("200 OK", &whole),
            Some(watch) if watch.from == 42 => no_change(watch),
            Some(_) if watches.fetch_add(1, Ordering::SeqCst) < silent_watches => Reply::Silence,
            Some(_) => http("200 OK", &drain),
        });
        let node = pair.gateway_before(&discovery);
        wait_for_watch(&discovery, 41);
        let silent_since = Instant::now();
        wait_for_watch(&discovery, 42);
        let told_after = silent_since.elapsed();
        assert!(told_after < ANNOUNCED_AFTER, "{silent_watches} silent watches: told after {told_after:?}");
        pair.assert_only_new_is_used(&node);
    }
}

#[test]
fn the_late_response_of_an_abandoned_watch_undoes_nothing() {
    let pair = Pair::start();
    let (whole, drain) = (list(41, true, &pair.both_ready()), list(43, false, &pair.drain()));
    // Older than the next watch's response, and no longer true: the drained one is ready and alone.
    let late = list(42, true, &member("s-1", pair.old.address, "ready"));
    let (watches, newer_is_told, late_is_written) =
        (AtomicUsize::new(0), Arc::new(Gate::default()), Arc::new(Gate::default()));
    let (gate, written) = (newer_is_told.clone(), late_is_written.clone());
    let discovery = Stub::start(move |request| match WatchCall::of(request) {
        None => http("200 OK", &whole),
        Some(watch) if watch.from == 43 => {
            gate.open();
            no_change(watch)
        }
        Some(_) if watches.fetch_add(1, Ordering::SeqCst) == 0 => {
            gate.wait();
            written.open();
            http("200 OK", &late)
        }
        Some(_) => http("200 OK", &drain),
    });
    let node = pair.gateway_before(&discovery);
    wait_for_watch(&discovery, 43);
    late_is_written.wait();
    discovery.wait_for("the abandoned connection to end", |log| log.closed >= 1);
    pair.assert_only_new_is_used(&node);
}

#[test]
fn while_discovery_is_silent_it_is_polled_over_few_connections() {
    let pair = Pair::start();
    let (whole, drain) = (list(41, true, &pair.both_ready()), list(42, false, &pair.drain()));
    let speaks = Arc::new(AtomicBool::new(false));
    let spoken = speaks.clone();
    let discovery = Stub::start(move |request| match WatchCall::of(request) {
        None => http("200 OK", &whole),
        Some(watch) if watch.from == 42 => no_change(watch),
        Some(_) if spoken.load(Ordering::SeqCst) => http("200 OK", &drain),
        Some(_) => Reply::Silence,
    });
    let node = pair.gateway_before(&discovery);
    discovery.wait_for("calls made beside the silent one", |log| {
        assert!(log.opened - log.closed <= 5, "{} connections at once", log.opened - log.closed);
        log.requests.len() >= 8
    });
    // A call after its return is answered at once, whatever the calls before wait for.
    speaks.store(true, Ordering::SeqCst);
    wait_for_watch(&discovery, 42);
    pair.assert_only_new_is_used(&node);
}

#[test]
fn a_watch_that_ends_without_a_list_is_retried_and_what_a_complete_list_omits_is_removed() {
    let pair = Pair::start();
    let whole = list(41, true, &pair.both_ready());
    let without_old = list(42, true, &member("s-2", pair.new.address, "ready"));
    let watches = AtomicUsize::new(0);
    let discovery = Stub::start(move |request| match WatchCall::of(request) {
        None => http("200 OK", &whole),
        Some(watch) if watch.from == 42 => no_change(watch),
        Some(_) => match watches.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::RawThenClose(String::new()),
            1 => {
                Reply::RawThenClose("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"revision\":42,".into())
            }
            _ => http("200 OK", &without_old),
        },
    });
    let node = pair.gateway_before(&discovery);
    wait_for_watch(&discovery, 42);
    pair.assert_only_new_is_used(&node);
}

/// The same list in JSON that is indented, as a person would write it.
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
        let pair = Pair::start();
        let whole = list(41, true, &pair.both_ready());
        // Addresses and names hold no colon of JSON's own but the one before the port.
        let drain = indented(&list(42, false, &pair.drain())).replace("127.0.0.1 : ", "127.0.0.1:");
        let discovery = Stub::start(move |request| match WatchCall::of(request) {
            None => framing(&whole),
            Some(watch) if watch.from == 42 => no_change(watch),
            Some(_) => framing(&drain),
        });
        let node = pair.gateway_ready_before(&discovery);
        wait_for_watch(&discovery, 42);
        println!("framing {number}");
        node.wait_for_figure("backends_excluded", 1);
        pair.assert_only_new_is_used(&node);
    }
}

#[test]
fn a_drain_that_only_the_new_discovery_lists_is_applied_after_a_reload() {
    let pair = Pair::start();
    let whole = list(41, true, &pair.both_ready());
    // The old one answers no more; the new one counts its revisions from elsewhere.
    let silent = Stub::start(move |request| match WatchCall::of(request) {
        None => http("200 OK", &whole),
        Some(_) => Reply::Silence,
    });
    let next = [pair.drain(), member("s-2", pair.new.address, "ready")].join(",");
    let discovery = Discovery::start(&next);
    let counter = counter();
    let command = program(&config(silent.address, counter.address));
    let path = config_path(&command);
    let node = Node::spawn(command);
    node.wait_ready();
    wait_for_watch(&silent, 41);
    std::fs::write(path, config(discovery.stub.address, counter.address)).expect("written");
    // Two reloads at once are as good as one.
    node.signal("HUP");
    node.signal("HUP");
    discovery.wait_for_watch(41);
    silent.wait_for("its connections to close", |log| log.closed == log.opened);
    pair.assert_only_new_is_used(&node);
}
