//! Load balancing: selection, outlier ejection, retries, the queue, maintenance.
mod common;
use common::{counter_calls, endpoint_update, is_rejected, sent_attempts, settings, GatewayHarness, MS, S};
use quota_gateway::decision::{
    Action, AttemptEnded, EndpointCounts, EndpointId, EndpointStatus, Event, LoadReport, Micros, Outcome,
    Settings, WatchScope,
};

#[test]
fn attempts_are_spread_by_attempts_in_flight() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let mut endpoints: Vec<_> = (0..4).map(|_| harness.send_without_quota(0).1).collect();
    endpoints.sort();
    endpoints.dedup();
    assert_eq!(endpoints.len(), 4, "each of four endpoints gets one attempt before any gets two");
}

#[test]
fn unreachable_endpoint_is_ejected_and_gets_attempts_again_later() {
    let mut harness = GatewayHarness::new(settings(), 2);
    let mut attempts_at_unreachable = 0;
    for _ in 0..100 {
        harness.advance(10 * MS);
        let (id, endpoint) = harness.send_without_quota(0);
        let is_unreachable = endpoint == EndpointId(0);
        attempts_at_unreachable += u32::from(is_unreachable);
        let out = harness.end_attempt(
            id,
            0,
            endpoint,
            if is_unreachable { Outcome::ConnectFailed } else { Outcome::Success },
        );
        assert!(!is_unreachable || sent_attempts(&out).iter().all(|sent| sent.1 == EndpointId(1)));
        sent_attempts(&out)
            .iter()
            .for_each(|(id, endpoint)| drop(harness.end_attempt(*id, 1, *endpoint, Outcome::Success)));
    }
    assert!((1..=3).contains(&attempts_at_unreachable), "{attempts_at_unreachable}");
    harness.advance(9 * S);
    let retried = (0..10).any(|_| {
        let (id, endpoint) = harness.send_without_quota(0);
        harness.end_attempt(id, 0, endpoint, Outcome::Success);
        endpoint == EndpointId(0)
    });
    assert!(retried);
}

#[test]
fn timeouts_at_all_endpoints_eject_none() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let mut recently_used = Vec::new();
    for i in 0..200 {
        let (id, out) = harness.request(0, 3, 1, 1.0);
        for (_, endpoint) in sent_attempts(&out) {
            harness.advance(20 * MS);
            // Every endpoint responds to one attempt in three.
            let outcome = if i % 3 == 0 { Outcome::Success } else { Outcome::Timeout };
            let out = harness.end_attempt(id, 0, endpoint, outcome);
            sent_attempts(&out)
                .iter()
                .for_each(|(id, endpoint)| drop(harness.end_attempt(*id, 1, *endpoint, Outcome::Success)));
            if i >= 150 {
                recently_used.push(endpoint);
            }
        }
    }
    recently_used.sort();
    recently_used.dedup();
    assert!(recently_used.len() >= 3, "too few endpoints are still in use: {recently_used:?}");
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (mut attempts, mut first_attempts) = (0, 0);
    for _ in 0..500 {
        harness.advance(50 * MS);
        let (id, out) = harness.request(0, 3, 1, 1.0);
        let (mut out, mut attempt) = (sent_attempts(&out), 0);
        first_attempts += out.len();
        while let Some((_, endpoint)) = out.first().copied() {
            attempts += 1;
            out = sent_attempts(&harness.end_attempt(id, attempt, endpoint, Outcome::ServerError));
            attempt += 1;
        }
    }
    let retries = attempts - first_attempts;
    assert!(retries > 0 && retries as f64 <= 20.0 + 0.2 * 500.0, "{retries} retries of {first_attempts}");
}

#[test]
fn request_is_queued_and_then_rejected_while_no_endpoint_has_capacity() {
    let mut harness = GatewayHarness::new(settings(), 1);
    harness.send_without_quota(0);
    harness.send_without_quota(0);
    let (id, out) = harness.request(0, 3, 1, 1.0);
    assert!(sent_attempts(&out).is_empty() && !is_rejected(&out, id), "the request is queued");
    assert!(
        is_rejected(&harness.advance(400 * MS), id),
        "queued for longer than the latency objective allows"
    );
}

#[test]
fn queued_request_of_highest_priority_weight_is_sent_first() {
    let mut settings = settings();
    settings.classes[3].priority_weight = 5.0;
    let mut harness = GatewayHarness::new(settings, 1);
    let (first, endpoint) = harness.send_without_quota(0);
    harness.send_without_quota(0);
    let (low_weight, _) = harness.request(0, 3, 1, 1.0);
    let (high_weight, _) = harness.request(3, 3, 1, 1.0);
    let out = harness.end_attempt(first, 0, endpoint, Outcome::Success);
    assert_eq!(sent_attempts(&out), [(high_weight, endpoint)]);
    assert_ne!(low_weight, high_weight);
}

#[test]
fn failed_watch_is_subscribed_again() {
    let mut settings = settings();
    settings.must_subscribe = true;
    let mut harness = GatewayHarness::new(settings, 1);
    assert!(harness.all_actions.contains(&Action::Subscribe));
    harness.handle(Event::EndpointsChanged { scope: WatchScope::Failed, endpoints: Vec::new() });
    assert!(harness.advance(S).contains(&Action::Subscribe));
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut harness = GatewayHarness::new(settings(), 6);
        for i in 0..200 {
            harness.advance(7 * MS);
            let (id, out) = harness.request((i % 4) as usize, (i % 3) as usize, i % 5, 1.0);
            for (key, _) in counter_calls(&out) {
                let out = harness.handle(Event::CounterReplied {
                    key,
                    outcome: Outcome::Success,
                    total: (i % 17) as f64,
                });
                sent_attempts(&out)
                    .iter()
                    .for_each(|(_, endpoint)| drop(harness.end_attempt(id, 0, *endpoint, Outcome::Success)));
            }
        }
        harness.all_actions
    };
    assert_eq!(run(), run());
}

#[test]
fn invalid_settings_are_rejected() {
    let is_invalid = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        quota_gateway::decision::Gateway::new(1, settings).is_err()
    };
    assert!(is_invalid(|settings| settings.gateways = 0));
    assert!(is_invalid(|settings| settings.gateway_number = 2));
    assert!(is_invalid(|settings| settings.plans[0].rate = -1.0));
    assert!(is_invalid(|settings| settings.plans[0].weight_factor = f64::NAN));
    assert!(is_invalid(|settings| settings.plans[0].burst = 0.0));
    assert!(!is_invalid(|_| ()));
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
    let sent = (0..8).map(|_| sent_attempts(&harness.request(0, 3, 1, 1.0).1).len()).sum::<usize>();
    assert_eq!(sent, 1, "expected one attempt in flight over all four endpoints");
}

#[test]
fn endpoint_in_maintenance_gets_no_attempts_whatever_its_listed_status() {
    let mut harness = GatewayHarness::new(settings(), 2);
    let send_eight = |harness: &mut GatewayHarness| -> Vec<EndpointId> {
        let each = (0..8).map(|_| {
            let (id, endpoint) = harness.send_without_quota(0);
            harness.end_attempt(id, 0, endpoint, Outcome::Success);
            endpoint
        });
        each.collect()
    };
    let (first, second) = (EndpointId(0), EndpointId(1));
    assert!(send_eight(&mut harness).contains(&first));
    (0..2).for_each(|_| {
        drop(harness.handle(Event::MaintenanceChanged { endpoint: first, in_maintenance: true }))
    });
    assert_eq!(
        harness.gateway.endpoint_counts(Micros(harness.now)),
        EndpointCounts { known: 2, excluded: 1 }
    );
    assert!(send_eight(&mut harness).iter().all(|&endpoint| endpoint == second));
    // Listed again, with and without a restart.
    for started in [None, Some(harness.now)] {
        let entries = vec![
            endpoint_update(0, EndpointStatus::InService, started),
            endpoint_update(1, EndpointStatus::InService, None),
        ];
        harness.handle(Event::EndpointsChanged { scope: WatchScope::Complete, endpoints: entries });
        assert!(send_eight(&mut harness).iter().all(|&endpoint| endpoint == second));
        assert!(harness.gateway.is_in_maintenance(first));
    }
    // A single change undoes the repeated one. The endpoint returns in slow start and is sent little at
    // first.
    harness.handle(Event::MaintenanceChanged { endpoint: first, in_maintenance: false });
    assert_eq!(
        harness.gateway.endpoint_counts(Micros(harness.now)),
        EndpointCounts { known: 2, excluded: 0 }
    );
    let mut attempts_at_first = 0;
    for _ in 0..100 {
        harness.advance(10 * MS);
        attempts_at_first += send_eight(&mut harness).iter().filter(|&&endpoint| endpoint == first).count();
    }
    assert!((1..300).contains(&attempts_at_first), "{attempts_at_first} of 800; a warm endpoint gets half");
}
