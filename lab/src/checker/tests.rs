//! Tests of the checker on hand-made records, for cases that no real process shows on demand.

use super::*;
use crate::plan::us;
use crate::record::{Attempt, End, Fate, FaultWindow, Life, LifeEvent, Outcome, Receipt, Told, Try, Usage};
use crate::scenario::{Effect, Scenario};

fn plan() -> Plan {
    let text = "name = \"x\"\nabout = \"x.\"\nlength_s = 10\nwarm_up_s = 0\nload.per_s = 5\n\
                load.heavy = 0\nload.spiky = 0\nload.full = 0\n\
                [expect]\nserved_min = 0.9\n";
    let scenario = Scenario::parse("x".into(), text, &[]).expect("a valid scenario");
    Plan::draw(&scenario, 1)
}

/// Returns a record in which each first client attempt is answered in time by one backend attempt.
fn flawless_record(plan: &Plan) -> Record {
    let mut record = Record::default();
    for (arrival, spec) in plan.arrivals.iter().enumerate() {
        let id = plan.id(arrival, 0);
        let (came, ended, gateway) = (spec.at + 1000, spec.at + 30_000, spec.gateways[0]);
        record.attempts.push(Attempt {
            id,
            backend: 0,
            gateway,
            first: came,
            came,
            ended,
            outcome: Outcome::Served,
            ran: true,
            mark: 7,
            work_us: 20_000.0,
        });
        record.tries.push(Try {
            arrival,
            nth: 0,
            id,
            gateway,
            life: 0,
            due: spec.at,
            until: spec.at + spec.patience_us,
            began: spec.at,
            written: Some(spec.at + 500),
            ended,
            end: End::Answer { status: 200, mark: Some(7) },
            twice: false,
        });
    }
    record
}

#[test]
fn run_with_late_load_generator_or_missing_ports_is_not_valid() {
    let plan = plan();
    let record = flawless_record(&plan);
    let verdict = check(&plan, &record);
    assert_eq!((verdict.word, verdict.broken.len()), (Word::Held, 0), "{:?}", verdict.missed);
    assert!(verdict.figures.served > 0.99 && (verdict.figures.attempts - 1.0).abs() < 1e-9);
    let mut late_start = record.clone();
    late_start.tries.iter_mut().for_each(|client_attempt| client_attempt.began += 30_000);
    assert_eq!(check(&plan, &late_start).word, Word::NotValid);
    let starved = Record { starved: 1, ..record };
    assert_eq!(check(&plan, &starved).word, Word::NotValid);
}

#[test]
fn missed_expectation_fails_the_run() {
    let plan = plan();
    let mut record = flawless_record(&plan);
    record
        .tries
        .iter_mut()
        .for_each(|client_attempt| client_attempt.end = End::Answer { status: 502, mark: None });
    let verdict = check(&plan, &record);
    assert_eq!((verdict.word, verdict.missed.len()), (Word::Failed, 1));
}

#[test]
fn lost_request_is_allowed_only_during_an_outage_of_its_gateway() {
    let plan = plan();
    let mut record = flawless_record(&plan);
    let lost_index = record.tries.len() / 2;
    record.tries[lost_index].end = End::Broken;
    let Try { gateway, written, ended, .. } = record.tries[lost_index].clone();
    assert_eq!(check(&plan, &record).broken[0].rule, Rule::Answered);
    let event = |at, what| LifeEvent { gateway, life: 0, at, what };
    let after_kill = Record { lives: vec![event(ended, Life::Killed)], ..record.clone() };
    assert_eq!(check(&plan, &after_kill).broken, []);
    let outage = FaultWindow { gateway, from: written.unwrap_or(0), to: ended };
    assert_eq!(check(&plan, &Record { excuses: vec![outage], ..record.clone() }).broken, []);
    // A gateway that was killed but ready again long before the request has to answer it.
    assert!(ended > 100_000, "the request is from the middle of the run");
    let early_kill = vec![event(0, Life::Killed), event(1, Life::Ready)];
    let killed_too_early = Record { lives: early_kill, ..record.clone() };
    assert_eq!(check(&plan, &killed_too_early).broken.len(), 1);
    // A request may be lost if it arrives 0.7 s or more after SIGTERM, and not earlier.
    for (before, broken) in [(us(0.5), 1), (us(0.9), 0)] {
        let signal_time = written.unwrap_or(0).saturating_sub(before);
        let lives = vec![event(signal_time, Life::Terminated)];
        assert_eq!(check(&plan, &Record { lives, ..record.clone() }).broken.len(), broken, "{before}");
    }
}

#[test]
fn paused_gateway_may_act_on_a_drain_notice_within_one_second_after_resuming() {
    let plan = plan();
    let mut record = flawless_record(&plan);
    let attempt = record.attempts.last().expect("the record has attempts").clone();
    let notice = |at| Told { gateway: attempt.gateway, life: 0, backend: 0, ready: false, at };
    let notified_at = attempt.first - us(2.0);
    record.told = vec![notice(notified_at)];
    let without_pause = check(&plan, &record);
    assert_eq!(without_pause.broken.iter().map(|b| b.rule).collect::<Vec<_>>(), [Rule::Drain]);
    let event = |at, what| LifeEvent { gateway: attempt.gateway, life: 0, at, what };
    record.lives =
        vec![event(notified_at - 1000, Life::Paused), event(attempt.first - us(0.5), Life::Continued)];
    assert!(
        check(&plan, &record).broken.iter().all(|b| b.count < without_pause.broken[0].count),
        "the gateway resumed only half a second ago"
    );
}

#[test]
fn repeats_are_limited_by_class_and_attempts_to_six() {
    let plain_plan = plan();
    let mut unsafe_plan = plan();
    unsafe_plan.scenario.classes.iter_mut().for_each(|class| class.effect = Effect::Unsafe);
    let repeated = |repeats: u64, outcome: Outcome| {
        let mut record = flawless_record(&plain_plan);
        let attempt = Attempt { outcome, ..record.attempts[0].clone() };
        record.attempts[0].outcome = outcome;
        let further_attempts = (1..=repeats).map(|n| Attempt {
            first: attempt.first + n * 100,
            outcome: Outcome::Served,
            ..attempt.clone()
        });
        record.attempts.extend(further_attempts);
        record
    };
    let rules =
        |plan: &Plan, record: &Record| check(plan, record).broken.iter().map(|b| b.rule).collect::<Vec<_>>();
    assert_eq!(
        rules(&unsafe_plan, &repeated(1, Outcome::Abandoned)),
        [Rule::Effect],
        "the request may have run"
    );
    assert_eq!(rules(&unsafe_plan, &repeated(1, Outcome::TurnedAway)), [], "the request never ran");
    assert_eq!(rules(&plain_plan, &repeated(5, Outcome::TurnedAway)), [], "six attempts");
    assert_eq!(rules(&plain_plan, &repeated(6, Outcome::TurnedAway)), [Rule::Effect], "seven attempts");
    let mut rejected = flawless_record(&plain_plan);
    rejected.tries[0].end = End::Answer { status: 429, mark: None };
    assert_eq!(rules(&unsafe_plan, &rejected), [Rule::Effect], "rejected, though the request may have run");
    assert_eq!(rules(&plain_plan, &rejected), []);
    let mut unknown_id = flawless_record(&plain_plan);
    unknown_id.attempts.push(Attempt { id: 0, ..unknown_id.attempts[0].clone() });
    assert_eq!(rules(&plain_plan, &unknown_id), [Rule::Effect], "no client sent the request");
}

#[test]
fn memory_and_descriptor_limits_are_exact() {
    let plan = plan();
    let (memory, descriptors) = (192_000_000, 1024);
    for (memory, descriptors, broken) in
        [(memory, descriptors, 0), (memory + 1, descriptors, 1), (memory, descriptors + 1, 1)]
    {
        let usage = vec![Usage { gateway: 0, life: 0, at: 1, cpu_us: 0, memory, descriptors }];
        let found = check(&plan, &Record { usage, ..flawless_record(&plan) }).broken;
        assert_eq!(found.len(), broken, "{found:?}");
        assert!(found.iter().all(|b| b.rule == Rule::Limits));
    }
}

#[test]
fn accepted_write_ran_or_its_client_read_its_true_status() {
    let plan = plan();
    let status_counts = |ran: bool, status: Option<Fate>| {
        let mut record = flawless_record(&plan);
        let arrival = record.tries[0].arrival;
        record.tries[0].end = End::Answer { status: 202, mark: None };
        if !ran {
            record.attempts.remove(0);
        }
        let receipt = |told| Receipt { arrival, place: "/writes/1".into(), told };
        record.receipts.extend(status.map(receipt));
        let figures = check(&plan, &record).figures;
        [
            figures.accepted_lost,
            figures.accepted_superseded,
            figures.accepted_not_done,
            figures.accepted_open,
            figures.accepted_untrue,
        ]
    };
    assert_eq!(status_counts(true, Some(Fate::Done(200))), [0.0; 5]);
    assert_eq!(status_counts(false, None), [1.0, 0.0, 0.0, 0.0, 0.0], "no status was reported");
    assert_eq!(
        status_counts(false, Some(Fate::Lost)),
        [1.0, 0.0, 0.0, 0.0, 0.0],
        "lost is not a final status"
    );
    assert_eq!(status_counts(false, Some(Fate::Superseded)), [0.0, 1.0, 0.0, 0.0, 0.0]);
    assert_eq!(status_counts(false, Some(Fate::Unknown)), [0.0, 0.0, 1.0, 0.0, 0.0]);
    assert_eq!(status_counts(false, Some(Fate::Open)), [0.0, 0.0, 0.0, 1.0, 0.0]);
    assert_eq!(
        status_counts(false, Some(Fate::Done(200))),
        [0.0, 0.0, 0.0, 0.0, 1.0],
        "reported as done, but never ran"
    );
    assert_eq!(
        status_counts(true, Some(Fate::Superseded)),
        [0.0, 0.0, 0.0, 0.0, 1.0],
        "reported as replaced, but ran"
    );
}
