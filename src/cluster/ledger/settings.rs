//! Ledger settings and the time limits derived from them.

use crate::decision::{Micros, SettingsError};

/// A client ignores a promise that arrives later than this after its prepare message was sent. A replica
/// rejects the first write after a promise if the promise and the write together were in transit for longer
/// than this. The limit bounds the error in the age of a record that is passed on.
pub const ROUND_TRIP_LIMIT: Micros = Micros(100_000);
/// Time for which a replica remembers a promise that no write followed.
pub const PROMISE_LIFETIME: Micros = Micros(2_000_000);
/// Maximum number of owners of one record. It is limited because each takeover adds up to one
/// `ROUND_TRIP_LIMIT` to the error of the record's age.
pub const MAX_OWNERS: u32 = 8;
/// Maximum encoded size of a record, in bytes, so that a message with it fits into one datagram.
pub const MAX_RECORD_BYTES: usize = 900;
/// Maximum size of a request stored with its record, in bytes, so that a message with it fits into one datagram.
pub const MAX_REQUEST_BYTES: usize = 1000;

/// Over any time span, the clocks of two gateways drift apart by at most the span divided by this divisor.
const CLOCK_DRIFT_DIVISOR: u64 = 20;
/// Accepted range of `ledger.lease_ms`.
const LEASE_MS: std::ops::RangeInclusive<u64> = 200..=10_000;
/// Accepted range of `ledger.life_ms`.
const RECORD_LIFETIME_MS: std::ops::RangeInclusive<u64> = 2_000..=60_000;

/// Settings of the ledger, which must be the same at every gateway of the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LedgerSettings {
    /// Number of replicas of each record: 3 or 5.
    pub replicas: usize,
    /// Duration of an owner's lease, counted from its last confirmed write.
    pub lease: Micros,
    /// Age at which a record expires.
    pub record_lifetime: Micros,
}

impl LedgerSettings {
    /// Validates the settings for a cluster of `seats` seats.
    ///
    /// # Errors
    /// Returns an error that names the configuration key, the expected range and the value found.
    pub fn check(&self, seats: usize) -> Result<(), SettingsError> {
        let invalid = |message: String| Err(SettingsError(message));
        if ![3, 5].contains(&self.replicas) || self.replicas > seats {
            return invalid(format!(
                "ledger.holders: expected 3 or 5, and as many seats, found {}",
                self.replicas
            ));
        }
        let ms = self.lease.0 / 1000;
        if !LEASE_MS.contains(&ms) {
            return invalid(format!("ledger.lease_ms: expected 200 to 10,000, found {ms}"));
        }
        let ms = self.record_lifetime.0 / 1000;
        if !RECORD_LIFETIME_MS.contains(&ms) || self.record_lifetime <= self.lease {
            return invalid(format!(
                "ledger.life_ms: expected 2,000 to 60,000 and above lease_ms, found {ms}"
            ));
        }
        Ok(())
    }

    /// Returns the size of a majority of the replicas.
    pub fn quorum(&self) -> usize {
        self.replicas / 2 + 1
    }

    /// Returns how long a replica remembers the ballots of a record after the record expired. After this time
    /// no other replica can still regard the record as current: the time is the sum of the errors of the
    /// record's age at two replicas and the drift between the clocks of these replicas.
    pub fn ballot_retention(&self) -> Micros {
        let age_errors = 2 * u64::from(MAX_OWNERS) * ROUND_TRIP_LIMIT.0;
        Micros(age_errors + self.record_lifetime.0 / CLOCK_DRIFT_DIVISOR)
    }

    /// Returns how long a replica that starts without its earlier state has no vote: the time after which none of the
    /// promises and writes of its earlier process can still matter.
    pub fn vote_delay(&self) -> Micros {
        self.record_lifetime + self.ballot_retention() + PROMISE_LIFETIME + ROUND_TRIP_LIMIT
    }
}

/// Returns how long other gateways wait before they regard a lease as expired: the lease plus the drift between their
/// clocks and the owner's.
pub fn lease_with_drift(lease: Micros) -> Micros {
    Micros(lease.0 + lease.0 / CLOCK_DRIFT_DIVISOR)
}
