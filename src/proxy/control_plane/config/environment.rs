//! Environment variables with which the platform configures a gateway.

use super::ConfigError;
use std::env;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;

/// Path of the configuration file.
const CONFIG_PATH: &str = "NODE_CONFIG";
/// Path of the cluster file.
const CLUSTER_PATH: &str = "NODE_FLEET";
/// Name of the gateway.
const NAME: &str = "NODE_NAME";
/// Listening address for clients; takes precedence over the file.
const LISTEN: &str = "NODE_LISTEN";
/// Address of discovery; takes precedence over the file.
const DISCOVERY: &str = "NODE_DISCOVERY";
/// Listening address for operators; takes precedence over the file.
const OPERATORS: &str = "NODE_OPS";
/// Descriptor of the client listening socket, if the platform has opened it.
const ACCEPT_DESCRIPTOR: &str = "NODE_ACCEPT_FD";
/// Folder of the hand-over socket.
const FOLDER: &str = "TMPDIR";

/// Highest descriptor of the standard streams.
const LAST_STANDARD_DESCRIPTOR: RawFd = 2;

/// Returns the path of the configuration file.
pub(super) fn config_path() -> Result<PathBuf, ConfigError> {
    env::var(CONFIG_PATH).map(PathBuf::from).map_err(|_| ConfigError::MissingVariable(CONFIG_PATH))
}

/// Returns the path of the cluster file, if the gateway belongs to a cluster.
pub(super) fn cluster_path() -> Option<PathBuf> {
    env::var_os(CLUSTER_PATH).map(PathBuf::from)
}

/// Returns the name of the gateway, which is empty if none is set.
pub(super) fn name() -> String {
    env::var(NAME).unwrap_or_default()
}

/// Returns the listening address for clients, if set.
pub(super) fn listen() -> Result<Option<SocketAddr>, ConfigError> {
    address(LISTEN)
}

/// Returns the address of discovery, if set.
pub(super) fn discovery() -> Result<Option<SocketAddr>, ConfigError> {
    address(DISCOVERY)
}

/// Returns the listening address for operators, if set.
pub(super) fn operators() -> Result<Option<SocketAddr>, ConfigError> {
    address(OPERATORS)
}

/// Returns the descriptor of the inherited listening socket, if set.
pub(super) fn accept_descriptor() -> Result<Option<RawFd>, ConfigError> {
    let Ok(text) = env::var(ACCEPT_DESCRIPTOR) else { return Ok(None) };
    match text.parse() {
        Ok(descriptor) if descriptor > LAST_STANDARD_DESCRIPTOR => Ok(Some(descriptor)),
        _ => Err(ConfigError::wrong_text(ACCEPT_DESCRIPTOR, "the number of a descriptor", text)),
    }
}

/// Returns the folder of the hand-over socket, if set.
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
