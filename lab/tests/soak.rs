//! The judge of the soak finds each rule broken, and a play depends on its seed alone.

use quota_gateway_lab::soak::judge::{judge, BackendRecord, ProcessWatch, RequestRecord};
use quota_gateway_lab::soak::plan::SoakPlan;
use std::time::Duration;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A request that was sent at 1 s, waits for 0.8 s, and was answered with 200 after 0.5 s.
fn request() -> RequestRecord {
    RequestRecord {
        id: "a".into(),
        kind: "write".into(),
        sent_at: Some(ms(1_000)),
        budget: ms(800),
        ended_at: ms(1_500),
        status: Some(200),
        must_run_once: true,
        ..RequestRecord::default()
    }
}

fn at_backend(at: u64, ran: bool) -> BackendRecord {
    BackendRecord { id: "a".into(), at: ms(at), ran }
}

/// Returns the rules that these records break.
fn rules(request: RequestRecord, at_backends: &[BackendRecord], watch: &ProcessWatch) -> Vec<&'static str> {
    let violations = judge(&SoakPlan::draw(1), &[request], at_backends, watch);
    violations.into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn each_broken_rule_is_found() {
    let watch = ProcessWatch::default();
    let once = [at_backend(1_100, false), at_backend(1_200, true)];
    assert_eq!(rules(request(), &once, &watch), [""; 0]);
    let late = RequestRecord { ended_at: ms(2_500), ..request() };
    assert_eq!(rules(late, &once, &watch), ["late"]);
    let lost = RequestRecord { status: None, ..request() };
    assert_eq!(rules(lost.clone(), &once, &watch), ["lost"]);
    assert_eq!(rules(lost.clone(), &[], &watch), [""; 0], "a connection that is closed unread is no loss");
    let never = RequestRecord { ended_at: ms(13_000), ..lost };
    assert_eq!(rules(never, &[], &watch), ["lost"]);
    let cut = RequestRecord { is_cut: true, ..request() };
    assert_eq!(rules(cut, &once, &watch), ["cut"]);
    let twice = [at_backend(1_200, true), at_backend(1_300, true)];
    assert_eq!(rules(request(), &twice, &watch), ["twice"]);
    let left = RequestRecord { left_at: Some(ms(1_150)), ..request() };
    assert_eq!(rules(left.clone(), &once, &watch), [""; 0]);
    assert_eq!(rules(left, &[at_backend(1_500, false)], &watch), ["begun after the close"]);
}

#[test]
fn limits_and_crashes_are_found_and_planned_signals_excuse() {
    let plan = SoakPlan::draw(1);
    let watch = ProcessWatch {
        peak_memory: plan.memory_mb * 1_000_000 + 1,
        peak_descriptors: plan.sockets as usize + 1,
        crashes: vec!["exit status: 101".into()],
        ..ProcessWatch::default()
    };
    assert_eq!(rules(request(), &[], &watch), ["crash", "memory", "descriptors"]);
    let late = RequestRecord { ended_at: ms(2_500), ..request() };
    let down = ProcessWatch { down: vec![(ms(2_000), ms(2_400))], ..ProcessWatch::default() };
    assert_eq!(rules(late.clone(), &[], &down), [""; 0]);
    let before = ProcessWatch { down: vec![(ms(100), ms(900))], ..ProcessWatch::default() };
    assert_eq!(rules(late, &[], &before), ["late"]);
}

#[test]
fn a_play_depends_on_its_seed_alone() {
    let text = |seed| format!("{:?}", SoakPlan::draw(seed));
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
}
