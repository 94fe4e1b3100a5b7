//! A gateway's configuration: the environment, the configuration file, and the cluster's file.

mod cluster;
mod cluster_file;
mod document;
mod environment;
mod error;
pub(in crate::proxy) mod socket_limits;

pub use cluster::ClusterConfig;
pub use error::ConfigError;
pub use socket_limits::SocketLimits;

use crate::proxy::control_plane::discovery::endpoint_list::EndpointList;
use crate::site_settings::Site;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::fd::RawFd;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The configuration of a gateway.
pub struct Config {
    /// Its place in a cluster, where it has one.
    pub(crate) cluster: Option<ClusterConfig>,
    /// The gateway's name, for logs.
    pub(crate) name: String,
    /// Where clients connect.
    pub(crate) listen: SocketAddr,
    /// Where discovery listens.
    pub(crate) discovery: SocketAddr,
    /// Where the counter listens, if there is one.
    pub(crate) counter: Option<SocketAddr>,
    /// Where operators connect, if they do.
    pub(crate) operators: Option<SocketAddr>,
    /// The clients' listening socket, where it is inherited.
    pub(crate) accept_descriptor: Option<RawFd>,
    /// The folder that a process of this gateway shares with the one that takes its place.
    pub(crate) handover_folder: Option<PathBuf>,
    /// The seed of the decision module's random draws.
    pub(crate) seed: u64,
    /// The endpoint list that this gateway had last.
    pub(crate) known_endpoints: EndpointList,
    /// The site's settings and names.
    pub(crate) site: Site,
    /// The most connections of each kind.
    pub(crate) sockets: SocketLimits,
    /// The machine's memory, in millions of bytes.
    pub(crate) memory_mb: f64,
    /// A backend closes a connection that was idle for this long.
    pub(crate) backend_idle_timeout: Duration,
}

/// What a running gateway takes over from a configuration that is read again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceAddresses {
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where the counter listens, if there is one.
    pub counter: Option<SocketAddr>,
    /// Where other gateways listen, by their names.
    pub peers: BTreeMap<String, SocketAddr>,
}

impl Config {
    /// Reads the environment and the files that it names.
    ///
    /// # Errors
    /// The first value that is missing or makes no sense.
    pub fn from_environment() -> Result<Config, ConfigError> {
        let path = environment::config_path()?;
        let text = read(&path)?;
        let operators = environment::operators()?;
        let accept_descriptor = environment::accept_descriptor()?;
        let cluster = ClusterConfig::from_environment()?;
        let (listen, discovery) = (environment::listen()?, environment::discovery()?);
        let parsed = Config::parse(&text, listen, discovery).map_err(|error| error.in_file(&path))?;
        let mut config = Config {
            cluster,
            name: environment::name(),
            operators: operators.or(parsed.operators),
            accept_descriptor,
            handover_folder: environment::handover_folder(),
            ..parsed
        };
        config.check_seats()?;
        if let Some(cluster) = &mut config.cluster {
            cluster.resolve_classes(&config.site)?;
        }
        Ok(config)
    }

    /// Reads the files again, with the environment of the start.
    ///
    /// # Errors
    /// The first value that is missing or makes no sense.
    pub fn reload() -> Result<ServiceAddresses, ConfigError> {
        let path = environment::config_path()?;
        let text = read(&path)?;
        // Where it listens does not change, and may be known from the environment alone.
        let listen = Some(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)));
        let config = Config::parse(&text, listen, None).map_err(|error| error.in_file(&path))?;
        let cluster = ClusterConfig::from_environment()?;
        Ok(Config { cluster, ..config }.services())
    }

    /// Reads the text of a configuration file; addresses from the environment go before its own.
    ///
    /// # Errors
    /// The first value that is missing or makes no sense.
    pub fn parse(
        text: &str,
        listen: Option<SocketAddr>,
        discovery: Option<SocketAddr>,
    ) -> Result<Config, ConfigError> {
        document::parse(text, listen, discovery)
    }

    /// The revision of the endpoint list that this gateway had last, if it had one.
    pub fn known_revision(&self) -> Option<u64> {
        let known = &self.known_endpoints;
        (!known.endpoints.is_empty()).then_some(known.revision)
    }

    /// Where the services are that a gateway calls.
    pub fn services(&self) -> ServiceAddresses {
        let peers = self.cluster.as_ref().map(|cluster| cluster.settings.peers.clone()).unwrap_or_default();
        ServiceAddresses { discovery: self.discovery, counter: self.counter, peers }
    }

    /// The seats of the cluster have to be the gateways in the order of their numbers, or leased quota shares would be
    /// others'.
    fn check_seats(&self) -> Result<(), ConfigError> {
        let Some(cluster) = &self.cluster else { return Ok(()) };
        let (seats, settings) = (&cluster.settings.seats, &self.site.settings);
        let own_seat = seats.get(settings.gateway_number as usize);
        let fits = seats.len() == settings.gateways as usize && own_seat == Some(&cluster.settings.name);
        match seats.is_empty() || fits {
            true => Ok(()),
            false => Err(ConfigError::WrongSeats {
                gateways: settings.gateways,
                own_number: settings.gateway_number,
            }),
        }
    }
}

fn read(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path)
        .map_err(|error| ConfigError::Unreadable { path: path.display().to_string(), error })
}

#[cfg(test)]
mod tests;
