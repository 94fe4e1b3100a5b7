//! The circuit breaker over the counter service: each transition, and the faults that it guards against.
mod common;
use common::{counter_calls, nonzero_counter_calls, settings, GatewayHarness, MS, S};
use quota_gateway::decision::{Event, Outcome};

/// Sends a request whose counter call, if there is one, fails. Returns whether a call was made.
fn request_with_failing_call(harness: &mut GatewayHarness, customer: u64) -> bool {
    let (_, out) = harness.request(0, 0, customer, 1.0);
    let calls = counter_calls(&out);
    for (key, _) in &calls {
        harness.handle(Event::CounterReplied { key: *key, outcome: Outcome::Rejected, total: 0.0 });
    }
    !calls.is_empty()
}

/// Lets three calls fail. While calls fail, only a fraction of the requests calls.
fn open_breaker(harness: &mut GatewayHarness) {
    assert_eq!(
        (1..100).filter(|customer| request_with_failing_call(harness, *customer)).count(),
        3,
        "expected the breaker to open after three failed calls"
    );
}

#[test]
fn three_failures_in_a_row_open_the_breaker() {
    let mut harness = GatewayHarness::new(settings(), 4);
    open_breaker(&mut harness);
    assert!(!request_with_failing_call(&mut harness, 4), "no request calls while the breaker is open");
}

#[test]
fn two_failures_do_not_open_the_breaker() {
    let mut harness = GatewayHarness::new(settings(), 4);
    request_with_failing_call(&mut harness, 1);
    request_with_failing_call(&mut harness, 2);
    // While calls fail, only a fraction of the requests calls; of twenty customers some do.
    let callers = (10..30)
        .filter(|customer| !counter_calls(&harness.request(0, 0, *customer, 1.0).1).is_empty())
        .count();
    assert!(callers > 0);
}

#[test]
fn after_the_cooldown_one_request_probes_and_success_closes_the_breaker() {
    let mut harness = GatewayHarness::new(settings(), 4);
    open_breaker(&mut harness);
    harness.advance(5 * S - 1);
    assert!(!request_with_failing_call(&mut harness, 4), "the cooldown has not ended");
    harness.advance(1);
    let (_, out) = harness.request(0, 0, 5, 1.0);
    let probe = nonzero_counter_calls(&out);
    assert_eq!(probe.len(), 1, "half-open: one probe");
    assert!(
        counter_calls(&harness.request(0, 0, 6, 1.0).1).is_empty(),
        "no other request calls while the probe is in flight"
    );
    harness.handle(Event::CounterReplied { key: probe[0].0, outcome: Outcome::Success, total: 1.0 });
    let callers = (10..30)
        .filter(|customer| !nonzero_counter_calls(&harness.request(0, 0, *customer, 1.0).1).is_empty())
        .count();
    assert!(callers > 0, "the breaker is closed again");
}

#[test]
fn failed_probe_opens_the_breaker_for_another_cooldown() {
    let mut harness = GatewayHarness::new(settings(), 4);
    open_breaker(&mut harness);
    harness.advance(5 * S);
    assert!(request_with_failing_call(&mut harness, 5), "the probe");
    harness.advance(5 * S - 1);
    assert!(!request_with_failing_call(&mut harness, 6));
    harness.advance(1);
    assert!(request_with_failing_call(&mut harness, 7), "the next probe");
}

#[test]
fn timeouts_of_the_counter_open_the_breaker() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let calls: Vec<_> =
        (1..=3).flat_map(|customer| counter_calls(&harness.request(0, 0, customer, 1.0).1)).collect();
    harness.advance(80 * MS);
    calls.iter().for_each(|(key, _)| {
        drop(harness.handle(Event::CounterReplied { key: *key, outcome: Outcome::Timeout, total: 0.0 }))
    });
    assert!(counter_calls(&harness.request(0, 0, 4, 1.0).1).is_empty());
}

#[test]
fn failures_of_one_customer_open_only_its_own_breaker() {
    let mut harness = GatewayHarness::new(settings(), 4);
    for _ in 0..10 {
        request_with_failing_call(&mut harness, 1);
    }
    let callers = (10..60)
        .filter(|customer| !nonzero_counter_calls(&harness.request(0, 0, *customer, 1.0).1).is_empty())
        .count();
    assert!(callers > 0, "requests of other customers still call");
    assert!(!request_with_failing_call(&mut harness, 1), "the busy customer's own breaker is open");
}

#[test]
fn frequent_failures_with_successes_between_open_the_breaker() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (mut customer, mut calls) = (100, 0);
    for _ in 0..2_000 {
        customer += 1;
        let (_, out) = harness.request(0, 0, customer, 1.0);
        for (key, amount) in counter_calls(&out) {
            // Two failures, then one success, repeated: there are never three failures in a row.
            calls += u32::from(amount != 0.0);
            let outcome = if amount == 0.0 || calls % 3 == 0 { Outcome::Success } else { Outcome::Rejected };
            harness.handle(Event::CounterReplied { key, outcome, total: amount });
        }
    }
    let callers = (0..200)
        .filter(|customer| !nonzero_counter_calls(&harness.request(0, 0, 1_000 + customer, 1.0).1).is_empty())
        .count();
    assert_eq!(callers, 0, "the breaker is open");
}

#[test]
fn half_open_customer_does_not_use_up_the_common_probe() {
    let mut harness = GatewayHarness::new(settings(), 4);
    open_breaker(&mut harness);
    for _ in 0..3 {
        request_with_failing_call(&mut harness, 1); // No call is made; the local bucket decides.
    }
    harness.advance(5 * S);
    let (_, out) = harness.request(0, 0, 1, 1.0);
    let probe = nonzero_counter_calls(&out);
    assert_eq!(probe.len(), 1);
    harness.handle(Event::CounterReplied { key: probe[0].0, outcome: Outcome::Rejected, total: 0.0 });
    harness.advance(5 * S);
    assert!(request_with_failing_call(&mut harness, 9), "the probe of the common breaker is available again");
}
