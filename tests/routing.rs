//! Routing rules weigh what may be chosen anyway: they change nothing where nobody has them, and allow nothing.
mod common;
use common::{endpoint_update, sent_attempts, settings, GatewayHarness, MS, S};
use quota_gateway::decision::has_canary_rules;
use quota_gateway::decision::{
    Action, ClassId, CustomerId, EndpointId, EndpointStatus, Event, LabelId, Outcome, PlanId, RequestId,
    RouteRule, RoutingRules, WatchScope, ZoneId,
};
use std::collections::BTreeMap;
use std::rc::Rc;

fn random_route(rng: &mut fastrand::Rng) -> Rc<RouteRule> {
    let mut weights = |most: u32| -> Vec<(u32, f64)> {
        (0..rng.u32(0..most)).map(|n| (n, [0.05, 0.5, 1.0, 4.0][rng.usize(0..4)])).collect()
    };
    let (zones, labels) = (weights(3), weights(3));
    Rc::new(RouteRule {
        class: rng.bool().then(|| ClassId(rng.usize(0..4))),
        plan: rng.bool().then(|| PlanId(rng.usize(0..4))),
        zone_weights: zones.into_iter().map(|(n, w)| (ZoneId(n), w)).collect(),
        label_weights: labels.into_iter().map(|(n, w)| (LabelId(n), w)).collect(),
        max_attempts: rng.bool().then(|| rng.usize(1..9)),
        give_up_fraction: rng.bool().then(|| 0.3 + 0.4 * rng.f64()),
        slow_start_fraction: rng.bool().then(|| rng.f64()),
    })
}

fn routes(rng: &mut fastrand::Rng) -> Vec<Rc<RouteRule>> {
    (0..rng.usize(1..5)).map(|_| random_route(rng)).collect()
}

/// A run of a gateway: requests, ends of attempts, endpoint lists, time. Returns all that it did, and what it sent by request.
fn life(seed: u64, routing: Option<RoutingRules>) -> (Vec<Action>, BTreeMap<RequestId, usize>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut harness = GatewayHarness::seeded(seed, settings(), 0);
    let mut listed: BTreeMap<u32, (EndpointStatus, u64)> = BTreeMap::new();
    routing.into_iter().for_each(|routing| drop(harness.handle(Event::RoutingChanged(routing))));
    let (mut out, mut tries) = (Vec::new(), BTreeMap::new());
    for _ in 0..300 {
        let before = harness.all_actions.len();
        match rng.usize(0..10) {
            0 => {
                let i = rng.u32(0..8);
                let state = [
                    EndpointStatus::InService,
                    EndpointStatus::InService,
                    EndpointStatus::Draining,
                    EndpointStatus::Removed,
                ][rng.usize(0..4)];
                let started = rng.bool().then_some(harness.now);
                let mut line = endpoint_update(i, state, started);
                (line.zone, line.label) = (ZoneId(i % 3), LabelId(i % 2));
                listed.insert(i, (state, harness.now));
                harness.handle(Event::EndpointsChanged {
                    scope: WatchScope::Incremental,
                    endpoints: vec![line],
                });
            }
            1..=4 => drop(harness.request(rng.usize(0..4), 3, rng.u64(0..40), 1.0)),
            5..=7 if !out.is_empty() => {
                let (id, attempt, endpoint): (RequestId, usize, EndpointId) =
                    out.swap_remove(rng.usize(0..out.len()));
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
                "seed {seed}: sent to an endpoint that takes no work"
            );
            let nth = tries.entry(id).or_insert(0);
            out.push((id, *nth, endpoint));
            *nth += 1;
        }
    }
    (harness.all_actions, tries)
}

#[test]
fn rules_without_customers_change_nothing() {
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let unused =
            RoutingRules { canary: routes(&mut rng), canary_share: 0, salt: seed, ..RoutingRules::default() };
        assert_eq!(life(seed, None).0, life(seed, Some(unused)).0, "seed {seed}");
    }
}

#[test]
fn no_routing_rule_overrides_a_guard() {
    let (mut fewer, mut other) = (0, 0);
    for seed in 0..120 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (old, new) = (routes(&mut rng), routes(&mut rng));
        let routing =
            RoutingRules { baseline: old, canary: new, canary_share: rng.u16(0..=10_000), salt: seed };
        let (plain, _) = life(seed, None);
        let (done, tries) = life(seed, Some(routing));
        assert!(tries.values().all(|n| *n <= settings().max_attempts), "seed {seed}: {tries:?}");
        fewer += usize::from(sent_attempts(&done).len() < sent_attempts(&plain).len());
        other += usize::from(done != plain);
    }
    assert!(other > 60 && fewer > 6, "the rules did something: {other}, {fewer}");
}

#[test]
fn rule_weighs_by_label_and_bounds_attempts() {
    let mut harness = GatewayHarness::new(settings(), 0);
    let lines = (0..8).map(|i| {
        let mut line = endpoint_update(i, EndpointStatus::InService, None);
        line.label = LabelId(i % 2);
        line
    });
    harness.handle(Event::EndpointsChanged { scope: WatchScope::Complete, endpoints: lines.collect() });
    let route =
        RouteRule { label_weights: vec![(LabelId(1), 0.05)], max_attempts: Some(1), ..RouteRule::default() };
    harness.handle(Event::RoutingChanged(RoutingRules {
        baseline: vec![Rc::new(route)],
        ..RoutingRules::default()
    }));
    for _ in 0..40 {
        let (id, endpoint) = harness.send_without_quota(0);
        assert_eq!(endpoint.0 % 2, 0, "the other label weighs a twentieth");
        assert!(
            sent_attempts(&harness.end_attempt(id, 0, endpoint, Outcome::ServerError)).is_empty(),
            "one attempt"
        );
        harness.advance(2 * S);
    }
}

#[test]
fn canary_customers_are_the_same_everywhere_and_stay_as_the_share_grows() {
    let part = |salt: u64, share: u16| RoutingRules { canary_share: share, salt, ..RoutingRules::default() };
    let dealt = |routing: &RoutingRules| -> Vec<bool> {
        (0..20_000).map(|customer| has_canary_rules(routing, CustomerId(customer))).collect()
    };
    let mut firsts = vec![0; 20_000];
    for salt in 0..20 {
        let mut before = vec![false; 20_000];
        for share in [100, 500, 2_500, 10_000] {
            let now = dealt(&part(salt, share));
            let has = now.iter().filter(|new| **new).count() as f64;
            let wanted = 2.0 * f64::from(share);
            assert!((has - wanted).abs() < 5.0 * wanted.sqrt(), "{has} of 20,000 at {share}");
            assert!(before.iter().zip(&now).all(|(before, now)| !before || *now), "nobody goes back");
            if share == 100 {
                now.iter().enumerate().for_each(|(customer, new)| firsts[customer] += usize::from(*new));
            }
            before = now;
        }
    }
    assert!(firsts.iter().all(|n| *n <= 5), "no customer is always among the first");
}
