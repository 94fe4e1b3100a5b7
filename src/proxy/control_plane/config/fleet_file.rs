//! The fleet's file: its form, its bounds, and what the fleet part is told from it.

use crate::cluster::{self, MemberMetadata};
use crate::proxy::control_plane::config::ConfigError;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::{env, fmt};

/// What the fleet's file says, which `NODE_FLEET` names. Without it a gateway knows of no other.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetDocument {
    fleet: String,
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
    name: Option<String>,
    #[serde(default)]
    zone: String,
    #[serde(default = "a_second")]
    period_ms: u64,
    #[serde(default)]
    seats: Vec<String>,
    #[serde(default)]
    lend: f64,
    #[serde(default)]
    peers: BTreeMap<String, SocketAddr>,
    ledger: Option<LedgerDocument>,
    rollout: Option<RolloutDocument>,
    branch: Option<BranchDocument>,
}

/// A branch that accepts writes while it is cut off; without it none are.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct BranchDocument {
    /// Its gateways.
    seats: Vec<String>,
    /// The classes of which writes are accepted.
    classes: Vec<String>,
    writes: usize,
    of_one: usize,
    longest_s: u64,
    cut_after_ms: u64,
    out: usize,
    per_s: u32,
    on_failure: OnFailure,
}

/// What becomes of writes that come after one that was not done.
#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Following {
    #[serde(rename = "go on")]
    GoOn,
    Stop,
}

/// The same for all classes, or for each that is named; others go on.
#[derive(Deserialize)]
#[serde(untagged, expecting = "expected \"go on\", \"stop\", or a table of classes with one of these")]
enum OnFailure {
    All(Following),
    Of(BTreeMap<String, Following>),
}

impl OnFailure {
    /// The classes after whose writes, where one was not done, nothing goes on that came after it.
    fn stops(&self, classes: &[String]) -> Vec<String> {
        match self {
            OnFailure::All(Following::GoOn) => Vec::new(),
            OnFailure::All(Following::Stop) => classes.to_vec(),
            OnFailure::Of(each) => {
                each.iter().filter(|(_, f)| **f == Following::Stop).map(|(class, _)| class.clone()).collect()
            }
        }
    }
}

impl Default for BranchDocument {
    fn default() -> BranchDocument {
        BranchDocument {
            seats: Vec::new(),
            classes: Vec::new(),
            writes: 10_000,
            of_one: 1000,
            longest_s: 3600,
            cut_after_ms: 2000,
            out: 20,
            per_s: 100,
            on_failure: OnFailure::Of(BTreeMap::new()),
        }
    }
}

impl BranchDocument {
    /// The branch's terms; its gateways have to be seats of the fleet.
    fn terms(&self, seats: &[String]) -> Result<cluster::write_queue::WriteQueueSettings, ConfigError> {
        let seat = |name: &String| {
            let place = seats.iter().position(|seat| seat == name);
            place
                .map(|p| p as u16)
                .ok_or_else(|| ConfigError(format!("branch.seats: there is no seat '{name}'")))
        };
        Ok(cluster::write_queue::WriteQueueSettings {
            seats: self.seats.iter().map(seat).collect::<Result<_, _>>()?,
            max_pending: self.writes,
            max_pending_per_customer: self.of_one,
            max_age: cluster::Micros(self.longest_s.saturating_mul(1_000_000)),
            uplink_timeout: cluster::Micros(self.cut_after_ms.saturating_mul(1000)),
            send_timeout: cluster::Micros(0),
            max_in_flight: self.out,
            max_sends_per_second: self.per_s,
            blocking_classes: Vec::new(),
        })
    }
}

/// Rollouts of rules of routing; without it there are none.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct RolloutDocument {
    /// The rules in force before any rollout.
    rule: Vec<cluster::rollout::RuleConfig>,
}

/// The ledger of work in hand; without it none is kept.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LedgerDocument {
    holders: usize,
    lease_ms: u64,
    life_ms: u64,
    wait_ms: u64,
    dir: Option<PathBuf>,
    finish: Vec<String>,
}

impl Default for LedgerDocument {
    fn default() -> LedgerDocument {
        LedgerDocument {
            holders: 3,
            lease_ms: 600,
            life_ms: 10_000,
            wait_ms: 10,
            dir: None,
            finish: Vec::new(),
        }
    }
}

fn a_second() -> u64 {
    1000
}

/// This gateway's place in its fleet.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// Where other gateways' datagrams come in.
    pub listen: SocketAddr,
    /// The part of each share that may be lent; 0: shares are fixed.
    pub lendable_part: f64,
    /// For how long a request waits for the ledger at the most, each time.
    pub ledger_timeout: std::time::Duration,
    /// The classes of which requests are finished where their gateway dies and no client comes again.
    pub finish_classes: Vec<String>,
    /// The folder on the disk that outlives the process, where it has one.
    pub storage_dir: Option<PathBuf>,
    /// The classes of which the branch accepts writes.
    pub write_queue_classes: Vec<String>,
    /// Those of them after which, where one was not done, nothing goes on that came after it.
    pub write_queue_stop_classes: Vec<String>,
    /// What the fleet part is told.
    pub settings: cluster::Settings,
}

impl ClusterConfig {
    /// Reads the text of a fleet's file, for a gateway whose environment gives this name.
    pub fn parse(text: &str, name: &str) -> Result<ClusterConfig, ConfigError> {
        let plain = |e: toml::de::Error| {
            let line =
                e.span().map_or(1, |span| 1 + text[..span.start.min(text.len())].matches('\n').count());
            ConfigError(format!("line {line}: {}", e.message().lines().collect::<Vec<_>>().join(" ")))
        };
        let document: FleetDocument = toml::from_str(text).map_err(plain)?;
        let name = document.name.unwrap_or_else(|| name.to_string());
        let mut peers = document.peers;
        peers.remove(&name);
        let metadata = MemberMetadata {
            zone: document.zone,
            version: env!("CARGO_PKG_VERSION").to_string(),
            capabilities: if document.ledger.is_some() { cluster::CAPABILITY_LEDGER } else { 0 }
                | if document.rollout.is_some() { cluster::CAPABILITY_ROLLOUT } else { 0 },
            advertise: document.advertise,
        };
        let micros = |ms: u64| cluster::Micros(ms.saturating_mul(1000));
        let ledger = document.ledger.as_ref().map(|l| cluster::ledger::LedgerSettings {
            replicas: l.holders,
            lease: micros(l.lease_ms),
            record_lifetime: micros(l.life_ms),
        });
        let branch = document.branch.as_ref().map(|b| b.terms(&document.seats)).transpose()?;
        let (wait_ms, storage_dir, finish_classes) =
            document.ledger.map_or((0, None, Vec::new()), |l| (l.wait_ms, l.dir, l.finish));
        if wait_ms > 100 {
            return Err(ConfigError(format!("ledger.wait_ms: expected 0 to 100, found {wait_ms}")));
        }
        let period = std::time::Duration::from_millis(document.period_ms);
        let settings = cluster::Settings {
            cluster: document.fleet,
            name,
            metadata,
            peers,
            probe_period: period,
            seats: document.seats,
            ledger,
            rules: document.rollout.map(|r| cluster::rollout::RuleSet(r.rule)),
            branch,
            disk: None,
        };
        settings.check().map_err(|e| ConfigError(e.0))?;
        if !(0.0..=1.0).contains(&document.lend) || document.lend > 0.0 && settings.seats.is_empty() {
            return Err(ConfigError("lend: expected 0 to 1, and seats where it is above 0".into()));
        }
        let ledger_timeout = std::time::Duration::from_millis(wait_ms);
        let write_queue_stop_classes =
            document.branch.as_ref().map(|b| b.on_failure.stops(&b.classes)).unwrap_or_default();
        let write_queue_classes = document.branch.map(|b| b.classes).unwrap_or_default();
        Ok(ClusterConfig {
            listen: document.listen,
            lendable_part: document.lend,
            ledger_timeout,
            finish_classes,
            storage_dir,
            write_queue_classes,
            write_queue_stop_classes,
            settings,
        })
    }

    /// Reads the file that the environment names, if it names one.
    pub(super) fn from_environment() -> Result<Option<ClusterConfig>, ConfigError> {
        let Some(path) = env::var_os("NODE_FLEET").map(PathBuf::from) else { return Ok(None) };
        let told = |e: &dyn fmt::Display| ConfigError(format!("{}: {e}", path.display()));
        let text = std::fs::read_to_string(&path).map_err(|e| told(&e))?;
        let name = env::var("NODE_NAME").unwrap_or_default();
        let config = ClusterConfig::parse(&text, &name).map_err(|e| told(&e))?;
        match config.storage_dir.as_ref().filter(|dir| !dir.is_dir()) {
            Some(dir) => Err(told(&format!("ledger.dir: expected a folder, found '{}'", dir.display()))),
            None => Ok(Some(config)),
        }
    }
}
