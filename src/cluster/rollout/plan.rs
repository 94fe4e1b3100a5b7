//! Operators' definition of a rollout: routing rules within their bounds, stages and statistical bounds.
//!
//! Keys in TOML are part of the operators' interface (`rename`). The types are sent and stored in postcard,
//! so fields must keep their order.

use crate::decision::SettingsError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::ops::{Range, RangeInclusive};
use toml::Spanned;

/// All customers, in the unit of a stage's share.
pub const ALL_CUSTOMERS: u16 = 10_000;
/// Units of a share in one percent.
const PARTS_PER_PERCENT: f64 = 100.0;
/// Limit of the number of rules in a set.
const MAX_RULES: usize = 8;
/// Length limit of an encoded set, in bytes, so that two sets and the rest of the message fit into one datagram.
const MAX_RULE_SET_BYTES: usize = 400;
const MAX_STAGES: usize = 8;
/// Bounds of an endpoint's weight, in percent.
const WEIGHT_PERCENT: RangeInclusive<u16> = 5..=400;
const ATTEMPTS: RangeInclusive<u8> = 1..=8;
const GIVE_UP_PERCENT: RangeInclusive<u8> = 30..=70;
const SLOW_START_PERCENT: RangeInclusive<u8> = 0..=100;
const MAX_BAKE_S: u32 = 86_400;
const MAX_STAGE_S: u32 = 604_800;
const FALSE_HALT_RATE: RangeInclusive<f64> = 0.000_1..=0.1;
const MARGIN: RangeInclusive<f64> = 0.001..=0.2;
const MIN_REQUESTS: RangeInclusive<u32> = 1..=10_000_000;

/// A rule: which requests it matches, and how these are routed. Weights and fractions are percentages.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuleConfig {
    /// Matches only requests of this class.
    pub class: Option<String>,
    /// Matches only customers of this plan.
    pub plan: Option<String>,
    /// Matches only at gateways of this zone.
    pub zone: Option<String>,
    /// Weights of endpoints by zone, 5 to 400; an endpoint of an unlisted zone has 100.
    #[serde(rename = "zones")]
    pub zone_weights: BTreeMap<String, u16>,
    /// Weights of endpoints by label, 5 to 400; an endpoint of an unlisted label has 100.
    #[serde(rename = "labels")]
    pub label_weights: BTreeMap<String, u16>,
    /// Maximum number of attempts, 1 to 8; the site's own maximum still applies.
    #[serde(rename = "attempts")]
    pub max_attempts: Option<u8>,
    /// Time-out of an attempt at an endpoint that failed recently, as a percentage of the latency objective, 30 to 70.
    #[serde(rename = "give_up")]
    pub give_up_percent: Option<u8>,
    /// Percentage, 0 to 100, of its normal slow-start allowance that an endpoint gets while it warms up.
    #[serde(rename = "cold")]
    pub slow_start_percent: Option<u8>,
}

/// A set of rules; the first rule that matches a request applies.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleSet(pub Vec<RuleConfig>);

/// Stages, durations and statistical bounds of a rollout.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutSettings {
    /// Number of customers, of 10,000, that have the new rules in each stage. The numbers increase, and the
    /// last stage has all customers.
    pub stage_shares: Vec<u16>,
    /// Minimum duration of a stage, in seconds.
    pub bake_s: u32,
    /// Maximum duration of a stage, in seconds: a rollout whose stage has not passed by then is halted.
    pub max_stage_s: u32,
    /// Maximum probability, over all stages together, that a rollout is halted although the canary is not
    /// worse.
    pub false_halt_rate: f64,
    /// Highest excess of the canary's failure rate over the baseline's with which a stage may still pass.
    pub margin: f64,
    /// Minimum number of canary requests counted in each stage.
    pub min_canary_requests: u32,
}

/// A rollout requested by an operator.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutRequest {
    /// The new rules.
    pub rules: RuleSet,
    /// Stages, durations and statistical bounds.
    pub settings: RolloutSettings,
}

/// The TOML document that operators write, with its keys and defaults.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Document {
    #[serde(rename = "stages")]
    stage_percents: Vec<f64>,
    bake_s: u32,
    #[serde(rename = "longest_s")]
    max_stage_s: u32,
    #[serde(rename = "false_halts")]
    false_halt_rate: f64,
    margin: f64,
    #[serde(rename = "least")]
    min_canary_requests: u32,
    rule: Vec<Spanned<RuleConfig>>,
}

impl Default for Document {
    fn default() -> Document {
        Document {
            stage_percents: vec![1.0, 5.0, 25.0, 100.0],
            bake_s: 60,
            max_stage_s: 1800,
            false_halt_rate: 0.01,
            margin: 0.02,
            min_canary_requests: 300,
            rule: Vec::new(),
        }
    }
}

fn check_bounds<T: PartialOrd + Display>(
    key: &str,
    value: T,
    bounds: RangeInclusive<T>,
) -> Result<(), SettingsError> {
    match bounds.contains(&value) {
        true => Ok(()),
        false => {
            let (from, to) = (bounds.start(), bounds.end());
            Err(SettingsError(format!("{key}: expected {from} to {to}, found {value}")))
        }
    }
}

impl RuleConfig {
    /// Checks that all values are within the rule's bounds.
    ///
    /// # Errors
    /// Names the key, the bounds and the value.
    pub fn check(&self) -> Result<(), SettingsError> {
        for (table, weights) in [("zones", &self.zone_weights), ("labels", &self.label_weights)] {
            for (name, weight) in weights {
                check_bounds(&format!("{table}.{name}"), *weight, WEIGHT_PERCENT)?;
            }
        }
        if let Some(attempts) = self.max_attempts {
            check_bounds("attempts", attempts, ATTEMPTS)?;
        }
        if let Some(percent) = self.give_up_percent {
            check_bounds("give_up", percent, GIVE_UP_PERCENT)?;
        }
        if let Some(percent) = self.slow_start_percent {
            check_bounds("cold", percent, SLOW_START_PERCENT)?;
        }
        Ok(())
    }
}

impl RuleSet {
    /// Checks that all rules are within their bounds, and that the set is not too long.
    ///
    /// # Errors
    /// Names the key, the bounds and the value.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_bounds("rule: how many", self.0.len(), 0..=MAX_RULES)?;
        self.0.iter().try_for_each(RuleConfig::check)?;
        let length = postcard::to_allocvec(self).map_or(usize::MAX, |bytes| bytes.len());
        check_bounds("rule: bytes of all", length, 0..=MAX_RULE_SET_BYTES)
    }
}

impl RolloutSettings {
    /// Checks that the values are within their bounds, and that the stages rise to all customers.
    ///
    /// # Errors
    /// Names the key, the bounds and the value.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_bounds("stages: how many", self.stage_shares.len(), 1..=MAX_STAGES)?;
        let is_rising = self.stage_shares.windows(2).all(|pair| pair[0] < pair[1]);
        let first_is_empty = self.stage_shares.first() == Some(&0);
        let last_is_all = self.stage_shares.last() == Some(&ALL_CUSTOMERS);
        if !is_rising || first_is_empty || !last_is_all {
            return Err(SettingsError("stages: expected rising parts above 0 that end with 100".into()));
        }
        check_bounds("bake_s", self.bake_s, 1..=MAX_BAKE_S)?;
        check_bounds("longest_s", self.max_stage_s, self.bake_s.saturating_add(1)..=MAX_STAGE_S)?;
        check_bounds("false_halts", self.false_halt_rate, FALSE_HALT_RATE)?;
        check_bounds("margin", self.margin, MARGIN)?;
        check_bounds("least", self.min_canary_requests, MIN_REQUESTS)
    }

    /// Number of customers, of 10,000, that have the new rules in this stage; none in stage 0, which precedes
    /// the first stage.
    pub fn share(&self, stage: u8) -> u16 {
        let index = usize::from(stage).checked_sub(1);
        index.and_then(|index| self.stage_shares.get(index)).copied().unwrap_or(0)
    }

    /// Whether this is the last stage.
    pub fn is_last(&self, stage: u8) -> bool {
        usize::from(stage) >= self.stage_shares.len()
    }
}

impl RolloutRequest {
    /// Parses a rollout from TOML.
    ///
    /// # Errors
    /// Describes the first error in one line, with its line number and key.
    pub fn parse(text: &str) -> Result<RolloutRequest, SettingsError> {
        let document: Document = toml::from_str(text).map_err(|error| syntax_error(text, &error))?;
        let rules = document.rules(text)?;
        let settings = document.settings()?;
        Ok(RolloutRequest { rules, settings })
    }
}

fn line_number(text: &str, span: &Range<usize>) -> usize {
    1 + text[..span.start.min(text.len())].matches('\n').count()
}

fn syntax_error(text: &str, error: &toml::de::Error) -> SettingsError {
    let message = error.message().lines().collect::<Vec<_>>().join(" ");
    let line = error.span().map_or(1, |span| line_number(text, &span));
    SettingsError(format!("line {line}: {message}"))
}

impl Document {
    fn rules(&self, text: &str) -> Result<RuleSet, SettingsError> {
        for rule in &self.rule {
            let line = line_number(text, &rule.span());
            rule.get_ref().check().map_err(|error| SettingsError(format!("line {line}: rule: {error}")))?;
        }
        if self.rule.is_empty() {
            return Err(SettingsError("rule: expected one at least, found none".into()));
        }
        let rules = RuleSet(self.rule.iter().map(|rule| rule.get_ref().clone()).collect());
        rules.check()?;
        Ok(rules)
    }

    fn settings(&self) -> Result<RolloutSettings, SettingsError> {
        if !self.stage_percents.iter().all(|percent| (0.0..=100.0).contains(percent)) {
            return Err(SettingsError("stages: expected parts of 0 to 100".into()));
        }
        let share = |percent: &f64| (percent * PARTS_PER_PERCENT).round() as u16;
        let settings = RolloutSettings {
            stage_shares: self.stage_percents.iter().map(share).collect(),
            bake_s: self.bake_s,
            max_stage_s: self.max_stage_s,
            false_halt_rate: self.false_halt_rate,
            margin: self.margin,
            min_canary_requests: self.min_canary_requests,
        };
        settings.check()?;
        Ok(settings)
    }
}
