//! What holds where hundreds of gateways see a request or two a second each.
mod common;
use common::*;
use quota_gateway::decision::{
    Action, Arrival, AttemptEnded, ClassId, CustomerId, EndpointId, EndpointStatus, Event, LoadReport,
    Micros, Outcome, PlanId, RequestId, Settings, WatchScope,
};
use std::collections::BTreeMap;

fn one_of(gateways: u32, me: u32, servers: u32) -> Rig {
    Rig::seeded(u64::from(me), Settings { gateways, gateway_number: me, ..settings() }, servers)
}

/// A request of a customer that comes through many gateways.
fn wide(rig: &mut Rig, resent: bool) -> (RequestId, Vec<Action>) {
    let id = RequestId(rig.next);
    rig.next += 1;
    let deadline = Micros(rig.now + 3 * S);
    let (class, plan, customer) = (ClassId(0), PlanId(0), CustomerId(rig.next));
    let arrival = Arrival {
        id,
        class,
        plan,
        customer,
        spread: 200,
        first_gateway: 0,
        deadline,
        units: 2.0,
        is_retry: resent,
        streaming_body: false,
        ..Arrival::default()
    };
    (id, rig.tell(Event::RequestArrived(arrival)))
}

#[test]
fn each_gateway_keeps_to_its_own_part_and_the_parts_cover_the_fleet_evenly() {
    let mut gateways_at = BTreeMap::new();
    for me in 0..100 {
        let mut rig = one_of(100, me, 50);
        let mut used = BTreeMap::new();
        for _ in 0..100 {
            rig.pass(500 * MS);
            let (id, server) = rig.sent(0);
            rig.ended(id, 0, server, Outcome::Success);
            *used.entry(server).or_insert(0) += 1;
        }
        assert!(used.len() <= 12, "gateway {me} used {} of 50", used.len());
        used.into_keys().for_each(|server| *gateways_at.entry(server).or_insert(0) += 1);
    }
    assert_eq!(gateways_at.len(), 50, "no server is left out");
    let (least, most) = (gateways_at.values().min(), gateways_at.values().max());
    assert!(most <= least.map(|l| l * 4).as_ref(), "{gateways_at:?}");
}

#[test]
fn late_answers_make_a_small_gateway_shed_and_quick_ones_do_not() {
    let refusals = |took: u64| {
        let mut rig = one_of(200, 3, 50);
        let mut refusals = 0;
        for _ in 0..200 {
            rig.pass(700 * MS);
            let (id, out) = rig.request(0, 3, 1, 1.0);
            refusals += u32::from(refused(&out, id));
            for (_, server) in sends(&out) {
                rig.pass(took);
                let (outcome, report, took) = (Outcome::Success, LoadReport::default(), Micros(took));
                let end = AttemptEnded {
                    request: id,
                    attempt: 0,
                    endpoint: server,
                    outcome,
                    elapsed: took,
                    request_finished: true,
                    settled_units: None,
                    load: report,
                };
                rig.tell(Event::AttemptEnded(end));
            }
        }
        refusals
    };
    assert_eq!(refusals(50 * MS), 0);
    assert!(refusals(700 * MS) > 100, "one at a time, never two out, and still it sheds");
}

#[test]
fn work_of_a_class_with_a_long_aim_does_not_make_one_with_a_short_aim_shed() {
    let mut set = Settings { gateways: 200, gateway_number: 3, ..settings() };
    set.classes[0].latency_objective = Micros(250 * MS);
    let mut rig = Rig::seeded(3, set, 50);
    let mut refusals = 0;
    for i in 0..300 {
        rig.pass(700 * MS);
        // Long work that is in time by far, and short work that ends at half of its aim.
        let (class, took) = if i % 2 == 0 { (3, 150 * MS) } else { (0, 125 * MS) };
        let (id, out) = rig.request(class, 3, 1, 1.0);
        refusals += u32::from(refused(&out, id));
        for (_, server) in sends(&out) {
            rig.pass(took);
            let (outcome, report, took) = (Outcome::Success, LoadReport::default(), Micros(took));
            let end = AttemptEnded {
                request: id,
                attempt: 0,
                endpoint: server,
                outcome,
                elapsed: took,
                request_finished: true,
                settled_units: None,
                load: report,
            };
            rig.tell(Event::AttemptEnded(end));
        }
    }
    assert_eq!(refusals, 0, "every answer was in time");
}

/// Until when an attempt that was just sent is waited for, after its request's arrival now.
fn patience(rig: &Rig, out: &[Action]) -> u64 {
    let until = out.iter().find_map(|a| {
        if let Action::SendAttempt { give_up_at: until, .. } = a {
            Some(until.0)
        } else {
            None
        }
    });
    until.expect("it is sent on") - rig.now
}

#[test]
fn long_work_is_waited_for_and_only_a_server_that_failed_of_late_is_given_up_early() {
    for gateways in [2, 300] {
        let mut rig = Rig::seeded(3, Settings { gateways, gateway_number: 1, ..settings() }, 1);
        for _ in 0..10 {
            rig.pass(100 * MS);
            let (id, out) = rig.request(0, 3, 1, 1.0);
            assert_eq!(patience(&rig, &out), 3 * S, "a sound server has all of the client's time");
            rig.ended(id, 0, EndpointId(0), Outcome::Success);
        }
        let (id, server) = rig.sent(0);
        let out = rig.ended(id, 0, server, Outcome::ServerError);
        let again = patience(&rig, &out);
        assert!((400 * MS..800 * MS).contains(&again), "{again}: another could still meet the aim");
        rig.ended(id, 1, server, Outcome::Success);
        for _ in 0..10 {
            let (id, server) = rig.sent(0);
            rig.ended(id, 0, server, Outcome::Success);
        }
        let (_, out) = rig.request(0, 3, 1, 1.0);
        assert_eq!(patience(&rig, &out), 3 * S, "it answers again");
    }
}

#[test]
fn who_is_shed_is_told_when_to_come_back() {
    let mut rig = one_of(200, 3, 50);
    for _ in 0..200 {
        let (id, server) = loop {
            rig.pass(2 * S);
            let (id, out) = wide(&mut rig, false);
            // Shed before anything is asked of the counter.
            if let [Action::Reject { retry_after: advice, .. }] =
                out.iter().filter(|a| matches!(a, Action::Reject { .. })).collect::<Vec<_>>()[..]
            {
                assert!(adds(&out).is_empty() && advice.is_some(), "{out:?}");
                return;
            }
            let out = rig.tell(Event::CounterReplied {
                key: adds(&out)[0].0,
                outcome: Outcome::Success,
                total: 2.0,
            });
            if let Some(&(_, server)) = sends(&out).first() {
                break (id, server);
            }
        };
        rig.pass(700 * MS);
        let (outcome, report, took) = (Outcome::Success, LoadReport::default(), Micros(700 * MS));
        let end = AttemptEnded {
            request: id,
            attempt: 0,
            endpoint: server,
            outcome,
            elapsed: took,
            request_finished: true,
            settled_units: None,
            load: report,
        };
        rig.tell(Event::AttemptEnded(end));
    }
    panic!("nobody was shed");
}

#[test]
fn while_calls_fail_repeats_are_not_guessed_but_first_tries_are() {
    let mut rig = one_of(200, 3, 50);
    let mut went = [0, 0];
    for i in 0..120 {
        rig.pass(300 * MS);
        let resent = i % 2 == 1;
        let (id, mut out) = wide(&mut rig, resent);
        // Every third call is turned away, so the breaker stays closed.
        for (name, _) in counts(&out) {
            let outcome = if i % 3 == 0 { Outcome::Rejected } else { Outcome::Success };
            out.extend(rig.tell(Event::CounterReplied { key: name, outcome, total: 2.0 }));
        }
        let guessed = i % 3 == 0 && !sends(&out).is_empty();
        went[usize::from(resent)] += u32::from(guessed);
        sends(&out).iter().for_each(|(_, s)| drop(rig.ended(id, 0, *s, Outcome::Success)));
    }
    assert!(went[0] > 10, "first tries: {went:?}");
    assert_eq!(went[1], 0, "repeats");
}

#[test]
fn a_share_of_less_than_one_request_still_lets_one_go() {
    let mut rig = one_of(200, 3, 50);
    rig.pass(300 * MS);
    let (id, out) = wide(&mut rig, false);
    let out =
        rig.tell(Event::CounterReplied { key: counts(&out)[0].0, outcome: Outcome::Rejected, total: 0.0 });
    assert_eq!(sends(&out).first().map(|s| s.0), Some(id));
}

#[test]
fn with_the_counter_down_hundreds_of_gateways_keep_one_ceiling_by_their_sum() {
    // 20 units a second up to 40, over 200 gateways that each have a request every second.
    let mut rigs: Vec<Rig> = (0..200).map(|me| one_of(200, me, 50)).collect();
    let (mut level, mut lowest) = (40.0f64, 40.0f64);
    for _ in 0..20 {
        level = (level + 20.0).min(40.0);
        for rig in &mut rigs {
            rig.pass(S);
            let id = RequestId(rig.next);
            rig.next += 1;
            let deadline = Micros(rig.now + 3 * S);
            let (plan, customer) = (PlanId(1), CustomerId(9));
            let a = Arrival { id, plan, customer, spread: 200, deadline, units: 1.0, ..Arrival::default() };
            let mut out = rig.tell(Event::RequestArrived(a));
            for (name, _) in counts(&out) {
                out.extend(rig.tell(Event::CounterReplied {
                    key: name,
                    outcome: Outcome::Rejected,
                    total: 0.0,
                }));
            }
            level -= sends(&out).len() as f64;
            lowest = lowest.min(level);
            sends(&out).iter().for_each(|(_, s)| drop(rig.ended(id, 0, *s, Outcome::Success)));
        }
    }
    assert!(lowest >= -4.0, "{lowest}");
}

/// What seven gateways let go unheard of one customer of plan 1 after so long, a unit at a time.
fn goes_unheard(up: u64, again: u32) -> f64 {
    let mut units = 0.0;
    for me in 0..7 {
        let mut rig = one_of(300, me, 50);
        rig.pass(up);
        for _ in 0..again {
            let id = RequestId(rig.next);
            rig.next += 1;
            let deadline = Micros(rig.now + 3 * S);
            let (plan, customer) = (PlanId(1), CustomerId(9));
            let a = Arrival { id, plan, customer, spread: 7, deadline, units: 1.0, ..Arrival::default() };
            let mut out = rig.tell(Event::RequestArrived(a));
            for (name, _) in counts(&out) {
                out.extend(rig.tell(Event::CounterReplied {
                    key: name,
                    outcome: Outcome::Rejected,
                    total: 0.0,
                }));
            }
            for (id, server) in sends(&out) {
                units += 1.0;
                rig.ended(id, 0, server, Outcome::Success);
            }
        }
    }
    units
}

#[test]
fn a_customer_new_to_a_gateway_goes_on_unheard_by_what_came_in_since_the_gateway_started() {
    assert_eq!(goes_unheard(0, 1), 0.0, "an earlier life may have spent it");
    assert_eq!(goes_unheard(5 * S, 1), 7.0, "nothing of it can be spent");
    // Between quota and ceiling 20 units and ten a second, over all gateways together.
    for up in [S, 5 * S, 100 * S, 1_000 * S] {
        let sum = goes_unheard(up, 20);
        let most = (10.0 * up as f64 / S as f64).min(20.0);
        assert!(sum <= most, "{sum} of {most} after {up}");
    }
}

/// What 100 gateways send to 60 servers within 2 s, of which the first so many have just started: to each.
fn spread_over_cold(cold: u32, new_gateways: bool) -> Vec<u32> {
    let mut sent = vec![0; 60];
    for me in 0..100 {
        let mut rig = one_of(100, me, 60);
        for _ in 0..if new_gateways { 0 } else { 20 } {
            rig.pass(250 * MS);
            let (id, server) = rig.sent(0);
            rig.ended(id, 0, server, Outcome::Success);
        }
        let started = Some(rig.now);
        let entries = (0..cold).map(|i| entry(i, EndpointStatus::InService, started)).collect();
        rig.tell(Event::EndpointsChanged { scope: WatchScope::Incremental, endpoints: entries });
        for _ in 0..8 {
            rig.pass(250 * MS);
            let (id, out) = rig.request(0, 3, 1, 1.0);
            for (_, server) in sends(&out) {
                sent[server.0 as usize] += 1;
                rig.ended(id, 0, server, Outcome::Success);
            }
        }
    }
    sent
}

#[test]
fn a_cold_server_gets_its_share_from_all_gateways_together_and_no_more() {
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
fn where_every_server_is_cold_nobody_sends_them_what_warm_ones_bear() {
    let sent = spread_over_cold(60, true);
    let all: u32 = sent.iter().sum();
    // Of 800 requests about the part that they can do by now: 0.2 to 0.36.
    assert!((100..340).contains(&all), "{all}: {sent:?}");
}

#[test]
fn gateways_turn_from_a_server_that_says_it_is_full_and_not_all_to_the_same_one() {
    let (mut to_full, mut to_next) = (0, BTreeMap::new());
    for me in 0..100 {
        // As many servers as are in one gateway's own part: all gateways have the same choice.
        let mut rig = one_of(100, me, 8);
        for _ in 0..40 {
            rig.pass(100 * MS);
            let (id, server) = rig.sent(0);
            let inflight = Some(if server.0 == 0 { 12.0 } else { 1.0 });
            let (report, took) =
                (LoadReport { in_flight: inflight, ..LoadReport::default() }, Micros(50 * MS));
            let (outcome, ended) = (Outcome::Success, true);
            let end = AttemptEnded {
                request: id,
                attempt: 0,
                endpoint: server,
                outcome,
                elapsed: took,
                request_finished: ended,
                settled_units: None,
                load: report,
            };
            rig.tell(Event::AttemptEnded(end));
            to_full += u32::from(server.0 == 0);
        }
        *to_next.entry(rig.sent(0).1).or_insert(0) += 1;
    }
    assert!(to_full < 300, "{to_full} of 4000, an eighth is 500");
    assert!(to_next.values().all(|&n| n < 35), "all at the same moment: {to_next:?}");
}
