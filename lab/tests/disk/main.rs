//! Tests of cluster nodes with storage under virtual time: writes that were reported as accepted survive any
//! crash, also of all processes at once.

mod simulation;
mod verification;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use quota_gateway::cluster::write_queue::{Dot, WriteStatus};
use quota_gateway::cluster::{ClusterNode, ClusterNotice};
use rand::RngExt;
use simulation::{Node, Simulation, MS};

fn isolated_branch_with_writes(seed: u64, with_disks: bool) -> Simulation {
    let mut simulation = Simulation::new(seed, 3, with_disks);
    assert!(simulation.votes().iter().all(|votes| *votes == (true, true)), "{:?}", simulation.votes());
    simulation.isolated = true;
    simulation.advance_ms(1_500);
    for i in 0..120u64 {
        simulation.write((i % 3) as usize, i % 11, i % 7);
        simulation.advance_ms(40);
    }
    simulation.advance_ms(500);
    assert!(simulation.writes.values().filter(|write| write.accepted.is_some()).count() > 80);
    simulation
}

/// All gateways of a branch restart at once while writes are pending, with or without a reboot of their
/// machines. With storage no accepted write may be lost; without it the writes must be reported as lost.
#[test]
fn restarted_branch_keeps_its_writes_with_storage_and_reports_them_as_lost_without() {
    for (with_disks, reboot) in [(true, false), (true, true), (false, false)] {
        let mut simulation = isolated_branch_with_writes(1, with_disks);
        let (now, before) = (simulation.now, simulation.writes.len());
        (0..3).for_each(|node| simulation.kill(node, reboot));
        (0..3).for_each(|node| simulation.abandon_client_writes(node));
        simulation.now += 1_000 * MS;
        (0..3).for_each(|node| simulation.start(node));
        simulation.advance_ms(500);
        let votes_after_restart = simulation.votes();
        // Ledger records are timed by the machine's monotonic clock, so their age is unknown after a reboot and the
        // ledger replica has no vote.
        let expected = (with_disks, with_disks && !reboot);
        assert!(
            votes_after_restart.iter().all(|votes| *votes == expected),
            "{votes_after_restart:?} {expected:?}"
        );
        simulation.recover_and_drain();
        let result = simulation.check();
        let completed = simulation.writes.values().filter(|write| !write.executions.is_empty()).count();
        println!(
            "disks {with_disks}, machines rebooted {reboot}: {completed} of {before} writes completed, {} ms",
            (simulation.now - now) / MS
        );
        assert_eq!(result.is_ok(), with_disks, "{result:?}");
        assert!(with_disks || completed == 0, "without disks all writes are lost and none may run");
    }
}

/// All gateways lose power at once, milliseconds after writes were requested and while disks still sync: a
/// write reported as accepted before it is durable would be lost.
#[test]
fn accepted_writes_survive_power_loss_of_all_gateways() {
    let (mut accepted, mut open) = (0, 0);
    for seed in 0..12 {
        let mut simulation = Simulation::new(seed, 3, true);
        simulation.isolated = true;
        simulation.advance_ms(1_500);
        for round in 0..12u64 {
            for i in 0..18 {
                simulation.write((i % 3) as usize, round * 100 + i, round * 100 + i);
            }
            let after = simulation.rng.random_range(8 * MS..45 * MS);
            simulation.run_until(simulation.now + after);
            (0..3).for_each(|node| simulation.kill(node, false));
            (0..3).for_each(|node| simulation.abandon_client_writes(node));
            (0..3).for_each(|node| simulation.start(node));
            // The new processes have to detect the isolation again.
            simulation.advance_ms(1_500);
            let is_known = |dot: &Dot| {
                let status = |n: &Node| {
                    n.cluster_node.as_ref().and_then(|cluster_node| cluster_node.write_status(*dot))
                };
                simulation.nodes.iter().any(|n| matches!(status(n), Some(WriteStatus::Known(_))))
            };
            for (dot, observed) in &simulation.writes {
                assert!(
                    observed.accepted.is_none() || is_known(dot),
                    "seed {seed}: {dot} was accepted but is unknown after the power loss"
                );
            }
        }
        accepted += simulation.writes.values().filter(|write| write.accepted.is_some()).count();
        open += simulation.writes.values().filter(|write| write.accepted.is_none()).count();
        simulation.recover_and_drain();
        simulation.check().expect("guarantees of the write queue");
    }
    assert!(
        accepted > 300 && open > 300,
        "{accepted} writes accepted and {open} undecided at the power loss"
    );
}

/// Two branches of three gateways are cut off from the backends and from each other, and only the uplinks
/// come back. Each branch must have its own lease holder and forward its writes without the other.
#[test]
fn each_branch_has_its_own_lease_holder_under_partition() {
    let mut simulation = Simulation::with_branches(6, 6, false, 2);
    (simulation.isolated, simulation.branches_partitioned) = (true, true);
    simulation.advance_ms(1_500);
    for i in 0..150u64 {
        // Customers and objects belong to one branch each, since no order is guaranteed across branches.
        let node = i % 6;
        simulation.write(node as usize, (i % 22) * 2 + node % 2, (i % 14) * 2 + node % 2);
        simulation.advance_ms(40);
    }
    let accepted = |simulation: &Simulation, branch: u16| {
        simulation
            .writes
            .iter()
            .filter(|(dot, write)| dot.seat % 2 == branch && write.accepted.is_some())
            .count()
    };
    assert!(accepted(&simulation, 0) > 40 && accepted(&simulation, 1) > 40);
    let uplink_restored_at = simulation.now;
    simulation.recover_and_drain();
    println!(
        "both branches drained {} ms after the uplink returned",
        (simulation.now - uplink_restored_at) / MS
    );
    simulation.check().expect("guarantees of the write queue");
    assert!(
        simulation.branches_partitioned && simulation.now < uplink_restored_at + 20_000 * MS,
        "both branches drain in time while still partitioned from each other"
    );
}

/// Most datagrams are lost while the uplink comes back, so claims of the branch's lease fail: they must be
/// sent again, else the branch never forwards its writes.
#[test]
fn lost_lease_claim_is_sent_again() {
    for seed in 0..8 {
        let mut simulation = isolated_branch_with_writes(seed, true);
        (simulation.isolated, simulation.loss) = (false, 0.85);
        simulation.advance_ms(6_000);
        simulation.recover_and_drain();
        let result = simulation.check();
        assert!(result.is_ok(), "seed {seed}: {result:?}");
    }
}

/// A disk fails while the branch is isolated: its gateway must not accept writes or vote, since it would lose
/// both in a restart.
#[test]
fn node_whose_storage_fails_loses_its_votes_and_others_continue() {
    let mut simulation = isolated_branch_with_writes(2, true);
    simulation.nodes[1].disk_failed = true;
    for i in 0..60u64 {
        simulation.write((i % 3) as usize, i % 11, i % 7);
        simulation.advance_ms(40);
    }
    simulation.advance_ms(7_000);
    assert_eq!(simulation.votes(), [(true, true), (false, false), (true, true)]);
    assert!(
        simulation.nodes[1].notices.contains(&ClusterNotice::StorageFailed),
        "the loss of the storage is reported"
    );
    assert!(!simulation.write(1, 99, 99), "a node without storage accepts no write");
    assert!(simulation.write(0, 99, 99), "the other nodes accept writes");
    simulation.recover_and_drain();
    simulation.check().expect("guarantees of the write queue");
}

/// A gateway with an empty disk ends before it has caught up with the others. Its next process finds a disk
/// that is no longer empty, but must not have a vote either.
#[test]
fn restart_of_a_process_without_a_vote_gives_no_vote() {
    let mut simulation = isolated_branch_with_writes(4, true);
    (0..3).for_each(|node| simulation.kill(node, false));
    simulation.nodes[0].disk.clear();
    for _ in 0..2 {
        simulation.start(0);
        simulation.advance_ms(1_000);
        assert!(!simulation.nodes[0].disk.is_empty(), "the node has recorded its identity on the disk");
        assert_eq!(simulation.votes()[0], (false, false));
        simulation.kill(0, false);
    }
}

/// The disk is that of another gateway, has a damaged value or is empty: the gateway doesn't know its earlier
/// votes and promises, so it must not vote until it has caught up with the others.
#[test]
fn foreign_damaged_or_empty_storage_gives_no_vote() {
    for damage in 0..3 {
        let mut simulation = isolated_branch_with_writes(3, true);
        (0..3).for_each(|node| simulation.kill(node, false));
        let other_disk = simulation.nodes[1].disk.clone();
        let disk = &mut simulation.nodes[0].disk;
        match damage {
            0 => *disk = other_disk,
            1 => disk.values_mut().filter(|v| v.len() > 40).take(1).for_each(|v| v.truncate(9)),
            _ => disk.clear(),
        }
        simulation.start(0);
        simulation.advance_ms(4_000);
        assert_eq!(
            simulation.votes()[0],
            (false, false),
            "case {damage}: a node with unusable storage has no vote while alone"
        );
        (1..3).for_each(|node| simulation.start(node));
        simulation.advance_ms(10_000);
        assert!(
            simulation.votes().iter().all(|(branch, _)| *branch),
            "case {damage}: all nodes vote once the node has caught up"
        );
        (0..3).for_each(|node| simulation.abandon_client_writes(node));
        simulation.recover_and_drain();
        simulation.check().expect("guarantees of the write queue");
    }
}

/// A disk stalls for some seconds. Its gateway must confirm no write meanwhile, must bound the memory for
/// what waits on the disk, and must continue with its vote once the disk does.
#[test]
fn stalled_storage_uses_bounded_memory_and_costs_no_vote() {
    let mut simulation = isolated_branch_with_writes(7, true);
    simulation.nodes[0].disk_stalled = true;
    let (stalled_at, mut max_waiting, mut begun) = (simulation.now, 0, 0);
    for i in 0..2_000u64 {
        begun += u64::from(simulation.write(0, 1_000 + i, 1_000 + i));
        simulation.write(1, 10_000 + i, 10_000 + i);
        simulation.run_until(simulation.now + 500);
        if i % 40 == 0 {
            simulation.tick_all();
        }
        let waiting = simulation.nodes[0]
            .cluster_node
            .as_ref()
            .and_then(ClusterNode::storage_status)
            .expect("the node has storage")
            .waiting;
        max_waiting = max_waiting.max(waiting);
    }
    let accepted_at_stalled_node = |simulation: &Simulation| {
        let here =
            simulation.writes.iter().filter(|(dot, write)| dot.seat == 0 && write.requested_at >= stalled_at);
        here.filter(|(_, write)| write.accepted.is_some()).count()
    };
    assert_eq!(accepted_at_stalled_node(&simulation), 0, "no write is accepted before it is durable");
    assert!(
        begun > 100 && (2_000..8_000).contains(&max_waiting),
        "{begun} writes begun, at most {max_waiting} effects waiting for the disk"
    );
    simulation.nodes[0].disk_stalled = false;
    simulation.advance_ms(2_000);
    assert_eq!(simulation.votes()[0], (true, true));
    simulation.recover_and_drain();
    simulation.check().expect("guarantees of the write queue");
}

fn check_after_faults(seed: u64, nodes: usize, faults: &[(usize, u8, u64)]) -> Result<usize, String> {
    let mut simulation = Simulation::new(seed, nodes, true);
    simulation.isolated = true;
    simulation.advance_ms(1_500);
    for (node, fault, ticks) in faults {
        let node = node % nodes;
        match fault {
            0 | 1 => {
                simulation.kill(node, *fault == 1);
                simulation.abandon_client_writes(node);
            }
            // Power loss at all nodes.
            2 => (0..nodes).for_each(|n| {
                simulation.kill(n, false);
                simulation.abandon_client_writes(n);
            }),
            3 | 4 => (0..nodes).for_each(|n| {
                if simulation.nodes[n].cluster_node.is_none() {
                    simulation.start(n)
                }
            }),
            5 => simulation.isolated = !simulation.isolated,
            6 => simulation.loss = if simulation.loss > 0.1 { 0.02 } else { 0.25 },
            _ => {}
        }
        for _ in 0..*ticks {
            let (gateway, customer, object) = (
                simulation.rng.random_range(0..nodes),
                simulation.rng.random_range(0..8),
                simulation.rng.random_range(0..6),
            );
            simulation.write(gateway, customer, object);
            simulation.tick_all();
        }
    }
    (0..nodes).for_each(|n| {
        if simulation.nodes[n].cluster_node.is_none() {
            simulation.start(n)
        }
    });
    simulation.recover_and_drain();
    simulation.check()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Under crashes at any time, also of all nodes at once: no accepted write is lost, runs twice or runs
    /// out of order, and no rejected write runs.
    #[test]
    fn no_accepted_write_is_lost_with_storage_under_faults(
        seed in 0u64..1_000_000,
        nodes in prop::sample::select(vec![3usize, 5]),
        faults in prop::collection::vec((0usize..5, 0u8..8, 5u64..100), 1..14),
    ) {
        let result = check_after_faults(seed, nodes, &faults);
        prop_assert!(result.is_ok(), "{result:?}");
    }
}
