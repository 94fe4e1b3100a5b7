//! What may be sent, retried and rejected, each by the guard that decides it.
mod common;
use common::{
    counter_calls, endpoint_update, is_failed, is_rejected, sent_attempts, settings, GatewayHarness, MS, S,
};
use quota_gateway::decision::{
    Action, EndpointId, EndpointStatus, Event, Micros, Outcome, RequestId, Settings, WatchScope,
};

fn finals(done: &[Action], id: RequestId) -> usize {
    done.iter()
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
    assert_eq!(finals(&harness.all_actions, id), 1, "no outcome ever came");
    harness.advance(10 * S);
    assert_eq!(finals(&harness.all_actions, id), 1);
}

#[test]
fn rejects_request_in_time_without_any_endpoint() {
    let mut harness = GatewayHarness::new(settings(), 0);
    let (id, _) = harness.request(0, 3, 1, 1.0);
    harness.advance(3 * S);
    assert_eq!(finals(&harness.all_actions, id), 1);
}

#[test]
fn sends_nothing_after_the_final_answer() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (id, endpoint) = harness.send_without_quota(0);
    harness.handle(Event::ClientDisconnected { request: id });
    let out = harness.end_attempt(id, 0, endpoint, Outcome::ServerError);
    assert!(sent_attempts(&out).is_empty() && finals(&out, id) == 0);
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
fn retries_non_idempotent_request_that_never_ran_elsewhere() {
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
    let mut set = settings();
    set.classes[1].deduplication_window = Micros(100 * MS);
    let mut harness = GatewayHarness::new(set, 8);
    let (id, endpoint) = harness.send_without_quota(1);
    harness.advance(100 * MS);
    let out = harness.end_attempt(id, 0, endpoint, Outcome::ServerError);
    assert!(is_failed(&out, id) && sent_attempts(&out).is_empty());
}

#[test]
fn retry_with_key_leaves_time_for_its_connection() {
    let connect_timeout = 250 * MS;
    let set = Settings { connect_timeout: Micros(connect_timeout), ..settings() };
    let window = set.classes[3].deduplication_window.0;
    let mut repeated = 0;
    for failed_after in (0..window).step_by(10 * MS as usize) {
        let mut harness = GatewayHarness::new(set.clone(), 4);
        let (id, endpoint) = harness.send_without_quota(3);
        harness.advance(failed_after);
        let out = harness.end_attempt(id, 0, endpoint, Outcome::ServerError);
        if !sent_attempts(&out).is_empty() {
            repeated += 1;
            let latest_write = failed_after + connect_timeout;
            assert!(latest_write < window, "sent after {failed_after} us, written after {latest_write}");
        }
    }
    assert!(repeated > 50, "retries go on in the first part of the window: {repeated}");
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
                "a endpoint missing from a complete list is removed"
            );
        }
    }
}

#[test]
fn rejects_in_time_while_all_endpoints_drain() {
    let mut harness = GatewayHarness::new(settings(), 1);
    harness.handle(Event::EndpointsChanged {
        scope: WatchScope::Incremental,
        endpoints: vec![endpoint_update(0, EndpointStatus::Draining, None)],
    });
    let (id, out) = harness.request(0, 3, 1, 1.0);
    assert!(sent_attempts(&out).is_empty());
    harness.advance(3 * S);
    assert_eq!(finals(&harness.all_actions, id), 1);
}

/// Runs a steady flow for five seconds and counts what each endpoint got.
fn flow(harness: &mut GatewayHarness) -> Vec<u32> {
    let mut got = vec![0; 8];
    for _ in 0..500 {
        harness.advance(10 * MS);
        let (id, out) = harness.request(0, 3, 1, 1.0);
        for (_, endpoint) in sent_attempts(&out) {
            got[endpoint.0 as usize] += 1;
            harness.end_attempt(id, 0, endpoint, Outcome::Success);
        }
    }
    got
}

#[test]
fn endpoint_in_slow_start_gets_no_more_than_its_share() {
    let mut harness = GatewayHarness::new(settings(), 4);
    flow(&mut harness);
    let (now, cold) = (harness.now, 3);
    harness.handle(Event::EndpointsChanged {
        scope: WatchScope::Incremental,
        endpoints: vec![endpoint_update(cold, EndpointStatus::InService, Some(now))],
    });
    let got = flow(&mut harness);
    let warm = got[..3].iter().sum::<u32>() / 3;
    // From a fifth to three fifths of its capacity over these seconds.
    assert!(got[3] > 0 && got[3] * 2 < warm, "{got:?}");
}

#[test]
fn restart_that_is_not_listed_yet_begins_slow_start() {
    let mut harness = GatewayHarness::new(settings(), 2);
    flow(&mut harness);
    for _ in 0..2_000 {
        harness.advance(10 * MS);
        let (id, endpoint) = harness.send_without_quota(0);
        let up = harness.now > 1_010 * S;
        let outcome =
            if endpoint == EndpointId(0) && !up { Outcome::ConnectFailed } else { Outcome::Success };
        let out = harness.end_attempt(id, 0, endpoint, outcome);
        for (id, endpoint) in sent_attempts(&out) {
            harness.end_attempt(id, 1, endpoint, Outcome::Success);
        }
        if up && endpoint == EndpointId(0) {
            break;
        }
    }
    let got = flow(&mut harness);
    assert!(got[0] > 0 && got[0] * 3 < got[1] * 2, "{got:?}");
}

/// The most that one customer under a ceiling may have had at any moment: two gateways, each
/// offered all it could want for thirty seconds; `answer` fails a call or tells which part of its
/// totals the counter still has.
fn ceiling_low(answer: impl Fn(u64) -> Option<f64>) -> f64 {
    ceiling_low_with(|n, _| answer(n), |_, _| true)
}

/// The same, with the amount of each call told, and gateways that have traffic only at some steps.
fn ceiling_low_with(answer: impl Fn(u64, f64) -> Option<f64>, busy: impl Fn(usize, u64) -> bool) -> f64 {
    let mut totals = std::collections::BTreeMap::new();
    let mut set = settings();
    set.plans[1].overage_weight_fraction = 0.5;
    (set.plans[1].ceiling_rate, set.plans[1].ceiling_burst) = (18.0, 36.0);
    set.plans[1].overage_cost_fraction = 0.0;
    let mut rigs = [GatewayHarness::new(set.clone(), 8), GatewayHarness::new(set, 8)];
    let (mut level, mut lowest, mut call) = (36.0f64, 36.0f64, 0);
    for step in 0..3_000 {
        level = (level + 18.0 * 0.01).min(36.0);
        for (i, harness) in rigs.iter_mut().enumerate() {
            harness.advance(10 * MS);
            if !busy(i, step) {
                continue;
            }
            let (id, out) = harness.request(0, 1, 1, 1.0);
            let mut pending = out;
            while !pending.is_empty() {
                let mut next = Vec::new();
                for (name, amount) in counter_calls(&pending) {
                    call += 1;
                    let (mut outcome, mut heard) = (Outcome::Rejected, 0.0);
                    if let Some(kept) = answer(call, amount) {
                        totals.values_mut().for_each(|t| *t *= kept);
                        let total = totals.entry(name).or_insert(0.0);
                        *total += amount;
                        (outcome, heard) = (Outcome::Success, *total);
                    }
                    next.extend(harness.handle(Event::CounterReplied { key: name, outcome, total: heard }));
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
fn ceiling_holds_while_the_counter_answers() {
    assert!(ceiling_low(|_| Some(1.0)) >= -4.0);
}

#[test]
fn ceiling_holds_while_the_counter_is_down() {
    assert!(ceiling_low(|_| None) >= -4.0);
}

#[test]
fn ceiling_holds_while_the_counter_comes_and_goes() {
    for share in 2..12 {
        let low = ceiling_low(|n| (n % share == 0).then_some(1.0));
        assert!(low >= -4.0, "one answer in {share}: {low}");
        let low = ceiling_low(|n| (n % share != 0).then_some(1.0));
        assert!(low >= -4.0, "one failure in {share}: {low}");
    }
}

#[test]
fn ceiling_holds_when_the_counter_loses_its_memory() {
    for every in [61, 75, 90, 97, 130, 311, 701] {
        let low = ceiling_low(|n| Some(if n % every == 0 { 0.0 } else { 1.0 }));
        assert!(low >= -4.0, "emptied every {every} calls: {low}");
    }
}

#[test]
fn ceiling_holds_when_gateways_take_turns_and_each_believes_the_quota_unspent() {
    // Every read of the window before fails; a window of traffic here, then one there.
    for offset in (0..100).step_by(10) {
        let low = ceiling_low_with(
            |_, amount| (amount != 0.0).then_some(1.0),
            |harness, step| ((step + offset) / 100) % 2 == harness as u64,
        );
        assert!(low >= -4.0, "offset {offset}: {low}");
    }
}

/// Hundreds of gateways with the same steady flow over one fleet, all told at once of an endpoint that has just started.
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
    let mut rigs: Vec<GatewayHarness> = (0..gateways)
        .map(|me| {
            let set = Settings { gateways, gateway_number: me, max_request_units: 1.0, ..settings() };
            let mut harness = GatewayHarness::seeded(u64::from(me), set, endpoints);
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
    // A warm endpoint gets 50 of these a second; one in slow start fails at twice its fraction of that.
    let (mut second, mut total) = (std::collections::VecDeque::new(), 0);
    for tick in 0..50 {
        let got = rigs.iter_mut().filter_map(|harness| step(harness).then_some(())).count();
        second.push_back(got);
        if second.len() > 5 {
            second.pop_front();
        }
        total += got;
        let (most, part) = (second.iter().sum::<usize>() as f64, 0.2 + 0.8 * f64::from(tick) / 50.0);
        assert!(most <= 2.0 * 50.0 * part + 4.0, "{most} in the second before {}", tick);
    }
    assert!(total > 20, "it does get work: {total}");
}
