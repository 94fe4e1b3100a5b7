//! The quota window: its edges, rejections, late replies, lost additions, and the local bucket.
mod common;
use common::{
    counter_calls, is_rejected, nonzero_counter_calls, sent_attempts, settings, GatewayHarness, MS, S,
};
use quota_gateway::decision::{Action, CounterKey, Event, Outcome, RequestId};

/// One request whose call is answered with this total.
fn with_total(harness: &mut GatewayHarness, units: f64, total: f64) -> (RequestId, Vec<Action>) {
    let (id, out) = harness.request(0, 0, 1, units);
    let add = nonzero_counter_calls(&out);
    assert_eq!(add.len(), 1, "one call before forwarding");
    assert!(sent_attempts(&out).is_empty(), "nothing is forwarded before the reply");
    (id, harness.handle(Event::CounterReplied { key: add[0].0, outcome: Outcome::Success, total }))
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
    let (_, out) = with_total(&mut harness, 2.0, 20.0);
    assert_eq!(sent_attempts(&out).len(), 1);
}

#[test]
fn request_beyond_the_allowance_is_rejected_given_back_and_gets_a_retry_after() {
    let mut harness = GatewayHarness::new(settings(), 4);
    // Far beyond what the quota can save up: twice the burst and more.
    let (id, out) = with_total(&mut harness, 4.0, 43.0);
    let Some(Action::Reject { retry_after: Some(wait), .. }) =
        out.iter().find(|a| matches!(a, Action::Reject { request: r, .. } if *r == id))
    else {
        panic!("rejected with a Retry-After: {out:?}");
    };
    assert!(wait.0 > 0 && wait.0 <= 2 * S);
    assert!(sent_attempts(&out).is_empty());
    // Nobody could use what the add takes up: it goes back with the next call, no call is spent on it.
    assert!(nonzero_counter_calls(&out).is_empty());
}

#[test]
fn known_exhausted_window_rejects_without_a_counter_call() {
    let mut harness = GatewayHarness::new(settings(), 4);
    with_total(&mut harness, 2.0, 43.0);
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
fn units_spent_in_the_last_window_do_not_come_back() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let told = std::cell::Cell::new(0.0);
    let name = |harness: &mut GatewayHarness| {
        let (_, out) = harness.request(0, 0, 1, 1.0);
        told.set(told.get() + 1.0);
        let add = nonzero_counter_calls(&out);
        let (id, endpoint) = sent_attempts(&harness.handle(Event::CounterReplied {
            key: add[0].0,
            outcome: Outcome::Success,
            total: told.get(),
        }))[0];
        harness.end_attempt(id, 0, endpoint, Outcome::Success);
        add[0].0
    };
    // To the first quarter second of a window; the one before leaves the burst unspent.
    let first = name(&mut harness);
    while name(&mut harness) == first {
        harness.advance(250 * MS);
    }
    harness.advance(1_500 * MS);
    let (_, out) = with_total(&mut harness, 2.0, 35.0);
    assert_eq!(
        sent_attempts(&out).len(),
        1,
        "an unspent burst and what has come in since hold that much: {out:?}"
    );
    // Early in the next window five units are left, and at the most three and a half have come in.
    harness.advance(600 * MS);
    let (id, out) = with_total(&mut harness, 4.0, 9.0);
    assert!(is_rejected(&out, id), "a plain window would hold twenty: {out:?}");
    let back = nonzero_counter_calls(&out);
    harness.handle(Event::CounterReplied { key: back[0].0, outcome: Outcome::Success, total: 3.0 });
    let (_, out) = with_total(&mut harness, 2.0, 5.0);
    assert_eq!(sent_attempts(&out).len(), 1, "what is there goes on");
}

#[test]
fn gateways_agree_on_the_counter_key() {
    let mut other = settings();
    other.gateway_number = 1;
    let (mut a, mut b) = (GatewayHarness::new(settings(), 4), GatewayHarness::new(other, 2));
    assert_eq!(
        nonzero_counter_calls(&a.request(0, 0, 1, 2.0).1)[0].0,
        nonzero_counter_calls(&b.request(0, 0, 1, 2.0).1)[0].0
    );
}

#[test]
fn counter_that_lost_its_memory_gets_own_spending_again() {
    let mut harness = GatewayHarness::new(settings(), 4);
    with_total(&mut harness, 4.0, 4.0);
    with_total(&mut harness, 4.0, 8.0);
    // The memory is lost: only this add is there.
    let (_, out) = with_total(&mut harness, 2.0, 2.0);
    assert_eq!(nonzero_counter_calls(&out).iter().map(|a| a.1).sum::<f64>(), 8.0);
}

#[test]
fn rejected_units_are_given_back_at_once_where_others_could_use_them() {
    let mut harness = GatewayHarness::new(settings(), 4);
    with_total(&mut harness, 1.0, 40.0);
    harness.advance(2 * S); // A full window before: nothing is left over.
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
    // Rejected: nothing was added, the local bucket admits it.
    let out = harness.handle(Event::CounterReplied {
        key: nonzero_counter_calls(&out)[0].0,
        outcome: Outcome::Rejected,
        total: 0.0,
    });
    assert_eq!(sent_attempts(&out).len(), 1);
    let next =
        (0..50).find_map(|_| nonzero_counter_calls(&harness.request(0, 0, 1, 1.0).1).first().map(|a| a.1));
    assert!(next.expect("somebody asks") >= 3.0, "its own unit and what was admitted without the counter");
}

#[test]
fn without_a_counter_the_quota_share_decides() {
    let mut set = settings();
    set.counter_enabled = false;
    let mut harness = GatewayHarness::new(set, 8);
    let mut through = 0;
    for _ in 0..400 {
        harness.advance(100 * MS);
        let (id, out) = harness.request(0, 0, 1, 1.0);
        assert!(counter_calls(&out).is_empty());
        if let Some((_, endpoint)) = sent_attempts(&out).first() {
            through += 1;
            harness.end_attempt(id, 0, *endpoint, Outcome::Success);
        }
    }
    // 40 s at a share of 5 units a second, and at most one burst's share on top.
    assert!((190..=212).contains(&through), "{through}");
}

#[test]
fn concurrency_quota_is_counted_and_released() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (id, out) = harness.request(0, 2, 1, 1.0);
    let (name, one) = nonzero_counter_calls(&out)[0];
    assert_eq!(one, 1.0);
    let out = harness.handle(Event::CounterReplied { key: name, outcome: Outcome::Success, total: 1.0 });
    let endpoint = sent_attempts(&out)[0].1;
    let out = harness.end_attempt(id, 0, endpoint, Outcome::Success);
    assert_eq!(nonzero_counter_calls(&out), [(name, -1.0)]);
    harness.handle(Event::CounterReplied { key: name, outcome: Outcome::Success, total: 0.0 });
    let (id, out) = harness.request(0, 2, 1, 1.0);
    assert_eq!(nonzero_counter_calls(&out), [(name, 1.0)]);
    let out = harness.handle(Event::CounterReplied { key: name, outcome: Outcome::Success, total: 3.0 });
    assert!(is_rejected(&out, id), "two are in flight elsewhere");
    assert_eq!(nonzero_counter_calls(&out), [(name, -1.0)], "and the slot is given back");
}

#[test]
fn reply_to_a_call_never_made_changes_nothing() {
    let mut harness = GatewayHarness::new(settings(), 4);
    assert!(harness
        .handle(Event::CounterReplied { key: CounterKey(5), outcome: Outcome::Success, total: 1.0 })
        .is_empty());
}

#[test]
fn gateway_with_most_of_the_traffic_gets_the_larger_local_share() {
    let passed = |others: f64| {
        let mut harness = GatewayHarness::new(settings(), 8);
        // Four windows in which this gateway adds four units of a total that others raise.
        for _ in 0..4 {
            harness.advance(2 * S);
            let (id, out) = harness.request(0, 0, 1, 4.0);
            for (name, amount) in counter_calls(&out) {
                let total = if amount > 0.0 { 4.0 + others } else { 0.0 };
                let out =
                    harness.handle(Event::CounterReplied { key: name, outcome: Outcome::Success, total });
                sent_attempts(&out)
                    .iter()
                    .for_each(|(_, s)| drop(harness.end_attempt(id, 0, *s, Outcome::Success)));
            }
        }
        let mut passed = 0;
        for _ in 0..300 {
            harness.advance(100 * MS);
            let (id, mut out) = harness.request(0, 0, 1, 1.0);
            for (name, _) in counter_calls(&out.clone()) {
                out.extend(harness.handle(Event::CounterReplied {
                    key: name,
                    outcome: Outcome::Rejected,
                    total: 0.0,
                }));
            }
            passed += sent_attempts(&out).len();
            sent_attempts(&out)
                .iter()
                .for_each(|(_, s)| drop(harness.end_attempt(id, 0, *s, Outcome::Success)));
        }
        passed
    };
    let (alone, beside) = (passed(0.0), passed(12.0));
    assert!(alone * 4 > beside * 5, "{alone} against {beside}");
}

#[test]
fn units_to_be_given_back_later_are_taken_off_once() {
    let mut harness = GatewayHarness::new(settings(), 4);
    with_total(&mut harness, 1.0, 40.0);
    harness.advance(2 * S); // A full window before: nothing is left over.
    let (id, out) = with_total(&mut harness, 4.0, 24.0);
    assert!(
        is_rejected(&out, id) && nonzero_counter_calls(&out).is_empty(),
        "nobody could use what goes back: {out:?}"
    );
    // Others have spent the whole allowance of 20.
    let (id, out) = harness.request(0, 0, 1, 3.0);
    assert!(is_rejected(&out, id) && nonzero_counter_calls(&out).is_empty(), "known full: {out:?}");
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
    // Those that went unasked in between are owed; the two units are not.
    let unasked = harness.next_request - 3;
    assert_eq!(next.expect("somebody asks"), 1.0 + unasked as f64);
}
