//! Endpoint lists of the largest deployment: thousands of endpoints, complete lists and changes, in every length and at
//! every pace that is legal.

use crate::world::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The most endpoints of a deployment.
const MAX_ENDPOINTS: usize = 3200;

/// The endpoints of a large deployment: every other one at one server, the rest at another, so that both are in the
/// subset that a gateway uses.
struct LargeFleet {
    old: Stub,
    new: Stub,
    size: usize,
}

impl LargeFleet {
    fn start(size: usize) -> LargeFleet {
        let (old, new) = (Stub::start(|_| http("200 OK", "old")), Stub::start(|_| http("200 OK", "new")));
        LargeFleet { old, new, size }
    }
    fn is_old(&self, number: usize) -> bool {
        number.is_multiple_of(2)
    }
    fn entry(&self, number: usize, phase: &str) -> String {
        let address = if self.is_old(number) { self.old.address } else { self.new.address };
        member(&format!("s-{number:08x}"), address, phase)
    }
    fn all(&self, phase_of_old: &str) -> String {
        let phase = |number| if self.is_old(number) { phase_of_old } else { "ready" };
        let entries: Vec<String> = (0..self.size).map(|number| self.entry(number, phase(number))).collect();
        entries.join(",")
    }
    fn drains(&self) -> String {
        let old = (0..self.size).filter(|number| self.is_old(*number));
        let entries: Vec<String> = old.map(|number| self.entry(number, "draining")).collect();
        entries.join(",")
    }
    /// A gateway that knows the list from before, as each has it in its configuration.
    fn gateway(&self, discovery: &Discovery, counter: &Stub) -> Node {
        let known = format!(r#""known":{},"settings":"#, list(41, true, &self.all("ready")));
        let config = config(discovery.stub.address, counter.address);
        let node = Node::spawn(program(&config.replace(r#""settings":"#, &known)));
        node.wait_ready();
        node
    }
    /// Uses the gateway until it has sent to backends of both halves.
    fn use_both(&self, node: &Node) {
        let mut client = node.client();
        let until = Instant::now() + LIMIT;
        while self.old.requests().is_empty() || self.new.requests().is_empty() {
            assert!(Instant::now() < until, "one half of the backends is not used");
            assert_eq!(client.ask(&request("look", 3000)).status(), 200);
        }
    }
    fn assert_only_new_is_used(&self, node: &Node) {
        let before = self.old.requests().len();
        let mut client = node.client();
        for _ in 0..40 {
            assert_eq!(client.ask(&request("look", 3000)).body, "new");
        }
        assert_eq!(self.old.requests().len(), before, "a drained backend got a request");
    }
}

/// A change counts as announced so long after discovery has it, and attempts have to cease so much later.
const ANNOUNCED_AFTER: Duration = Duration::from_secs(6);
const GRACE: Duration = Duration::from_secs(1);

#[test]
fn a_drain_is_applied_among_thousands_of_backends() {
    for complete in [true, false] {
        let fleet = LargeFleet::start(MAX_ENDPOINTS);
        let (discovery, counter) = (Discovery::start(&fleet.all("ready")), counter());
        let node = fleet.gateway(&discovery, &counter);
        fleet.use_both(&node);
        let members = if complete { fleet.all("draining") } else { fleet.drains() };
        discovery.say(42, &list(42, complete, &members));
        let told = Instant::now();
        while node.figure("backends_excluded") < (MAX_ENDPOINTS / 2) as u64 {
            assert!(
                told.elapsed() < ANNOUNCED_AFTER + GRACE,
                "whole list {complete}: the drain is not heard"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
        fleet.assert_only_new_is_used(&node);
    }
}

/// More than any legal list has, in bytes.
const OVERLONG_LIST_BYTES: usize = 4 << 20;

#[test]
fn a_list_that_is_too_long_is_counted_and_polled_with_backoff() {
    let fleet = LargeFleet::start(2);
    let endless = list(41, true, &(fleet.all("ready") + &" ".repeat(OVERLONG_LIST_BYTES)));
    let discovery = Stub::start(move |_| http("200 OK", &endless));
    let counter = counter();
    let node = Node::spawn(program(&config(discovery.address, counter.address)));
    let until = Instant::now() + LIMIT;
    while node.figure("discovery.failed.too_long") < 5 {
        assert!(Instant::now() < until, "not counted");
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_secs(2));
    assert!(node.figure("discovery.calls") < 9, "{} calls", node.figure("discovery.calls"));
    assert_eq!(node.figure("discovery.lists"), 0);
}

/// A response that comes at so many bytes a second.
fn paced(text: &str, bytes_a_second: usize) -> Reply {
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
    Reply::Paced(text, bytes_a_second / 20, Duration::from_millis(50))
}

/// Discovery that has nothing but a complete list, and sends it in its own way.
fn discovery_of(whole: String, tell: impl Fn(&str) -> Reply + Send + Sync + 'static) -> Stub {
    Stub::start(move |request| match WatchCall::of(request) {
        None => tell(&whole),
        Some(watch) => {
            std::thread::sleep(watch.hold);
            http("200 OK", &list(watch.from, false, ""))
        }
    })
}

#[test]
fn a_list_that_comes_slowly_is_waited_for_and_fetched_once() {
    let fleet = LargeFleet::start(300);
    // Some 40 kB, at the slowest pace known of: 2 s.
    let discovery = discovery_of(list(41, true, &fleet.all("ready")), |whole| paced(whole, 20_000));
    let counter = counter();
    let node = Node::spawn(program(&config(discovery.address, counter.address)));
    node.wait_for_figure("backends_known", 300);
    let whole_lists = discovery.requests().iter().filter(|call| WatchCall::of(call).is_none()).count();
    assert_eq!(whole_lists, 1, "the list is fetched once");
}

#[test]
fn a_list_that_stops_coming_is_given_up_and_fetched_anew() {
    let fleet = LargeFleet::start(300);
    let calls = AtomicUsize::new(0);
    let discovery = discovery_of(list(41, true, &fleet.all("ready")), move |whole| {
        match calls.fetch_add(1, Ordering::SeqCst) {
            // Half of it, and nothing more: on as many calls as may be in flight at once.
            0..=2 => {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole.len());
                Reply::Raw(head + &whole[..whole.len() / 2])
            }
            // Cut in the middle.
            3 => {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole.len());
                Reply::RawThenClose(head + &whole[..whole.len() / 2])
            }
            _ => http("200 OK", whole),
        }
    });
    let counter = counter();
    let node = Node::spawn(program(&config(discovery.address, counter.address)));
    node.wait_for_figure("backends_known", 300);
    assert!(node.figure("discovery.failed.stalled") >= 1, "no call was given up");
    assert_eq!(node.figure("discovery.failed.broken"), 1);
}

#[test]
fn discovery_that_takes_seconds_for_each_response_is_followed() {
    for mode in ["automatic", "subscribe"] {
        let fleet = LargeFleet::start(2);
        let whole = list(41, true, &fleet.all("ready"));
        let discovery = discovery_of(whole, |whole| {
            std::thread::sleep(Duration::from_millis(3500));
            http("200 OK", whole)
        });
        let counter = counter();
        let setting = format!(r#""settings":{{"membership_mode":"{mode}","#);
        let config = config(discovery.address, counter.address).replace(r#""settings":{"#, &setting);
        let node = Node::spawn(program(&config));
        node.wait_for_figure("backends_known", 2);
    }
}

#[test]
fn a_gateway_polls_for_changes_since_the_list_of_its_configuration() {
    let fleet = LargeFleet::start(MAX_ENDPOINTS);
    let (discovery, counter) = (Discovery::start(&fleet.all("ready")), counter());
    discovery.say(42, &list(42, false, &fleet.entry(0, "draining")));
    let node = fleet.gateway(&discovery, &counter);
    node.wait_for_figure("backends_excluded", 1);
    assert_eq!(node.figure("backends_known"), MAX_ENDPOINTS as u64);
    assert!(node.figure("discovery.list_bytes") < 10_000, "{}", node.figure("discovery.list_bytes"));
    let calls = discovery.stub.requests();
    assert!(calls.iter().all(|call| WatchCall::of(call).is_some()), "a whole list was asked for");
}

/// Customers that come through one gateway while it remembers them.
const MANY_CUSTOMERS: usize = 16_000;
const CLIENTS: usize = 32;

#[test]
fn a_large_gateway_is_handed_over_with_its_whole_state() {
    let fleet = LargeFleet::start(MAX_ENDPOINTS);
    let (discovery, counter, platform) =
        (Discovery::start(&fleet.all("ready")), counter(), crate::replacement::Platform::new());
    let config = config(discovery.stub.address, counter.address);
    let predecessor = Node::spawn(platform.command(&config));
    crate::replacement::wait_until_serving(&predecessor);
    predecessor.wait_for_figure("backends_known", MAX_ENDPOINTS as u64);
    std::thread::scope(|scope| {
        for first in 0..CLIENTS {
            let mut client = predecessor.client();
            scope.spawn(move || {
                for customer in (first..MANY_CUSTOMERS).step_by(CLIENTS) {
                    let of_customer =
                        request("look", 3000).replace("00000000b4d65521", &format!("{customer:016x}"));
                    assert_eq!(client.ask(&of_customer).status(), 200);
                }
            });
        }
    });
    assert_eq!(predecessor.operate("POST", "/backends/s-00000007/maint").status(), 200);
    predecessor.wait_for_figure("backends_excluded", 1);
    let successor = Node::spawn(platform.command(&config));
    crate::replacement::wait_until_serving(&successor);
    successor.wait_for_figure("backends_known", MAX_ENDPOINTS as u64);
    assert_eq!(successor.figure("backends_excluded"), 1, "the order went over");
}
