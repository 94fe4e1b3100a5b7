//! The memory limit of the configuration under crowds of slow clients.

use crate::replacement::{wait_until_serving, Platform};
use crate::world::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Number of backends, so that none of them limits the crowd.
const BACKENDS: usize = 12;

/// What the plain clients beside a crowd saw: how many requests ended with each status, or without an answer.
#[derive(Default)]
struct PlainRequests {
    ends: BTreeMap<Option<u16>, usize>,
    slowest: Duration,
}

impl PlainRequests {
    /// Sends plain requests, each on a new connection, until `end`. Calls `after_each` after each of them.
    fn send(&mut self, gateway: &Gateway, end: Instant, mut after_each: impl FnMut()) {
        while Instant::now() < end {
            let sent_at = Instant::now();
            let answer = gateway.client().try_round_trip(&with_new_customer(&request("look", 3000)));
            *self.ends.entry(answer.map(|answer| answer.status())).or_default() += 1;
            self.slowest = self.slowest.max(sent_at.elapsed());
            after_each();
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    /// Checks that nine in ten were served.
    fn check(&self, gateway: &Gateway) {
        let sent: usize = self.ends.values().sum();
        let served = self.ends.get(&Some(200)).copied().unwrap_or(0);
        println!("plain requests by status: {:?}, slowest {:?}", self.ends, self.slowest);
        let stats = gateway.admin_call("GET", "/stats").body;
        assert!(
            served * 10 >= sent * 9,
            "{served} of {sent} plain requests served: {:?}\n{stats}",
            self.ends
        );
    }
}

/// Plays a crowd against a gateway with these limits, and checks the limit and the plain requests beside.
fn check_crowd(memory_mb: usize, sockets: usize, clients: usize, kinds: &[SlowClient], seconds: u64) {
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

/// Memory of two processes of one program, whose code is in memory once.
fn shared_memory(processes: [&Gateway; 2]) -> u64 {
    let figures = |name| processes.map(|process| process.memory(name).unwrap_or(0));
    figures("RssAnon").iter().sum::<u64>() + figures("RssFile").into_iter().max().unwrap_or(0)
}

#[test]
fn a_hand_over_under_a_mixed_crowd_stays_within_32_mb() {
    use SlowClient::{HalfBody, HalfHead, ManyFields, SmallChunks, UnreadResponse};
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
