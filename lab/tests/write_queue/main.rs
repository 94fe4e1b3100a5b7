//! Tests of the write queue of a branch under faults: accepted writes are neither lost nor reordered.

mod simulation;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use quota_gateway::cluster::write_queue::{
    Dot, ForwardOutcome, QueueEffect, QueueReplica, WriteOutcome, WriteRequest, WriteState,
};
use quota_gateway::cluster::Micros;
use rand::RngExt;
use simulation::{Simulation, MS, TICK};

/// A branch loses its uplink for some seconds while its customers keep writing. Once the uplink is back, each
/// accepted write must run once, after all writes that it depends on, and new writes must queue behind
/// pending ones.
#[test]
fn isolated_branch_forwards_each_write_once_in_causal_order_after_recovery() {
    let mut simulation = Simulation::new(1, 5);
    assert!(!simulation.write(0, 1, 1), "the uplink is up");
    simulation.isolated = true;
    simulation.advance_ms(1_500);
    assert!(
        simulation.nodes.iter().flatten().all(QueueReplica::is_isolated),
        "each replica reports the isolation after the uplink time-out"
    );
    let mut queued = 0;
    for i in 0..400u64 {
        queued += u64::from(simulation.write((i % 5) as usize, i % 23, i % 17));
        simulation.advance_ms(20);
    }
    simulation.advance_ms(500);
    let pending = simulation.nodes[0].as_ref().expect("the replica is running").log().pending_count();
    assert!(queued > 300 && pending > 300, "{queued} queued, {pending} pending");
    assert!(simulation.writes.values().all(|write| write.accepted.is_some() && write.executions.is_empty()));
    simulation.isolated = false;
    let uplink_restored_at = simulation.now;
    // New writes queue behind the pending ones.
    simulation.advance_ms(1_500);
    assert!(simulation.write(3, 2, 2), "a new write of a customer with pending writes is queued");
    while !simulation.is_drained() && simulation.now < uplink_restored_at + 60_000 * MS {
        simulation.tick_all();
    }
    simulation.advance_ms(500);
    println!(
        "{queued} writes of 23 customers completed {} ms after the uplink returned",
        (simulation.now - uplink_restored_at) / MS
    );
    let ordered_pairs = simulation.check().expect("guarantees of the write queue");
    assert!(ordered_pairs > 1000, "{ordered_pairs} ordered pairs");
    assert!(!simulation.write(3, 2, 2), "with no pending writes a write bypasses the queue");
}

/// After a long outage the backends are busy with live traffic. A branch that forwards its backlog at the
/// full rate is rejected repeatedly and takes capacity from others, so it must adapt its rate.
#[test]
fn forwarding_rate_adapts_to_the_available_capacity() {
    let mut simulation = Simulation::new(5, 3);
    simulation.isolated = true;
    simulation.advance_ms(1_500);
    for i in 0..600u64 {
        simulation.write((i % 3) as usize, i % 211, i % 199);
        simulation.advance_ms(20);
    }
    simulation.advance_ms(500);
    let pending = simulation.nodes[0].as_ref().expect("the replica is running").log().pending_count() as u64;
    // About a sixth of the branch's maximum rate: live traffic takes the rest.
    (simulation.isolated, simulation.capacity_per_100_ms) = (false, Some(7));
    let uplink_restored_at = simulation.now;
    while !simulation.is_drained() && simulation.now < uplink_restored_at + 60_000 * MS {
        simulation.tick_all();
    }
    simulation.advance_ms(500);
    let (ms, rejected) = ((simulation.now - uplink_restored_at) / MS, simulation.rejected);
    println!(
        "{pending} writes at a capacity of 70 per second and a limit of 400: {ms} ms, {rejected} rejected"
    );
    simulation.check().expect("guarantees of the write queue");
    assert!(pending > 450 && ms < 30_000, "{pending} writes took {ms} ms");
    assert!(rejected < pending / 2, "{rejected} of {pending} rejected");
}

/// No node holds the lease of the branch's record.
const NO_LEADER: Option<usize> = Some(usize::MAX);

/// Plays a partition of the gateway that has begun to announce queued writes, until its lease ends. Then `next_leader`
/// forwards the queue. Returns the simulation once the queue is drained, or after a minute.
fn partition_of_the_leader(seed: u64, partition_ms: u64, next_leader: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, 3);
    (simulation.isolated, simulation.leader) = (true, NO_LEADER);
    simulation.advance_ms(1_500);
    for i in 0..100u64 {
        simulation.write((i % 3) as usize, i, i);
        simulation.advance_ms(20);
    }
    simulation.advance_ms(500);
    (simulation.isolated, simulation.leader) = (false, Some(0));
    // Until some are forwarded.
    while simulation.sends_in_window.1 == 0 {
        simulation.tick_all();
    }
    simulation.partitioned = Some(0);
    simulation.advance_ms(200);
    simulation.leader = NO_LEADER;
    simulation.advance_ms(partition_ms);
    (simulation.partitioned, simulation.leader) = (None, Some(next_leader));
    let healed_at = simulation.now;
    while !simulation.is_drained() && simulation.now < healed_at + 60_000 * MS {
        simulation.tick_all();
    }
    simulation.advance_ms(500);
    simulation
}

/// The gateway kept the writes that it had announced and not forwarded among those in flight, for ever.
#[test]
fn accepted_writes_are_forwarded_after_a_short_partition_of_the_leader() {
    for seed in 1..=20 {
        let simulation = partition_of_the_leader(seed, 3_000, 0);
        simulation.check().unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}

/// Another gateway took them for writes that may have run.
#[test]
fn writes_announced_in_a_partition_do_not_count_as_sent() {
    let mut taken_for_sent = 0;
    for seed in 1..=20 {
        let simulation = partition_of_the_leader(seed, 3_000, 1);
        simulation.check().unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        taken_for_sent += simulation.may_be_repeated.len();
    }
    println!("{taken_for_sent} writes of 20 plays");
    // One a play, whose announcement arrived as the partition began.
    assert!(taken_for_sent <= 20, "{taken_for_sent} writes of 20 plays");
}

/// A repeat at a gateway that could not reach the others withdrew the write for all.
#[test]
fn a_repeat_at_a_partitioned_gateway_does_not_withdraw_an_accepted_write() {
    for seed in 1..=20 {
        let mut simulation = Simulation::new(seed, 3);
        (simulation.isolated, simulation.leader) = (true, NO_LEADER);
        simulation.advance_ms(1_500);
        // Each gateway holds each write.
        simulation.loss = 0.0;
        let dots: Vec<Option<Dot>> = (1..=20)
            .map(|customer| simulation.offer((customer % 3) as usize, customer, customer, 7))
            .collect();
        simulation.advance_ms(400);
        assert!(simulation.writes.values().all(|write| write.accepted.is_some()), "seed {seed}");
        simulation.partitioned = Some(0);
        for customer in 1..=20 {
            let again = simulation.offer(0, customer, customer, 7);
            assert_eq!(again, dots[customer as usize - 1], "seed {seed}: the repeat is the same write");
        }
        simulation.advance_ms(1_000);
        assert!(simulation.writes.values().all(|write| !write.rejected), "seed {seed}: a repeat was refused");
        (simulation.partitioned, simulation.isolated, simulation.leader) = (None, false, Some(1));
        simulation.advance_ms(10_000);
        simulation.check().unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert!(simulation.writes.values().all(|write| write.executions.len() == 1), "seed {seed}");
    }
}

/// The gateway that a client left before its write had its votes withdrew what another had accepted for it.
#[test]
fn a_write_accepted_for_a_repeat_is_not_withdrawn_by_the_gateway_of_its_first_try() {
    for seed in 1..=20 {
        let mut simulation = Simulation::new(seed, 3);
        (simulation.isolated, simulation.leader) = (true, NO_LEADER);
        simulation.advance_ms(1_500);
        simulation.loss = 0.0;
        let dot = simulation.offer(0, 1, 1, 7).expect("the queue has space");
        // Until another gateway holds it; the votes for it are lost.
        while simulation.nodes[1].as_ref().is_some_and(|replica| replica.log().get(dot).is_none()) {
            simulation.step();
        }
        simulation.partitioned = Some(0);
        assert_eq!(simulation.offer(1, 1, 1, 7), Some(dot), "seed {seed}: the repeat is the same write");
        simulation.advance_ms(1_000);
        assert!(simulation.writes[&dot].accepted.is_some(), "seed {seed}: the repeat is accepted");
        (simulation.partitioned, simulation.isolated, simulation.leader) = (None, false, Some(2));
        simulation.advance_ms(10_000);
        simulation.check().unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}

/// An uplink fails every other second. A branch that counted it as up each time would alternate between queueing,
/// forwarding and rejecting writes.
#[test]
fn flapping_uplink_rarely_changes_the_isolation_state() {
    let mut simulation = Simulation::new(2, 3);
    let (mut changes, mut was_isolated) = (0, false);
    for _ in 0..20 {
        simulation.isolated = true;
        simulation.advance_ms(1_200);
        let isolated = simulation.nodes[0].as_ref().is_some_and(QueueReplica::is_isolated);
        changes += usize::from(isolated != was_isolated);
        was_isolated = isolated;
        simulation.isolated = false;
        simulation.advance_ms(1_200);
        let isolated = simulation.nodes[0].as_ref().is_some_and(QueueReplica::is_isolated);
        changes += usize::from(isolated != was_isolated);
        was_isolated = isolated;
    }
    assert!(changes <= 7, "{changes} changes of the isolation state in twenty flaps");
    simulation.advance_ms(20_000);
    assert!(
        !simulation.nodes[0].as_ref().is_some_and(QueueReplica::is_isolated),
        "a stable uplink ends the isolation"
    );
}

/// Final state of the second of two writes of one customer when a backend rejects the first permanently.
fn final_state_of_dependent(class: u16) -> Option<WriteState> {
    let mut simulation = Simulation::new(4, 1);
    simulation.isolated = true;
    simulation.advance_ms(1_500);
    let (now, mut effects) = (Micros(simulation.now), Vec::new());
    let replica = simulation.nodes[0].as_mut().expect("the replica is running");
    let request = |class| WriteRequest { customer: 1, object: 1, class, key: 0, payload: vec![7; 40] };
    let mut write = |class| replica.accept(now, request(class), &mut effects).expect("the queue has space");
    let (first, second) = (write(class), write(0));
    simulation.isolated = false;
    let mut new_effects = Vec::new();
    for step in 1..200 {
        let now = now + Micros(step * TICK);
        let replica = simulation.nodes[0].as_mut().expect("the replica is running");
        replica.record_attempt(now, true);
        replica.tick(now, true, true, &mut new_effects);
        for effect in std::mem::take(&mut new_effects) {
            if let QueueEffect::Forward { write, attempt, .. } = effect {
                let outcome = ForwardOutcome::Answered(if write.dot == first { 404 } else { 200 });
                replica.on_forwarded(now, write.dot, attempt, outcome, &mut new_effects);
            }
        }
    }
    assert_eq!(simulation.status(first), Some(WriteState::Ended(WriteOutcome::Completed(404))));
    simulation.status(second).filter(|_| second != first)
}

/// Operators choose by class whether the dependents of a failed write are forwarded or blocked.
#[test]
fn class_of_a_failed_write_decides_whether_dependents_are_forwarded() {
    assert_eq!(final_state_of_dependent(0), Some(WriteState::Ended(WriteOutcome::Completed(200))));
    assert!(
        matches!(final_state_of_dependent(1), Some(WriteState::Ended(WriteOutcome::Blocked(_)))),
        "{:?}",
        final_state_of_dependent(1)
    );
}

/// All gateways of a branch without storage restart at once and lose the write log: their writes must not be reported
/// as pending or completed.
#[test]
fn branch_that_restarts_without_state_reports_its_writes_as_lost() {
    let mut simulation = Simulation::new(3, 3);
    simulation.isolated = true;
    simulation.advance_ms(1_500);
    assert!(simulation.write(0, 1, 1));
    simulation.advance_ms(200);
    let dot = *simulation.writes.keys().next().expect("one write");
    assert_eq!(simulation.status(dot), Some(WriteState::Pending(0)));
    (0..3).for_each(|node| simulation.kill(node));
    (0..3).for_each(|node| simulation.start(node));
    simulation.advance_ms(8_000);
    assert_eq!(simulation.status(dot), None, "the write is reported as lost");
    assert!(simulation.nodes.iter().flatten().all(QueueReplica::has_vote));
}

/// A gateway restarts without its state. If it voted at once, two of three replicas that had lost a write
/// could outvote the one that still has it.
#[test]
fn restarted_replica_votes_only_after_it_has_caught_up() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 3);
        simulation.isolated = true;
        simulation.advance_ms(1_500);
        for i in 0..120 {
            simulation.write((i % 3) as usize, i, i);
            simulation.advance_ms(20);
        }
        simulation.advance_ms(500);
        let pending = simulation.nodes[0].as_ref().expect("the replica is running").log().pending_count();
        assert!(pending > 100, "seed {seed}: {pending} pending");
        simulation.kill(1);
        simulation.start(1);
        let replica = |simulation: &Simulation| {
            simulation.nodes[1]
                .as_ref()
                .map(|replica| (replica.has_vote(), replica.log().pending_count()))
                .expect("the replica is running")
        };
        assert_eq!(
            replica(&simulation),
            (false, 0),
            "seed {seed}: the restarted replica is empty and has no vote"
        );
        for _ in 0..400 {
            if !replica(&simulation).0 {
                simulation.tick_all();
            }
        }
        assert!(replica(&simulation).0, "seed {seed}: the restarted replica regains its vote");
        let has_write =
            |dot: &Dot| simulation.nodes[1].as_ref().is_some_and(|replica| replica.log().get(*dot).is_some());
        let missing = simulation
            .writes
            .iter()
            .filter(|(dot, observed)| observed.accepted.is_some() && !has_write(dot))
            .count();
        assert_eq!(missing, 0, "seed {seed}: the replica votes but lacks accepted writes");
    }
}

fn check_after_faults(seed: u64, nodes: usize, faults: &[(usize, u8, u64)]) -> Result<usize, String> {
    let mut simulation = Simulation::new(seed, nodes);
    simulation.isolated = true;
    simulation.advance_ms(1_500);
    let mut last_kill_at = 0;
    for (node, fault, ticks) in faults {
        let node = node % nodes;
        let healthy = simulation.nodes.iter().flatten().filter(|replica| replica.has_vote()).count();
        match fault {
            // A majority always has all writes: a replica is killed only once the one before has caught up.
            0 if healthy > nodes / 2 + 1
                && simulation.nodes[node].is_some()
                && simulation.now - last_kill_at > 4_000 * MS =>
            {
                simulation.kill(node);
                last_kill_at = simulation.now;
            }
            1 => (0..nodes).for_each(|index| {
                if simulation.nodes[index].is_none() {
                    simulation.start(index)
                }
            }),
            2 => simulation.isolated = !simulation.isolated,
            3 => simulation.loss = if simulation.loss > 0.1 { 0.02 } else { 0.25 },
            4 => simulation.leader = None,
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
    (simulation.isolated, simulation.loss) = (false, 0.0);
    (0..nodes).for_each(|index| {
        if simulation.nodes[index].is_none() {
            simulation.start(index)
        }
    });
    let until = simulation.now + 90_000 * MS;
    while !(simulation.is_drained() && simulation.customers_waiting.is_empty()) && simulation.now < until {
        simulation.tick_all();
    }
    simulation.advance_ms(3_000);
    simulation.check()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Under crashes, loss, duplication and isolation, while a quorum keeps the log: no accepted write is
    /// lost or runs out of order, no rejected write runs, and none runs twice unless its sender crashed with
    /// it in flight.
    #[test]
    fn no_accepted_write_is_lost_or_runs_out_of_order_under_faults(
        seed in 0u64..1_000_000,
        nodes in prop::sample::select(vec![3usize, 5]),
        faults in prop::collection::vec((0usize..5, 0u8..6, 5u64..80), 1..12),
    ) {
        let result = check_after_faults(seed, nodes, &faults);
        prop_assert!(result.is_ok(), "{result:?}");
    }
}
