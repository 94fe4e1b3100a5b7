//! What other gateways sent of a request before this one had it bounds what the module sends and says.
mod common;
use common::*;
use quota_gateway::decision::{
    Action, Arrival, ClassId, DeduplicationScope, EndpointId, Event, Idempotency, Micros, Outcome,
    PriorAttempt, RequestId,
};

/// A request of this class whose earlier attempts were sent so long ago, to these servers.
fn taken_over(rig: &mut Rig, class: usize, earlier: &[(u64, u64)]) -> (RequestId, Vec<Action>) {
    let id = RequestId(1_000_000 + rig.next);
    rig.next += 1;
    let sent = |&(server, ago): &(u64, u64)| PriorAttempt {
        endpoint: EndpointId(server),
        sent_at: Micros(rig.now - ago),
    };
    let arrival = Arrival {
        id,
        class: ClassId(class),
        deadline: Micros(rig.now + 3 * S),
        spread: 2,
        units: 1.0,
        prior_attempts: earlier.iter().map(sent).collect(),
        already_counted: true,
        ..Arrival::default()
    };
    (id, rig.tell(Event::RequestArrived(arrival)))
}

#[test]
fn what_was_counted_is_sent_on_within_the_window_without_being_counted_again() {
    let mut rig = Rig::new(settings(), 4);
    let (id, out) = taken_over(&mut rig, 3, &[(0, 100 * MS)]);
    assert_eq!(sends(&out).len(), 1, "{out:?}");
    assert_eq!(counts(&out), [], "its units were counted by its first owner");
    let server = sends(&out)[0].1;
    // Its attempts go on in number after those of the earlier owner.
    assert!(sends(&rig.ended(id, 0, server, Outcome::Success)).is_empty(), "that is not its own attempt");
    rig.ended(id, 1, server, Outcome::Success);
    rig.pass(4 * S);
    assert!(!failed(&rig.done, id) && !refused(&rig.done, id), "it was answered");
}

#[test]
fn beyond_the_window_it_is_neither_sent_nor_said_to_be_harmless() {
    let mut rig = Rig::new(settings(), 4);
    let window = settings().classes[3].deduplication_window.0;
    let (id, out) = taken_over(&mut rig, 3, &[(0, window - 100 * MS), (1, 20 * MS)]);
    let server = sends(&out)[0].1;
    rig.pass(200 * MS);
    let out = rig.ended(id, 2, server, Outcome::ServerError);
    assert!(sends(&out).is_empty(), "counted from the first attempt of all owners");
    rig.pass(3 * S);
    assert!(
        failed(&rig.done, id) && !refused(&rig.done, id),
        "a client that came again would have it run twice"
    );
}

#[test]
fn whatever_was_sent_before_no_rule_on_repeats_is_broken() {
    let mut rng = fastrand::Rng::with_seed(11);
    let set = settings();
    for round in 0..2_000 {
        let mut rig = Rig::seeded(round, settings(), 4);
        let class = rng.usize(0..set.classes.len());
        let of = &set.classes[class];
        let earlier: Vec<(u64, u64)> = (0..rng.usize(0..5))
            .map(|_| (rng.u64(0..4), rng.u64(0..2 * of.deduplication_window.0.max(S))))
            .collect();
        let oldest = earlier.iter().map(|(_, ago)| *ago).max().unwrap_or(0);
        let (id, _) = taken_over(&mut rig, class, &earlier);
        rig.pass(3 * S);
        let sent = sends(&rig.done);
        let what = format!("class {class} after {earlier:?}: {sent:?}");
        assert!(earlier.len() + sent.len() <= set.max_attempts.max(earlier.len()), "{what}");
        assert_eq!(u32::from(failed(&rig.done, id)) + u32::from(refused(&rig.done, id)), 1, "{what}");
        if earlier.is_empty() {
            continue;
        }
        match of.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => assert!(sent.is_empty() && !refused(&rig.done, id), "{what}"),
            Idempotency::WithKey => {
                assert!(sent.is_empty() || oldest < of.deduplication_window.0, "{what}");
                let same_cell = sent.iter().all(|(_, to)| earlier.iter().all(|(by, _)| by / 2 == to.0 / 2));
                assert!(of.deduplication_scope == DeduplicationScope::All || same_cell, "{what}");
                assert!(
                    of.deduplication_scope == DeduplicationScope::All || !refused(&rig.done, id),
                    "{what}"
                );
            }
        }
    }
}
