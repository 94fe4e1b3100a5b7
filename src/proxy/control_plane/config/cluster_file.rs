//! TOML form of the cluster file. Its keys occur in this module only.

use super::{ClusterConfig, ConfigError};
use crate::cluster::rollout::{RuleConfig, RuleSet};
use crate::cluster::{
    self, ledger, write_queue, MemberMetadata, Micros, SettingsError, CAPABILITY_LEDGER, CAPABILITY_ROLLOUT,
};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Upper bound on the time-out of a wait for the ledger, in milliseconds.
const MAX_LEDGER_WAIT_MS: u64 = 100;
/// Default time between two probes, in milliseconds.
const DEFAULT_PERIOD_MS: u64 = 1000;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1000;
/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The cluster file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClusterDocument {
    #[serde(rename = "fleet")]
    cluster: String,
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
    name: Option<String>,
    #[serde(default)]
    zone: String,
    #[serde(default = "default_period_ms")]
    period_ms: u64,
    #[serde(default)]
    seats: Vec<String>,
    #[serde(rename = "lend", default)]
    leasable_fraction: f64,
    #[serde(default)]
    peers: BTreeMap<String, SocketAddr>,
    ledger: Option<LedgerDocument>,
    rollout: Option<RolloutDocument>,
    #[serde(rename = "branch")]
    write_queue: Option<WriteQueueDocument>,
}

fn default_period_ms() -> u64 {
    DEFAULT_PERIOD_MS
}

/// Write queue of a branch that accepts writes while it is cut off. Without this table no writes are accepted then.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct WriteQueueDocument {
    seats: Vec<String>,
    classes: Vec<String>,
    #[serde(rename = "writes")]
    max_writes: usize,
    #[serde(rename = "of_one")]
    max_writes_per_customer: usize,
    #[serde(rename = "longest_s")]
    max_age_s: u64,
    cut_after_ms: u64,
    #[serde(rename = "out")]
    max_in_flight: usize,
    per_s: u32,
    on_failure: OnFailure,
}

impl Default for WriteQueueDocument {
    fn default() -> WriteQueueDocument {
        WriteQueueDocument {
            seats: Vec::new(),
            classes: Vec::new(),
            max_writes: 10_000,
            max_writes_per_customer: 1000,
            max_age_s: 3600,
            cut_after_ms: 2000,
            max_in_flight: 20,
            per_s: 100,
            on_failure: OnFailure::ByClass(BTreeMap::new()),
        }
    }
}

/// What happens to later writes after a write that was not done.
#[derive(Deserialize, PartialEq)]
enum AfterFailure {
    #[serde(rename = "go on")]
    Continue,
    #[serde(rename = "stop")]
    Stop,
}

/// The `on_failure` key: one value for all classes, or a value per class. Classes that are not named continue.
#[derive(Deserialize)]
#[serde(untagged, expecting = "expected \"go on\", \"stop\", or a table of classes with one of these")]
enum OnFailure {
    AllClasses(AfterFailure),
    ByClass(BTreeMap<String, AfterFailure>),
}

impl OnFailure {
    /// Returns the classes for which no later write is forwarded after a write that was not done.
    fn stop_classes(&self, classes: &[String]) -> Vec<String> {
        match self {
            OnFailure::AllClasses(AfterFailure::Continue) => Vec::new(),
            OnFailure::AllClasses(AfterFailure::Stop) => classes.to_vec(),
            OnFailure::ByClass(each) => {
                let stopping = each.iter().filter(|(_, after)| **after == AfterFailure::Stop);
                stopping.map(|(class, _)| class.clone()).collect()
            }
        }
    }
}

impl WriteQueueDocument {
    /// Converts to the settings of the write queue. Its gateways must be among `seats`, the seats of the cluster.
    fn settings(&self, seats: &[String]) -> Result<write_queue::WriteQueueSettings, ConfigError> {
        let seat_number = |name: &String| match seats.iter().position(|seat| seat == name) {
            // A cluster with more seats than `u16::MAX` is rejected by the check of the cluster's settings.
            Some(number) => Ok(u16::try_from(number).unwrap_or(u16::MAX)),
            None => Err(ConfigError::UnknownName { key: "branch.seats", kind: "seat", name: name.clone() }),
        };
        Ok(write_queue::WriteQueueSettings {
            seats: self.seats.iter().map(seat_number).collect::<Result<_, _>>()?,
            max_pending: self.max_writes,
            max_pending_per_customer: self.max_writes_per_customer,
            max_age: Micros(self.max_age_s.saturating_mul(MICROS_PER_SECOND)),
            uplink_timeout: micros(self.cut_after_ms),
            // `ClusterConfig::resolve_classes` sets both, once the classes of the site are known.
            send_timeout: Micros(0),
            blocking_classes: Vec::new(),
            max_in_flight: self.max_in_flight,
            max_sends_per_second: self.per_s,
        })
    }
}

/// Rollouts of routing rules. Without this table there are no rollouts.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct RolloutDocument {
    /// Rules in force before the first rollout.
    #[serde(rename = "rule")]
    rules: Vec<RuleConfig>,
}

/// Ledger of requests in flight. Without this table no ledger is kept.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LedgerDocument {
    #[serde(rename = "holders")]
    replicas: usize,
    lease_ms: u64,
    #[serde(rename = "life_ms")]
    record_lifetime_ms: u64,
    wait_ms: u64,
    dir: Option<PathBuf>,
    #[serde(rename = "finish")]
    finish_classes: Vec<String>,
}

impl Default for LedgerDocument {
    fn default() -> LedgerDocument {
        LedgerDocument {
            replicas: 3,
            lease_ms: 600,
            record_lifetime_ms: 10_000,
            wait_ms: 10,
            dir: None,
            finish_classes: Vec::new(),
        }
    }
}

impl LedgerDocument {
    fn settings(&self) -> ledger::LedgerSettings {
        ledger::LedgerSettings {
            replicas: self.replicas,
            lease: micros(self.lease_ms),
            record_lifetime: micros(self.record_lifetime_ms),
        }
    }
}

/// Parses the text of a cluster file. `name` is the gateway's name in the environment.
pub(super) fn parse(text: &str, name: &str) -> Result<ClusterConfig, ConfigError> {
    let document: ClusterDocument = toml::from_str(text).map_err(|error| toml_error(text, &error))?;
    let write_queue = document.write_queue.as_ref();
    let branch = write_queue.map(|queue| queue.settings(&document.seats)).transpose()?;
    let ledger_wait_ms = document.ledger.as_ref().map_or(0, |ledger| ledger.wait_ms);
    if ledger_wait_ms > MAX_LEDGER_WAIT_MS {
        return Err(ConfigError::WrongValue {
            key: "ledger.wait_ms",
            expected: format!("0 to {MAX_LEDGER_WAIT_MS}"),
            found: ledger_wait_ms.to_string(),
        });
    }
    let settings = node_settings(&document, branch, name);
    settings.check().map_err(ConfigError::ClusterSettings)?;
    let leasable_fraction = document.leasable_fraction;
    if !(0.0..=1.0).contains(&leasable_fraction) || leasable_fraction > 0.0 && settings.seats.is_empty() {
        let problem = "lend: expected 0 to 1, and seats where it is above 0";
        return Err(ConfigError::ClusterSettings(SettingsError(problem.into())));
    }
    let stop_classes = write_queue.map(|queue| queue.on_failure.stop_classes(&queue.classes));
    let (storage_dir, finish_classes) = match document.ledger {
        Some(ledger) => (ledger.dir, ledger.finish_classes),
        None => (None, Vec::new()),
    };
    Ok(ClusterConfig {
        listen: document.listen,
        leasable_fraction,
        ledger_timeout: Duration::from_millis(ledger_wait_ms),
        finish_classes,
        storage_dir,
        write_queue_stop_classes: stop_classes.unwrap_or_default(),
        write_queue_classes: document.write_queue.map(|queue| queue.classes).unwrap_or_default(),
        settings,
    })
}

/// Converts to the settings of the cluster node.
fn node_settings(
    document: &ClusterDocument,
    branch: Option<write_queue::WriteQueueSettings>,
    name: &str,
) -> cluster::Settings {
    let name = document.name.as_deref().unwrap_or(name);
    let mut peers = document.peers.clone();
    peers.remove(name);
    cluster::Settings {
        cluster: document.cluster.clone(),
        name: name.to_string(),
        metadata: MemberMetadata {
            zone: document.zone.clone(),
            version: env!("CARGO_PKG_VERSION").to_string(),
            capabilities: capabilities(document),
            advertise: document.advertise,
        },
        peers,
        probe_period: Duration::from_millis(document.period_ms),
        seats: document.seats.clone(),
        ledger: document.ledger.as_ref().map(LedgerDocument::settings),
        rules: document.rollout.as_ref().map(|rollout| RuleSet(rollout.rules.clone())),
        branch,
        disk: None,
    }
}

fn capabilities(document: &ClusterDocument) -> u32 {
    let ledger = if document.ledger.is_some() { CAPABILITY_LEDGER } else { 0 };
    let rollout = if document.rollout.is_some() { CAPABILITY_ROLLOUT } else { 0 };
    ledger | rollout
}

fn micros(milliseconds: u64) -> Micros {
    Micros(milliseconds.saturating_mul(MICROS_PER_MILLI))
}

/// Converts a TOML error to a one-line message with the line number in the file.
fn toml_error(text: &str, error: &toml::de::Error) -> ConfigError {
    let lines_before = |offset: usize| text[..offset.min(text.len())].matches('\n').count();
    let line = error.span().map_or(1, |span| 1 + lines_before(span.start));
    ConfigError::Toml { line, problem: error.message().lines().collect::<Vec<_>>().join(" ") }
}
