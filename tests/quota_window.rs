//! The quota window: allowance, rejections, late replies, lost increments, and the local bucket.
mod common;
use common::{
    counter_calls, is_rejected, nonzero_counter_calls, sent_attempts, settings, GatewayHarness, MS, S,
};
use quota_gateway::decision::{Action, CounterKey, Event, Outcome, RequestId};

/// Sends a request whose counter call is answered with this total.
fn request_with_counter_total(
    harness: &mut GatewayHarness,
    units: f64,
    total: f64,
) -> (RequestId, Vec<Action>) {
    let (id, out) = harness.request(0, 0, 1, units);
    let calls = nonzero_counter_calls(&out);
    assert_eq!(calls.len(), 1, "expected one counter call before forwarding");
    assert!(sent_attempts(&out).is_empty(), "nothing is forwarded before the reply");
    (id, harness.handle(Event::CounterReplied { key: calls[0].0, outcome: Outcome::Success, total }))
}

#[test]
fn units_are_counted_once_before_the_attempt() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (id, out) = harness.request(0, 0, 1, 3.0);
    assert_eq!(nonzero_counter_calls(&out).iter().map(|a| a.1).collect::<Vec<_>>(), [3.0]);
    let out = harness.handle(Event::CounterReplied {
        key: nonzero_counter_calls(&out)[0].0,
        outcome: Outcome::Success,
        total: 3.0,
    });
    assert_eq!(sent_attempts(&out)[0].0, id);
}

#[test]
fn total_equal_to_the_allowance_is_admitted() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (_, out) = request_with_counter_total(&mut harness, 2.0, 20.0);
    assert_eq!(sent_attempts(&out).len(), 1);
}

#[test]
fn request_beyond_the_allowance_is_rejected_with_retry_after_and_no_refund_call() {
    let mut harness = GatewayHarness::new(settings(), 4);
    // More than the quota can save up: over twice the burst.
    let (id, out) = request_with_counter_total(&mut harness, 4.0, 43.0);
    let Some(Action::Reject { retry_after: Some(wait), .. }) =
        out.iter().find(|a| matches!(a, Action::Reject { request: r, .. } if *r == id))
    else {
        panic!("rejected with a Retry-After: {out:?}");
    };
    assert!(wait.0 > 0 && wait.0 <= 2 * S);
    assert!(sent_attempts(&out).is_empty());
    // No gateway could use the units that the increment takes up, so they are taken back with the next call
    // instead of a separate one.
    assert!(nonzero_counter_calls(&out).is_empty());
}

#[test]
fn known_exhausted_window_rejects_without_a_counter_call() {
    let mut harness = GatewayHarness::new(settings(), 4);
    request_with_counter_total(&mut harness, 2.0, 43.0);
    let (id, out) = harness.request(0, 0, 1, 2.0);
    assert!(is_rejected(&out, id) && nonzero_counter_calls(&out).is_empty());
}

#[test]
fn new_window_has_a_new_counter() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let first = nonzero_counter_calls(&harness.request(0, 0, 1, 2.0).1)[0].0;
    harness.handle(Event::CounterReplied { key: first, outcome: Outcome::Success, total: 43.0 });
    harness.advance(2 * S);
    let (_, out) = harness.request(0, 0, 1, 2.0);
    assert_eq!(nonzero_counter_calls(&out).len(), 1);
    assert_ne!(nonzero_counter_calls(&out)[0].0, first);
}

#[test]
fn units_spent_in_the_last_window_are_not_admitted_again() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let counted_total = std::cell::Cell::new(0.0);
    let send_one_unit = |harness: &mut GatewayHarness| {
        let (_, out) = harness.request(0, 0, 1, 1.0);
        counted_total.set(counted_total.get() + 1.0);
        let calls = nonzero_counter_calls(&out);
        let (id, endpoint) = sent_attempts(&harness.handle(Event::CounterReplied {
            key: calls[0].0,
            outcome: Outcome::Success,
            total: counted_total.get(),
        }))[0];
        harness.end_attempt(id, 0, endpoint, Outcome::Success);
        calls[0].0
    };
    // Advances to the first quarter second of a window. The previous window leaves the burst unspent.
    let first = send_one_unit(&mut harness);
    while send_one_unit(&mut harness) == first {
        harness.advance(250 * MS);
    }
    harness.advance(1_500 * MS);
    let (_, out) = request_with_counter_total(&mut harness, 2.0, 35.0);
    assert_eq!(
        sent_attempts(&out).len(),
        1,
        "the unspent burst and the units accrued since allow this request: {out:?}"
    );
    // Early in the next window five units are left, and at most three and a half have accrued.
    harness.advance(600 * MS);
    let (id, out) = request_with_counter_total(&mut harness, 4.0, 9.0);
    assert!(is_rejected(&out, id), "a plain window would admit twenty units: {out:?}");
    let refund = nonzero_counter_calls(&out);
    harness.handle(Event::CounterReplied { key: refund[0].0, outcome: Outcome::Success, total: 3.0 });
    let (_, out) = request_with_counter_total(&mut harness, 2.0, 5.0);
    assert_eq!(sent_attempts(&out).len(), 1, "the remaining units are still admitted");
}

#[test]
fn gateways_agree_on_the_counter_key() {
    let mut other_settings = settings();
    other_settings.gateway_number = 1;
    let (mut first, mut second) =
        (GatewayHarness::new(settings(), 4), GatewayHarness::new(other_settings, 2));
    assert_eq!(
        nonzero_counter_calls(&first.request(0, 0, 1, 2.0).1)[0].0,
        nonzero_counter_calls(&second.request(0, 0, 1, 2.0).1)[0].0
    );
}

#[test]
fn spending_is_counted_again_after_the_counter_lost_its_data() {
    let mut harness = GatewayHarness::new(settings(), 4);
    request_with_counter_total(&mut harness, 4.0, 4.0);
    request_with_counter_total(&mut harness, 4.0, 8.0);
    // The counter lost its data: it includes only this increment.
    let (_, out) = request_with_counter_total(&mut harness, 2.0, 2.0);
    assert_eq!(nonzero_counter_calls(&out).iter().map(|a| a.1).sum::<f64>(), 8.0);
}

#[test]
fn rejected_units_are_refunded_at_once_if_other_gateways_could_use_them() {
    let mut harness = GatewayHarness::new(settings(), 4);
    request_with_counter_total(&mut harness, 1.0, 40.0);
    harness.advance(2 * S); // The previous window was full: nothing is left over.
    let (id, out) = harness.request(0, 0, 1, 4.0);
    let out = harness.handle(Event::CounterReplied {
        key: nonzero_counter_calls(&out)[0].0,
        outcome: Outcome::Success,
        total: 22.0,
    });
    assert!(is_rejected(&out, id), "{out:?}");
    assert_eq!(nonzero_counter_calls(&out).iter().map(|a| a.1).collect::<Vec<_>>(), [-4.0]);
}

#[test]
fn local_spending_is_counted_with_the_next_call() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (_, out) = harness.request(0, 0, 1, 2.0);
    // The counter rejected the call, so nothing was added, and the local bucket admits the request.
    let out = harness.handle(Event::CounterReplied {
        key: nonzero_counter_calls(&out)[0].0,
        outcome: Outcome::Rejected,
        total: 0.0,
    });
    assert_eq!(sent_attempts(&out).len(), 1);
    let next =
        (0..50).find_map(|_| nonzero_counter_calls(&harness.request(0, 0, 1, 1.0).1).first().map(|a| a.1));
    assert!(
        next.expect("some request calls the counter") >= 3.0,
        "the unit of the request and the units admitted without the counter"
    );
}

#[test]
fn without_a_counter_the_quota_share_limits_requests() {
    let mut settings = settings();
    settings.counter_enabled = false;
    let mut harness = GatewayHarness::new(settings, 8);
    let mut admitted = 0;
    for _ in 0..400 {
        harness.advance(100 * MS);
        let (id, out) = harness.request(0, 0, 1, 1.0);
        assert!(counter_calls(&out).is_empty());
        if let Some((_, endpoint)) = sent_attempts(&out).first() {
            admitted += 1;
            harness.end_attempt(id, 0, *endpoint, Outcome::Success);
        }
    }
    // 40 s at a share of 5 units a second, plus at most the share of one burst.
    assert!((190..=212).contains(&admitted), "{admitted}");
}

#[test]
fn concurrency_quota_is_counted_and_released() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (id, out) = harness.request(0, 2, 1, 1.0);
    let (key, amount) = nonzero_counter_calls(&out)[0];
    assert_eq!(amount, 1.0);
    let out = harness.handle(Event::CounterReplied { key, outcome: Outcome::Success, total: 1.0 });
    let endpoint = sent_attempts(&out)[0].1;
    let out = harness.end_attempt(id, 0, endpoint, Outcome::Success);
    assert_eq!(nonzero_counter_calls(&out), [(key, -1.0)]);
    harness.handle(Event::CounterReplied { key, outcome: Outcome::Success, total: 0.0 });
    let (id, out) = harness.request(0, 2, 1, 1.0);
    assert_eq!(nonzero_counter_calls(&out), [(key, 1.0)]);
    let out = harness.handle(Event::CounterReplied { key, outcome: Outcome::Success, total: 3.0 });
    assert!(is_rejected(&out, id), "two are in flight elsewhere");
    assert_eq!(nonzero_counter_calls(&out), [(key, -1.0)], "the attempt is no longer counted");
}

#[test]
fn reply_to_an_unknown_call_is_ignored() {
    let mut harness = GatewayHarness::new(settings(), 4);
    assert!(harness
        .handle(Event::CounterReplied { key: CounterKey(5), outcome: Outcome::Success, total: 1.0 })
        .is_empty());
}

#[test]
fn gateway_with_most_of_the_traffic_gets_the_larger_local_share() {
    let admitted_with_others = |units_of_others: f64| {
        let mut harness = GatewayHarness::new(settings(), 8);
        // Four windows in which this gateway adds four units to a total that also includes those of other
        // gateways.
        for _ in 0..4 {
            harness.advance(2 * S);
            let (id, out) = harness.request(0, 0, 1, 4.0);
            for (key, amount) in counter_calls(&out) {
                let total = if amount > 0.0 { 4.0 + units_of_others } else { 0.0 };
                let out = harness.handle(Event::CounterReplied { key, outcome: Outcome::Success, total });
                sent_attempts(&out)
                    .iter()
                    .for_each(|(_, endpoint)| drop(harness.end_attempt(id, 0, *endpoint, Outcome::Success)));
            }
        }
        let mut admitted = 0;
        for _ in 0..300 {
            harness.advance(100 * MS);
            let (id, mut out) = harness.request(0, 0, 1, 1.0);
            for (key, _) in counter_calls(&out.clone()) {
                out.extend(harness.handle(Event::CounterReplied {
                    key,
                    outcome: Outcome::Rejected,
                    total: 0.0,
                }));
            }
            admitted += sent_attempts(&out).len();
            sent_attempts(&out)
                .iter()
                .for_each(|(_, endpoint)| drop(harness.end_attempt(id, 0, *endpoint, Outcome::Success)));
        }
        admitted
    };
    let (alone, with_others) = (admitted_with_others(0.0), admitted_with_others(12.0));
    assert!(alone * 4 > with_others * 5, "{alone} against {with_others}");
}

#[test]
fn units_refunded_with_a_later_call_are_subtracted_once() {
    let mut harness = GatewayHarness::new(settings(), 4);
    request_with_counter_total(&mut harness, 1.0, 40.0);
    harness.advance(2 * S); // The previous window was full: nothing is left over.
    let (id, out) = request_with_counter_total(&mut harness, 4.0, 24.0);
    assert!(
        is_rejected(&out, id) && nonzero_counter_calls(&out).is_empty(),
        "no gateway could use the units that are taken back: {out:?}"
    );
    // Other gateways have spent the whole allowance of 20.
    let (id, out) = harness.request(0, 0, 1, 3.0);
    assert!(
        is_rejected(&out, id) && nonzero_counter_calls(&out).is_empty(),
        "the quota is known to be exhausted: {out:?}"
    );
}

#[test]
fn reply_without_a_total_counts_as_added() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (_, out) = harness.request(0, 0, 1, 2.0);
    let out = harness.handle(Event::CounterReplied {
        key: nonzero_counter_calls(&out)[0].0,
        outcome: Outcome::ServerError,
        total: 0.0,
    });
    assert_eq!(sent_attempts(&out).len(), 1, "the local bucket admits it");
    let next =
        (0..50).find_map(|_| nonzero_counter_calls(&harness.request(0, 0, 1, 1.0).1).first().map(|a| a.1));
    // Requests that were admitted without a call in between are unreported; the two units are not.
    let admitted_without_call = harness.next_request - 3;
    assert_eq!(next.expect("some request calls the counter"), 1.0 + admitted_without_call as f64);
}
