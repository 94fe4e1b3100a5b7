//! Named values in text form, and typed access to them.

use crate::decision::{Micros, SettingsError};
use std::collections::HashMap;
use std::str::FromStr;

/// An invalid line or an invalid value of a line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// A part of a line is not a `name=value` pair.
    #[error("{location}: expected name=value, found '{found}'")]
    NotAPair {
        /// Line or document that holds the error.
        location: String,
        /// Text of that part.
        found: String,
    },
    /// A value is missing or invalid.
    #[error("{location}: {name}: expected {expected}, found {found}")]
    Value {
        /// Line or document that holds the error.
        location: String,
        /// Name of the value.
        name: String,
        /// Description of what was expected.
        expected: String,
        /// The value in quotes, or `nothing`.
        found: String,
    },
    /// A line is out of sequence.
    #[error("{location}: expected {expected}")]
    OutOfSequence {
        /// Line or document that holds the error.
        location: String,
        /// Description of what was expected.
        expected: &'static str,
    },
    /// The settings are invalid as a whole.
    #[error("{location}: settings: {error}")]
    Settings {
        /// Line or document that holds the settings.
        location: String,
        /// Reason why the settings are invalid.
        error: SettingsError,
    },
}

pub(crate) type Result<T> = std::result::Result<T, FieldError>;

/// Named values, and the line or document that they come from.
pub(crate) struct Fields<'a> {
    /// Source of the values for error messages, such as `line 3: START`.
    pub(crate) location: String,
    /// Name of the message: the first word of a line.
    pub(crate) message: &'a str,
    pub(crate) pairs: HashMap<&'a str, &'a str>,
}

impl<'a> Fields<'a> {
    /// Parses a line: a message name, followed by `name=value` pairs.
    pub(crate) fn parse(line_number: u64, line: &'a str) -> Result<Fields<'a>> {
        let mut parts = line.split(' ');
        let message = parts.next().unwrap_or("");
        let location = format!("line {line_number}: {message}");
        let mut pairs = HashMap::new();
        for part in parts {
            let Some((name, value)) = part.split_once('=') else {
                return Err(FieldError::NotAPair { location, found: part.to_string() });
            };
            pairs.insert(name, value);
        }
        Ok(Fields { location, message, pairs })
    }

    /// Creates the error for a value that is missing or is not as expected.
    pub(crate) fn error(&self, name: &str, expected: &str) -> FieldError {
        let found = self.pairs.get(name).map_or("nothing".to_string(), |value| format!("'{value}'"));
        let (name, expected) = (name.to_string(), expected.to_string());
        FieldError::Value { location: self.location.clone(), name, expected, found }
    }

    /// Creates the error for a line that is out of sequence.
    pub(crate) fn out_of_sequence(&self, expected: &'static str) -> FieldError {
        FieldError::OutOfSequence { location: self.location.clone(), expected }
    }

    /// Parses a value, if it is present.
    pub(crate) fn optional<T: FromStr>(&self, name: &str, expected: &str) -> Result<Option<T>> {
        let Some(text) = self.pairs.get(name) else { return Ok(None) };
        text.parse().map(Some).map_err(|_| self.error(name, expected))
    }

    /// Parses a value that must be present.
    fn required<T: FromStr>(&self, name: &str, expected: &str) -> Result<T> {
        self.optional(name, expected)?.ok_or_else(|| self.error(name, expected))
    }

    pub(crate) fn required_u64(&self, name: &str) -> Result<u64> {
        self.required(name, "a whole number")
    }

    pub(crate) fn u64_or(&self, name: &str, default: u64) -> Result<u64> {
        Ok(self.optional(name, "a whole number")?.unwrap_or(default))
    }

    pub(crate) fn required_u32(&self, name: &str) -> Result<u32> {
        self.required(name, "a small whole number")
    }

    pub(crate) fn f64_or(&self, name: &str, default: f64) -> Result<f64> {
        match self.optional::<f64>(name, "a number")? {
            Some(value) if !value.is_finite() => Err(self.error(name, "a finite number")),
            value => Ok(value.unwrap_or(default)),
        }
    }

    pub(crate) fn micros_or(&self, name: &str, default: u64) -> Result<Micros> {
        self.u64_or(name, default).map(Micros)
    }

    pub(crate) fn bool_or(&self, name: &str, default: bool) -> Result<bool> {
        match self.pairs.get(name) {
            None => Ok(default),
            Some(&"1" | &"true") => Ok(true),
            Some(&"0" | &"false") => Ok(false),
            Some(_) => Err(self.error(name, "1 or 0")),
        }
    }

    pub(crate) fn required_text(&self, name: &str) -> Result<&'a str> {
        self.optional_text(name).ok_or_else(|| self.error(name, "a text"))
    }

    pub(crate) fn optional_text(&self, name: &str) -> Option<&'a str> {
        self.pairs.get(name).copied()
    }
}
