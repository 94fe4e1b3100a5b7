//! The memory limit of the configuration under crowds of slow clients.

use crate::replacement::{wait_until_serving, Platform};
use crate::world::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// One crowd at a time: each of them takes a processor or more.
static CROWD: Mutex<()> = Mutex::new(());
/// Number of backends, so that none of them limits the crowd.
const BACKENDS: usize = 12;

/// Interval between two plain requests, which does not depend on how long their answers take.
const PLAIN_INTERVAL: Duration = Duration::from_millis(30);
/// Time budget of a plain request.
const PLAIN_BUDGET: Duration = Duration::from_millis(1000);
/// A request must be answered this long after its budget at the latest.
const LATENESS: Duration = Duration::from_millis(500);

/// How one plain request ended.
struct PlainEnd {
    /// Status of the answer, if there was one.
    status: Option<u16>,
    /// Time from before the connection was opened to the end of the answer.
    took: Duration,
}

/// What the plain clients beside a crowd saw.
#[derive(Default)]
struct PlainRequests {
    ends: Vec<PlainEnd>,
}

/// Sends a read or a short write.
fn plain_request(gateway: SocketAddr, class: &str) -> PlainEnd {
    let started_at = Instant::now();
    let text = with_new_customer(&request(class, PLAIN_BUDGET.as_millis() as u32));
    let status = connect(gateway).try_round_trip(&text).map(|answer| answer.status());
    PlainEnd { status, took: started_at.elapsed() }
}

impl PlainRequests {
    /// Sends plain requests at equal intervals, each on a new connection, until `end`, and waits for their ends. Calls
    /// `after_each` after sending each of them.
    fn send(&mut self, gateway: &Gateway, end: Instant, mut after_each: impl FnMut()) {
        let address = gateway.address;
        let mut sent = Vec::new();
        let mut next_at = Instant::now();
        while next_at < end {
            std::thread::sleep(next_at.saturating_duration_since(Instant::now()));
            let class = ["look", "buy"][sent.len() % 2];
            sent.push(std::thread::spawn(move || plain_request(address, class)));
            after_each();
            next_at += PLAIN_INTERVAL;
        }
        let ends = sent.into_iter().map(|thread| thread.join().expect("the client's thread ends"));
        self.ends.extend(ends);
    }

    /// Checks that nine in ten were served within their budget, and that none was answered late.
    fn check(&self, gateway: &Gateway) {
        let served =
            self.ends.iter().filter(|end| end.status == Some(200) && end.took <= PLAIN_BUDGET).count();
        let late = self.ends.iter().filter(|end| end.took > PLAIN_BUDGET + LATENESS).count();
        let mut statuses: BTreeMap<Option<u16>, usize> = BTreeMap::new();
        self.ends.iter().for_each(|end| *statuses.entry(end.status).or_default() += 1);
        let mut times: Vec<Duration> = self.ends.iter().map(|end| end.took).collect();
        times.sort();
        let (median, slowest) = (times[times.len() / 2], times[times.len() - 1]);
        let figures = format!(
            "{served} of {} plain requests served within their budget, {late} late, by status: {statuses:?}, \
            median {median:?}, slowest {slowest:?}",
            self.ends.len()
        );
        println!("{figures}");
        let is_sound = served * 10 >= self.ends.len() * 9 && late == 0;
        assert!(is_sound, "{figures}\n{}", gateway.admin_call("GET", "/stats").body);
    }
}

/// Plays a crowd against a gateway with these limits, and checks the limit and the plain requests beside.
fn check_crowd(memory_mb: usize, sockets: usize, clients: usize, kinds: &[SlowClient], seconds: u64) {
    let _alone = CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let members: Vec<String> = (0..BACKENDS)
        .map(|number| backend_entry(&format!("s-{number}"), long_response_backend(), "ready"))
        .collect();
    let (discovery, counter) = (Discovery::start(&members.join(",")), counter_stub());
    let mut gateway = Gateway::start_with_limits(&discovery, &counter, memory_mb, sockets);
    let at_start = gateway.peak_memory();
    let mut plain = PlainRequests::default();
    {
        let _crowd = Crowd::start(gateway.address, clients, kinds);
        plain.send(&gateway, Instant::now() + Duration::from_secs(seconds), || {});
    }
    assert!(gateway.child.try_wait().expect("the process can be waited for").is_none(), "the process ended");
    let peak = gateway.peak_memory();
    println!("{memory_mb} MB, {clients} of {kinds:?}: {at_start} bytes at the start, {peak} at most");
    assert!(peak <= memory_mb as u64 * 1_000_000, "{peak} bytes of {memory_mb} MB");
    plain.check(&gateway);
}

#[test]
fn a_crowd_of_half_heads_stays_within_32_mb() {
    check_crowd(32, 1024, 900, &[SlowClient::HalfHead], 10);
}

#[test]
fn a_crowd_of_complete_heads_of_many_fields_stays_within_32_mb() {
    check_crowd(32, 1024, 900, &[SlowClient::ManyFields], 10);
}

#[test]
fn a_crowd_of_half_bodies_stays_within_32_mb() {
    check_crowd(32, 1024, 900, &[SlowClient::HalfBody, SlowClient::SmallChunks], 10);
}

#[test]
fn a_crowd_that_reads_nothing_of_long_responses_stays_within_32_mb() {
    check_crowd(32, 1024, 900, &[SlowClient::UnreadResponse], 10);
}

#[test]
fn a_mixed_crowd_stays_within_32_mb() {
    use SlowClient::{HalfBody, HalfHead, ManyFields, SmallChunks, UnreadResponse};
    check_crowd(32, 1024, 900, &[HalfHead, HalfBody, UnreadResponse, ManyFields, SmallChunks], 10);
}

#[test]
fn half_bodies_leave_connections_to_others_with_256_descriptors() {
    check_crowd(32, 256, 700, &[SlowClient::HalfBody, SlowClient::SmallChunks], 10);
}

#[test]
fn a_mixed_crowd_leaves_connections_to_others_with_256_descriptors() {
    use SlowClient::{HalfBody, HalfHead, ManyFields, SmallChunks, UnreadResponse};
    check_crowd(64, 256, 700, &[HalfHead, HalfBody, UnreadResponse, ManyFields, SmallChunks], 10);
}

/// Memory of two processes of one program, whose code is in memory once.
fn shared_memory(processes: [&Gateway; 2]) -> u64 {
    let figures = |name| processes.map(|process| process.memory(name).unwrap_or(0));
    figures("RssAnon").iter().sum::<u64>() + figures("RssFile").into_iter().max().unwrap_or(0)
}

#[test]
fn a_hand_over_under_a_mixed_crowd_stays_within_32_mb() {
    use SlowClient::{HalfBody, HalfHead, ManyFields, SmallChunks, UnreadResponse};
    let _alone = CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let members: Vec<String> = (0..BACKENDS)
        .map(|number| backend_entry(&format!("s-{number}"), long_response_backend(), "ready"))
        .collect();
    let (discovery, counter, platform) =
        (Discovery::start(&members.join(",")), counter_stub(), Platform::new());
    let config =
        config(discovery.stub.address, counter.address).replace("\"memory_mb\":192", "\"memory_mb\":32");
    let predecessor = Gateway::spawn(platform.command(&config));
    wait_until_serving(&predecessor);
    let _crowd = Crowd::start(
        predecessor.address,
        900,
        &[HalfHead, HalfBody, UnreadResponse, ManyFields, SmallChunks],
    );
    let mut plain = PlainRequests::default();
    plain.send(&predecessor, Instant::now() + Duration::from_secs(3), || {});
    let mut successor = Gateway::spawn(platform.command(&config));
    wait_until_serving(&successor);
    let mut peak = 0;
    for second in 0..8 {
        if second == 2 {
            predecessor.terminate();
        }
        plain.send(&successor, Instant::now() + Duration::from_secs(1), || {
            peak = peak.max(shared_memory([&predecessor, &successor]));
        });
    }
    println!("hand-over: {peak} bytes at most in both processes");
    assert!(
        successor.child.try_wait().expect("the process can be waited for").is_none(),
        "the successor ended"
    );
    assert!(peak <= 32_000_000, "{peak} bytes of 32 MB in both processes");
    plain.check(&successor);
}
