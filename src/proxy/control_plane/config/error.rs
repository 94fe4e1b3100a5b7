//! Why a configuration can't be used. Each error is one plain line that names the place.

use crate::decision::SettingsError;
use crate::proxy::admin::known_names::UnknownName;
use crate::site_settings::FieldError;
use std::fmt::Display;
use std::io;
use std::path::Path;
use thiserror::Error;

/// A configuration that a gateway can't start with.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A variable of the environment that has to be set.
    #[error("{0} is not set")]
    MissingVariable(&'static str),
    /// A file that can't be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// Its path.
        path: String,
        /// Why.
        error: io::Error,
    },
    /// A file whose text makes no sense.
    #[error("{path}: {error}")]
    InFile {
        /// Its path.
        path: String,
        /// What is wrong in it.
        error: Box<ConfigError>,
    },
    /// A text that is not JSON in the configuration's form; the error has line and column.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A text that is not TOML in the form of the cluster's file.
    #[error("line {line}: {problem}")]
    Toml {
        /// Where it stopped to make sense, from 1.
        line: usize,
        /// Why.
        problem: String,
    },
    /// A value of another kind than its key has, or none.
    #[error("{key}: expected {expected}, found {found}")]
    WrongValue {
        /// The key, or the variable of the environment.
        key: &'static str,
        /// What it takes.
        expected: String,
        /// What it has.
        found: String,
    },
    /// A name that a key refers to and that the configuration does not define.
    #[error("{key}: there is no {kind} '{name}'")]
    UnknownName {
        /// The key.
        key: &'static str,
        /// A class, or a seat.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// The seats of the cluster are not the gateways of the site.
    #[error(
        "seats: expected the names of all {gateways} gateways by their numbers, this one's as number {own_number}"
    )]
    WrongSeats {
        /// How many gateways there are.
        gateways: u32,
        /// This gateway's number.
        own_number: u32,
    },
    /// A value of the site's settings that can't be read.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// Settings of the site that contradict each other.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// Settings of the cluster that contradict each other.
    #[error("{0}")]
    ClusterSettings(SettingsError),
    /// Routing rules that name what the site does not have.
    #[error(transparent)]
    RoutingRules(#[from] UnknownName),
}

impl ConfigError {
    /// The same error, of a file with this path.
    pub(super) fn in_file(self, path: &Path) -> ConfigError {
        ConfigError::InFile { path: path.display().to_string(), error: Box::new(self) }
    }

    /// A value between quotes where another is expected.
    pub(super) fn wrong_text(key: &'static str, expected: &str, found: impl Display) -> ConfigError {
        ConfigError::WrongValue { key, expected: expected.to_string(), found: format!("'{found}'") }
    }
}
