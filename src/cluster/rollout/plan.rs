//! What people write of a rollout: rules of routing within their bounds, stages, and what is asked of them.

use crate::decision::SettingsError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// All customers, in parts of a stage.
pub const ALL: u16 = 10_000;
/// The most rules of a set, and the longest set in bytes: two sets fit into one datagram with all around them.
const MOST_RULES: usize = 8;
const LONGEST: usize = 400;
const MOST_STAGES: usize = 8;

/// One rule: for which requests, and how these are routed. All parts are percentages.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rule {
    /// Only requests of this class.
    pub class: Option<String>,
    /// Only customers of this plan.
    pub plan: Option<String>,
    /// Only at gateways of this zone.
    pub zone: Option<String>,
    /// Weights of servers by their zone, 5 to 400; 100 where none is named.
    pub zones: BTreeMap<String, u16>,
    /// Weights of servers by their label, 5 to 400; 100 where none is named.
    pub labels: BTreeMap<String, u16>,
    /// The most attempts, 1 to 8; never more than the site's.
    pub attempts: Option<u8>,
    /// An attempt at a server that failed of late is given up after this part of the aim, 30 to 70.
    pub give_up: Option<u8>,
    /// The part of what a cold server may get that it does get, 0 to 100.
    pub cold: Option<u8>,
}

/// A set of rules; of those that fit a request the first counts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules(pub Vec<Rule>);

/// What is asked of a rollout.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// The customers of each stage, of 10,000; rising, all at the end.
    pub stages: Vec<u16>,
    /// The least time of a stage, in seconds.
    pub bake_s: u32,
    /// A stage that is not passed within this is halted.
    pub longest_s: u32,
    /// The part of sound rollouts that may be halted, all stages together.
    pub false_halts: f64,
    /// By so much more of the requests may end badly, at the most, for a stage to be passed.
    pub margin: f64,
    /// So many requests of the new arm are seen in each stage, at least.
    pub least: u32,
}

/// A rollout as it is asked for.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// The new rules.
    pub rules: Rules,
    /// The terms.
    pub terms: Terms,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Document {
    stages: Vec<f64>,
    bake_s: u32,
    longest_s: u32,
    false_halts: f64,
    margin: f64,
    least: u32,
    rule: Vec<toml::Spanned<Rule>>,
}

impl Default for Document {
    fn default() -> Document {
        Document {
            stages: vec![1.0, 5.0, 25.0, 100.0],
            bake_s: 60,
            longest_s: 1800,
            false_halts: 0.01,
            margin: 0.02,
            least: 300,
            rule: Vec::new(),
        }
    }
}

fn bounded<T: PartialOrd + std::fmt::Display>(
    what: &str,
    value: T,
    bounds: RangeInclusive<T>,
) -> Result<(), SettingsError> {
    match bounds.contains(&value) {
        true => Ok(()),
        false => {
            let (from, to) = (bounds.start(), bounds.end());
            Err(SettingsError(format!("{what}: expected {from} to {to}, found {value}")))
        }
    }
}

impl Rule {
    /// Whether its values are within the bounds that no rule may leave.
    pub fn check(&self) -> Result<(), SettingsError> {
        for (table, weights) in [("zones", &self.zones), ("labels", &self.labels)] {
            for (name, weight) in weights {
                bounded(&format!("{table}.{name}"), *weight, 5..=400)?;
            }
        }
        self.attempts.map_or(Ok(()), |v| bounded("attempts", v, 1..=8))?;
        self.give_up.map_or(Ok(()), |v| bounded("give_up", v, 30..=70))?;
        self.cold.map_or(Ok(()), |v| bounded("cold", v, 0..=100))
    }
}

impl Rules {
    /// Whether all rules are within bounds, and the set is not too long.
    pub fn check(&self) -> Result<(), SettingsError> {
        bounded("rule: how many", self.0.len(), 0..=MOST_RULES)?;
        self.0.iter().try_for_each(Rule::check)?;
        let length = postcard::to_allocvec(self).map_or(usize::MAX, |bytes| bytes.len());
        bounded("rule: bytes of all", length, 0..=LONGEST)
    }
}

impl Terms {
    /// Whether the terms make sense.
    pub fn check(&self) -> Result<(), SettingsError> {
        bounded("stages: how many", self.stages.len(), 1..=MOST_STAGES)?;
        let rising = self.stages.windows(2).all(|pair| pair[0] < pair[1]);
        if !rising || self.stages.first() == Some(&0) || self.stages.last() != Some(&ALL) {
            return Err(SettingsError("stages: expected rising parts above 0 that end with 100".into()));
        }
        bounded("bake_s", self.bake_s, 1..=86_400)?;
        bounded("longest_s", self.longest_s, self.bake_s.saturating_add(1)..=604_800)?;
        bounded("false_halts", self.false_halts, 0.000_1..=0.1)?;
        bounded("margin", self.margin, 0.001..=0.2)?;
        bounded("least", self.least, 1..=10_000_000)
    }

    /// The part of the customers, of 10,000, that have the new arm in this stage; stage 0 comes before the first.
    pub fn share(&self, stage: u8) -> u16 {
        usize::from(stage).checked_sub(1).and_then(|i| self.stages.get(i)).copied().unwrap_or(0)
    }
    /// Whether this stage is the last.
    pub fn is_last(&self, stage: u8) -> bool {
        usize::from(stage) >= self.stages.len()
    }
}

impl Start {
    /// Reads a rollout. What is wrong is one line, with the line and the key.
    pub fn parse(text: &str) -> Result<Start, SettingsError> {
        let line = |at: usize| 1 + text[..at.min(text.len())].matches('\n').count();
        let document: Document = toml::from_str(text).map_err(|e| {
            let words = e.message().lines().collect::<Vec<_>>().join(" ");
            SettingsError(format!("line {}: {words}", e.span().map_or(1, |span| line(span.start))))
        })?;
        for rule in &document.rule {
            let at = line(rule.span().start);
            rule.get_ref().check().map_err(|e| SettingsError(format!("line {at}: rule: {e}")))?;
        }
        if document.rule.is_empty() {
            return Err(SettingsError("rule: expected one at least, found none".into()));
        }
        let rules = Rules(document.rule.into_iter().map(toml::Spanned::into_inner).collect());
        rules.check()?;
        let sound = document.stages.iter().all(|part| (0.0..=100.0).contains(part));
        if !sound {
            return Err(SettingsError("stages: expected parts of 0 to 100".into()));
        }
        let terms = Terms {
            stages: document.stages.iter().map(|part| (part * 100.0).round() as u16).collect(),
            bake_s: document.bake_s,
            longest_s: document.longest_s,
            false_halts: document.false_halts,
            margin: document.margin,
            least: document.least,
        };
        terms.check()?;
        Ok(Start { rules, terms })
    }
}
