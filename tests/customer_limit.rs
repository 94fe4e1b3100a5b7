//! The number of customers whose state is kept.
mod common;
use common::{counter_calls, sent_attempts, settings, GatewayHarness, MS, S};
use quota_gateway::decision::{Event, Outcome};

const MAX_CUSTOMERS: usize = 200;

/// Sends a request while the counter does not answer, and returns whether it was forwarded.
fn is_forwarded_without_counter(harness: &mut GatewayHarness, customer: u64) -> bool {
    let (_, mut out) = harness.request(0, 1, customer, 1.0);
    for (key, _) in counter_calls(&out) {
        let reply = Event::CounterReplied { key, outcome: Outcome::Rejected, total: 0.0 };
        out.extend(harness.handle(reply));
    }
    let sent = sent_attempts(&out);
    for (id, endpoint) in &sent {
        harness.end_attempt(*id, 0, *endpoint, Outcome::Success);
    }
    !sent.is_empty()
}

#[test]
fn new_customers_at_full_speed_reach_a_bound() {
    let mut harness = GatewayHarness::new(settings(), 8);
    harness.gateway.limit_customers(MAX_CUSTOMERS);
    for customer in 0..5_000 {
        harness.request(0, 1, 1_000 + customer, 1.0);
        assert!(harness.gateway.customer_count() <= MAX_CUSTOMERS);
    }
    assert!(harness.gateway.customer_count() >= MAX_CUSTOMERS / 2, "no more are dropped than need be");
}

/// All customers of one instant were dropped where a quarter had to be.
#[test]
fn customers_of_one_instant_are_not_dropped_together() {
    let mut harness = GatewayHarness::new(settings(), 8);
    harness.gateway.limit_customers(MAX_CUSTOMERS);
    let mut fewest = MAX_CUSTOMERS;
    for customer in 0..1_000 {
        let (_, out) = harness.request(0, 3, 1_000 + customer, 1.0);
        for (id, endpoint) in sent_attempts(&out) {
            harness.end_attempt(id, 0, endpoint, Outcome::Success);
        }
        if customer as usize >= MAX_CUSTOMERS {
            fewest = fewest.min(harness.gateway.customer_count());
        }
    }
    assert!(fewest >= MAX_CUSTOMERS * 3 / 4, "{fewest} of {MAX_CUSTOMERS} customers are left");
}

#[test]
fn a_dropped_customer_may_not_use_its_hard_limit_again() {
    let mut harness = GatewayHarness::new(settings(), 8);
    harness.gateway.limit_customers(MAX_CUSTOMERS);
    harness.advance(20 * S);
    let forwarded = (0..100).filter(|_| is_forwarded_without_counter(&mut harness, 9)).count();
    assert!(forwarded > 0, "the customer has not used its hard limit");
    harness.advance(MS);
    for customer in 0..1_000 {
        // Ended at once: otherwise no endpoint has capacity for what follows.
        let (_, out) = harness.request(0, 3, 1_000 + customer, 1.0);
        for (id, endpoint) in sent_attempts(&out) {
            harness.end_attempt(id, 0, endpoint, Outcome::Success);
        }
    }
    let again = (0..100).filter(|_| is_forwarded_without_counter(&mut harness, 9)).count();
    assert_eq!(again, 0, "after {forwarded} were forwarded");
}
