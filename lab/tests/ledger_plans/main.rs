//! Runs the ledger under virtual time through random plans of crashes, pauses, partitions, lost, duplicated
//! and delayed datagrams and clock drift, and checks the safety invariants after each event.

mod plan;
mod simulation;

use plan::{plan, ClientRequest, Fault, Steps};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use quota_gateway::cluster::ledger::ClaimOutcome;
use simulation::{Counts, Simulation, MS, RECORDS, SEATS, SETTINGS};

fn run_plan(seed: u64, steps: &Steps) -> Simulation {
    let mut simulation = Simulation::new(seed);
    for (after, step) in steps {
        simulation.run_until(simulation.now + u64::from(*after) * MS);
        match step {
            Ok(request) => simulation.request(request),
            Err(fault) => simulation.inject(fault),
        }
        if simulation.violation.is_some() {
            break;
        }
    }
    simulation.run_until(simulation.now + 1_000 * MS);
    simulation
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), ..ProptestConfig::default() })]
    /// A gateway that owns a record and is paused, partitioned or killed must neither act at the same time as
    /// the next owner nor lose a confirmed response.
    #[test]
    fn record_has_one_owner_and_a_rising_fence_and_keeps_its_response_under_faults((seed, steps) in plan()) {
        let mut simulation = run_plan(seed, &steps);
        prop_assert_eq!(simulation.violation, None);
        // Once all faults have ended and all replicas vote again, each record can be claimed, also that of a
        // killed owner.
        simulation.inject(&Fault::Heal);
        simulation.inject(&Fault::Network(0, 0, 2));
        for seat in 0..SEATS {
            simulation.start(seat);
            simulation.pause(seat, false);
        }
        simulation.run_until(simulation.now + SETTINGS.vote_delay().0 * 11 / 10);
        // One killed replica blocks no claim, whatever it had promised before.
        for record in 0..RECORDS {
            simulation.request(&ClientRequest {
                after: 0, seat: 1, record, delay_ms: 0, work_ms: 900, sends_response: false
            });
        }
        simulation.run_until(simulation.now + 300 * MS);
        simulation.inject(&Fault::Kill(1));
        simulation.run_until(simulation.now + 400 * MS);
        simulation.last_outcomes.clear();
        for record in 0..RECORDS {
            let request = ClientRequest { after: 0, seat: 0, record, delay_ms: 0, work_ms: 1, sends_response: true };
            simulation.request(&request);
        }
        simulation.run_until(simulation.now + 500 * MS);
        for record in 0..RECORDS {
            let is_confirmed = matches!(simulation.last_outcomes.get(&record), Some(ClaimOutcome::Confirmed(_)));
            prop_assert!(is_confirmed, "record {}: {:?}", record, simulation.last_outcomes.get(&record));
        }
    }
}

fn cases() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(64)
}

/// The random plans prove nothing unless some of them lead to takeovers, read responses and abandoned requests.
#[test]
fn random_plans_reach_takeovers_and_read_responses() {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let mut totals = Counts::default();
    for _ in 0..40 {
        let (seed, steps) = plan().new_tree(&mut runner).expect("a plan").current();
        totals.add(&run_plan(seed, &steps).counts);
    }
    let Counts { owners, takeovers, responses_read, abandoned, .. } = totals;
    let is_covered = owners > 100 && takeovers > 30 && responses_read > 10 && abandoned > 10;
    assert!(
        is_covered,
        "{owners} owners, {takeovers} takeovers, {responses_read} responses read, {abandoned} abandoned"
    );
}

/// A replica that had missed the release of a refused request had it run after its refusal.
#[test]
fn a_request_that_its_owner_released_is_not_run_by_a_replica_that_missed_it() {
    let mut counts = Counts::default();
    for seed in 0..20 {
        let (owner, cut) = (seed as usize % SEATS, (seed as usize + 1 + seed as usize / SEATS) % SEATS);
        let mut simulation = Simulation::new(seed);
        // Slow enough that each replica is asked.
        simulation.inject(&Fault::Network(0, 0, 30));
        for record in 0..RECORDS {
            let (delay_ms, work_ms, sends_response) = (0, 400, false);
            let request = ClientRequest { after: 0, seat: owner, record, delay_ms, work_ms, sends_response };
            simulation.request(&request);
        }
        simulation.run_until(simulation.now + 300 * MS);
        simulation.inject(&Fault::Isolate(cut, cut != owner, cut != owner));
        simulation.run_until(simulation.now + 700 * MS);
        simulation.inject(&Fault::Heal);
        simulation.run_until(simulation.now + 2_500 * MS);
        assert_eq!(simulation.violation, None, "seed {seed}");
        counts.add(&simulation.counts);
    }
    println!("{} left alone, {} run", counts.left_alone, counts.run_after_release);
    assert!(counts.left_alone > 5, "{} replicas had missed a release", counts.left_alone);
    assert_eq!(counts.run_after_release, 0);
}

/// An owner that is slow but alive keeps its request: if the request were offered to another gateway as
/// abandoned, both would send its write.
#[test]
fn request_of_a_live_owner_is_not_reported_as_abandoned() {
    for seed in 0..20 {
        let requests = (0..60).map(|i| {
            let request = ClientRequest {
                after: 70,
                seat: (i + seed as usize) % SEATS,
                record: i as u64,
                delay_ms: (i % 7) as u16 * 10,
                work_ms: (i % 5) as u16 * 500,
                sends_response: i % 3 > 0,
            };
            (70, Ok(request))
        });
        let simulation = run_plan(seed, &requests.collect());
        assert!(simulation.counts.owners > 40, "seed {seed}: {} owners", simulation.counts.owners);
        assert_eq!(
            (simulation.counts.abandoned, simulation.violation),
            (0, None),
            "seed {seed}: no owner was killed"
        );
    }
}
