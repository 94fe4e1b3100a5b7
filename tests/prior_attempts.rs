//! Attempts that other gateways made of a request bound what this one sends and answers.
mod common;
use common::{counter_calls, is_failed, is_rejected, sent_attempts, settings, GatewayHarness, MS, S};
use quota_gateway::decision::{
    Action, Arrival, ClassId, DeduplicationScope, EndpointId, Event, Idempotency, Micros, Outcome,
    PriorAttempt, RequestId,
};

/// A request of this class whose prior attempts were sent so long ago, to these endpoints.
fn taken_over(
    harness: &mut GatewayHarness,
    class: usize,
    earlier: &[(u64, u64)],
) -> (RequestId, Vec<Action>) {
    let id = RequestId(1_000_000 + harness.next_request);
    harness.next_request += 1;
    let sent = |&(endpoint, ago): &(u64, u64)| PriorAttempt {
        endpoint: EndpointId(endpoint),
        sent_at: Micros(harness.now - ago),
    };
    let arrival = Arrival {
        id,
        class: ClassId(class),
        deadline: Micros(harness.now + 3 * S),
        spread: 2,
        units: 1.0,
        prior_attempts: earlier.iter().map(sent).collect(),
        already_counted: true,
        ..Arrival::default()
    };
    (id, harness.handle(Event::RequestArrived(arrival)))
}

#[test]
fn counted_request_is_forwarded_within_its_window_without_being_counted_again() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (id, out) = taken_over(&mut harness, 3, &[(0, 100 * MS)]);
    assert_eq!(sent_attempts(&out).len(), 1, "{out:?}");
    assert_eq!(counter_calls(&out), [], "its units were counted by its first owner");
    let endpoint = sent_attempts(&out)[0].1;
    // Its attempts go on in number after those of the earlier owner.
    assert!(
        sent_attempts(&harness.end_attempt(id, 0, endpoint, Outcome::Success)).is_empty(),
        "that is not its own attempt"
    );
    harness.end_attempt(id, 1, endpoint, Outcome::Success);
    harness.advance(4 * S);
    assert!(
        !is_failed(&harness.all_actions, id) && !is_rejected(&harness.all_actions, id),
        "it was answered"
    );
}

#[test]
fn neither_sends_nor_rejects_request_with_prior_attempts_beyond_the_window() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let window = settings().classes[3].deduplication_window.0;
    let (id, out) = taken_over(&mut harness, 3, &[(0, window - 100 * MS), (1, 20 * MS)]);
    let endpoint = sent_attempts(&out)[0].1;
    harness.advance(200 * MS);
    let out = harness.end_attempt(id, 2, endpoint, Outcome::ServerError);
    assert!(sent_attempts(&out).is_empty(), "counted from the first attempt of all owners");
    harness.advance(3 * S);
    assert!(
        is_failed(&harness.all_actions, id) && !is_rejected(&harness.all_actions, id),
        "a client that came again would have it run twice"
    );
}

#[test]
fn prior_attempts_never_lead_to_a_forbidden_retry() {
    let mut rng = fastrand::Rng::with_seed(11);
    let set = settings();
    for round in 0..2_000 {
        let mut harness = GatewayHarness::seeded(round, settings(), 4);
        let class = rng.usize(0..set.classes.len());
        let of = &set.classes[class];
        let earlier: Vec<(u64, u64)> = (0..rng.usize(0..5))
            .map(|_| (rng.u64(0..4), rng.u64(0..2 * of.deduplication_window.0.max(S))))
            .collect();
        let oldest = earlier.iter().map(|(_, ago)| *ago).max().unwrap_or(0);
        let (id, _) = taken_over(&mut harness, class, &earlier);
        harness.advance(3 * S);
        let sent = sent_attempts(&harness.all_actions);
        let what = format!("class {class} after {earlier:?}: {sent:?}");
        assert!(earlier.len() + sent.len() <= set.max_attempts.max(earlier.len()), "{what}");
        assert_eq!(
            u32::from(is_failed(&harness.all_actions, id)) + u32::from(is_rejected(&harness.all_actions, id)),
            1,
            "{what}"
        );
        if earlier.is_empty() {
            continue;
        }
        match of.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => {
                assert!(sent.is_empty() && !is_rejected(&harness.all_actions, id), "{what}")
            }
            Idempotency::WithKey => {
                assert!(sent.is_empty() || oldest < of.deduplication_window.0, "{what}");
                let same_cell = sent.iter().all(|(_, to)| earlier.iter().all(|(by, _)| by / 2 == to.0 / 2));
                assert!(of.deduplication_scope == DeduplicationScope::All || same_cell, "{what}");
                assert!(
                    of.deduplication_scope == DeduplicationScope::All
                        || !is_rejected(&harness.all_actions, id),
                    "{what}"
                );
            }
        }
    }
}
