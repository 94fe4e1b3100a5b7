//! Membership under virtual time: properties over random faults, and the hard cases by themselves.

use proptest::prelude::*;
use quota_gateway::cluster::{Agreement, ClusterNotice, MemberState, Micros};
use quota_gateway_lab::members::world::{seconds, Weather, World};
use std::collections::BTreeMap;

/// A fault, and how long after the one before it comes, in tenths of a second.
#[derive(Debug, Clone)]
enum Fault {
    Kill(usize),
    Start(usize),
    Leave(usize),
    Pause(usize, bool),
    OneWay(usize, usize),
    Split(Vec<bool>),
    Heal,
    Weather(u8, u8, u8),
    SetBack(usize),
    Moved(usize),
}

fn fault(members: usize) -> impl Strategy<Value = Fault> {
    let one = 0..members;
    prop_oneof![
        4 => one.clone().prop_map(Fault::Kill),
        4 => one.clone().prop_map(Fault::Start),
        1 => one.clone().prop_map(Fault::Leave),
        3 => (one.clone(), any::<bool>()).prop_map(|(i, on)| Fault::Pause(i, on)),
        2 => (one.clone(), one.clone()).prop_map(|(i, j)| Fault::OneWay(i, j)),
        2 => prop::collection::vec(any::<bool>(), members).prop_map(Fault::Split),
        2 => Just(Fault::Heal),
        2 => (0..30u8, 0..20u8, 0..200u8).prop_map(|(l, d, ms)| Fault::Weather(l, d, ms)),
        1 => one.clone().prop_map(Fault::SetBack),
        1 => one.prop_map(Fault::Moved),
    ]
}

fn plan() -> impl Strategy<Value = (usize, u64, Vec<(u8, Fault)>)> {
    (3..9usize).prop_flat_map(|members| {
        let faults = prop::collection::vec((0..80u8, fault(members)), 1..14);
        (Just(members), any::<u64>(), faults)
    })
}

fn strike(world: &mut World, members: usize, fault: &Fault) {
    match *fault {
        Fault::Kill(i) => world.kill(i),
        Fault::Start(i) if world.fleet(i).is_none() => world.start(i),
        Fault::Start(_) => {}
        Fault::Leave(i) if !world.is_paused(i) => {
            world.leave(i);
            world.run_for(seconds(1.0));
            world.kill(i);
        }
        Fault::Leave(_) => {}
        Fault::Pause(i, on) => world.pause(i, on),
        Fault::OneWay(i, j) => world.cut(i, j, true),
        Fault::Split(ref side) => {
            let (left, right) = (0..members).partition(|i| side[*i]);
            world.split(&[left, right]);
        }
        Fault::Heal => world.heal(),
        Fault::Weather(loss, doubled, ms) => {
            let delay = (Micros(200), Micros(2_000 + u64::from(ms) * 1000));
            world.weather =
                Weather { delay, loss: f64::from(loss) / 100.0, doubled: f64::from(doubled) / 100.0 };
        }
        Fault::SetBack(i) => world.set_back(i, seconds(86_400.0)),
        Fault::Moved(i) => {
            let others: Vec<usize> = (0..members).filter(|j| *j != i).collect();
            world.moved(i, &others);
        }
    }
}

/// Seconds until all are one; fails the test where they are not in time.
fn soon_one(world: &mut World, within: f64) -> f64 {
    let begin = world.now;
    while !world.is_one() {
        assert!(world.now - begin < seconds(within), "not one after {within} s:\n{}", picture(world));
        world.run_for(Micros(100_000));
    }
    (world.now - begin).secs()
}

fn picture(world: &World) -> String {
    let line = |i: usize| match world.fleet(i) {
        Some(fleet) => {
            let others = fleet.records().map(|r| format!("{} {:?}", r.identity.name, r.state));
            let report = fleet.report();
            let self_ =
                format!("health {} late {:?} sent {:?}", report.health, report.late_calls, report.sent);
            format!("{} ({self_}): {}\n", world.name(i), others.collect::<Vec<_>>().join(", "))
        }
        None => format!("{}: not running\n", world.name(i)),
    };
    (0..world.count()).map(line).collect()
}

fn started(members: usize, seed: u64) -> World {
    let mut world = World::new(members, seed);
    (0..members).for_each(|i| world.start(i));
    soon_one(&mut world, 20.0);
    world.run_for(seconds(12.0));
    world.notices.clear();
    world
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 200, failure_persistence: Some(Box::new(
        proptest::test_runner::FileFailurePersistence::WithSource("regressions"),
    )), ..ProptestConfig::default() })]

    /// After the last fault all live members reach one view, whatever came before.
    #[test]
    fn after_the_last_fault_all_are_one((members, seed, faults) in plan()) {
        let mut world = World::new(members, seed);
        (0..members).for_each(|i| world.start(i));
        for (tenths, fault) in &faults {
            world.run_for(Micros(u64::from(*tenths) * 100_000));
            strike(&mut world, members, fault);
        }
        world.heal();
        world.weather = Weather::default();
        (0..members).for_each(|i| world.pause(i, false));
        if world.awake().is_empty() {
            world.start(0);
        }
        soon_one(&mut world, 40.0);
    }
}

/// Checks, at this moment, what must hold at every one: shares in force sum to one at most for every set of
/// seats in a row, and nobody stands on two agreed views by one number.
fn hold_the_shares(world: &World, members: usize) {
    for spread in 2..=members {
        for first in 0..members {
            let through: Vec<usize> = (0..spread).map(|i| (first + i) % members).collect();
            let sum = world.in_force(&through);
            assert!(sum <= 1.0 + 1e-9, "{sum} in force at {} s through {through:?}", world.now.secs());
        }
    }
    let mut agreed: BTreeMap<u64, String> = BTreeMap::new();
    for view in world.awake().into_iter().filter_map(|i| world.fleet(i)?.report().view) {
        if view.agreement == Agreement::Agreed {
            let digest = agreed.entry(view.number).or_insert_with(|| view.digest.clone());
            assert_eq!(*digest, view.digest, "two agreed views by number {}", view.number);
        }
    }
}

fn run_holding(world: &mut World, members: usize, span: Micros) {
    let end = world.now + span;
    while world.now < end {
        let step = Micros(100_000).min(end - world.now);
        world.run_for(step);
        hold_the_shares(world, members);
    }
}

fn lending(members: usize, seed: u64) -> World {
    let mut world = World::new(members, seed);
    world.seats = (0..members).map(|i| format!("g{i}")).collect();
    (0..members).for_each(|i| world.start(i));
    world
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, max_shrink_iters: 100, failure_persistence: Some(Box::new(
        proptest::test_runner::FileFailurePersistence::WithSource("regressions"),
    )), ..ProptestConfig::default() })]

    /// Whatever happens, the shares in force never sum to more than one; afterwards they sum to one again.
    #[test]
    fn shares_in_force_never_sum_to_more_than_one((members, seed, faults) in plan()) {
        let mut world = lending(members, seed);
        run_holding(&mut world, members, seconds(16.0));
        for (tenths, fault) in &faults {
            run_holding(&mut world, members, Micros(u64::from(*tenths) * 200_000));
            strike(&mut world, members, fault);
            hold_the_shares(&world, members);
        }
        world.heal();
        world.weather = Weather::default();
        (0..members).for_each(|i| world.pause(i, false));
        (0..members).filter(|i| world.fleet(*i).is_none()).collect::<Vec<_>>().into_iter().for_each(|i| world.start(i));
        run_holding(&mut world, members, seconds(45.0));
        let all: Vec<usize> = (0..members).collect();
        prop_assert!((world.in_force(&all) - 1.0).abs() < 1e-9, "{} in force at last", world.in_force(&all));
    }
}

#[test]
fn the_living_have_the_shares_of_the_dead_until_they_are_back() {
    let mut world = lending(10, 21);
    world.run_for(seconds(30.0));
    let all: Vec<usize> = (0..10).collect();
    assert!((world.in_force(&all) - 1.0).abs() < 1e-9);
    (0..3).for_each(|i| world.kill(i));
    world.run_for(seconds(1.0));
    assert!((world.in_force(&all) - 0.7).abs() < 1e-9, "nobody has them yet");
    run_holding(&mut world, 10, seconds(24.0));
    assert!((world.in_force(&all) - 1.0).abs() < 1e-9, "{}", world.in_force(&all));
    (0..3).for_each(|i| world.start(i));
    run_holding(&mut world, 10, seconds(30.0));
    assert!((world.in_force(&all) - 1.0).abs() < 1e-9, "{}", world.in_force(&all));
    // A minority has nothing that is lent; the others have it all.
    world.split(&[vec![0, 1, 2], (3..10).collect()]);
    run_holding(&mut world, 10, seconds(30.0));
    let agreement =
        |world: &World, i: usize| world.fleet(i).and_then(|f| f.report().view).map(|v| v.agreement);
    assert_eq!(agreement(&world, 0), Some(Agreement::Minority));
    assert_eq!(agreement(&world, 5), Some(Agreement::Majority));
    assert!((world.in_force(&all) - 1.0).abs() < 1e-9, "{}", world.in_force(&all));
    world.heal();
    run_holding(&mut world, 10, seconds(30.0));
    assert!((0..10).all(|i| agreement(&world, i) == Some(Agreement::Agreed)));
}

fn downs(world: &World) -> Vec<String> {
    let down = |(_, node, n): &(Micros, usize, ClusterNotice)| match n {
        ClusterNotice::MemberStateChanged { name, state: MemberState::Down, .. } => {
            Some(format!("{} by g{node}", name))
        }
        _ => None,
    };
    world.notices.iter().filter_map(down).collect()
}

#[test]
fn a_way_cut_between_two_or_one_way_removes_nobody() {
    let mut world = started(8, 3);
    world.cut(0, 1, true);
    world.cut(2, 3, true);
    world.cut(3, 2, true);
    world.run_for(seconds(120.0));
    assert_eq!(downs(&world), Vec::<String>::new());
    assert!(world.is_one());
}

#[test]
fn one_that_leaves_by_word_is_no_death() {
    let mut world = started(6, 4);
    world.leave(2);
    world.run_for(seconds(1.0));
    world.kill(2);
    world.run_for(seconds(20.0));
    assert_eq!(downs(&world), Vec::<String>::new());
    let left = |i: usize| {
        let record = world.fleet(i).and_then(|f| f.records().find(|r| &*r.identity.name == "g2").cloned());
        record.map(|r| r.state) == Some(MemberState::Left)
    };
    assert!(world.awake().into_iter().all(left), "{}", picture(&world));
}

#[test]
fn one_paused_for_half_a_minute_accuses_nobody_and_is_one_again() {
    let mut world = started(10, 5);
    world.pause(3, true);
    world.run_for(seconds(30.0));
    world.notices.clear();
    world.pause(3, false);
    soon_one(&mut world, 10.0);
    world.run_for(seconds(10.0));
    assert_eq!(downs(&world), Vec::<String>::new());
}

#[test]
fn seven_in_ten_killed_at_once_are_back_under_their_names() {
    let mut world = started(20, 6);
    (0..14).for_each(|i| world.kill(i));
    world.run_for(seconds(3.0));
    (0..14).for_each(|i| world.start(i));
    soon_one(&mut world, 15.0);
    world.run_for(seconds(20.0));
    assert!(world.is_one(), "{}", picture(&world));
}

#[test]
fn islands_with_restarts_on_both_sides_are_one_after_the_heal() {
    let mut world = started(12, 7);
    world.split(&[vec![0, 1, 2], vec![3, 4, 5, 6], vec![7, 8, 9, 10, 11]]);
    world.run_for(seconds(30.0));
    [0, 4, 8].into_iter().for_each(|i| world.kill(i));
    world.run_for(seconds(5.0));
    [0, 4, 8].into_iter().for_each(|i| world.start(i));
    world.run_for(seconds(25.0));
    world.heal();
    soon_one(&mut world, 10.0);
}

#[test]
fn a_rolling_restart_leaves_no_ghost() {
    let mut world = started(20, 8);
    world.weather = Weather { delay: (Micros(200), Micros(400_000)), loss: 0.05, doubled: 0.1 };
    for pair in 0..10 {
        for i in [pair * 2, pair * 2 + 1] {
            world.leave(i);
            world.run_for(seconds(0.6));
            world.kill(i);
            world.start(i);
        }
        world.run_for(seconds(2.0));
    }
    soon_one(&mut world, 15.0);
    world.weather = Weather::default();
    world.run_for(seconds(20.0));
    assert!(world.is_one(), "{}", picture(&world));
}

#[test]
fn a_clock_set_back_and_a_move_keep_nobody_out() {
    let mut world = started(6, 9);
    world.kill(1);
    world.set_back(1, seconds(400.0 * 86_400.0));
    world.run_for(seconds(1.0));
    world.start(1);
    soon_one(&mut world, 15.0);
    world.kill(2);
    world.run_for(seconds(8.0));
    world.moved(2, &[0, 1, 3]);
    world.start(2);
    // Those that were not told find it by what it advertises, once word of it comes round.
    world.run_for(seconds(20.0));
    let knows = |i: usize| world.fleet(i).is_some_and(|f| f.present() == 6);
    assert!([0, 1, 2].into_iter().all(knows), "{}", picture(&world));
}

#[test]
fn one_that_hears_but_cannot_send_is_down_for_the_others_and_comes_back() {
    let mut world = started(8, 10);
    (1..8).for_each(|i| world.cut(0, i, true));
    world.run_for(seconds(20.0));
    let others = |world: &World| (1..8).all(|i| world.fleet(i).is_some_and(|f| f.present() == 7));
    assert!(others(&world), "{}", picture(&world));
    world.heal();
    soon_one(&mut world, 10.0);
}

#[test]
fn of_two_processes_under_one_name_the_older_yields_and_both_are_named() {
    let mut world = started(5, 11);
    let double = world.double(2);
    world.start(double);
    world.run_for(seconds(20.0));
    let older = world.fleet(2).expect("it runs on");
    let newer = world.fleet(double).expect("it runs").own().incarnation;
    assert!(
        older.yielded_to().is_some_and(|to| to >= newer - 64 && to <= newer + 64),
        "{:?}",
        older.yielded_to()
    );
    assert!(world.fleet(double).is_some_and(|f| f.yielded_to().is_none()));
    let named =
        |n: &(Micros, usize, ClusterNotice)| matches!(n.2, ClusterNotice::SeatYielded { .. }) && n.1 == 2;
    assert!(world.notices.iter().any(named));
}

#[test]
fn strangers_are_dropped_and_counted_and_change_nothing() {
    let mut world = started(4, 12);
    let before = world.fleet(0).expect("it runs").report();
    let mut seed = 1u64;
    for length in 0..2000usize {
        let bytes: Vec<u8> = (0..length)
            .map(|_| {
                seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                (seed >> 33) as u8
            })
            .collect();
        world.inject(0, &bytes);
    }
    let after = world.fleet(0).expect("it runs").report();
    assert_eq!(after.dropped.values().sum::<u64>() - before.dropped.values().sum::<u64>(), 2000);
    assert_eq!(after.present, before.present);
    assert_eq!(after.sent, before.sent);
}
