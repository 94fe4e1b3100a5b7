//! What holds where hundreds of gateways see a request or two a second each.
mod common;
use common::{
    counter_calls, endpoint_update, is_rejected, nonzero_counter_calls, sent_attempts, settings,
    GatewayHarness, MS, S,
};
use quota_gateway::decision::{
    Action, Arrival, AttemptEnded, ClassId, CustomerId, EndpointId, EndpointStatus, Event, LoadReport,
    Micros, Outcome, PlanId, RequestId, Settings, WatchScope,
};
use std::collections::BTreeMap;

fn one_of(gateways: u32, me: u32, endpoints: u32) -> GatewayHarness {
    GatewayHarness::seeded(u64::from(me), Settings { gateways, gateway_number: me, ..settings() }, endpoints)
}

/// A request of a customer that comes through many gateways.
fn wide(harness: &mut GatewayHarness, is_retry: bool) -> (RequestId, Vec<Action>) {
    let id = RequestId(harness.next_request);
    harness.next_request += 1;
    let deadline = Micros(harness.now + 3 * S);
    let (class, plan, customer) = (ClassId(0), PlanId(0), CustomerId(harness.next_request));
    let arrival = Arrival {
        id,
        class,
        plan,
        customer,
        spread: 200,
        first_gateway: 0,
        deadline,
        units: 2.0,
        is_retry,
        streaming_body: false,
        ..Arrival::default()
    };
    (id, harness.handle(Event::RequestArrived(arrival)))
}

#[test]
fn each_gateway_keeps_to_its_subset_and_the_subsets_cover_all_endpoints_evenly() {
    let mut gateways_at = BTreeMap::new();
    for me in 0..100 {
        let mut harness = one_of(100, me, 50);
        let mut used = BTreeMap::new();
        for _ in 0..100 {
            harness.advance(500 * MS);
            let (id, endpoint) = harness.send_without_quota(0);
            harness.end_attempt(id, 0, endpoint, Outcome::Success);
            *used.entry(endpoint).or_insert(0) += 1;
        }
        assert!(used.len() <= 12, "gateway {me} used {} of 50", used.len());
        used.into_keys().for_each(|endpoint| *gateways_at.entry(endpoint).or_insert(0) += 1);
    }
    assert_eq!(gateways_at.len(), 50, "no endpoint is left out");
    let (least, most) = (gateways_at.values().min(), gateways_at.values().max());
    assert!(most <= least.map(|l| l * 4).as_ref(), "{gateways_at:?}");
}

#[test]
fn late_responses_make_a_small_gateway_shed_and_early_ones_do_not() {
    let refusals = |took: u64| {
        let mut harness = one_of(200, 3, 50);
        let mut refusals = 0;
        for _ in 0..200 {
            harness.advance(700 * MS);
            let (id, out) = harness.request(0, 3, 1, 1.0);
            refusals += u32::from(is_rejected(&out, id));
            for (_, endpoint) in sent_attempts(&out) {
                harness.advance(took);
                let (outcome, report, took) = (Outcome::Success, LoadReport::default(), Micros(took));
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
        }
        refusals
    };
    assert_eq!(refusals(50 * MS), 0);
    assert!(refusals(700 * MS) > 100, "one at a time, never two out, and still it sheds");
}

#[test]
fn long_work_of_one_class_does_not_make_another_class_shed() {
    let mut set = Settings { gateways: 200, gateway_number: 3, ..settings() };
    set.classes[0].latency_objective = Micros(250 * MS);
    let mut harness = GatewayHarness::seeded(3, set, 50);
    let mut refusals = 0;
    for i in 0..300 {
        harness.advance(700 * MS);
        // Long work that is in time by far, and short work that ends at half of its latency objective.
        let (class, took) = if i % 2 == 0 { (3, 150 * MS) } else { (0, 125 * MS) };
        let (id, out) = harness.request(class, 3, 1, 1.0);
        refusals += u32::from(is_rejected(&out, id));
        for (_, endpoint) in sent_attempts(&out) {
            harness.advance(took);
            let (outcome, report, took) = (Outcome::Success, LoadReport::default(), Micros(took));
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
    }
    assert_eq!(refusals, 0, "every answer was in time");
}

/// Until when an attempt that was just sent is waited for, after its request's arrival now.
fn patience(harness: &GatewayHarness, out: &[Action]) -> u64 {
    let until = out.iter().find_map(|a| {
        if let Action::SendAttempt { give_up_at: until, .. } = a {
            Some(until.0)
        } else {
            None
        }
    });
    until.expect("it is forwarded") - harness.now
}

#[test]
fn only_attempts_at_endpoints_that_failed_recently_are_given_up_early() {
    for gateways in [2, 300] {
        let mut harness =
            GatewayHarness::seeded(3, Settings { gateways, gateway_number: 1, ..settings() }, 1);
        for _ in 0..10 {
            harness.advance(100 * MS);
            let (id, out) = harness.request(0, 3, 1, 1.0);
            assert_eq!(patience(&harness, &out), 3 * S, "a sound endpoint has all of the client's time");
            harness.end_attempt(id, 0, EndpointId(0), Outcome::Success);
        }
        let (id, endpoint) = harness.send_without_quota(0);
        let out = harness.end_attempt(id, 0, endpoint, Outcome::ServerError);
        let again = patience(&harness, &out);
        assert!((400 * MS..800 * MS).contains(&again), "{again}: another could still meet the objective");
        harness.end_attempt(id, 1, endpoint, Outcome::Success);
        for _ in 0..10 {
            let (id, endpoint) = harness.send_without_quota(0);
            harness.end_attempt(id, 0, endpoint, Outcome::Success);
        }
        let (_, out) = harness.request(0, 3, 1, 1.0);
        assert_eq!(patience(&harness, &out), 3 * S, "it answers again");
    }
}

#[test]
fn shed_request_gets_a_retry_after() {
    let mut harness = one_of(200, 3, 50);
    for _ in 0..200 {
        let (id, endpoint) = loop {
            harness.advance(2 * S);
            let (id, out) = wide(&mut harness, false);
            // Shed before the counter is called.
            if let [Action::Reject { retry_after: advice, .. }] =
                out.iter().filter(|a| matches!(a, Action::Reject { .. })).collect::<Vec<_>>()[..]
            {
                assert!(nonzero_counter_calls(&out).is_empty() && advice.is_some(), "{out:?}");
                return;
            }
            let out = harness.handle(Event::CounterReplied {
                key: nonzero_counter_calls(&out)[0].0,
                outcome: Outcome::Success,
                total: 2.0,
            });
            if let Some(&(_, endpoint)) = sent_attempts(&out).first() {
                break (id, endpoint);
            }
        };
        harness.advance(700 * MS);
        let (outcome, report, took) = (Outcome::Success, LoadReport::default(), Micros(700 * MS));
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
    panic!("nobody was shed");
}

#[test]
fn while_counter_calls_fail_retries_are_rejected_and_first_requests_go_by_the_local_bucket() {
    let mut harness = one_of(200, 3, 50);
    let mut went = [0, 0];
    for i in 0..120 {
        harness.advance(300 * MS);
        let is_retry = i % 2 == 1;
        let (id, mut out) = wide(&mut harness, is_retry);
        // Every third call is rejected, so the breaker stays closed.
        for (name, _) in counter_calls(&out) {
            let outcome = if i % 3 == 0 { Outcome::Rejected } else { Outcome::Success };
            out.extend(harness.handle(Event::CounterReplied { key: name, outcome, total: 2.0 }));
        }
        let guessed = i % 3 == 0 && !sent_attempts(&out).is_empty();
        went[usize::from(is_retry)] += u32::from(guessed);
        sent_attempts(&out).iter().for_each(|(_, s)| drop(harness.end_attempt(id, 0, *s, Outcome::Success)));
    }
    assert!(went[0] > 10, "first requests: {went:?}");
    assert_eq!(went[1], 0, "repeats");
}

#[test]
fn quota_share_of_less_than_one_request_still_admits_one() {
    let mut harness = one_of(200, 3, 50);
    harness.advance(300 * MS);
    let (id, out) = wide(&mut harness, false);
    let out = harness.handle(Event::CounterReplied {
        key: counter_calls(&out)[0].0,
        outcome: Outcome::Rejected,
        total: 0.0,
    });
    assert_eq!(sent_attempts(&out).first().map(|s| s.0), Some(id));
}

#[test]
fn hundreds_of_gateways_together_keep_the_ceiling_while_the_counter_is_down() {
    // 20 units a second up to 40, over 200 gateways that each have a request every second.
    let mut rigs: Vec<GatewayHarness> = (0..200).map(|me| one_of(200, me, 50)).collect();
    let (mut level, mut lowest) = (40.0f64, 40.0f64);
    for _ in 0..20 {
        level = (level + 20.0).min(40.0);
        for harness in &mut rigs {
            harness.advance(S);
            let id = RequestId(harness.next_request);
            harness.next_request += 1;
            let deadline = Micros(harness.now + 3 * S);
            let (plan, customer) = (PlanId(1), CustomerId(9));
            let a = Arrival { id, plan, customer, spread: 200, deadline, units: 1.0, ..Arrival::default() };
            let mut out = harness.handle(Event::RequestArrived(a));
            for (name, _) in counter_calls(&out) {
                out.extend(harness.handle(Event::CounterReplied {
                    key: name,
                    outcome: Outcome::Rejected,
                    total: 0.0,
                }));
            }
            level -= sent_attempts(&out).len() as f64;
            lowest = lowest.min(level);
            sent_attempts(&out)
                .iter()
                .for_each(|(_, s)| drop(harness.end_attempt(id, 0, *s, Outcome::Success)));
        }
    }
    assert!(lowest >= -4.0, "{lowest}");
}

/// What seven gateways admit of one customer without the counter of plan 1 after so long, a unit at a time.
fn goes_unheard(up: u64, again: u32) -> f64 {
    let mut units = 0.0;
    for me in 0..7 {
        let mut harness = one_of(300, me, 50);
        harness.advance(up);
        for _ in 0..again {
            let id = RequestId(harness.next_request);
            harness.next_request += 1;
            let deadline = Micros(harness.now + 3 * S);
            let (plan, customer) = (PlanId(1), CustomerId(9));
            let a = Arrival { id, plan, customer, spread: 7, deadline, units: 1.0, ..Arrival::default() };
            let mut out = harness.handle(Event::RequestArrived(a));
            for (name, _) in counter_calls(&out) {
                out.extend(harness.handle(Event::CounterReplied {
                    key: name,
                    outcome: Outcome::Rejected,
                    total: 0.0,
                }));
            }
            for (id, endpoint) in sent_attempts(&out) {
                units += 1.0;
                harness.end_attempt(id, 0, endpoint, Outcome::Success);
            }
        }
    }
    units
}

#[test]
fn customer_new_to_a_gateway_may_use_the_ceiling_that_filled_since_the_gateway_started() {
    assert_eq!(goes_unheard(0, 1), 0.0, "an earlier life may have spent it");
    assert_eq!(goes_unheard(5 * S, 1), 7.0, "nothing of it can be spent");
    // Between quota and ceiling 20 units and ten a second, over all gateways together.
    for up in [S, 5 * S, 100 * S, 1_000 * S] {
        let sum = goes_unheard(up, 20);
        let most = (10.0 * up as f64 / S as f64).min(20.0);
        assert!(sum <= most, "{sum} of {most} after {up}");
    }
}

/// What 100 gateways send to 60 endpoints within 2 s, of which the first so many have just started: to each.
fn spread_over_cold(cold: u32, new_gateways: bool) -> Vec<u32> {
    let mut sent = vec![0; 60];
    for me in 0..100 {
        let mut harness = one_of(100, me, 60);
        for _ in 0..if new_gateways { 0 } else { 20 } {
            harness.advance(250 * MS);
            let (id, endpoint) = harness.send_without_quota(0);
            harness.end_attempt(id, 0, endpoint, Outcome::Success);
        }
        let started = Some(harness.now);
        let entries = (0..cold).map(|i| endpoint_update(i, EndpointStatus::InService, started)).collect();
        harness.handle(Event::EndpointsChanged { scope: WatchScope::Incremental, endpoints: entries });
        for _ in 0..8 {
            harness.advance(250 * MS);
            let (id, out) = harness.request(0, 3, 1, 1.0);
            for (_, endpoint) in sent_attempts(&out) {
                sent[endpoint.0 as usize] += 1;
                harness.end_attempt(id, 0, endpoint, Outcome::Success);
            }
        }
    }
    sent
}

#[test]
fn endpoint_in_slow_start_gets_its_share_from_all_gateways_together_and_no_more() {
    for new_gateways in [false, true] {
        let sent = spread_over_cold(36, new_gateways);
        let (cold, warm): (u32, u32) = (sent[..36].iter().sum(), sent[36..].iter().sum());
        // From 0.2 of its capacity to 0.36 after 2 s: 36 of them can do about as much as ten warm ones.
        let share = f64::from(cold) / f64::from(cold + warm);
        assert!((0.15..0.4).contains(&share), "{share}, new gateways: {new_gateways}: {sent:?}");
        // Three times what it can do brings it down; warm ones have more than twice as much each.
        let most = f64::from(warm) / 24.0;
        assert!(sent[..36].iter().all(|&n| f64::from(n) < most), "{sent:?}");
    }
}

#[test]
fn endpoints_that_all_are_in_slow_start_are_not_sent_what_warm_ones_bear() {
    let sent = spread_over_cold(60, true);
    let all: u32 = sent.iter().sum();
    // Of 800 requests about the part that they can do by now: 0.2 to 0.36.
    assert!((100..340).contains(&all), "{all}: {sent:?}");
}

#[test]
fn gateways_avoid_an_endpoint_that_reports_load_and_do_not_all_choose_the_same_one() {
    let (mut to_full, mut to_next) = (0, BTreeMap::new());
    for me in 0..100 {
        // As many endpoints as are in one gateway's subset: all gateways have the same choice.
        let mut harness = one_of(100, me, 8);
        for _ in 0..40 {
            harness.advance(100 * MS);
            let (id, endpoint) = harness.send_without_quota(0);
            let inflight = Some(if endpoint.0 == 0 { 12.0 } else { 1.0 });
            let (report, took) =
                (LoadReport { in_flight: inflight, ..LoadReport::default() }, Micros(50 * MS));
            let (outcome, ended) = (Outcome::Success, true);
            let end = AttemptEnded {
                request: id,
                attempt: 0,
                endpoint,
                outcome,
                elapsed: took,
                request_finished: ended,
                settled_units: None,
                load: report,
            };
            harness.handle(Event::AttemptEnded(end));
            to_full += u32::from(endpoint.0 == 0);
        }
        *to_next.entry(harness.send_without_quota(0).1).or_insert(0) += 1;
    }
    assert!(to_full < 300, "{to_full} of 4000, an eighth is 500");
    assert!(to_next.values().all(|&n| n < 35), "all at the same moment: {to_next:?}");
}
