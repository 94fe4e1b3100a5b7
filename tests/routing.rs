//! Routing rules weight the endpoints that the guards allow. They change nothing where no customer has them,
//! and allow nothing by themselves.
mod common;
use common::{endpoint_update, sent_attempts, settings, GatewayHarness, MS, S};
use quota_gateway::decision::has_canary_rules;
use quota_gateway::decision::{
    Action, ClassId, CustomerId, EndpointId, EndpointStatus, Event, LabelId, Outcome, PlanId, RequestId,
    RouteRule, RoutingRules, WatchScope, ZoneId,
};
use std::collections::BTreeMap;
use std::rc::Rc;

fn random_rule(rng: &mut fastrand::Rng) -> Rc<RouteRule> {
    let mut weights = |max_count: u32| -> Vec<(u32, f64)> {
        (0..rng.u32(0..max_count)).map(|number| (number, [0.05, 0.5, 1.0, 4.0][rng.usize(0..4)])).collect()
    };
    let (zones, labels) = (weights(3), weights(3));
    Rc::new(RouteRule {
        class: rng.bool().then(|| ClassId(rng.usize(0..4))),
        plan: rng.bool().then(|| PlanId(rng.usize(0..4))),
        zone_weights: zones.into_iter().map(|(zone, weight)| (ZoneId(zone), weight)).collect(),
        label_weights: labels.into_iter().map(|(label, weight)| (LabelId(label), weight)).collect(),
        max_attempts: rng.bool().then(|| rng.usize(1..9)),
        give_up_fraction: rng.bool().then(|| 0.3 + 0.4 * rng.f64()),
        slow_start_fraction: rng.bool().then(|| rng.f64()),
    })
}

fn random_rules(rng: &mut fastrand::Rng) -> Vec<Rc<RouteRule>> {
    (0..rng.usize(1..5)).map(|_| random_rule(rng)).collect()
}

/// Runs a gateway with random requests, ends of attempts, endpoint lists and time. Returns all its actions,
/// and the number of attempts by request.
fn run_random_events(seed: u64, routing: Option<RoutingRules>) -> (Vec<Action>, BTreeMap<RequestId, usize>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut harness = GatewayHarness::seeded(seed, settings(), 0);
    let mut listed: BTreeMap<u32, (EndpointStatus, u64)> = BTreeMap::new();
    routing.into_iter().for_each(|routing| drop(harness.handle(Event::RoutingChanged(routing))));
    let (mut in_flight, mut attempts_by_request) = (Vec::new(), BTreeMap::new());
    for _ in 0..300 {
        let before = harness.all_actions.len();
        match rng.usize(0..10) {
            0 => {
                let endpoint = rng.u32(0..8);
                let state = [
                    EndpointStatus::InService,
                    EndpointStatus::InService,
                    EndpointStatus::Draining,
                    EndpointStatus::Removed,
                ][rng.usize(0..4)];
                let started = rng.bool().then_some(harness.now);
                let mut update = endpoint_update(endpoint, state, started);
                (update.zone, update.label) = (ZoneId(endpoint % 3), LabelId(endpoint % 2));
                listed.insert(endpoint, (state, harness.now));
                harness.handle(Event::EndpointsChanged {
                    scope: WatchScope::Incremental,
                    endpoints: vec![update],
                });
            }
            1..=4 => drop(harness.request(rng.usize(0..4), 3, rng.u64(0..40), 1.0)),
            5..=7 if !in_flight.is_empty() => {
                let (id, attempt, endpoint): (RequestId, usize, EndpointId) =
                    in_flight.swap_remove(rng.usize(0..in_flight.len()));
                let outcome = [Outcome::Success, Outcome::ServerError, Outcome::Rejected, Outcome::Timeout]
                    [rng.usize(0..4)];
                harness.end_attempt(id, attempt, endpoint, outcome);
            }
            _ => drop(harness.advance(rng.u64(1..300) * MS)),
        }
        for (id, endpoint) in sent_attempts(&harness.all_actions[before..]) {
            let state = listed.get(&(endpoint.0 as u32)).map(|(state, _)| *state);
            assert_eq!(
                state,
                Some(EndpointStatus::InService),
                "seed {seed}: sent to an endpoint that is not in service"
            );
            let attempt = attempts_by_request.entry(id).or_insert(0);
            in_flight.push((id, *attempt, endpoint));
            *attempt += 1;
        }
    }
    (harness.all_actions, attempts_by_request)
}

#[test]
fn canary_rules_without_customers_change_nothing() {
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let unused = RoutingRules {
            canary: random_rules(&mut rng),
            canary_share: 0,
            salt: seed,
            ..RoutingRules::default()
        };
        assert_eq!(run_random_events(seed, None).0, run_random_events(seed, Some(unused)).0, "seed {seed}");
    }
}

#[test]
fn no_routing_rule_overrides_a_guard() {
    let (mut runs_with_fewer_attempts, mut runs_that_differ) = (0, 0);
    for seed in 0..120 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (baseline, canary) = (random_rules(&mut rng), random_rules(&mut rng));
        let routing = RoutingRules { baseline, canary, canary_share: rng.u16(0..=10_000), salt: seed };
        let (without_rules, _) = run_random_events(seed, None);
        let (with_rules, attempts_by_request) = run_random_events(seed, Some(routing));
        assert!(
            attempts_by_request.values().all(|count| *count <= settings().max_attempts),
            "seed {seed}: {attempts_by_request:?}"
        );
        runs_with_fewer_attempts +=
            usize::from(sent_attempts(&with_rules).len() < sent_attempts(&without_rules).len());
        runs_that_differ += usize::from(with_rules != without_rules);
    }
    assert!(
        runs_that_differ > 60 && runs_with_fewer_attempts > 6,
        "the rules had too little effect: {runs_that_differ}, {runs_with_fewer_attempts}"
    );
}

#[test]
fn rule_applies_label_weights_and_limits_attempts() {
    let mut harness = GatewayHarness::new(settings(), 0);
    let updates = (0..8).map(|endpoint| {
        let mut update = endpoint_update(endpoint, EndpointStatus::InService, None);
        update.label = LabelId(endpoint % 2);
        update
    });
    harness.handle(Event::EndpointsChanged { scope: WatchScope::Complete, endpoints: updates.collect() });
    let route =
        RouteRule { label_weights: vec![(LabelId(1), 0.05)], max_attempts: Some(1), ..RouteRule::default() };
    harness.handle(Event::RoutingChanged(RoutingRules {
        baseline: vec![Rc::new(route)],
        ..RoutingRules::default()
    }));
    for _ in 0..40 {
        let (id, endpoint) = harness.send_without_quota(0);
        assert_eq!(endpoint.0 % 2, 0, "the other label has a weight of 0.05");
        assert!(
            sent_attempts(&harness.end_attempt(id, 0, endpoint, Outcome::ServerError)).is_empty(),
            "the rule allows one attempt"
        );
        harness.advance(2 * S);
    }
}

#[test]
fn canary_customers_keep_the_canary_rules_as_the_share_grows() {
    let rules_with_share =
        |salt: u64, share: u16| RoutingRules { canary_share: share, salt, ..RoutingRules::default() };
    let canary_customers = |routing: &RoutingRules| -> Vec<bool> {
        (0..20_000).map(|customer| has_canary_rules(routing, CustomerId(customer))).collect()
    };
    let mut times_in_first_stage = vec![0; 20_000];
    for salt in 0..20 {
        let mut before = vec![false; 20_000];
        for share in [100, 500, 2_500, 10_000] {
            let after = canary_customers(&rules_with_share(salt, share));
            let found = after.iter().filter(|has_canary| **has_canary).count() as f64;
            let expected = 2.0 * f64::from(share);
            assert!((found - expected).abs() < 5.0 * expected.sqrt(), "{found} of 20,000 at {share}");
            assert!(
                before.iter().zip(&after).all(|(before, after)| !before || *after),
                "no customer leaves the canary as the share grows"
            );
            if share == 100 {
                after.iter().enumerate().for_each(|(customer, has_canary)| {
                    times_in_first_stage[customer] += usize::from(*has_canary)
                });
            }
            before = after;
        }
    }
    assert!(
        times_in_first_stage.iter().all(|count| *count <= 5),
        "no customer is in the first stage too often"
    );
}
