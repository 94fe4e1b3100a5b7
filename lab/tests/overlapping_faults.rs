//! Faults of one kind that overlap on one party: each lasts until its own end.

use quota_gateway_lab::plan::{us, Action, Microseconds, Plan};
use quota_gateway_lab::scenario::Scenario;
use std::path::PathBuf;

fn plan(faults: &str) -> Plan {
    let text = format!("name = \"x\"\nabout = \"Overlaps.\"\nlength_s = 60\n{faults}");
    let scenario = Scenario::parse(PathBuf::from("x.toml"), &text, &[]).expect("a good scenario");
    Plan::draw(&scenario, 918_273)
}

fn pauses(plan: &Plan, number: usize) -> Vec<(Microseconds, bool)> {
    let of_one = |action: &Action| match action {
        Action::Pause { gateway, on } if *gateway == number => Some(*on),
        _ => None,
    };
    plan.steps.iter().filter_map(|step| Some((step.at, of_one(&step.action)?))).collect()
}

fn pause(at_s: f64, for_s: f64) -> String {
    format!("[[fault]]\nkind = \"pause\"\nat_s = {at_s}\nfor_s = {for_s}\nwho = [\"g0\"]\n")
}

#[test]
fn a_pause_within_a_pause_wakes_nobody() {
    let plan = plan(&(pause(22.0, 30.0) + &pause(28.0, 7.0)));
    assert_eq!(pauses(&plan, 0), [(us(22.0), true), (us(52.0), false)]);
}

#[test]
fn pauses_that_follow_each_other_are_two() {
    let plan = plan(&(pause(10.0, 5.0) + &pause(20.0, 5.0)));
    let wanted = [(us(10.0), true), (us(15.0), false), (us(20.0), true), (us(25.0), false)];
    assert_eq!(pauses(&plan, 0), wanted);
}
