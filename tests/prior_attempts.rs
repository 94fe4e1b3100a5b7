//! Attempts that other gateways made of a request limit what this gateway sends and answers.
mod common;
use common::{counter_calls, is_failed, is_rejected, sent_attempts, settings, GatewayHarness, MS, S};
use quota_gateway::decision::{
    Action, Arrival, ClassId, DeduplicationScope, EndpointId, Event, Idempotency, Micros, Outcome,
    PriorAttempt, RequestId,
};

/// Sends a request of this class whose prior attempts went to these endpoints, this long ago.
fn send_with_prior_attempts(
    harness: &mut GatewayHarness,
    class: usize,
    prior_attempts: &[(u64, u64)],
) -> (RequestId, Vec<Action>) {
    let id = RequestId(1_000_000 + harness.next_request);
    harness.next_request += 1;
    let prior_attempt = |&(endpoint, ago): &(u64, u64)| PriorAttempt {
        endpoint: EndpointId(endpoint),
        sent_at: Micros(harness.now - ago),
    };
    let arrival = Arrival {
        id,
        class: ClassId(class),
        deadline: Micros(harness.now + 3 * S),
        gateway_count: 2,
        units: 1.0,
        prior_attempts: prior_attempts.iter().map(prior_attempt).collect(),
        already_counted: true,
        ..Arrival::default()
    };
    (id, harness.handle(Event::RequestArrived(arrival)))
}

#[test]
fn request_already_counted_is_forwarded_within_its_window_without_counting_it_again() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (id, out) = send_with_prior_attempts(&mut harness, 3, &[(0, 100 * MS)]);
    assert_eq!(sent_attempts(&out).len(), 1, "{out:?}");
    assert_eq!(counter_calls(&out), [], "the first owner has already counted the units");
    let endpoint = sent_attempts(&out)[0].1;
    // The numbers of this gateway's attempts follow those of the previous owner.
    assert!(
        sent_attempts(&harness.end_attempt(id, 0, endpoint, Outcome::Success)).is_empty(),
        "attempt 0 is not an attempt of this gateway"
    );
    harness.end_attempt(id, 1, endpoint, Outcome::Success);
    harness.advance(4 * S);
    assert!(
        !is_failed(&harness.all_actions, id) && !is_rejected(&harness.all_actions, id),
        "the request was answered"
    );
}

#[test]
fn request_with_prior_attempts_beyond_the_window_is_neither_sent_nor_rejected() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let window = settings().classes[3].deduplication_window.0;
    let (id, out) = send_with_prior_attempts(&mut harness, 3, &[(0, window - 100 * MS), (1, 20 * MS)]);
    let endpoint = sent_attempts(&out)[0].1;
    harness.advance(200 * MS);
    let out = harness.end_attempt(id, 2, endpoint, Outcome::ServerError);
    assert!(sent_attempts(&out).is_empty(), "the window begins with the first attempt of any owner");
    harness.advance(3 * S);
    assert!(
        is_failed(&harness.all_actions, id) && !is_rejected(&harness.all_actions, id),
        "a retry of the client would run the request twice"
    );
}

#[test]
fn retries_after_prior_attempts_respect_idempotency_window_and_cell() {
    let mut rng = fastrand::Rng::with_seed(11);
    let test_settings = settings();
    for round in 0..2_000 {
        let mut harness = GatewayHarness::seeded(round, settings(), 4);
        let class = rng.usize(0..test_settings.classes.len());
        let class_settings = &test_settings.classes[class];
        let prior_attempts: Vec<(u64, u64)> = (0..rng.usize(0..5))
            .map(|_| (rng.u64(0..4), rng.u64(0..2 * class_settings.deduplication_window.0.max(S))))
            .collect();
        let oldest = prior_attempts.iter().map(|(_, ago)| *ago).max().unwrap_or(0);
        let (id, _) = send_with_prior_attempts(&mut harness, class, &prior_attempts);
        harness.advance(3 * S);
        let sent = sent_attempts(&harness.all_actions);
        let context = format!("class {class} after {prior_attempts:?}: {sent:?}");
        assert!(
            prior_attempts.len() + sent.len() <= test_settings.max_attempts.max(prior_attempts.len()),
            "{context}"
        );
        assert_eq!(
            u32::from(is_failed(&harness.all_actions, id)) + u32::from(is_rejected(&harness.all_actions, id)),
            1,
            "{context}"
        );
        if prior_attempts.is_empty() {
            continue;
        }
        match class_settings.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => {
                assert!(sent.is_empty() && !is_rejected(&harness.all_actions, id), "{context}")
            }
            Idempotency::WithKey => {
                assert!(sent.is_empty() || oldest < class_settings.deduplication_window.0, "{context}");
                let same_cell = sent
                    .iter()
                    .all(|(_, endpoint)| prior_attempts.iter().all(|(prior, _)| prior / 2 == endpoint.0 / 2));
                assert!(
                    class_settings.deduplication_scope == DeduplicationScope::All || same_cell,
                    "{context}"
                );
                assert!(
                    class_settings.deduplication_scope == DeduplicationScope::All
                        || !is_rejected(&harness.all_actions, id),
                    "{context}"
                );
            }
        }
    }
}
