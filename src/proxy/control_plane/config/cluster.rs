//! Configuration of a gateway's membership in a cluster, from the cluster file.

use super::{cluster_file, environment, ConfigError};
use crate::cluster;
use crate::decision::Micros;
use crate::site_settings::Site;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Configuration of the gateway's membership in its cluster.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// Listening address for datagrams of other gateways.
    pub listen: SocketAddr,
    /// Fraction of each quota share that may be leased; 0 if shares are fixed.
    pub leasable_fraction: f64,
    /// Time-out of each wait of a request for the ledger.
    pub ledger_timeout: Duration,
    /// Classes whose requests are finished by another gateway if their gateway fails and no client retries them.
    pub finish_classes: Vec<String>,
    /// Folder for persistent storage, if there is one.
    pub storage_dir: Option<PathBuf>,
    /// Classes whose writes the branch accepts while it is cut off.
    pub write_queue_classes: Vec<String>,
    /// Classes for which, after a write that was not done, no later write to the same object is forwarded.
    pub write_queue_stop_classes: Vec<String>,
    /// Settings of the cluster node.
    pub settings: cluster::Settings,
}

impl ClusterConfig {
    /// Parses the text of a cluster file. `name` is the gateway's name in the environment.
    ///
    /// # Errors
    /// Returns an error for the first missing or invalid value.
    pub fn parse(text: &str, name: &str) -> Result<ClusterConfig, ConfigError> {
        cluster_file::parse(text, name)
    }

    /// Reads the cluster file that the environment names, if it names one.
    pub(super) fn from_environment() -> Result<Option<ClusterConfig>, ConfigError> {
        let Some(path) = environment::cluster_path() else { return Ok(None) };
        let text = super::read_file(&path)?;
        let config = ClusterConfig::parse(&text, &environment::name());
        let config = config.and_then(ClusterConfig::check_storage_dir);
        config.map(Some).map_err(|error| error.in_file(&path))
    }

    fn check_storage_dir(self) -> Result<ClusterConfig, ConfigError> {
        match self.storage_dir.as_deref().filter(|dir| !dir.is_dir()) {
            Some(dir) => Err(ConfigError::wrong_text("ledger.dir", "a folder", Path::display(dir))),
            None => Ok(self),
        }
    }

    /// Resolves the names of classes in the cluster file, and sets the time-out of a write from the site's classes.
    pub(super) fn resolve_classes(&mut self, site: &Site) -> Result<(), ConfigError> {
        let unknown =
            |key, name: &String| ConfigError::UnknownName { key, kind: "class", name: name.clone() };
        let is_unknown = |name: &&String| !site.classes.contains_key(*name);
        let mut queued = self.write_queue_classes.iter().chain(&self.write_queue_stop_classes);
        if let Some(name) = queued.find(is_unknown) {
            return Err(unknown("branch", name));
        }
        if let Some(settings) = &mut self.settings.branch {
            let number =
                |name: &String| site.classes.get(name).and_then(|number| u16::try_from(*number).ok());
            settings.send_timeout = max_write_time(site);
            settings.blocking_classes = self.write_queue_stop_classes.iter().filter_map(number).collect();
        }
        match self.finish_classes.iter().find(is_unknown) {
            Some(name) => Err(unknown("ledger.finish", name)),
            None => Ok(()),
        }
    }
}

/// Returns the time after which an attempt of any class has ended, including one tick of the runtime at its start and
/// one at its end.
fn max_write_time(site: &Site) -> Micros {
    let settings = &site.settings;
    let longest = settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    longest + settings.tick + settings.tick
}
