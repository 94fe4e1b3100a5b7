//! The memory limit of the configuration under crowds of slow clients.

use crate::world::*;
use std::time::{Duration, Instant};

/// Number of backends, so that none of them limits the crowd.
const BACKENDS: usize = 12;

/// What the plain clients beside a crowd saw.
struct PlainRequests {
    sent: usize,
    served: usize,
}

/// Sends plain requests, each on a new connection, until `end`.
fn send_plain_requests(gateway: &Gateway, end: Instant) -> PlainRequests {
    let mut seen = PlainRequests { sent: 0, served: 0 };
    while Instant::now() < end {
        let answer = gateway.client().try_round_trip(&with_new_customer(&request("look", 3000)));
        seen.sent += 1;
        seen.served += usize::from(answer.is_some_and(|answer| answer.status() == 200));
        std::thread::sleep(Duration::from_millis(30));
    }
    seen
}

/// Plays a crowd against a gateway with these limits, and checks the limit and the plain requests beside.
fn check_crowd(memory_mb: usize, sockets: usize, clients: usize, kinds: &[SlowClient], seconds: u64) {
    let members: Vec<String> = (0..BACKENDS)
        .map(|number| backend_entry(&format!("s-{number}"), long_response_backend(), "ready"))
        .collect();
    let (discovery, counter) = (Discovery::start(&members.join(",")), counter_stub());
    let mut gateway = Gateway::start_with_limits(&discovery, &counter, memory_mb, sockets);
    let at_start = gateway.peak_memory();
    let plain = {
        let _crowd = Crowd::start(gateway.address, clients, kinds);
        send_plain_requests(&gateway, Instant::now() + Duration::from_secs(seconds))
    };
    assert!(gateway.child.try_wait().expect("the process can be waited for").is_none(), "the process ended");
    let peak = gateway.peak_memory();
    println!(
        "{memory_mb} MB, {clients} of {kinds:?}: {at_start} bytes at the start, {peak} at most; {} of {} served",
        plain.served, plain.sent
    );
    assert!(peak <= memory_mb as u64 * 1_000_000, "{peak} bytes of {memory_mb} MB");
    assert!(plain.served * 10 >= plain.sent * 9, "{} of {} plain requests served", plain.served, plain.sent);
}

#[test]
fn a_crowd_of_half_heads_stays_within_32_mb() {
    check_crowd(32, 1024, 900, &[SlowClient::HalfHead], 5);
}

#[test]
fn a_crowd_of_complete_heads_of_many_fields_stays_within_32_mb() {
    check_crowd(32, 1024, 900, &[SlowClient::ManyFields], 5);
}

#[test]
fn a_crowd_of_half_bodies_stays_within_32_mb() {
    check_crowd(32, 1024, 900, &[SlowClient::HalfBody, SlowClient::SmallChunks], 5);
}

#[test]
fn a_crowd_that_reads_nothing_of_long_responses_stays_within_32_mb() {
    check_crowd(32, 1024, 900, &[SlowClient::UnreadResponse], 5);
}

#[test]
fn a_mixed_crowd_stays_within_32_mb() {
    use SlowClient::{HalfBody, HalfHead, ManyFields, SmallChunks, UnreadResponse};
    check_crowd(32, 1024, 900, &[HalfHead, HalfBody, UnreadResponse, ManyFields, SmallChunks], 10);
}
