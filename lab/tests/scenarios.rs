//! Scenario files: problems are reported with file, line and key, and the plan depends on the seed alone.

use quota_gateway_lab::plan::Plan;
use quota_gateway_lab::scenario::{Scenario, Setting};
use std::path::{Path, PathBuf};

const VALID: &str = "name = \"x\"\nabout = \"It shows nothing.\"\nlength_s = 5\n";

fn problems(text: &str) -> String {
    Scenario::parse(PathBuf::from("x.toml"), text, &[]).expect_err("wrong").to_string()
}

#[test]
fn shipped_scenarios_are_valid_and_start_with_a_description() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("the folder of scenarios").flatten() {
        let path = entry.path();
        let scenario = Scenario::load(&path, &[]).unwrap_or_else(|problems| panic!("{problems}"));
        let text = std::fs::read_to_string(&path).expect("text");
        assert!(
            text.starts_with("# "),
            "{}: expected a comment at the start that says what the scenario shows",
            path.display()
        );
        assert_eq!(path.file_stem().and_then(|s| s.to_str()), Some(scenario.name.as_str()));
        count += 1;
    }
    assert!(count >= 11, "expected at least 11 scenarios, found {count}");
}

#[test]
fn unknown_keys_and_wrong_types_are_reported_with_file_line_and_key() {
    let text = problems(&format!("{VALID}[gateways]\ncount = 3\nconut = 3\n"));
    assert!(text.starts_with("x.toml:6: conut: ") && text.contains("unknown field"), "{text}");
    let text = problems(&format!("{VALID}[[fault]]\nkind = \"explode\"\nat_s = 1\n"));
    assert!(text.starts_with("x.toml:5: kind: ") && text.contains("explode"), "{text}");
    let text = problems(&format!("{VALID}load.per_s = \"many\"\n"));
    assert!(text.starts_with("x.toml:4: "), "{text}");
    assert!(problems("name = ").starts_with("x.toml:1: "));
}

#[test]
fn all_values_out_of_range_are_reported_at_once() {
    let text = problems(&format!(
        "{VALID}[gateways]\ncount = 0\n[backends]\ncold_from = 7\n[[fault]]\nkind = \"pause\"\nat_s = 1\nfor_s = 1\n\
         who = [\"gateways\"]\n[[fault]]\nkind = \"cut\"\nat_s = 99\nrate = 0.5\nwho = [\"zone:nowhere\"]\n\
         [expect]\nsrved_min = 1\n"
    ));
    for expected in [
        "x.toml:5: gateways.count: expected 1 to 200, found 0",
        "x.toml:7: backends.cold_from: expected 0.01 to 1, found 7",
        "x.toml:15: fault[1].at_s: expected 0 to 5, found 99",
        "fault[1].for_s: expected a value",
        "x.toml:16: fault[1].rate: kind 'cut' takes",
        "x.toml:17: fault[1].who: 'zone:nowhere': there is no zone 'nowhere'",
        "x.toml:19: expect.srved_min: expected one of served",
    ] {
        assert!(text.contains(expected), "{expected}\nin\n{text}");
    }
}

#[test]
fn settings_override_values() {
    let set = |key: &str, value: &str| Setting { key: key.into(), value: value.into() };
    let settings =
        [set("gateways.count", "7"), set("net.zones", "[\"a\", \"b\", \"c\"]"), set("name", "other")];
    let scenario = Scenario::parse(PathBuf::from("x.toml"), VALID, &settings).expect("a valid scenario");
    assert_eq!((scenario.gateways.count, scenario.zones(), scenario.name.as_str()), (7, 3, "other"));
    let wrong =
        Scenario::parse(PathBuf::from("x.toml"), VALID, &[set("gateways.conut", "7")]).expect_err("unknown");
    assert!(wrong.to_string().contains("conut"), "{wrong}");
}

#[test]
fn plan_depends_on_the_seed_and_faults_do_not_change_arrivals() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let load = |name: &str| Scenario::load(&folder.join(name), &[]).expect("a valid scenario");
    for name in ["zone-lost.toml", "herd-kill.toml", "backend-release.toml"] {
        let scenario = load(name);
        let digest = |seed| Plan::draw(&scenario, seed).digest;
        assert_eq!(digest(5), digest(5), "{name}");
        assert_ne!(digest(5), digest(6), "{name}");
        let mut without_faults = scenario.clone();
        without_faults.faults.clear();
        let (with, without) = (Plan::draw(&scenario, 5), Plan::draw(&without_faults, 5));
        let times = |plan: &Plan| {
            plan.arrivals.iter().map(|arrival| (arrival.at, arrival.customer)).collect::<Vec<_>>()
        };
        assert_eq!(times(&with), times(&without), "{name}: faults changed the arrivals");
        assert_ne!(with.digest, without.digest, "{name}: the digest does not cover the faults");
        assert!(with.steps.windows(2).all(|pair| pair[0].at <= pair[1].at));
    }
    let plan = Plan::draw(&load("calm.toml"), 5);
    let mut ids: Vec<u64> = (0..plan.arrivals.len())
        .flat_map(|arrival| (0..3).map(move |attempt| (arrival, attempt)))
        .map(|(arrival, attempt)| plan.id(arrival, attempt))
        .collect();
    let all = ids.len();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), all, "request ids are not unique");
}
