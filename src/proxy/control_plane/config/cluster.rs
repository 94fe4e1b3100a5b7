//! A gateway's place in its cluster, as the cluster's file defines it.

use super::{cluster_file, environment, ConfigError};
use crate::cluster;
use crate::decision::Micros;
use crate::site_settings::Site;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// This gateway's place in its cluster.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// Where other gateways' datagrams come in.
    pub listen: SocketAddr,
    /// The fraction of each quota share that may be leased; 0: shares are fixed.
    pub lendable_part: f64,
    /// For how long a request waits for the ledger at the most, each time.
    pub ledger_timeout: Duration,
    /// The classes of which requests are finished where their gateway dies and no client retries them.
    pub finish_classes: Vec<String>,
    /// The folder on the disk that outlives the process, where it has one.
    pub storage_dir: Option<PathBuf>,
    /// The classes of which the branch accepts writes.
    pub write_queue_classes: Vec<String>,
    /// Those of them after which, where one was not done, no later write of its object is forwarded.
    pub write_queue_stop_classes: Vec<String>,
    /// The cluster node's settings.
    pub settings: cluster::Settings,
}

impl ClusterConfig {
    /// Reads the text of a cluster's file, for a gateway whose environment gives this name.
    ///
    /// # Errors
    /// The first value that is missing or makes no sense.
    pub fn parse(text: &str, name: &str) -> Result<ClusterConfig, ConfigError> {
        cluster_file::parse(text, name)
    }

    /// Reads the file that the environment names, if it names one.
    pub(super) fn from_environment() -> Result<Option<ClusterConfig>, ConfigError> {
        let Some(path) = environment::cluster_path() else { return Ok(None) };
        let text = super::read(&path)?;
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

    /// Finds the classes that the file names among the site's, and takes from them how long a write may take.
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
            settings.send_timeout = longest_write(site);
            settings.blocking_classes = self.write_queue_stop_classes.iter().filter_map(number).collect();
        }
        match self.finish_classes.iter().find(is_unknown) {
            Some(name) => Err(unknown("ledger.finish", name)),
            None => Ok(()),
        }
    }
}

/// An attempt of any class has ended after this, the runtime's turns at its begin and its end included.
fn longest_write(site: &Site) -> Micros {
    let settings = &site.settings;
    let longest = settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    longest + settings.tick + settings.tick
}
