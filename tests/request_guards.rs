//! Guards that decide which requests may be sent, retried and rejected.
mod common;
use common::{
    counter_calls, endpoint_update, is_failed, is_rejected, sent_attempts, settings, GatewayHarness, MS, S,
};
use quota_gateway::decision::{
    Action, EndpointId, EndpointStatus, Event, Micros, Outcome, RequestId, Settings, WatchScope,
};

fn final_answers(actions: &[Action], id: RequestId) -> usize {
    actions
        .iter()
        .filter(
            |a| matches!(a, Action::Reject { request: r, .. } | Action::Fail { request: r, .. } if *r == id),
        )
        .count()
}

#[test]
fn every_request_is_answered_once_by_its_deadline() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (id, _) = harness.send_without_quota(0);
    harness.advance(3 * S);
    assert_eq!(final_answers(&harness.all_actions, id), 1, "expected one answer although no attempt ended");
    harness.advance(10 * S);
    assert_eq!(final_answers(&harness.all_actions, id), 1);
}

#[test]
fn rejects_request_before_its_deadline_without_any_endpoint() {
    let mut harness = GatewayHarness::new(settings(), 0);
    let (id, _) = harness.request(0, 3, 1, 1.0);
    harness.advance(3 * S);
    assert_eq!(final_answers(&harness.all_actions, id), 1);
}

#[test]
fn sends_nothing_after_the_final_answer() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (id, endpoint) = harness.send_without_quota(0);
    harness.handle(Event::ClientDisconnected { request: id });
    let out = harness.end_attempt(id, 0, endpoint, Outcome::ServerError);
    assert!(sent_attempts(&out).is_empty() && final_answers(&out, id) == 0);
    assert!(
        sent_attempts(&harness.end_attempt(id, 0, endpoint, Outcome::ServerError)).is_empty(),
        "a repeated outcome"
    );
}

#[test]
fn fails_non_idempotent_request_that_may_have_run() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (id, endpoint) = harness.send_without_quota(2);
    let out = harness.end_attempt(id, 0, endpoint, Outcome::ServerError);
    assert!(is_failed(&out, id) && sent_attempts(&out).is_empty());
}

#[test]
fn retries_non_idempotent_request_at_another_endpoint_if_it_never_ran() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (id, endpoint) = harness.send_without_quota(2);
    let out = harness.end_attempt(id, 0, endpoint, Outcome::ConnectFailed);
    assert_eq!(sent_attempts(&out).len(), 1);
    assert_ne!(sent_attempts(&out)[0].1, endpoint);
}

#[test]
fn retries_request_with_key_only_in_its_cell() {
    for _ in 0..20 {
        let mut harness = GatewayHarness::new(settings(), 8);
        let (id, endpoint) = harness.send_without_quota(1);
        let out = harness.end_attempt(id, 0, endpoint, Outcome::ServerError);
        assert_eq!(sent_attempts(&out)[0].1 .0 / 2, endpoint.0 / 2);
    }
}

#[test]
fn neither_retries_nor_rejects_request_with_key_after_its_window() {
    let mut settings = settings();
    settings.classes[1].deduplication_window = Micros(100 * MS);
    let mut harness = GatewayHarness::new(settings, 8);
    let (id, endpoint) = harness.send_without_quota(1);
    harness.advance(100 * MS);
    let out = harness.end_attempt(id, 0, endpoint, Outcome::ServerError);
    assert!(is_failed(&out, id) && sent_attempts(&out).is_empty());
}

#[test]
fn retry_with_key_is_sent_only_if_its_connection_time_fits_in_the_window() {
    let connect_timeout = 250 * MS;
    let settings = Settings { connect_timeout: Micros(connect_timeout), ..settings() };
    let window = settings.classes[3].deduplication_window.0;
    let mut retries = 0;
    for failed_after in (0..window).step_by(10 * MS as usize) {
        let mut harness = GatewayHarness::new(settings.clone(), 4);
        let (id, endpoint) = harness.send_without_quota(3);
        harness.advance(failed_after);
        let out = harness.end_attempt(id, 0, endpoint, Outcome::ServerError);
        if !sent_attempts(&out).is_empty() {
            retries += 1;
            let latest_write = failed_after + connect_timeout;
            assert!(latest_write < window, "sent after {failed_after} us, written by {latest_write}");
        }
    }
    assert!(retries > 50, "too few retries in the first part of the window: {retries}");
}

#[test]
fn may_reject_idempotent_request_with_an_attempt_in_flight() {
    let mut harness = GatewayHarness::new(settings(), 1);
    let (id, _) = harness.send_without_quota(0);
    let out = harness.advance(3 * S);
    assert!(is_rejected(&out, id) && out.contains(&Action::CancelAttempt { request: id, attempt: 0 }));
}

#[test]
fn sends_nothing_to_draining_or_removed_endpoint() {
    for listed in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let mut harness = GatewayHarness::new(settings(), 2);
        harness.handle(Event::EndpointsChanged {
            scope: WatchScope::Incremental,
            endpoints: vec![endpoint_update(0, listed, None)],
        });
        for _ in 0..50 {
            let (_, endpoint) = harness.send_without_quota(0);
            assert_eq!(endpoint, EndpointId(1));
            harness.end_attempt(RequestId(harness.next_request - 1), 0, endpoint, Outcome::Success);
        }
        harness.handle(Event::EndpointsChanged {
            scope: WatchScope::Complete,
            endpoints: vec![endpoint_update(0, EndpointStatus::InService, None)],
        });
        for _ in 0..2 {
            assert_eq!(
                harness.send_without_quota(0).1,
                EndpointId(0),
                "an endpoint missing from a complete list is removed"
            );
        }
    }
}

#[test]
fn rejects_request_before_its_deadline_while_all_endpoints_drain() {
    let mut harness = GatewayHarness::new(settings(), 1);
    harness.handle(Event::EndpointsChanged {
        scope: WatchScope::Incremental,
        endpoints: vec![endpoint_update(0, EndpointStatus::Draining, None)],
    });
    let (id, out) = harness.request(0, 3, 1, 1.0);
    assert!(sent_attempts(&out).is_empty());
    harness.advance(3 * S);
    assert_eq!(final_answers(&harness.all_actions, id), 1);
}

/// Sends a steady flow for five seconds and counts the attempts at each endpoint.
fn send_steady_flow(harness: &mut GatewayHarness) -> Vec<u32> {
    let mut attempts = vec![0; 8];
    for _ in 0..500 {
        harness.advance(10 * MS);
        let (id, out) = harness.request(0, 3, 1, 1.0);
        for (_, endpoint) in sent_attempts(&out) {
            attempts[endpoint.0 as usize] += 1;
            harness.end_attempt(id, 0, endpoint, Outcome::Success);
        }
    }
    attempts
}

#[test]
fn endpoint_in_slow_start_gets_no_more_than_its_share() {
    let mut harness = GatewayHarness::new(settings(), 4);
    send_steady_flow(&mut harness);
    let (now, starting) = (harness.now, 3);
    harness.handle(Event::EndpointsChanged {
        scope: WatchScope::Incremental,
        endpoints: vec![endpoint_update(starting, EndpointStatus::InService, Some(now))],
    });
    let attempts = send_steady_flow(&mut harness);
    let warm = attempts[..3].iter().sum::<u32>() / 3;
    // Its capacity rises from a fifth to three fifths over these seconds.
    assert!(attempts[3] > 0 && attempts[3] * 2 < warm, "{attempts:?}");
}

#[test]
fn restart_that_is_not_listed_yet_begins_slow_start() {
    let mut harness = GatewayHarness::new(settings(), 2);
    send_steady_flow(&mut harness);
    for _ in 0..2_000 {
        harness.advance(10 * MS);
        let (id, endpoint) = harness.send_without_quota(0);
        let has_restarted = harness.now > 1_010 * S;
        let outcome = if endpoint == EndpointId(0) && !has_restarted {
            Outcome::ConnectFailed
        } else {
            Outcome::Success
        };
        let out = harness.end_attempt(id, 0, endpoint, outcome);
        for (id, endpoint) in sent_attempts(&out) {
            harness.end_attempt(id, 1, endpoint, Outcome::Success);
        }
        if has_restarted && endpoint == EndpointId(0) {
            break;
        }
    }
    let attempts = send_steady_flow(&mut harness);
    assert!(attempts[0] > 0 && attempts[0] * 3 < attempts[1] * 2, "{attempts:?}");
}

/// Returns the lowest level that a customer's hard limit reached with two gateways, each offered more than it
/// may forward for thirty seconds. `answer` is `None` if a counter call fails, otherwise the fraction of its
/// totals that the counter still has.
fn lowest_hard_limit_level(answer: impl Fn(u64) -> Option<f64>) -> f64 {
    lowest_hard_limit_level_with(|call, _| answer(call), |_, _| true)
}

/// The same, where `answer` also gets the amount of each call and `has_traffic` says at which steps a
/// gateway has traffic.
fn lowest_hard_limit_level_with(
    answer: impl Fn(u64, f64) -> Option<f64>,
    has_traffic: impl Fn(usize, u64) -> bool,
) -> f64 {
    let mut totals = std::collections::BTreeMap::new();
    let mut settings = settings();
    settings.plans[1].overage_weight_fraction = 0.5;
    (settings.plans[1].hard_limit_rate, settings.plans[1].hard_limit_burst) = (18.0, 36.0);
    settings.plans[1].overage_cost_fraction = 0.0;
    let mut harnesses = [GatewayHarness::new(settings.clone(), 8), GatewayHarness::new(settings, 8)];
    let (mut level, mut lowest, mut call) = (36.0f64, 36.0f64, 0);
    for step in 0..3_000 {
        level = (level + 18.0 * 0.01).min(36.0);
        for (gateway, harness) in harnesses.iter_mut().enumerate() {
            harness.advance(10 * MS);
            if !has_traffic(gateway, step) {
                continue;
            }
            let (id, out) = harness.request(0, 1, 1, 1.0);
            let mut pending = out;
            while !pending.is_empty() {
                let mut next = Vec::new();
                for (key, amount) in counter_calls(&pending) {
                    call += 1;
                    let (mut outcome, mut reported_total) = (Outcome::Rejected, 0.0);
                    if let Some(retained) = answer(call, amount) {
                        totals.values_mut().for_each(|total| *total *= retained);
                        let total = totals.entry(key).or_insert(0.0);
                        *total += amount;
                        (outcome, reported_total) = (Outcome::Success, *total);
                    }
                    next.extend(harness.handle(Event::CounterReplied {
                        key,
                        outcome,
                        total: reported_total,
                    }));
                }
                for (_, endpoint) in sent_attempts(&pending) {
                    level -= 1.0;
                    lowest = lowest.min(level);
                    next.extend(harness.end_attempt(id, 0, endpoint, Outcome::Success));
                }
                pending = next;
            }
        }
    }
    lowest
}

#[test]
fn hard_limit_holds_while_the_counter_answers() {
    assert!(lowest_hard_limit_level(|_| Some(1.0)) >= -4.0);
}

#[test]
fn hard_limit_holds_while_the_counter_is_down() {
    assert!(lowest_hard_limit_level(|_| None) >= -4.0);
}

#[test]
fn hard_limit_holds_while_the_counter_fails_intermittently() {
    for every in 2..12 {
        let lowest = lowest_hard_limit_level(|call| (call % every == 0).then_some(1.0));
        assert!(lowest >= -4.0, "one success in {every}: {lowest}");
        let lowest = lowest_hard_limit_level(|call| (call % every != 0).then_some(1.0));
        assert!(lowest >= -4.0, "one failure in {every}: {lowest}");
    }
}

#[test]
fn hard_limit_holds_when_the_counter_loses_its_data() {
    for every in [61, 75, 90, 97, 130, 311, 701] {
        let lowest = lowest_hard_limit_level(|call| Some(if call % every == 0 { 0.0 } else { 1.0 }));
        assert!(lowest >= -4.0, "data lost every {every} calls: {lowest}");
    }
}

#[test]
fn hard_limit_holds_when_gateways_with_alternating_traffic_assume_an_unspent_quota() {
    // Every read of the previous window fails. The gateways have traffic in turns, one window each.
    for offset in (0..100).step_by(10) {
        let lowest = lowest_hard_limit_level_with(
            |_, amount| (amount != 0.0).then_some(1.0),
            |gateway, step| ((step + offset) / 100) % 2 == gateway as u64,
        );
        assert!(lowest >= -4.0, "offset {offset}: {lowest}");
    }
}

/// Hundreds of gateways with the same steady flow over the same endpoints learn at once that one endpoint has
/// just started.
#[test]
fn hundreds_of_gateways_together_do_not_overload_endpoint_in_slow_start() {
    let (gateways, endpoints) = (200, 20);
    let step = |harness: &mut GatewayHarness| {
        harness.advance(200 * MS);
        let (id, out) = harness.request(0, 3, 1, 1.0);
        let sent = sent_attempts(&out);
        sent.iter().for_each(|(_, endpoint)| drop(harness.end_attempt(id, 0, *endpoint, Outcome::Success)));
        sent.iter().any(|(_, endpoint)| *endpoint == EndpointId(3))
    };
    let mut harnesses: Vec<GatewayHarness> = (0..gateways)
        .map(|gateway_number| {
            let settings = Settings { gateways, gateway_number, max_request_units: 1.0, ..settings() };
            let mut harness = GatewayHarness::seeded(u64::from(gateway_number), settings, endpoints);
            for _ in 0..20 {
                step(&mut harness);
            }
            let now = harness.now;
            harness.handle(Event::EndpointsChanged {
                scope: WatchScope::Incremental,
                endpoints: vec![endpoint_update(3, EndpointStatus::InService, Some(now))],
            });
            harness
        })
        .collect();
    // A warm endpoint gets 50 requests a second; one in slow start fails at twice its fraction of that.
    let (mut last_second, mut total) = (std::collections::VecDeque::new(), 0);
    for tick in 0..50 {
        let attempts = harnesses.iter_mut().filter_map(|harness| step(harness).then_some(())).count();
        last_second.push_back(attempts);
        if last_second.len() > 5 {
            last_second.pop_front();
        }
        total += attempts;
        let (in_last_second, capacity_fraction) =
            (last_second.iter().sum::<usize>() as f64, 0.2 + 0.8 * f64::from(tick) / 50.0);
        assert!(
            in_last_second <= 2.0 * 50.0 * capacity_fraction + 4.0,
            "{in_last_second} in the second before {}",
            tick
        );
    }
    assert!(total > 20, "the endpoint got too few attempts: {total}");
}
