//! Overlapping faults of one kind on one party: the end of one fault must not end another that is still active.

use quota_gateway_lab::plan::{us, Action, Microseconds, Plan};
use quota_gateway_lab::scenario::Scenario;
use std::path::PathBuf;

fn plan(faults: &str) -> Plan {
    let text = format!("name = \"x\"\nabout = \"Overlaps.\"\nlength_s = 60\n{faults}");
    let scenario = Scenario::parse(PathBuf::from("x.toml"), &text, &[]).expect("a valid scenario");
    Plan::draw(&scenario, 918_273)
}

fn pauses(plan: &Plan, number: usize) -> Vec<(Microseconds, bool)> {
    let pause_state = |action: &Action| match action {
        Action::Pause { gateway, on } if *gateway == number => Some(*on),
        _ => None,
    };
    plan.steps.iter().filter_map(|step| Some((step.at, pause_state(&step.action)?))).collect()
}

fn pause(at_s: f64, for_s: f64) -> String {
    format!("[[fault]]\nkind = \"pause\"\nat_s = {at_s}\nfor_s = {for_s}\nwho = [\"g0\"]\n")
}

#[test]
fn nested_pause_does_not_resume_the_gateway() {
    let plan = plan(&(pause(22.0, 30.0) + &pause(28.0, 7.0)));
    assert_eq!(pauses(&plan, 0), [(us(22.0), true), (us(52.0), false)]);
}

#[test]
fn consecutive_pauses_stay_separate() {
    let plan = plan(&(pause(10.0, 5.0) + &pause(20.0, 5.0)));
    let expected = [(us(10.0), true), (us(15.0), false), (us(20.0), true), (us(25.0), false)];
    assert_eq!(pauses(&plan, 0), expected);
}
