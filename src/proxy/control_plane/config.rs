//! Configuration of a gateway, from the environment, the configuration file and the cluster file.

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

/// Configuration of a gateway.
pub struct Config {
    /// Configuration of the cluster, if the gateway belongs to one.
    pub(crate) cluster: Option<ClusterConfig>,
    /// Name of the gateway, for logs.
    pub(crate) name: String,
    /// Listening address for clients.
    pub(crate) listen: SocketAddr,
    /// Address of discovery.
    pub(crate) discovery: SocketAddr,
    /// Address of the counter, if there is one.
    pub(crate) counter: Option<SocketAddr>,
    /// Listening address for operators, if there is one.
    pub(crate) operators: Option<SocketAddr>,
    /// Descriptor of the client listening socket, if it is inherited.
    pub(crate) accept_descriptor: Option<RawFd>,
    /// Folder of the hand-over socket, shared by the processes of this gateway.
    pub(crate) handover_folder: Option<PathBuf>,
    /// Seed of the decision module's random draws.
    pub(crate) seed: u64,
    /// Last known endpoint list of this gateway.
    pub(crate) known_endpoints: EndpointList,
    /// Settings and names of the site.
    pub(crate) site: Site,
    /// Limits on the connections of each kind.
    pub(crate) sockets: SocketLimits,
    /// Memory of the machine, in millions of bytes.
    pub(crate) memory_mb: f64,
    /// Time after which backends close an idle connection.
    pub(crate) backend_idle_timeout: Duration,
}

/// Addresses of the services that a gateway calls. Only these take effect when a running gateway reloads its
/// configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceAddresses {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// Addresses of the other gateways by name.
    pub peers: BTreeMap<String, SocketAddr>,
}

impl Config {
    /// Reads the environment and the files that it names.
    ///
    /// # Errors
    /// Returns an error for the first missing or invalid value.
    pub fn from_environment() -> Result<Config, ConfigError> {
        let path = environment::config_path()?;
        let text = read_file(&path)?;
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
        config.sockets = config.sockets.shared_by(config.process_count());
        config.check_seats()?;
        if let Some(cluster) = &mut config.cluster {
            cluster.resolve_classes(&config.site)?;
        }
        Ok(config)
    }

    /// Reads the files again. The environment is that of the start.
    ///
    /// # Errors
    /// Returns an error for the first missing or invalid value.
    pub fn reload() -> Result<ServiceAddresses, ConfigError> {
        let path = environment::config_path()?;
        let text = read_file(&path)?;
        // The listening address can't change at a reload and may be set in the environment only, so a placeholder is
        // given in case the file has none.
        let listen = Some(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)));
        let config = Config::parse(&text, listen, None).map_err(|error| error.in_file(&path))?;
        let cluster = ClusterConfig::from_environment()?;
        Ok(Config { cluster, ..config }.services())
    }

    /// Parses the text of a configuration file. The addresses given here, which come from the environment, take
    /// precedence over those in the file.
    ///
    /// # Errors
    /// Returns an error for the first missing or invalid value.
    pub fn parse(
        text: &str,
        listen: Option<SocketAddr>,
        discovery: Option<SocketAddr>,
    ) -> Result<Config, ConfigError> {
        document::parse(text, listen, discovery)
    }

    /// Returns how many processes of this gateway may run at the same time: a second one can take over only where the
    /// listening socket is inherited.
    pub fn process_count(&self) -> usize {
        1 + usize::from(self.accept_descriptor.is_some())
    }

    /// Returns the revision of the last known endpoint list, unless that list is empty.
    pub fn known_revision(&self) -> Option<u64> {
        let known = &self.known_endpoints;
        (!known.endpoints.is_empty()).then_some(known.revision)
    }

    /// Returns the addresses of the services that a gateway calls.
    pub fn services(&self) -> ServiceAddresses {
        let peers = self.cluster.as_ref().map(|cluster| cluster.settings.peers.clone()).unwrap_or_default();
        ServiceAddresses { discovery: self.discovery, counter: self.counter, peers }
    }

    /// Checks that the seats of the cluster are the gateways in the order of their numbers; otherwise quota shares
    /// would be leased under the wrong gateway.
    fn check_seats(&self) -> Result<(), ConfigError> {
        let Some(cluster) = &self.cluster else { return Ok(()) };
        let (seats, settings) = (&cluster.settings.seats, &self.site.settings);
        let own_seat = seats.get(settings.gateway_number as usize);
        let is_valid = seats.len() == settings.gateways as usize && own_seat == Some(&cluster.settings.name);
        match seats.is_empty() || is_valid {
            true => Ok(()),
            false => Err(ConfigError::WrongSeats {
                gateways: settings.gateways,
                own_number: settings.gateway_number,
            }),
        }
    }
}

fn read_file(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path)
        .map_err(|error| ConfigError::Unreadable { path: path.display().to_string(), error })
}

#[cfg(test)]
mod tests;
