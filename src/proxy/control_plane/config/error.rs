//! Errors of the configuration. Each is displayed as one line that names the faulty value or place.

use crate::decision::SettingsError;
use crate::proxy::admin::known_names::UnknownName;
use crate::site_settings::FieldError;
use std::fmt::Display;
use std::io;
use std::path::Path;
use thiserror::Error;

/// Error in the configuration that keeps a gateway from starting.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A required environment variable is not set.
    #[error("{0} is not set")]
    MissingVariable(&'static str),
    /// A file can't be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        error: io::Error,
    },
    /// A file has invalid contents.
    #[error("{path}: {error}")]
    InFile {
        /// Path of the file.
        path: String,
        /// Error in the file.
        error: Box<ConfigError>,
    },
    /// The text is not JSON in the form of the configuration file; the error has line and column.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The text is not TOML in the form of the cluster file.
    #[error("line {line}: {problem}")]
    Toml {
        /// Line of the error, counted from 1.
        line: usize,
        /// Description by the parser.
        problem: String,
    },
    /// A value is invalid or missing.
    #[error("{key}: expected {expected}, found {found}")]
    WrongValue {
        /// The key, or the environment variable.
        key: &'static str,
        /// Description of a valid value.
        expected: String,
        /// The value found.
        found: String,
    },
    /// A key refers to a name that the configuration does not define.
    #[error("{key}: there is no {kind} '{name}'")]
    UnknownName {
        /// Key with the reference.
        key: &'static str,
        /// Kind of the name: class or seat.
        kind: &'static str,
        /// The undefined name.
        name: String,
    },
    /// The seats of the cluster are not the gateways of the site.
    #[error(
        "seats: expected the names of all {gateways} gateways by their numbers, this one's as number {own_number}"
    )]
    WrongSeats {
        /// Number of gateways of the site.
        gateways: u32,
        /// Number of this gateway.
        own_number: u32,
    },
    /// A value of the site's settings can't be read.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The settings of the site contradict each other.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The settings of the cluster contradict each other.
    #[error("{0}")]
    ClusterSettings(SettingsError),
    /// The routing rules use a name that the site does not define.
    #[error(transparent)]
    RoutingRules(#[from] UnknownName),
}

impl ConfigError {
    /// Adds the path of the file to the error.
    pub(super) fn in_file(self, path: &Path) -> ConfigError {
        ConfigError::InFile { path: path.display().to_string(), error: Box::new(self) }
    }

    /// Creates an error for a wrong value, which is displayed in quotes.
    pub(super) fn wrong_text(key: &'static str, expected: &str, found: impl Display) -> ConfigError {
        ConfigError::WrongValue { key, expected: expected.to_string(), found: format!("'{found}'") }
    }
}
