//! Time in the decision module.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// A point in time or a duration, in microseconds. Points in time are relative to an epoch that the caller chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Micros(pub u64);

impl Micros {
    /// Returns the duration in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the duration multiplied by `factor`, at least zero.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor).max(0.0) as u64)
    }
}

impl Add for Micros {
    type Output = Micros;

    /// Saturates at the maximum value.
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Micros {
    type Output = Micros;

    /// Saturates at zero.
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}
