//! Rollout documents of operators are parsed as an earlier build parsed them (`tests/fixtures/rollout`).

use quota_gateway::cluster::rollout::{RolloutRequest, RolloutSettings, RuleConfig, RuleSet};

fn parse_fixture(name: &str) -> RolloutRequest {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/rollout").join(name);
    RolloutRequest::parse(&std::fs::read_to_string(path).expect("a fixture")).expect("a valid rollout")
}

#[test]
fn every_key_of_a_rollout_is_parsed() {
    let first_rule = RuleConfig {
        class: Some("look".into()),
        plan: Some("team".into()),
        zone: Some("a".into()),
        zone_weights: [("a".to_string(), 400), ("b".to_string(), 5)].into(),
        label_weights: [("blue".to_string(), 200)].into(),
        max_attempts: Some(4),
        give_up_percent: Some(33),
        slow_start_percent: Some(70),
    };
    let rules = RuleSet(vec![first_rule, RuleConfig { max_attempts: Some(1), ..RuleConfig::default() }]);
    let settings = RolloutSettings {
        stage_shares: vec![50, 1_225, 10_000],
        bake_s: 2,
        max_stage_s: 77,
        false_halt_rate: 0.05,
        margin: 0.15,
        min_canary_requests: 9,
    };
    assert_eq!(parse_fixture("start-all-keys.toml"), RolloutRequest { rules, settings });
}

#[test]
fn missing_keys_of_a_rollout_have_their_defaults() {
    let settings = RolloutSettings {
        stage_shares: vec![100, 500, 2_500, 10_000],
        bake_s: 60,
        max_stage_s: 1_800,
        false_halt_rate: 0.01,
        margin: 0.02,
        min_canary_requests: 300,
    };
    assert_eq!(
        parse_fixture("start-defaults.toml"),
        RolloutRequest { rules: RuleSet(vec![RuleConfig::default()]), settings }
    );
}
