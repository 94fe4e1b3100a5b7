//! The circuit breaker over the counter service: each transition, and the faults foreseen for it.
mod common;
use common::{counter_calls, nonzero_counter_calls, settings, GatewayHarness, MS, S};
use quota_gateway::decision::{Event, Outcome};

/// Makes one window call for a customer and lets it fail; says whether a call was made.
fn failing(harness: &mut GatewayHarness, customer: u64) -> bool {
    let (_, out) = harness.request(0, 0, customer, 1.0);
    let made = counter_calls(&out);
    for (name, _) in &made {
        harness.handle(Event::CounterReplied { key: *name, outcome: Outcome::Rejected, total: 0.0 });
    }
    !made.is_empty()
}

/// Lets three calls fail; with calls failing only a part of the requests asks.
fn open(harness: &mut GatewayHarness) {
    assert_eq!(
        (1..100).filter(|c| failing(harness, *c)).count(),
        3,
        "closed until three calls failed, then open"
    );
}

#[test]
fn three_failures_in_a_row_open_the_breaker() {
    let mut harness = GatewayHarness::new(settings(), 4);
    open(&mut harness);
    assert!(!failing(&mut harness, 4), "open: nobody asks");
}

#[test]
fn two_failures_do_not_open_the_breaker() {
    let mut harness = GatewayHarness::new(settings(), 4);
    failing(&mut harness, 1);
    failing(&mut harness, 2);
    // With calls failing only a part of the requests asks; among twenty customers some do.
    let asked = (10..30).filter(|c| !counter_calls(&harness.request(0, 0, *c, 1.0).1).is_empty()).count();
    assert!(asked > 0);
}

#[test]
fn after_the_cooldown_one_request_probes_and_success_closes_the_breaker() {
    let mut harness = GatewayHarness::new(settings(), 4);
    open(&mut harness);
    harness.advance(5 * S - 1);
    assert!(!failing(&mut harness, 4), "still cooling down");
    harness.advance(1);
    let (_, out) = harness.request(0, 0, 5, 1.0);
    let probe = nonzero_counter_calls(&out);
    assert_eq!(probe.len(), 1, "half-open: one probe");
    assert!(
        counter_calls(&harness.request(0, 0, 6, 1.0).1).is_empty(),
        "while the probe is out nobody else asks"
    );
    harness.handle(Event::CounterReplied { key: probe[0].0, outcome: Outcome::Success, total: 1.0 });
    let asked =
        (10..30).filter(|c| !nonzero_counter_calls(&harness.request(0, 0, *c, 1.0).1).is_empty()).count();
    assert!(asked > 0, "closed again");
}

#[test]
fn failed_probe_opens_the_breaker_for_another_cooldown() {
    let mut harness = GatewayHarness::new(settings(), 4);
    open(&mut harness);
    harness.advance(5 * S);
    assert!(failing(&mut harness, 5), "the probe");
    harness.advance(5 * S - 1);
    assert!(!failing(&mut harness, 6));
    harness.advance(1);
    assert!(failing(&mut harness, 7), "the next probe");
}

#[test]
fn silent_counter_opens_the_breaker_by_timeouts() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let calls: Vec<_> = (1..=3).flat_map(|c| counter_calls(&harness.request(0, 0, c, 1.0).1)).collect();
    harness.advance(80 * MS);
    calls.iter().for_each(|(name, _)| {
        drop(harness.handle(Event::CounterReplied { key: *name, outcome: Outcome::Timeout, total: 0.0 }))
    });
    assert!(counter_calls(&harness.request(0, 0, 4, 1.0).1).is_empty());
}

#[test]
fn one_busy_counter_does_not_open_the_breaker_for_every_customer() {
    let mut harness = GatewayHarness::new(settings(), 4);
    for _ in 0..10 {
        failing(&mut harness, 1);
    }
    let asked =
        (10..60).filter(|c| !nonzero_counter_calls(&harness.request(0, 0, *c, 1.0).1).is_empty()).count();
    assert!(asked > 0, "others still ask");
    assert!(!failing(&mut harness, 1), "the busy customer's own breaker is open");
}

#[test]
fn slow_counter_that_answers_now_and_then_still_opens_the_breaker() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (mut customer, mut calls) = (100, 0);
    for _ in 0..2_000 {
        customer += 1;
        let (_, out) = harness.request(0, 0, customer, 1.0);
        for (name, amount) in counter_calls(&out) {
            // Two failures, one answer, and again: three in a row never come.
            calls += u32::from(amount != 0.0);
            let outcome = if amount == 0.0 || calls % 3 == 0 { Outcome::Success } else { Outcome::Rejected };
            harness.handle(Event::CounterReplied { key: name, outcome, total: amount });
        }
    }
    let asked = (0..200)
        .filter(|c| !nonzero_counter_calls(&harness.request(0, 0, 1_000 + c, 1.0).1).is_empty())
        .count();
    assert_eq!(asked, 0, "open");
}

#[test]
fn half_open_customer_does_not_use_up_the_common_probe() {
    let mut harness = GatewayHarness::new(settings(), 4);
    open(&mut harness);
    for _ in 0..3 {
        failing(&mut harness, 1); // Decided locally.
    }
    harness.advance(5 * S);
    let (_, out) = harness.request(0, 0, 1, 1.0);
    let probe = nonzero_counter_calls(&out);
    assert_eq!(probe.len(), 1);
    harness.handle(Event::CounterReplied { key: probe[0].0, outcome: Outcome::Rejected, total: 0.0 });
    harness.advance(5 * S);
    assert!(failing(&mut harness, 9), "the probe was given back");
}
