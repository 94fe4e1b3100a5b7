//! Endpoint lists of the largest deployment, with thousands of endpoints: complete and incremental lists of all legal
//! lengths and transfer rates.

use crate::world::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Largest number of endpoints of a deployment.
const MAX_ENDPOINTS: usize = 3200;

/// The endpoints of a large deployment: those of even number at one server, the rest at another, so that the subset of
/// a gateway contains endpoints of both.
struct LargeDeployment {
    old: Stub,
    new: Stub,
    size: usize,
}

impl LargeDeployment {
    fn start(size: usize) -> LargeDeployment {
        let (old, new) = (Stub::start(|_| http("200 OK", "old")), Stub::start(|_| http("200 OK", "new")));
        LargeDeployment { old, new, size }
    }
    fn is_old(&self, number: usize) -> bool {
        number.is_multiple_of(2)
    }
    fn entry(&self, number: usize, phase: &str) -> String {
        let address = if self.is_old(number) { self.old.address } else { self.new.address };
        backend_entry(&format!("s-{number:08x}"), address, phase)
    }
    fn all_entries(&self, phase_of_old: &str) -> String {
        let phase = |number| if self.is_old(number) { phase_of_old } else { "ready" };
        let entries: Vec<String> = (0..self.size).map(|number| self.entry(number, phase(number))).collect();
        entries.join(",")
    }
    fn draining_entries(&self) -> String {
        let old = (0..self.size).filter(|number| self.is_old(*number));
        let entries: Vec<String> = old.map(|number| self.entry(number, "draining")).collect();
        entries.join(",")
    }
    /// Starts a gateway with the endpoint list in its configuration, and waits until it is ready.
    fn gateway(&self, discovery: &Discovery, counter: &Stub) -> Gateway {
        let known_list =
            format!(r#""known":{},"settings":"#, endpoint_list(41, true, &self.all_entries("ready")));
        let config = config(discovery.stub.address, counter.address);
        let gateway = Gateway::spawn(gateway_command(&config.replace(r#""settings":"#, &known_list)));
        gateway.wait_ready();
        gateway
    }
    /// Sends requests until backends of both halves have received one.
    fn use_both_halves(&self, gateway: &Gateway) {
        let mut client = gateway.client();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.old.requests().is_empty() || self.new.requests().is_empty() {
            assert!(Instant::now() < deadline, "one half of the backends is not used");
            assert_eq!(client.round_trip(&request("look", 3000)).status(), 200);
        }
    }
    fn assert_only_new_is_used(&self, gateway: &Gateway) {
        let requests_before = self.old.requests().len();
        let mut client = gateway.client();
        for _ in 0..40 {
            assert_eq!(client.round_trip(&request("look", 3000)).body, "new");
        }
        assert_eq!(self.old.requests().len(), requests_before, "a drained backend got a request");
    }
}

/// Time after which a change counts as announced, from its publication by discovery.
const ANNOUNCED_AFTER: Duration = Duration::from_secs(6);
/// Time after the announcement within which attempts have to cease.
const GRACE: Duration = Duration::from_secs(1);

#[test]
fn a_drain_is_applied_among_thousands_of_backends() {
    for complete in [true, false] {
        let deployment = LargeDeployment::start(MAX_ENDPOINTS);
        let (discovery, counter) = (Discovery::start(&deployment.all_entries("ready")), counter_stub());
        let gateway = deployment.gateway(&discovery, &counter);
        deployment.use_both_halves(&gateway);
        let members =
            if complete { deployment.all_entries("draining") } else { deployment.draining_entries() };
        discovery.publish(42, &endpoint_list(42, complete, &members));
        let published_at = Instant::now();
        while gateway.metric("backends_excluded") < (MAX_ENDPOINTS / 2) as u64 {
            assert!(
                published_at.elapsed() < ANNOUNCED_AFTER + GRACE,
                "complete list {complete}: the drain was not applied in time"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
        deployment.assert_only_new_is_used(&gateway);
    }
}

/// Size of a list above the longest legal one.
const OVERLONG_LIST_BYTES: usize = 4 << 20;

#[test]
fn a_list_that_is_too_long_is_counted_and_polled_with_backoff() {
    let deployment = LargeDeployment::start(2);
    let overlong_list =
        endpoint_list(41, true, &(deployment.all_entries("ready") + &" ".repeat(OVERLONG_LIST_BYTES)));
    let discovery = Stub::start(move |_| http("200 OK", &overlong_list));
    let counter = counter_stub();
    let gateway = Gateway::spawn(gateway_command(&config(discovery.address, counter.address)));
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while gateway.metric("discovery.failed.too_long") < 5 {
        assert!(Instant::now() < deadline, "overlong lists are not counted as too_long");
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_secs(2));
    assert!(gateway.metric("discovery.calls") < 9, "{} calls", gateway.metric("discovery.calls"));
    assert_eq!(gateway.metric("discovery.lists"), 0);
}

/// Returns a response that is written at this rate.
fn paced(text: &str, bytes_per_second: usize) -> Reply {
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
    Reply::Paced(text, bytes_per_second / 20, Duration::from_millis(50))
}

/// Starts a discovery service that never has a change; `respond_with_list` makes the response with the complete list.
fn discovery_with_list(
    complete_list: String,
    respond_with_list: impl Fn(&str) -> Reply + Send + Sync + 'static,
) -> Stub {
    Stub::start(move |request| match WatchRequest::parse(request) {
        None => respond_with_list(&complete_list),
        Some(watch) => {
            std::thread::sleep(watch.hold);
            http("200 OK", &endpoint_list(watch.from, false, ""))
        }
    })
}

#[test]
fn a_slowly_transferred_list_is_awaited_and_fetched_once() {
    let deployment = LargeDeployment::start(300);
    // Some 40 kB at the lowest known transfer rate take 2 s.
    let discovery =
        discovery_with_list(endpoint_list(41, true, &deployment.all_entries("ready")), |complete_list| {
            paced(complete_list, 20_000)
        });
    let counter = counter_stub();
    let gateway = Gateway::spawn(gateway_command(&config(discovery.address, counter.address)));
    gateway.wait_for_metric("backends_known", 300);
    let complete_lists =
        discovery.requests().iter().filter(|call| WatchRequest::parse(call).is_none()).count();
    assert_eq!(complete_lists, 1, "the list is fetched once");
}

#[test]
fn a_list_whose_transfer_stalls_or_breaks_is_abandoned_and_fetched_again() {
    let deployment = LargeDeployment::start(300);
    let calls = AtomicUsize::new(0);
    let discovery = discovery_with_list(
        endpoint_list(41, true, &deployment.all_entries("ready")),
        move |complete_list| {
            match calls.fetch_add(1, Ordering::SeqCst) {
                // The transfer stalls after half of the list, on as many calls as may be in flight at once.
                0..=2 => {
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", complete_list.len());
                    Reply::Raw(head + &complete_list[..complete_list.len() / 2])
                }
                // The connection is closed in the middle of the list.
                3 => {
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", complete_list.len());
                    Reply::RawThenClose(head + &complete_list[..complete_list.len() / 2])
                }
                _ => http("200 OK", complete_list),
            }
        },
    );
    let counter = counter_stub();
    let gateway = Gateway::spawn(gateway_command(&config(discovery.address, counter.address)));
    gateway.wait_for_metric("backends_known", 300);
    assert!(gateway.metric("discovery.failed.stalled") >= 1, "no call was abandoned");
    assert_eq!(gateway.metric("discovery.failed.broken"), 1);
}

#[test]
fn the_list_of_a_discovery_service_that_takes_seconds_to_respond_is_applied() {
    for mode in ["automatic", "subscribe"] {
        let deployment = LargeDeployment::start(2);
        let complete_list = endpoint_list(41, true, &deployment.all_entries("ready"));
        let discovery = discovery_with_list(complete_list, |complete_list| {
            std::thread::sleep(Duration::from_millis(3500));
            http("200 OK", complete_list)
        });
        let counter = counter_stub();
        let setting = format!(r#""settings":{{"membership_mode":"{mode}","#);
        let config = config(discovery.address, counter.address).replace(r#""settings":{"#, &setting);
        let gateway = Gateway::spawn(gateway_command(&config));
        gateway.wait_for_metric("backends_known", 2);
    }
}

#[test]
fn a_gateway_requests_only_changes_since_the_list_of_its_configuration() {
    let deployment = LargeDeployment::start(MAX_ENDPOINTS);
    let (discovery, counter) = (Discovery::start(&deployment.all_entries("ready")), counter_stub());
    discovery.publish(42, &endpoint_list(42, false, &deployment.entry(0, "draining")));
    let gateway = deployment.gateway(&discovery, &counter);
    gateway.wait_for_metric("backends_excluded", 1);
    assert_eq!(gateway.metric("backends_known"), MAX_ENDPOINTS as u64);
    assert!(gateway.metric("discovery.list_bytes") < 10_000, "{}", gateway.metric("discovery.list_bytes"));
    let calls = discovery.stub.requests();
    assert!(calls.iter().all(|call| WatchRequest::parse(call).is_some()), "a complete list was requested");
}

/// Number of customers that send requests within the time for which a gateway keeps their state.
const MANY_CUSTOMERS: usize = 16_000;
const CLIENTS: usize = 32;

#[test]
fn a_successor_takes_over_the_state_of_a_large_gateway() {
    let deployment = LargeDeployment::start(MAX_ENDPOINTS);
    let (discovery, counter, platform) = (
        Discovery::start(&deployment.all_entries("ready")),
        counter_stub(),
        crate::replacement::Platform::new(),
    );
    let config = config(discovery.stub.address, counter.address);
    let predecessor = Gateway::spawn(platform.command(&config));
    crate::replacement::wait_until_serving(&predecessor);
    predecessor.wait_for_metric("backends_known", MAX_ENDPOINTS as u64);
    std::thread::scope(|scope| {
        for first in 0..CLIENTS {
            let mut client = predecessor.client();
            scope.spawn(move || {
                for customer in (first..MANY_CUSTOMERS).step_by(CLIENTS) {
                    let customer_request =
                        request("look", 3000).replace("00000000b4d65521", &format!("{customer:016x}"));
                    assert_eq!(client.round_trip(&customer_request).status(), 200);
                }
            });
        }
    });
    assert_eq!(predecessor.admin_call("POST", "/backends/s-00000007/maint").status(), 200);
    predecessor.wait_for_metric("backends_excluded", 1);
    let successor = Gateway::spawn(platform.command(&config));
    crate::replacement::wait_until_serving(&successor);
    successor.wait_for_metric("backends_known", MAX_ENDPOINTS as u64);
    assert_eq!(successor.metric("backends_excluded"), 1, "the maintenance order was handed over");
}
