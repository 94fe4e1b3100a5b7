//! What the platform tells a gateway: the environment and the configuration file.

mod fleet_file;

pub use fleet_file::ClusterConfig;

use crate::proxy::control_plane::discovery::EndpointList;
use crate::site_settings::{flatten, Fields, Site};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::env;
use std::fmt;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;

/// A configuration that a gateway can't start with; one plain line.
#[derive(Debug)]
pub struct ConfigError(String);

impl ConfigError {
    /// This is wrong.
    pub(in crate::proxy) fn of(what: String) -> ConfigError {
        ConfigError(what)
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for ConfigError {}

impl From<crate::decision::SettingsError> for ConfigError {
    fn from(e: crate::decision::SettingsError) -> ConfigError {
        ConfigError(format!("settings: {e}"))
    }
}

#[derive(Deserialize)]
struct Document {
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    counter: Option<SocketAddr>,
    ops: Option<SocketAddr>,
    #[serde(default)]
    known: EndpointList,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory_mb: 192.0 }
    }
}

/// All that a gateway is told at its start.
pub struct Config {
    /// Its fleet, where it has one.
    pub(crate) fleet: Option<ClusterConfig>,
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) discovery: SocketAddr,
    pub(crate) counter: Option<SocketAddr>,
    /// Where operators call, if they do.
    pub(crate) ops: Option<SocketAddr>,
    /// The clients' listening socket, where it is inherited.
    pub(crate) accept_fd: Option<RawFd>,
    /// The folder that a process of this gateway shares with the one that takes its place.
    pub(crate) folder: Option<PathBuf>,
    pub(crate) seed: u64,
    pub(crate) known: EndpointList,
    pub(crate) site: Site,
    pub(crate) sockets: SocketLimits,
    /// The machine's memory, in millions of bytes.
    pub(crate) memory_mb: f64,
    /// A backend closes a connection that stood idle for this long.
    pub(crate) conn_idle: std::time::Duration,
}

/// How the descriptors are shared out, so that no kind of connection can starve another.
#[derive(Debug, Clone, Copy)]
pub struct SocketLimits {
    /// From clients.
    pub clients: usize,
    /// To backends.
    pub backends: usize,
    /// To the counter, which resets more than 32.
    pub counter: usize,
}

/// Descriptors for all but clients, backends and the counter: standard streams, listeners, epoll, signals, calls to
/// discovery, the client that waits for a place, and operators.
const RESERVE: usize = 16 + crate::proxy::admin::server::MAX_CONNECTIONS;

impl SocketLimits {
    fn of(sockets: usize) -> SocketLimits {
        // Clients have all that is left: beside theirs, up to a third, stand those of peers that send nothing, each
        // until its time is up or room is short.
        let counter = (sockets / 32).clamp(1, 32);
        let backends = (sockets / 4).max(1);
        let clients = sockets.saturating_sub(backends + counter + RESERVE).max(1);
        SocketLimits { clients, backends, counter }
    }
}

/// What a running gateway takes over from a configuration read again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceAddresses {
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where the counter listens, if there is one.
    pub counter: Option<SocketAddr>,
    /// Where other gateways listen.
    pub peers: BTreeMap<String, SocketAddr>,
}

/// The configuration file's path and text.
fn file() -> Result<(String, String), ConfigError> {
    let path = env::var("NODE_CONFIG").map_err(|_| ConfigError("NODE_CONFIG is not set".into()))?;
    let text = std::fs::read_to_string(&path).map_err(|e| ConfigError(format!("{path}: {e}")))?;
    Ok((path, text))
}

impl Config {
    /// The version of the list that this gateway had last, if it had one.
    pub fn known_revision(&self) -> Option<u64> {
        (!self.known.endpoints.is_empty()).then_some(self.known.revision)
    }

    /// Where the services are that a gateway asks.
    pub fn services(&self) -> ServiceAddresses {
        let peers = self.fleet.as_ref().map(|f| f.settings.peers.clone()).unwrap_or_default();
        ServiceAddresses { discovery: self.discovery, counter: self.counter, peers }
    }

    /// Reads the file again. Its addresses count now: the environment is still that of the start.
    pub fn reload() -> Result<ServiceAddresses, ConfigError> {
        let (path, text) = file()?;
        // Where it listens does not change, and may be known from the environment alone.
        let listen = Some(SocketAddr::from(([0, 0, 0, 0], 0)));
        let config = Config::parse(&text, listen, None).map_err(|e| ConfigError(format!("{path}: {e}")))?;
        let fleet = ClusterConfig::from_environment()?;
        Ok(Config { fleet, ..config }.services())
    }

    /// Reads the environment and the file that it names.
    pub fn from_environment() -> Result<Config, ConfigError> {
        let (path, text) = file()?;
        let address = |name: &str| match env::var(name) {
            Err(_) => Ok(None),
            Ok(text) => text
                .parse()
                .map(Some)
                .map_err(|_| ConfigError(format!("{name}: expected an address and a port, found '{text}'"))),
        };
        let ops = address("NODE_OPS")?;
        let accept_fd = match env::var("NODE_ACCEPT_FD") {
            Err(_) => None,
            Ok(text) => Some(text.parse().ok().filter(|fd| *fd > 2).ok_or_else(|| {
                ConfigError(format!("NODE_ACCEPT_FD: expected the number of a descriptor, found '{text}'"))
            })?),
        };
        let folder = env::var_os("TMPDIR").map(PathBuf::from);
        let name = env::var("NODE_NAME").unwrap_or_default();
        let fleet = ClusterConfig::from_environment()?;
        let config = Config::parse(&text, address("NODE_LISTEN")?, address("NODE_DISCOVERY")?)
            .map(|c| Config { fleet, name, ops: ops.or(c.ops), accept_fd, folder, ..c })
            .map_err(|e| ConfigError(format!("{path}: {e}")))?;
        config.check_seats()?;
        Ok(config)
    }

    /// The seats of the fleet are the gateways in the order of their numbers, or lent shares would be others'.
    fn check_seats(&self) -> Result<(), ConfigError> {
        let Some(fleet) = self.fleet.as_ref().filter(|f| !f.settings.seats.is_empty()) else { return Ok(()) };
        let (seats, set) = (&fleet.settings.seats, &self.site.settings);
        if seats.len() != set.gateways as usize
            || seats.get(set.gateway_number as usize) != Some(&fleet.settings.name)
        {
            return Err(ConfigError(format!(
                "seats: expected the names of all {} gateways by their numbers, this one's as number {}",
                set.gateways, set.gateway_number
            )));
        }
        Ok(())
    }

    /// Reads a configuration; addresses from the environment go before its own.
    pub fn parse(
        text: &str,
        listen: Option<SocketAddr>,
        discovery: Option<SocketAddr>,
    ) -> Result<Config, ConfigError> {
        let document: Document = serde_json::from_str(text).map_err(|e| ConfigError(e.to_string()))?;
        let seed = u64::from_str_radix(&document.seed, 16)
            .map_err(|_| ConfigError(format!("seed: expected 16 hex digits, found '{}'", document.seed)))?;
        let mut names = BTreeMap::new();
        flatten("", &document.settings, &mut names);
        let pairs = names.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        let fields = Fields { place: "settings".into(), message: "settings", pairs };
        let plain = |e: crate::site_settings::FieldError| ConfigError(e.0);
        let site = Site::read(&fields).map_err(plain)?;
        site.settings.check()?;
        let span = |name, default| {
            fields.micros_or(name, default).map(|m| std::time::Duration::from_micros(m.0)).map_err(plain)
        };
        let missing = |what: &str| ConfigError(format!("{what}: expected an address, found nothing"));
        if site.settings.counter_enabled && document.counter.is_none() {
            return Err(missing("counter"));
        }
        Ok(Config {
            fleet: None,
            name: String::new(),
            listen: listen.or(document.listen).ok_or_else(|| missing("listen"))?,
            discovery: discovery.or(document.discovery).ok_or_else(|| missing("discovery"))?,
            counter: document.counter,
            ops: document.ops,
            accept_fd: None,
            folder: None,
            seed,
            known: document.known,
            conn_idle: span("bounds.conn_idle", 15_000_000)?,
            site,
            sockets: SocketLimits::of(document.limits.sockets),
            memory_mb: document.limits.memory_mb,
        })
    }
}

#[cfg(test)]
mod tests;
