//! Behaviour where hundreds of gateways get one or two requests a second each.
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

fn gateway(gateways: u32, gateway_number: u32, endpoints: u32) -> GatewayHarness {
    GatewayHarness::seeded(
        u64::from(gateway_number),
        Settings { gateways, gateway_number, ..settings() },
        endpoints,
    )
}

/// Sends a request of a customer whose requests come through many gateways.
fn send_wide_request(harness: &mut GatewayHarness, is_retry: bool) -> (RequestId, Vec<Action>) {
    let id = RequestId(harness.next_request);
    harness.next_request += 1;
    let deadline = Micros(harness.now + 3 * S);
    let (class, plan, customer) = (ClassId(0), PlanId(0), CustomerId(harness.next_request));
    let arrival = Arrival {
        id,
        class,
        plan,
        customer,
        gateway_count: 200,
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
fn each_gateway_uses_its_subset_and_the_subsets_cover_all_endpoints_evenly() {
    let mut gateways_at = BTreeMap::new();
    for gateway_number in 0..100 {
        let mut harness = gateway(100, gateway_number, 50);
        let mut used = BTreeMap::new();
        for _ in 0..100 {
            harness.advance(500 * MS);
            let (id, endpoint) = harness.send_without_quota(0);
            harness.end_attempt(id, 0, endpoint, Outcome::Success);
            *used.entry(endpoint).or_insert(0) += 1;
        }
        assert!(used.len() <= 12, "gateway {gateway_number} used {} of 50", used.len());
        used.into_keys().for_each(|endpoint| *gateways_at.entry(endpoint).or_insert(0) += 1);
    }
    assert_eq!(gateways_at.len(), 50, "every endpoint is used");
    let (min, max) = (gateways_at.values().min(), gateways_at.values().max());
    assert!(max <= min.map(|min| min * 4).as_ref(), "{gateways_at:?}");
}

#[test]
fn late_responses_cause_load_shedding_and_fast_ones_do_not() {
    let rejections = |response_time: u64| {
        let mut harness = gateway(200, 3, 50);
        let mut rejections = 0;
        for _ in 0..200 {
            harness.advance(700 * MS);
            let (id, out) = harness.request(0, 3, 1, 1.0);
            rejections += u32::from(is_rejected(&out, id));
            for (_, endpoint) in sent_attempts(&out) {
                harness.advance(response_time);
                let (outcome, report, elapsed) =
                    (Outcome::Success, LoadReport::default(), Micros(response_time));
                let end = AttemptEnded {
                    request: id,
                    attempt: 0,
                    endpoint,
                    outcome,
                    elapsed,
                    request_finished: true,
                    settled_units: None,
                    load: report,
                };
                harness.handle(Event::AttemptEnded(end));
            }
        }
        rejections
    };
    assert_eq!(rejections(50 * MS), 0);
    assert!(rejections(700 * MS) > 100, "too few rejections with one attempt in flight at a time");
}

#[test]
fn long_requests_of_one_class_do_not_shed_another_class() {
    let mut settings = Settings { gateways: 200, gateway_number: 3, ..settings() };
    settings.classes[0].latency_objective = Micros(250 * MS);
    let mut harness = GatewayHarness::seeded(3, settings, 50);
    let mut rejections = 0;
    for i in 0..300 {
        harness.advance(700 * MS);
        // Long requests that end well within their latency objective, and short ones that end at half of
        // theirs.
        let (class, response_time) = if i % 2 == 0 { (3, 150 * MS) } else { (0, 125 * MS) };
        let (id, out) = harness.request(class, 3, 1, 1.0);
        rejections += u32::from(is_rejected(&out, id));
        for (_, endpoint) in sent_attempts(&out) {
            harness.advance(response_time);
            let (outcome, report, elapsed) = (Outcome::Success, LoadReport::default(), Micros(response_time));
            let end = AttemptEnded {
                request: id,
                attempt: 0,
                endpoint,
                outcome,
                elapsed,
                request_finished: true,
                settled_units: None,
                load: report,
            };
            harness.handle(Event::AttemptEnded(end));
        }
    }
    assert_eq!(rejections, 0, "every response was within its latency objective");
}

/// Returns the time limit of the attempt that was just sent, from now.
fn attempt_time_limit(harness: &GatewayHarness, out: &[Action]) -> u64 {
    let give_up_at = out.iter().find_map(|action| {
        if let Action::SendAttempt { give_up_at, .. } = action {
            Some(give_up_at.0)
        } else {
            None
        }
    });
    give_up_at.expect("the request is forwarded") - harness.now
}

#[test]
fn only_attempts_at_recently_failed_endpoints_time_out_before_the_deadline() {
    for gateways in [2, 300] {
        let mut harness =
            GatewayHarness::seeded(3, Settings { gateways, gateway_number: 1, ..settings() }, 1);
        for _ in 0..10 {
            harness.advance(100 * MS);
            let (id, out) = harness.request(0, 3, 1, 1.0);
            assert_eq!(
                attempt_time_limit(&harness, &out),
                3 * S,
                "an endpoint without failures may take until the deadline"
            );
            harness.end_attempt(id, 0, EndpointId(0), Outcome::Success);
        }
        let (id, endpoint) = harness.send_without_quota(0);
        let out = harness.end_attempt(id, 0, endpoint, Outcome::ServerError);
        let limit = attempt_time_limit(&harness, &out);
        assert!(
            (400 * MS..800 * MS).contains(&limit),
            "{limit}: another attempt must still be able to meet the objective"
        );
        harness.end_attempt(id, 1, endpoint, Outcome::Success);
        for _ in 0..10 {
            let (id, endpoint) = harness.send_without_quota(0);
            harness.end_attempt(id, 0, endpoint, Outcome::Success);
        }
        let (_, out) = harness.request(0, 3, 1, 1.0);
        assert_eq!(attempt_time_limit(&harness, &out), 3 * S, "the endpoint responds again");
    }
}

#[test]
fn shed_request_gets_a_retry_after() {
    let mut harness = gateway(200, 3, 50);
    for _ in 0..200 {
        let (id, endpoint) = loop {
            harness.advance(2 * S);
            let (id, out) = send_wide_request(&mut harness, false);
            // Shed before the counter is called.
            if let [Action::Reject { retry_after, .. }] =
                out.iter().filter(|action| matches!(action, Action::Reject { .. })).collect::<Vec<_>>()[..]
            {
                assert!(nonzero_counter_calls(&out).is_empty() && retry_after.is_some(), "{out:?}");
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
        let (outcome, report, elapsed) = (Outcome::Success, LoadReport::default(), Micros(700 * MS));
        let end = AttemptEnded {
            request: id,
            attempt: 0,
            endpoint,
            outcome,
            elapsed,
            request_finished: true,
            settled_units: None,
            load: report,
        };
        harness.handle(Event::AttemptEnded(end));
    }
    panic!("no request was shed");
}

#[test]
fn while_counter_calls_fail_retries_are_rejected_and_the_local_bucket_decides_first_requests() {
    let mut harness = gateway(200, 3, 50);
    let mut admitted = [0, 0];
    for i in 0..120 {
        harness.advance(300 * MS);
        let is_retry = i % 2 == 1;
        let (id, mut out) = send_wide_request(&mut harness, is_retry);
        // Every third call is rejected, so the breaker stays closed.
        for (key, _) in counter_calls(&out) {
            let outcome = if i % 3 == 0 { Outcome::Rejected } else { Outcome::Success };
            out.extend(harness.handle(Event::CounterReplied { key, outcome, total: 2.0 }));
        }
        let admitted_locally = i % 3 == 0 && !sent_attempts(&out).is_empty();
        admitted[usize::from(is_retry)] += u32::from(admitted_locally);
        sent_attempts(&out)
            .iter()
            .for_each(|(_, endpoint)| drop(harness.end_attempt(id, 0, *endpoint, Outcome::Success)));
    }
    assert!(admitted[0] > 10, "first requests: {admitted:?}");
    assert_eq!(admitted[1], 0, "retries");
}

#[test]
fn quota_share_of_less_than_one_request_still_admits_one() {
    let mut harness = gateway(200, 3, 50);
    harness.advance(300 * MS);
    let (id, out) = send_wide_request(&mut harness, false);
    let out = harness.handle(Event::CounterReplied {
        key: counter_calls(&out)[0].0,
        outcome: Outcome::Rejected,
        total: 0.0,
    });
    assert_eq!(sent_attempts(&out).first().map(|s| s.0), Some(id));
}

#[test]
fn hundreds_of_gateways_together_keep_the_hard_limit_while_the_counter_is_down() {
    // 20 units a second up to 40, over 200 gateways that each have a request every second.
    let mut harnesses: Vec<GatewayHarness> =
        (0..200).map(|gateway_number| gateway(200, gateway_number, 50)).collect();
    let (mut level, mut lowest) = (40.0f64, 40.0f64);
    for _ in 0..20 {
        level = (level + 20.0).min(40.0);
        for harness in &mut harnesses {
            harness.advance(S);
            let id = RequestId(harness.next_request);
            harness.next_request += 1;
            let deadline = Micros(harness.now + 3 * S);
            let (plan, customer) = (PlanId(1), CustomerId(9));
            let arrival = Arrival {
                id,
                plan,
                customer,
                gateway_count: 200,
                deadline,
                units: 1.0,
                ..Arrival::default()
            };
            let mut out = harness.handle(Event::RequestArrived(arrival));
            for (key, _) in counter_calls(&out) {
                out.extend(harness.handle(Event::CounterReplied {
                    key,
                    outcome: Outcome::Rejected,
                    total: 0.0,
                }));
            }
            level -= sent_attempts(&out).len() as f64;
            lowest = lowest.min(level);
            sent_attempts(&out)
                .iter()
                .for_each(|(_, endpoint)| drop(harness.end_attempt(id, 0, *endpoint, Outcome::Success)));
        }
    }
    assert!(lowest >= -4.0, "{lowest}");
}

/// Returns the units that seven gateways admit of one customer of plan 1 without the counter, this long after
/// their start and in requests of one unit.
fn admitted_without_counter(uptime: u64, requests: u32) -> f64 {
    let mut units = 0.0;
    for gateway_number in 0..7 {
        let mut harness = gateway(300, gateway_number, 50);
        harness.advance(uptime);
        for _ in 0..requests {
            let id = RequestId(harness.next_request);
            harness.next_request += 1;
            let deadline = Micros(harness.now + 3 * S);
            let (plan, customer) = (PlanId(1), CustomerId(9));
            let arrival =
                Arrival { id, plan, customer, gateway_count: 7, deadline, units: 1.0, ..Arrival::default() };
            let mut out = harness.handle(Event::RequestArrived(arrival));
            for (key, _) in counter_calls(&out) {
                out.extend(harness.handle(Event::CounterReplied {
                    key,
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
fn new_customer_may_use_the_hard_limit_accrued_since_the_gateway_started() {
    assert_eq!(admitted_without_counter(0, 1), 0.0, "an earlier process may have spent it");
    assert_eq!(admitted_without_counter(5 * S, 1), 7.0, "none of it can have been spent");
    // Between quota and hard limit there are 20 units and ten a second, over all gateways together.
    for uptime in [S, 5 * S, 100 * S, 1_000 * S] {
        let units = admitted_without_counter(uptime, 20);
        let limit = (10.0 * uptime as f64 / S as f64).min(20.0);
        assert!(units <= limit, "{units} of {limit} after {uptime}");
    }
}

/// Returns what 100 gateways send to each of 60 endpoints within 2 s, of which the first `starting` have just
/// started.
fn attempts_by_endpoint(starting: u32, new_gateways: bool) -> Vec<u32> {
    let mut sent = vec![0; 60];
    for gateway_number in 0..100 {
        let mut harness = gateway(100, gateway_number, 60);
        for _ in 0..if new_gateways { 0 } else { 20 } {
            harness.advance(250 * MS);
            let (id, endpoint) = harness.send_without_quota(0);
            harness.end_attempt(id, 0, endpoint, Outcome::Success);
        }
        let started = Some(harness.now);
        let entries = (0..starting)
            .map(|endpoint| endpoint_update(endpoint, EndpointStatus::InService, started))
            .collect();
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
fn endpoint_in_slow_start_gets_only_its_share_from_all_gateways_together() {
    for new_gateways in [false, true] {
        let sent = attempts_by_endpoint(36, new_gateways);
        let (starting, warm): (u32, u32) = (sent[..36].iter().sum(), sent[36..].iter().sum());
        // Their capacity rises from 0.2 to 0.36 after 2 s: 36 of them can handle about as much as ten warm
        // ones.
        let share = f64::from(starting) / f64::from(starting + warm);
        assert!((0.15..0.4).contains(&share), "{share}, new gateways: {new_gateways}: {sent:?}");
        // Three times its capacity overloads an endpoint; warm ones have more than twice as much each.
        let limit = f64::from(warm) / 24.0;
        assert!(sent[..36].iter().all(|&count| f64::from(count) < limit), "{sent:?}");
    }
}

#[test]
fn endpoints_all_in_slow_start_are_sent_less_than_warm_ones_could_handle() {
    let sent = attempts_by_endpoint(60, true);
    let all: u32 = sent.iter().sum();
    // Of 800 requests about the fraction that they can handle so far: 0.2 to 0.36.
    assert!((100..340).contains(&all), "{all}: {sent:?}");
}

#[test]
fn gateways_avoid_an_endpoint_that_reports_load_and_do_not_all_choose_the_same_endpoint() {
    let (mut at_loaded, mut next_choices) = (0, BTreeMap::new());
    for gateway_number in 0..100 {
        // As many endpoints as are in one gateway's subset, so that all gateways have the same candidates.
        let mut harness = gateway(100, gateway_number, 8);
        for _ in 0..40 {
            harness.advance(100 * MS);
            let (id, endpoint) = harness.send_without_quota(0);
            let reported = Some(if endpoint.0 == 0 { 12.0 } else { 1.0 });
            let (report, elapsed) =
                (LoadReport { in_flight: reported, ..LoadReport::default() }, Micros(50 * MS));
            let (outcome, request_finished) = (Outcome::Success, true);
            let end = AttemptEnded {
                request: id,
                attempt: 0,
                endpoint,
                outcome,
                elapsed,
                request_finished,
                settled_units: None,
                load: report,
            };
            harness.handle(Event::AttemptEnded(end));
            at_loaded += u32::from(endpoint.0 == 0);
        }
        *next_choices.entry(harness.send_without_quota(0).1).or_insert(0) += 1;
    }
    assert!(at_loaded < 300, "{at_loaded} of 4000; an equal share is 500");
    assert!(
        next_choices.values().all(|&count| count < 35),
        "too many gateways choose the same endpoint: {next_choices:?}"
    );
}
