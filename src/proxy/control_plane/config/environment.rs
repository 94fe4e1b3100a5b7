//! The variables of the environment by which the platform configures a gateway.

use super::ConfigError;
use std::env;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;

/// The path of the configuration file.
const CONFIG_PATH: &str = "NODE_CONFIG";
/// The path of the cluster's file.
const CLUSTER_PATH: &str = "NODE_FLEET";
/// The gateway's name.
const NAME: &str = "NODE_NAME";
/// Where clients connect; goes before the file's.
const LISTEN: &str = "NODE_LISTEN";
/// Where discovery listens; goes before the file's.
const DISCOVERY: &str = "NODE_DISCOVERY";
/// Where operators connect; goes before the file's.
const OPERATORS: &str = "NODE_OPS";
/// The descriptor of the clients' listening socket, where the platform holds it.
const ACCEPT_DESCRIPTOR: &str = "NODE_ACCEPT_FD";
/// The folder of the socket over which two processes of a gateway hand over.
const FOLDER: &str = "TMPDIR";

/// Descriptors up to this one are the standard streams.
const LAST_STANDARD_DESCRIPTOR: RawFd = 2;

/// The path of the configuration file.
pub(super) fn config_path() -> Result<PathBuf, ConfigError> {
    env::var(CONFIG_PATH).map(PathBuf::from).map_err(|_| ConfigError::MissingVariable(CONFIG_PATH))
}

/// The path of the cluster's file, where the gateway is in a cluster.
pub(super) fn cluster_path() -> Option<PathBuf> {
    env::var_os(CLUSTER_PATH).map(PathBuf::from)
}

/// The gateway's name; empty where it has none.
pub(super) fn name() -> String {
    env::var(NAME).unwrap_or_default()
}

/// Where clients connect.
pub(super) fn listen() -> Result<Option<SocketAddr>, ConfigError> {
    address(LISTEN)
}

/// Where discovery listens.
pub(super) fn discovery() -> Result<Option<SocketAddr>, ConfigError> {
    address(DISCOVERY)
}

/// Where operators connect.
pub(super) fn operators() -> Result<Option<SocketAddr>, ConfigError> {
    address(OPERATORS)
}

/// The descriptor of the inherited listening socket.
pub(super) fn accept_descriptor() -> Result<Option<RawFd>, ConfigError> {
    let Ok(text) = env::var(ACCEPT_DESCRIPTOR) else { return Ok(None) };
    match text.parse() {
        Ok(descriptor) if descriptor > LAST_STANDARD_DESCRIPTOR => Ok(Some(descriptor)),
        _ => Err(ConfigError::wrong_text(ACCEPT_DESCRIPTOR, "the number of a descriptor", text)),
    }
}

/// The folder of the hand-over socket.
pub(super) fn handover_folder() -> Option<PathBuf> {
    env::var_os(FOLDER).map(PathBuf::from)
}

fn address(variable: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
    let Ok(text) = env::var(variable) else { return Ok(None) };
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(ConfigError::wrong_text(variable, "an address and a port", text)),
    }
}
