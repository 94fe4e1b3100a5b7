//! Lists of the largest fleet: thousands of backends, whole lists and changes, in every length and pace that is legal.

use crate::world::*;
use std::time::{Duration, Instant};

/// The most backends that a fleet has.
const MOST_BACKENDS: usize = 3200;

/// The backends of a large fleet: every other one at one server, the rest at another, so that both are in the part of the
/// fleet that a gateway uses.
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

/// What discovery has counts as told after this, and sends have to cease so much later.
const TOLD_AFTER: Duration = Duration::from_secs(6);
const GRACE: Duration = Duration::from_secs(1);

#[test]
fn a_drain_is_heard_among_thousands_of_backends() {
    for complete in [true, false] {
        let fleet = LargeFleet::start(MOST_BACKENDS);
        let (discovery, counter) = (Discovery::start(&fleet.all("ready")), counter());
        let node = fleet.gateway(&discovery, &counter);
        fleet.use_both(&node);
        let members = if complete { fleet.all("draining") } else { fleet.drains() };
        discovery.say(42, &list(42, complete, &members));
        let told = Instant::now();
        while node.figure("backends_excluded") < (MOST_BACKENDS / 2) as u64 {
            assert!(told.elapsed() < TOLD_AFTER + GRACE, "whole list {complete}: the drain is not heard");
            std::thread::sleep(Duration::from_millis(20));
        }
        fleet.assert_only_new_is_used(&node);
    }
}
