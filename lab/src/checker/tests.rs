//! The judge on records made by hand: what no process can be made to show at will.

use super::*;
use crate::plan::us;
use crate::record::{Attempt, End, Fate, FaultWindow, Life, LifeEvent, Outcome, Receipt, Told, Try, Usage};
use crate::scenario::{Effect, Scenario};

fn plan() -> Plan {
    let text = "name = \"x\"\nabout = \"x.\"\nlength_s = 10\nwarm_up_s = 0\nload.per_s = 5\n\
                load.heavy = 0\nload.spiky = 0\nload.full = 0\n\
                [expect]\nserved_min = 0.9\n";
    let scenario = Scenario::parse("x".into(), text, &[]).expect("good");
    Plan::draw(&scenario, 1)
}

/// All first tries answered in time by one attempt each.
fn sound(plan: &Plan) -> Record {
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
fn a_late_generator_or_a_lack_of_ports_is_never_held() {
    let plan = plan();
    let record = sound(&plan);
    let verdict = check(&plan, &record);
    assert_eq!((verdict.word, verdict.broken.len()), (Word::Held, 0), "{:?}", verdict.missed);
    assert!(verdict.figures.served > 0.99 && (verdict.figures.attempts - 1.0).abs() < 1e-9);
    let mut late = record.clone();
    late.tries.iter_mut().for_each(|one| one.began += 30_000);
    assert_eq!(check(&plan, &late).word, Word::NotValid);
    let starved = Record { starved: 1, ..record };
    assert_eq!(check(&plan, &starved).word, Word::NotValid);
}

#[test]
fn expectations_missed_fail_the_run() {
    let plan = plan();
    let mut record = sound(&plan);
    record.tries.iter_mut().for_each(|one| one.end = End::Answer { status: 502, mark: None });
    let verdict = check(&plan, &record);
    assert_eq!((verdict.word, verdict.missed.len()), (Word::Failed, 1));
}

#[test]
fn what_is_lost_is_excused_only_while_its_gateway_could_not_answer() {
    let plan = plan();
    let mut record = sound(&plan);
    let lost = record.tries.len() / 2;
    record.tries[lost].end = End::Broken;
    let Try { gateway, written, ended, .. } = record.tries[lost].clone();
    assert_eq!(check(&plan, &record).broken[0].rule, Rule::Answered);
    let event = |at, what| LifeEvent { gateway, life: 0, at, what };
    let killed = Record { lives: vec![event(ended, Life::Killed)], ..record.clone() };
    assert_eq!(check(&plan, &killed).broken, []);
    let cut = FaultWindow { gateway, from: written.unwrap_or(0), to: ended };
    assert_eq!(check(&plan, &Record { excuses: vec![cut], ..record.clone() }).broken, []);
    // Killed and ready again long before: no excuse any more.
    assert!(ended > 100_000, "a request from the middle of the run");
    let early = vec![event(0, Life::Killed), event(1, Life::Ready)];
    let too_early = Record { lives: early, ..record.clone() };
    assert_eq!(check(&plan, &too_early).broken.len(), 1);
    // SIGTERM excuses what came 0.7 s after it and no sooner.
    for (before, broken) in [(us(0.5), 1), (us(0.9), 0)] {
        let term = written.unwrap_or(0).saturating_sub(before);
        let lives = vec![event(term, Life::Terminated)];
        assert_eq!(check(&plan, &Record { lives, ..record.clone() }).broken.len(), broken, "{before}");
    }
}

#[test]
fn a_paused_gateway_has_its_second_after_waking() {
    let plan = plan();
    let mut record = sound(&plan);
    let attempt = record.attempts.last().expect("some").clone();
    let told = |at| Told { gateway: attempt.gateway, life: 0, backend: 0, ready: false, at };
    let heard = attempt.first - us(2.0);
    record.told = vec![told(heard)];
    let first = check(&plan, &record);
    assert_eq!(first.broken.iter().map(|b| b.rule).collect::<Vec<_>>(), [Rule::Drain]);
    let event = |at, what| LifeEvent { gateway: attempt.gateway, life: 0, at, what };
    record.lives = vec![event(heard - 1000, Life::Paused), event(attempt.first - us(0.5), Life::Continued)];
    assert!(
        check(&plan, &record).broken.iter().all(|b| b.count < first.broken[0].count),
        "it woke half a second ago"
    );
}

#[test]
fn repeats_are_held_to_the_class_and_no_request_to_more_than_six_attempts() {
    let sound_plan = plan();
    let mut unsafe_plan = plan();
    unsafe_plan.scenario.classes.iter_mut().for_each(|class| class.effect = Effect::Unsafe);
    let again = |times: u64, outcome: Outcome| {
        let mut record = sound(&sound_plan);
        let attempt = Attempt { outcome, ..record.attempts[0].clone() };
        record.attempts[0].outcome = outcome;
        let more = (1..=times).map(|n| Attempt {
            first: attempt.first + n * 100,
            outcome: Outcome::Served,
            ..attempt.clone()
        });
        record.attempts.extend(more);
        record
    };
    let rules =
        |plan: &Plan, record: &Record| check(plan, record).broken.iter().map(|b| b.rule).collect::<Vec<_>>();
    assert_eq!(rules(&unsafe_plan, &again(1, Outcome::Abandoned)), [Rule::Effect], "it may have run");
    assert_eq!(rules(&unsafe_plan, &again(1, Outcome::TurnedAway)), [], "it never ran");
    assert_eq!(rules(&sound_plan, &again(5, Outcome::TurnedAway)), [], "six in all");
    assert_eq!(rules(&sound_plan, &again(6, Outcome::TurnedAway)), [Rule::Effect], "seven in all");
    let mut refused = sound(&sound_plan);
    refused.tries[0].end = End::Answer { status: 429, mark: None };
    assert_eq!(rules(&unsafe_plan, &refused), [Rule::Effect], "refused, though it may have run");
    assert_eq!(rules(&sound_plan, &refused), []);
    let mut made_up = sound(&sound_plan);
    made_up.attempts.push(Attempt { id: 0, ..made_up.attempts[0].clone() });
    assert_eq!(rules(&sound_plan, &made_up), [Rule::Effect], "no client sent it");
}

#[test]
fn limits_hold_to_the_byte_and_the_descriptor() {
    let plan = plan();
    let (memory, descriptors) = (192_000_000, 1024);
    for (memory, descriptors, broken) in
        [(memory, descriptors, 0), (memory + 1, descriptors, 1), (memory, descriptors + 1, 1)]
    {
        let usage = vec![Usage { gateway: 0, life: 0, at: 1, cpu_us: 0, memory, descriptors }];
        let found = check(&plan, &Record { usage, ..sound(&plan) }).broken;
        assert_eq!(found.len(), broken, "{found:?}");
        assert!(found.iter().all(|b| b.rule == Rule::Limits));
    }
}

#[test]
fn a_write_that_was_accepted_ran_or_its_client_was_told_the_end_that_it_had() {
    let plan = plan();
    let of = |ran: bool, told: Option<Fate>| {
        let mut record = sound(&plan);
        let arrival = record.tries[0].arrival;
        record.tries[0].end = End::Answer { status: 202, mark: None };
        if !ran {
            record.attempts.remove(0);
        }
        let receipt = |told| Receipt { arrival, place: "/writes/1".into(), told };
        record.receipts.extend(told.map(receipt));
        let f = check(&plan, &record).figures;
        [f.accepted_lost, f.accepted_superseded, f.accepted_not_done, f.accepted_open, f.accepted_untrue]
    };
    assert_eq!(of(true, Some(Fate::Done(200))), [0.0; 5]);
    assert_eq!(of(false, None), [1.0, 0.0, 0.0, 0.0, 0.0], "nobody says what became of it");
    assert_eq!(of(false, Some(Fate::Lost)), [1.0, 0.0, 0.0, 0.0, 0.0], "lost is no end");
    assert_eq!(of(false, Some(Fate::Superseded)), [0.0, 1.0, 0.0, 0.0, 0.0]);
    assert_eq!(of(false, Some(Fate::Unknown)), [0.0, 0.0, 1.0, 0.0, 0.0]);
    assert_eq!(of(false, Some(Fate::Open)), [0.0, 0.0, 0.0, 1.0, 0.0]);
    assert_eq!(of(false, Some(Fate::Done(200))), [0.0, 0.0, 0.0, 0.0, 1.0], "told as done, and never ran");
    assert_eq!(of(true, Some(Fate::Superseded)), [0.0, 0.0, 0.0, 0.0, 1.0], "told not to have run, and ran");
}
