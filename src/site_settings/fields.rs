//! Named values as text, and reading them.

use crate::decision::{Micros, SettingsError};
use std::collections::HashMap;
use std::str::FromStr;

/// What was wrong with a line or one of its values.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// A part of a line is no pair.
    #[error("{place}: expected name=value, found '{found}'")]
    NotAPair {
        /// Where it stood.
        place: String,
        /// The part.
        found: String,
    },
    /// A value is missing or makes no sense.
    #[error("{place}: {name}: expected {wanted}, found {found}")]
    Value {
        /// Where it stood.
        place: String,
        /// The name of the value.
        name: String,
        /// What was expected.
        wanted: String,
        /// The value in quotes, or nothing.
        found: String,
    },
    /// A line came where it makes no sense.
    #[error("{place}: expected {wanted}")]
    Sequence {
        /// Where it stood.
        place: String,
        /// What was expected.
        wanted: &'static str,
    },
    /// The settings as a whole make no sense.
    #[error("{place}: settings: {error}")]
    Settings {
        /// Where they stood.
        place: String,
        /// What is wrong.
        error: SettingsError,
    },
}

pub(crate) type Result<T> = std::result::Result<T, FieldError>;

/// Named values, and where they stood.
pub(crate) struct Fields<'a> {
    /// A line such as `line 3: START`, or another place to name in errors.
    pub(crate) place: String,
    /// The first word of a line: what kind of message it is.
    pub(crate) message: &'a str,
    pub(crate) pairs: HashMap<&'a str, &'a str>,
}

impl<'a> Fields<'a> {
    /// Reads a line: a word, then pairs of names and values.
    pub(crate) fn parse(line_number: u64, line: &'a str) -> Result<Fields<'a>> {
        let mut parts = line.split(' ');
        let message = parts.next().unwrap_or("");
        let place = format!("line {line_number}: {message}");
        let mut pairs = HashMap::new();
        for part in parts {
            let Some((name, value)) = part.split_once('=') else {
                return Err(FieldError::NotAPair { place, found: part.to_string() });
            };
            pairs.insert(name, value);
        }
        Ok(Fields { place, message, pairs })
    }

    /// The error of a value that is not what was wanted.
    pub(crate) fn error(&self, name: &str, wanted: &str) -> FieldError {
        let found = self.pairs.get(name).map_or("nothing".to_string(), |value| format!("'{value}'"));
        let (name, wanted) = (name.to_string(), wanted.to_string());
        FieldError::Value { place: self.place.clone(), name, wanted, found }
    }

    /// The error of a line that makes no sense where it stands.
    pub(crate) fn out_of_sequence(&self, wanted: &'static str) -> FieldError {
        FieldError::Sequence { place: self.place.clone(), wanted }
    }

    /// A value, if there is one.
    pub(crate) fn read<T: FromStr>(&self, name: &str, wanted: &str) -> Result<Option<T>> {
        let Some(text) = self.pairs.get(name) else { return Ok(None) };
        text.parse().map(Some).map_err(|_| self.error(name, wanted))
    }

    /// A value that must be there.
    fn require<T: FromStr>(&self, name: &str, wanted: &str) -> Result<T> {
        self.read(name, wanted)?.ok_or_else(|| self.error(name, wanted))
    }

    pub(crate) fn whole(&self, name: &str) -> Result<u64> {
        self.require(name, "a whole number")
    }

    pub(crate) fn whole_or(&self, name: &str, default: u64) -> Result<u64> {
        Ok(self.read(name, "a whole number")?.unwrap_or(default))
    }

    pub(crate) fn small(&self, name: &str) -> Result<u32> {
        self.require(name, "a small whole number")
    }

    pub(crate) fn real_or(&self, name: &str, default: f64) -> Result<f64> {
        match self.read::<f64>(name, "a number")? {
            Some(value) if !value.is_finite() => Err(self.error(name, "a finite number")),
            value => Ok(value.unwrap_or(default)),
        }
    }

    pub(crate) fn micros_or(&self, name: &str, default: u64) -> Result<Micros> {
        self.whole_or(name, default).map(Micros)
    }

    pub(crate) fn flag_or(&self, name: &str, default: bool) -> Result<bool> {
        match self.pairs.get(name) {
            None => Ok(default),
            Some(&"1" | &"true") => Ok(true),
            Some(&"0" | &"false") => Ok(false),
            Some(_) => Err(self.error(name, "1 or 0")),
        }
    }

    pub(crate) fn text(&self, name: &str) -> Result<&'a str> {
        self.optional_text(name).ok_or_else(|| self.error(name, "a text"))
    }

    pub(crate) fn optional_text(&self, name: &str) -> Option<&'a str> {
        self.pairs.get(name).copied()
    }
}
