//! JSON form of the configuration file. Its keys occur in this module only, except those of `settings`, which
//! [`crate::site_settings`] reads for the simulator as well.

use super::{Config, ConfigError, SocketLimits};
use crate::proxy::control_plane::discovery::endpoint_list::EndpointList;
use crate::site_settings::{flatten, Fields, Site};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Default time after which a backend closes an idle connection, in microseconds.
const DEFAULT_BACKEND_IDLE_TIMEOUT_US: u64 = 15_000_000;
/// Base in which the seed is written.
const SEED_RADIX: u32 = 16;

#[derive(Deserialize)]
struct Document {
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    counter: Option<SocketAddr>,
    #[serde(rename = "ops")]
    operators: Option<SocketAddr>,
    #[serde(rename = "known", default)]
    known_endpoints: EndpointList,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    #[serde(rename = "sockets")]
    descriptors: usize,
    memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { descriptors: 1024, memory_mb: 192.0 }
    }
}

/// Values that the gateway reads from `settings`.
struct SiteSettings {
    site: Site,
    backend_idle_timeout: Duration,
}

/// Parses a configuration. Addresses from the environment take precedence over those in the file.
pub(super) fn parse(
    text: &str,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
) -> Result<Config, ConfigError> {
    let document: Document = serde_json::from_str(text)?;
    let seed = u64::from_str_radix(&document.seed, SEED_RADIX)
        .map_err(|_| ConfigError::wrong_text("seed", "16 hex digits", &document.seed))?;
    let SiteSettings { site, backend_idle_timeout } = read_settings(&document.settings)?;
    if site.settings.counter_enabled && document.counter.is_none() {
        return Err(missing_address("counter"));
    }
    Ok(Config {
        cluster: None,
        name: String::new(),
        listen: listen.or(document.listen).ok_or_else(|| missing_address("listen"))?,
        discovery: discovery.or(document.discovery).ok_or_else(|| missing_address("discovery"))?,
        counter: document.counter,
        operators: document.operators,
        accept_descriptor: None,
        handover_folder: None,
        seed,
        known_endpoints: document.known_endpoints,
        site,
        sockets: SocketLimits::from_descriptors(document.limits.descriptors),
        memory_mb: document.limits.memory_mb,
        backend_idle_timeout,
    })
}

fn read_settings(settings: &serde_json::Value) -> Result<SiteSettings, ConfigError> {
    let mut names = BTreeMap::new();
    flatten("", settings, &mut names);
    let pairs = names.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
    let fields = Fields { location: "settings".into(), message: "settings", pairs };
    let site = Site::read(&fields)?;
    site.settings.check()?;
    let idle_timeout = fields.micros_or("bounds.conn_idle", DEFAULT_BACKEND_IDLE_TIMEOUT_US)?;
    Ok(SiteSettings { site, backend_idle_timeout: Duration::from_micros(idle_timeout.0) })
}

fn missing_address(key: &'static str) -> ConfigError {
    ConfigError::WrongValue { key, expected: "an address".into(), found: "nothing".into() }
}
