//! Load balancing: selection, outlier ejection, retries, the queue, maintenance.
mod common;
use common::{counter_calls, endpoint_update, is_rejected, sent_attempts, settings, GatewayHarness, MS, S};
use quota_gateway::decision::{
    Action, AttemptEnded, EndpointCounts, EndpointId, EndpointStatus, Event, LoadReport, Micros, Outcome,
    Settings, WatchScope,
};

#[test]
fn work_spreads_by_attempts_in_flight() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let mut seen: Vec<_> = (0..4).map(|_| harness.send_without_quota(0).1).collect();
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 4, "each of four gets one before any gets two");
}

#[test]
fn unreachable_endpoint_is_ejected_and_tried_again_later() {
    let mut harness = GatewayHarness::new(settings(), 2);
    let mut hits = 0;
    for _ in 0..100 {
        harness.advance(10 * MS);
        let (id, endpoint) = harness.send_without_quota(0);
        let bad = endpoint == EndpointId(0);
        hits += u32::from(bad);
        let out =
            harness.end_attempt(id, 0, endpoint, if bad { Outcome::ConnectFailed } else { Outcome::Success });
        assert!(!bad || sent_attempts(&out).iter().all(|s| s.1 == EndpointId(1)));
        sent_attempts(&out)
            .iter()
            .for_each(|(id, s)| drop(harness.end_attempt(*id, 1, *s, Outcome::Success)));
    }
    assert!((1..=3).contains(&hits), "{hits}");
    harness.advance(9 * S);
    let tried = (0..10).any(|_| {
        let (id, endpoint) = harness.send_without_quota(0);
        harness.end_attempt(id, 0, endpoint, Outcome::Success);
        endpoint == EndpointId(0)
    });
    assert!(tried);
}

#[test]
fn timeouts_everywhere_eject_no_endpoint() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let mut last = Vec::new();
    for i in 0..200 {
        let (id, out) = harness.request(0, 3, 1, 1.0);
        for (_, endpoint) in sent_attempts(&out) {
            harness.advance(20 * MS);
            // Every endpoint alike: one answer in three.
            let outcome = if i % 3 == 0 { Outcome::Success } else { Outcome::Timeout };
            let out = harness.end_attempt(id, 0, endpoint, outcome);
            sent_attempts(&out)
                .iter()
                .for_each(|(id, s)| drop(harness.end_attempt(*id, 1, *s, Outcome::Success)));
            if i >= 150 {
                last.push(endpoint);
            }
        }
    }
    last.sort();
    last.dedup();
    assert!(last.len() >= 3, "still in use: {last:?}");
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (mut tries, mut first) = (0, 0);
    for _ in 0..500 {
        harness.advance(50 * MS);
        let (id, out) = harness.request(0, 3, 1, 1.0);
        let (mut out, mut attempt) = (sent_attempts(&out), 0);
        first += out.len();
        while let Some((_, endpoint)) = out.first().copied() {
            tries += 1;
            out = sent_attempts(&harness.end_attempt(id, attempt, endpoint, Outcome::ServerError));
            attempt += 1;
        }
    }
    let further = tries - first;
    assert!(further > 0 && further as f64 <= 20.0 + 0.2 * 500.0, "{further} of {first}");
}

#[test]
fn request_is_queued_and_then_rejected_while_every_endpoint_rejects() {
    let mut harness = GatewayHarness::new(settings(), 1);
    harness.send_without_quota(0);
    harness.send_without_quota(0);
    let (id, out) = harness.request(0, 3, 1, 1.0);
    assert!(sent_attempts(&out).is_empty() && !is_rejected(&out, id), "it waits");
    assert!(is_rejected(&harness.advance(400 * MS), id), "not past what the latency objective allows");
}

#[test]
fn queued_requests_are_sent_when_an_endpoint_has_capacity_heaviest_first() {
    let mut set = settings();
    set.classes[3].priority_weight = 5.0;
    let mut harness = GatewayHarness::new(set, 1);
    let (first, endpoint) = harness.send_without_quota(0);
    harness.send_without_quota(0);
    let (cheap, _) = harness.request(0, 3, 1, 1.0);
    let (dear, _) = harness.request(3, 3, 1, 1.0);
    let out = harness.end_attempt(first, 0, endpoint, Outcome::Success);
    assert_eq!(sent_attempts(&out), [(dear, endpoint)]);
    assert_ne!(cheap, dear);
}

#[test]
fn failed_watch_is_opened_again() {
    let mut set = settings();
    set.must_subscribe = true;
    let mut harness = GatewayHarness::new(set, 1);
    assert!(harness.all_actions.contains(&Action::Subscribe));
    harness.handle(Event::EndpointsChanged { scope: WatchScope::Failed, endpoints: Vec::new() });
    assert!(harness.advance(S).contains(&Action::Subscribe));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut harness = GatewayHarness::new(settings(), 6);
        for i in 0..200 {
            harness.advance(7 * MS);
            let (id, out) = harness.request((i % 4) as usize, (i % 3) as usize, i % 5, 1.0);
            for (name, _) in counter_calls(&out) {
                let out = harness.handle(Event::CounterReplied {
                    key: name,
                    outcome: Outcome::Success,
                    total: (i % 17) as f64,
                });
                sent_attempts(&out)
                    .iter()
                    .for_each(|(_, s)| drop(harness.end_attempt(id, 0, *s, Outcome::Success)));
            }
        }
        harness.all_actions
    };
    assert_eq!(run(), run());
}

#[test]
fn settings_that_make_no_sense_are_rejected() {
    let bad = |change: fn(&mut Settings)| {
        let mut set = settings();
        change(&mut set);
        quota_gateway::decision::Gateway::new(1, set).is_err()
    };
    assert!(bad(|s| s.gateways = 0));
    assert!(bad(|s| s.gateway_number = 2));
    assert!(bad(|s| s.plans[0].rate = -1.0));
    assert!(bad(|s| s.plans[0].weight_factor = f64::NAN));
    assert!(bad(|s| s.plans[0].burst = 0.0));
    assert!(!bad(|_| ()));
}

#[test]
fn late_responses_lower_the_concurrency_limit_even_below_one() {
    let mut harness = GatewayHarness::new(settings(), 4);
    for _ in 0..60 {
        let (id, out) = harness.request(0, 3, 1, 1.0);
        for (_, endpoint) in sent_attempts(&out) {
            let took = Micros(600 * MS);
            let (outcome, report) = (Outcome::Success, LoadReport::default());
            let end = AttemptEnded {
                request: id,
                attempt: 0,
                endpoint,
                outcome,
                elapsed: took,
                request_finished: true,
                settled_units: None,
                load: report,
            };
            harness.handle(Event::AttemptEnded(end));
        }
        harness.advance(300 * MS);
    }
    let at_once = (0..8).map(|_| sent_attempts(&harness.request(0, 3, 1, 1.0).1).len()).sum::<usize>();
    assert_eq!(at_once, 1, "one attempt in flight over all four");
}

#[test]
fn endpoint_in_maintenance_gets_nothing_whatever_the_list_says() {
    let mut harness = GatewayHarness::new(settings(), 2);
    let used = |harness: &mut GatewayHarness| -> Vec<EndpointId> {
        let each = (0..8).map(|_| {
            let (id, endpoint) = harness.send_without_quota(0);
            harness.end_attempt(id, 0, endpoint, Outcome::Success);
            endpoint
        });
        each.collect()
    };
    let (first, second) = (EndpointId(0), EndpointId(1));
    assert!(used(&mut harness).contains(&first));
    (0..2).for_each(|_| {
        drop(harness.handle(Event::MaintenanceChanged { endpoint: first, in_maintenance: true }))
    });
    assert_eq!(
        harness.gateway.endpoint_counts(Micros(harness.now)),
        EndpointCounts { known: 2, excluded: 1 }
    );
    assert!(used(&mut harness).iter().all(|&s| s == second));
    // Listed again, with a restart.
    for started in [None, Some(harness.now)] {
        let entries = vec![
            endpoint_update(0, EndpointStatus::InService, started),
            endpoint_update(1, EndpointStatus::InService, None),
        ];
        harness.handle(Event::EndpointsChanged { scope: WatchScope::Complete, endpoints: entries });
        assert!(used(&mut harness).iter().all(|&s| s == second));
        assert!(harness.gateway.is_in_maintenance(first));
    }
    // A single call back undoes both, and it comes back in slow start: it is sent little at first.
    harness.handle(Event::MaintenanceChanged { endpoint: first, in_maintenance: false });
    assert_eq!(
        harness.gateway.endpoint_counts(Micros(harness.now)),
        EndpointCounts { known: 2, excluded: 0 }
    );
    let mut share = 0;
    for _ in 0..100 {
        harness.advance(10 * MS);
        share += used(&mut harness).iter().filter(|&&s| s == first).count();
    }
    assert!((1..300).contains(&share), "{share} of 800, half when warm");
}
