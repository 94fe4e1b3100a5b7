//! Cluster nodes with storage under virtual time: what they answered they remember, whichever process ends when, all of
//! them at once too.

mod simulation;
mod verification;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use quota_gateway::cluster::write_queue::{Dot, WriteStatus};
use quota_gateway::cluster::{ClusterNode, ClusterNotice};
use rand::RngExt;
use simulation::{Node, Simulation, MS};

fn cut_with_writes(seed: u64, with_disks: bool) -> Simulation {
    let mut simulation = Simulation::new(seed, 3, with_disks);
    assert!(simulation.votes().iter().all(|votes| *votes == (true, true)), "{:?}", simulation.votes());
    simulation.isolated = true;
    simulation.pass(1_500);
    for i in 0..120u64 {
        simulation.write((i % 3) as usize, i % 11, i % 7);
        simulation.pass(40);
    }
    simulation.pass(500);
    assert!(simulation.writes.values().filter(|s| s.accepted.is_some()).count() > 80);
    simulation
}

/// All gateways of a branch restart at once, some with their machines, while writes are pending.
#[test]
fn restarted_branch_loses_nothing_with_storage_and_says_so_without() {
    for (with_disks, reboot) in [(true, false), (true, true), (false, false)] {
        let mut simulation = cut_with_writes(1, with_disks);
        let (now, before) = (simulation.now, simulation.writes.len());
        (0..3).for_each(|node| simulation.kill(node, reboot));
        (0..3).for_each(|node| simulation.give_up(node));
        simulation.now += 1_000 * MS;
        (0..3).for_each(|node| simulation.start(node));
        simulation.pass(500);
        let at_once = simulation.votes();
        // Records of the ledger are dated by the machine's own clock: after its start nobody knows how old they are.
        let expected = (with_disks, with_disks && !reboot);
        assert!(at_once.iter().all(|votes| *votes == expected), "{at_once:?} {expected:?}");
        simulation.settle();
        let checked = simulation.check();
        let done = simulation.writes.values().filter(|s| !s.ran.is_empty()).count();
        println!(
            "disks {with_disks}, machines started anew {reboot}: {done} of {before} done, {} ms",
            (simulation.now - now) / MS
        );
        assert_eq!(checked.is_ok(), with_disks, "{checked:?}");
        assert!(with_disks || done == 0, "without disks nothing is left, and nothing is made up");
    }
}

/// The power fails at all gateways at once, some milliseconds after writes were asked for, while disks still sync.
#[test]
fn answered_writes_survive_simultaneous_power_loss() {
    let (mut accepted, mut open) = (0, 0);
    for seed in 0..12 {
        let mut simulation = Simulation::new(seed, 3, true);
        simulation.isolated = true;
        simulation.pass(1_500);
        for round in 0..12u64 {
            for i in 0..18 {
                simulation.write((i % 3) as usize, round * 100 + i, round * 100 + i);
            }
            let after = simulation.rng.random_range(8 * MS..45 * MS);
            simulation.run_until(simulation.now + after);
            (0..3).for_each(|node| simulation.kill(node, false));
            (0..3).for_each(|node| simulation.give_up(node));
            (0..3).for_each(|node| simulation.start(node));
            // They have to find out anew that they are cut off.
            simulation.pass(1_500);
            let known = |dot: &Dot| {
                let of = |n: &Node| n.fleet.as_ref().and_then(|f| f.write_status(*dot));
                simulation.nodes.iter().any(|n| matches!(of(n), Some(WriteStatus::Known(_))))
            };
            for (dot, observed) in &simulation.writes {
                assert!(
                    observed.accepted.is_none() || known(dot),
                    "seed {seed}: {dot} was accepted and is gone"
                );
            }
        }
        accepted += simulation.writes.values().filter(|s| s.accepted.is_some()).count();
        open += simulation.writes.values().filter(|s| s.accepted.is_none()).count();
        simulation.settle();
        simulation.check().expect("what was promised");
    }
    assert!(accepted > 300 && open > 300, "{accepted} accepted, {open} not when the power failed");
}

/// Two branches of three, cut off from the backends and from each other; the uplink to the backends alone comes back.
#[test]
fn each_branch_has_its_own_lease_holder_under_partition() {
    let mut simulation = Simulation::of_branches(6, 6, false, 2);
    (simulation.isolated, simulation.partitioned) = (true, true);
    simulation.pass(1_500);
    for i in 0..150u64 {
        // A customer and an object of one branch alone: no order is promised between two.
        let node = i % 6;
        simulation.write(node as usize, (i % 22) * 2 + node % 2, (i % 14) * 2 + node % 2);
        simulation.pass(40);
    }
    let accepted = |simulation: &Simulation, branch: u16| {
        simulation.writes.iter().filter(|(dot, s)| dot.seat % 2 == branch && s.accepted.is_some()).count()
    };
    assert!(accepted(&simulation, 0) > 40 && accepted(&simulation, 1) > 40);
    let healed = simulation.now;
    simulation.settle();
    println!("both done {} ms after the uplink is back", (simulation.now - healed) / MS);
    simulation.check().expect("what was promised");
    assert!(
        simulation.partitioned && simulation.now < healed + 20_000 * MS,
        "side by side, though still cut off from each other"
    );
}

/// Most datagrams are lost while the uplink comes back: whoever claimed the branch's record then claims it again.
#[test]
fn lost_claim_is_sent_again() {
    for seed in 0..8 {
        let mut simulation = cut_with_writes(seed, true);
        (simulation.isolated, simulation.loss) = (false, 0.85);
        simulation.pass(6_000);
        simulation.settle();
        let checked = simulation.check();
        assert!(checked.is_ok(), "seed {seed}: {checked:?}");
    }
}

/// A disk breaks while the branch is cut off: its gateway must not promise what it would forget.
#[test]
fn node_whose_storage_fails_gives_up_its_votes_and_others_continue() {
    let mut simulation = cut_with_writes(2, true);
    simulation.nodes[1].broken = true;
    for i in 0..60u64 {
        simulation.write((i % 3) as usize, i % 11, i % 7);
        simulation.pass(40);
    }
    simulation.pass(7_000);
    assert_eq!(simulation.votes(), [(true, true), (false, false), (true, true)]);
    assert!(simulation.nodes[1].notices.contains(&ClusterNotice::StorageFailed), "and it says so");
    assert!(!simulation.write(1, 99, 99), "it accepts nothing");
    assert!(simulation.write(0, 99, 99), "the others do");
    simulation.settle();
    simulation.check().expect("what was promised");
}

/// A gateway of a branch on a new disk ends before it has received anything from the others: its next process has no vote
/// either.
#[test]
fn process_without_a_vote_leaves_none_to_the_next() {
    let mut simulation = cut_with_writes(4, true);
    (0..3).for_each(|node| simulation.kill(node, false));
    simulation.nodes[0].disk.clear();
    for _ in 0..2 {
        simulation.start(0);
        simulation.pass(1_000);
        assert!(!simulation.nodes[0].disk.is_empty(), "it has written its name there");
        assert_eq!(simulation.votes()[0], (false, false));
        simulation.kill(0, false);
    }
}

/// A folder of another gateway, a damaged value, or an empty folder: the gateway does not know what it promised.
#[test]
fn foreign_or_unreadable_storage_gives_no_vote() {
    for bend in 0..3 {
        let mut simulation = cut_with_writes(3, true);
        (0..3).for_each(|node| simulation.kill(node, false));
        let other_seat = simulation.nodes[1].disk.clone();
        let disk = &mut simulation.nodes[0].disk;
        match bend {
            0 => *disk = other_seat,
            1 => disk.values_mut().filter(|v| v.len() > 40).take(1).for_each(|v| v.truncate(9)),
            _ => disk.clear(),
        }
        simulation.start(0);
        simulation.pass(4_000);
        assert_eq!(
            simulation.votes()[0],
            (false, false),
            "bend {bend}: alone it knows of nothing that it may have said"
        );
        (1..3).for_each(|node| simulation.start(node));
        simulation.pass(10_000);
        assert!(simulation.votes().iter().all(|(branch, _)| *branch), "bend {bend}: the others tell it");
        (0..3).for_each(|node| simulation.give_up(node));
        simulation.settle();
        simulation.check().expect("what was promised");
    }
}

/// A disk that stalls for some seconds stores nothing: its gateway answers nothing and begins no more than it can hold
/// back, and continues where it was once the disk does.
#[test]
fn stalled_storage_costs_bounded_memory_and_no_vote() {
    let mut simulation = cut_with_writes(7, true);
    simulation.nodes[0].stalled = true;
    let (from, mut most, mut begun) = (simulation.now, 0, 0);
    for i in 0..2_000u64 {
        begun += u64::from(simulation.write(0, 1_000 + i, 1_000 + i));
        simulation.write(1, 10_000 + i, 10_000 + i);
        simulation.run_until(simulation.now + 500);
        if i % 40 == 0 {
            simulation.tick_all();
        }
        let waits = simulation.nodes[0]
            .fleet
            .as_ref()
            .and_then(ClusterNode::storage_status)
            .expect("it has one")
            .waiting;
        most = most.max(waits);
    }
    let told = |simulation: &Simulation| {
        let here = simulation.writes.iter().filter(|(dot, s)| dot.seat == 0 && s.asked >= from);
        here.filter(|(_, s)| s.accepted.is_some()).count()
    };
    assert_eq!(told(&simulation), 0, "nothing is answered that is not there");
    assert!(begun > 100 && (2_000..8_000).contains(&most), "{begun} begun, {most} words wait at the most");
    simulation.nodes[0].stalled = false;
    simulation.pass(2_000);
    assert_eq!(simulation.votes()[0], (true, true));
    simulation.settle();
    simulation.check().expect("what was promised");
}

fn after_faults(seed: u64, nodes: usize, faults: &[(usize, u8, u64)]) -> Result<usize, String> {
    let mut simulation = Simulation::new(seed, nodes, true);
    simulation.isolated = true;
    simulation.pass(1_500);
    for (node, fault, ticks) in faults {
        let node = node % nodes;
        match fault {
            0 | 1 => {
                simulation.kill(node, *fault == 1);
                simulation.give_up(node);
            }
            // The power fails everywhere.
            2 => (0..nodes).for_each(|n| {
                simulation.kill(n, false);
                simulation.give_up(n);
            }),
            3 | 4 => (0..nodes).for_each(|n| {
                if simulation.nodes[n].fleet.is_none() {
                    simulation.start(n)
                }
            }),
            5 => simulation.isolated = !simulation.isolated,
            6 => simulation.loss = if simulation.loss > 0.1 { 0.02 } else { 0.25 },
            _ => {}
        }
        for _ in 0..*ticks {
            let (at, customer, object) = (
                simulation.rng.random_range(0..nodes),
                simulation.rng.random_range(0..8),
                simulation.rng.random_range(0..6),
            );
            simulation.write(at, customer, object);
            simulation.tick_all();
        }
    }
    (0..nodes).for_each(|n| {
        if simulation.nodes[n].fleet.is_none() {
            simulation.start(n)
        }
    });
    simulation.settle();
    simulation.check()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Whoever dies, all at once too, and whenever: no accepted write is lost, none runs twice or against the order, and
    /// none that was rejected runs.
    #[test]
    fn no_accepted_write_is_lost_with_storage_under_faults(
        seed in 0u64..1_000_000,
        nodes in prop::sample::select(vec![3usize, 5]),
        faults in prop::collection::vec((0usize..5, 0u8..8, 5u64..100), 1..14),
    ) {
        let checked = after_faults(seed, nodes, &faults);
        prop_assert!(checked.is_ok(), "{checked:?}");
    }
}
