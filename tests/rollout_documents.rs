//! What operators write of a rollout is read as the build before read it (`tests/fixtures/rollout`).

use quota_gateway::cluster::rollout::{Rule, Rules, Start, Terms};

fn read(name: &str) -> Start {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/rollout").join(name);
    Start::parse(&std::fs::read_to_string(path).expect("a fixture")).expect("it is sound")
}

#[test]
fn every_key_of_a_rollout_is_read() {
    let first = Rule {
        class: Some("look".into()),
        plan: Some("team".into()),
        zone: Some("a".into()),
        zones: [("a".to_string(), 400), ("b".to_string(), 5)].into(),
        labels: [("blue".to_string(), 200)].into(),
        attempts: Some(4),
        give_up: Some(33),
        cold: Some(70),
    };
    let rules = Rules(vec![first, Rule { attempts: Some(1), ..Rule::default() }]);
    let terms = Terms {
        stages: vec![50, 1_225, 10_000],
        bake_s: 2,
        longest_s: 77,
        false_halts: 0.05,
        margin: 0.15,
        least: 9,
    };
    assert_eq!(read("start-all-keys.toml"), Start { rules, terms });
}

#[test]
fn keys_that_a_rollout_leaves_out_have_their_defaults() {
    let terms = Terms {
        stages: vec![100, 500, 2_500, 10_000],
        bake_s: 60,
        longest_s: 1_800,
        false_halts: 0.01,
        margin: 0.02,
        least: 300,
    };
    assert_eq!(read("start-defaults.toml"), Start { rules: Rules(vec![Rule::default()]), terms });
}
