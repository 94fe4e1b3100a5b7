//! The ledger under virtual time: random plans of deaths, pauses, partitions, loss, duplicates, late datagrams and clocks
//! that run at rates of their own, and after each event what must hold always.

mod plan;
mod simulation;

use plan::{plan, ClientRequest, Fault, Steps};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use quota_gateway::cluster::ledger::ClaimOutcome;
use simulation::{Counts, Simulation, MS, RECORDS, SEATS, SETTINGS};

fn play(seed: u64, steps: &Steps) -> Simulation {
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
    /// A gateway that owns a record and stands still, is cut off or dies must neither act beside the next owner nor lose a
    /// response that was confirmed.
    #[test]
    fn record_has_one_owner_rising_fence_and_keeps_response_under_faults((seed, steps) in plan()) {
        let mut simulation = play(seed, &steps);
        prop_assert_eq!(simulation.violation, None);
        // Once nothing fails any more, and all have a vote again, each record is to be had, also a dead owner's.
        simulation.inject(&Fault::Heal);
        simulation.inject(&Fault::Network(0, 0, 2));
        for seat in 0..SEATS {
            simulation.start(seat);
            simulation.pause(seat, false);
        }
        simulation.run_until(simulation.now + SETTINGS.vote_delay().0 * 11 / 10);
        // One dead replica is in nobody's way, whatever it said before.
        for record in 0..RECORDS {
            simulation.request(&ClientRequest { after: 0, seat: 1, record, delay_ms: 0, work_ms: 900, answers: false });
        }
        simulation.run_until(simulation.now + 300 * MS);
        simulation.inject(&Fault::Kill(1));
        simulation.run_until(simulation.now + 400 * MS);
        simulation.last.clear();
        for record in 0..RECORDS {
            let request = ClientRequest { after: 0, seat: 0, record, delay_ms: 0, work_ms: 1, answers: true };
            simulation.request(&request);
        }
        simulation.run_until(simulation.now + 500 * MS);
        for record in 0..RECORDS {
            let had = matches!(simulation.last.get(&record), Some(ClaimOutcome::Confirmed(_)));
            prop_assert!(had, "record {}: {:?}", record, simulation.last.get(&record));
        }
    }
}

fn cases() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(64)
}

/// The plans would show nothing if nobody ever took over, or read a response.
#[test]
fn plans_reach_takeovers_and_read_responses() {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let mut sum = Counts::default();
    for _ in 0..40 {
        let (seed, steps) = plan().new_tree(&mut runner).expect("a plan").current();
        sum.add(&play(seed, &steps).counts);
    }
    let Counts { owners, takeovers, responses_read, abandoned } = sum;
    let enough = owners > 100 && takeovers > 30 && responses_read > 10 && abandoned > 10;
    assert!(
        enough,
        "{owners} owners, {takeovers} takeovers, {responses_read} responses read, {abandoned} abandoned"
    );
}

/// Two gateways that finish one request send its write twice.
#[test]
fn request_is_not_abandoned_while_its_owner_works() {
    for seed in 0..20 {
        let requests = (0..60).map(|i| {
            let request = ClientRequest {
                after: 70,
                seat: (i + seed as usize) % SEATS,
                record: i as u64,
                delay_ms: (i % 7) as u16 * 10,
                work_ms: (i % 5) as u16 * 500,
                answers: i % 3 > 0,
            };
            (70, Ok(request))
        });
        let simulation = play(seed, &requests.collect());
        assert!(simulation.counts.owners > 40, "seed {seed}: {} owners", simulation.counts.owners);
        assert_eq!(
            (simulation.counts.abandoned, simulation.violation),
            (0, None),
            "seed {seed}: nobody died"
        );
    }
}
