//! The settings of the ledger, and the limits that follow from them.

use crate::decision::{Micros, SettingsError};

/// A client counts a promise only if it came within this, and a replica drops a first write that was under way for
/// longer. Ages of records are passed on with no more error than this.
pub const ROUND_TRIP_LIMIT: Micros = Micros(100_000);
/// A promise on which nothing was written is remembered for this long.
pub const PROMISE_LIFETIME: Micros = Micros(2_000_000);
/// The most owners of one record: with each, its age is known by one `ROUND_TRIP_LIMIT` less exactly.
pub const MAX_OWNERS: u32 = 8;
/// The longest record, in bytes on the wire: it fits into one datagram with all around it.
pub const MAX_RECORD_BYTES: usize = 900;
/// The longest request that is stored with its record, in bytes: it fits into one datagram with all around it.
pub const MAX_REQUEST_BYTES: usize = 1000;

/// Clocks of two gateways run apart by no more than one part in so many.
const CLOCK_DRIFT_DIVISOR: u64 = 20;
/// Bounds of `ledger.lease_ms`.
const LEASE_MS: std::ops::RangeInclusive<u64> = 200..=10_000;
/// Bounds of `ledger.life_ms`.
const RECORD_LIFETIME_MS: std::ops::RangeInclusive<u64> = 2_000..=60_000;

/// The settings of the ledger, the same at every gateway of the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LedgerSettings {
    /// How many gateways hold each record: 3 or 5.
    pub replicas: usize,
    /// How long an owner may act after it last had its record confirmed.
    pub lease: Micros,
    /// How long after its beginning a record expires.
    pub record_lifetime: Micros,
}

impl LedgerSettings {
    /// Checks the settings for a cluster of so many seats.
    ///
    /// # Errors
    /// Names the key of the configuration, what was expected, and what was found.
    pub fn check(&self, seats: usize) -> Result<(), SettingsError> {
        let fail = |what: String| Err(SettingsError(what));
        if ![3, 5].contains(&self.replicas) || self.replicas > seats {
            return fail(format!(
                "ledger.holders: expected 3 or 5, and as many seats, found {}",
                self.replicas
            ));
        }
        let ms = self.lease.0 / 1000;
        if !LEASE_MS.contains(&ms) {
            return fail(format!("ledger.lease_ms: expected 200 to 10,000, found {ms}"));
        }
        let ms = self.record_lifetime.0 / 1000;
        if !RECORD_LIFETIME_MS.contains(&ms) || self.record_lifetime <= self.lease {
            return fail(format!("ledger.life_ms: expected 2,000 to 60,000 and above lease_ms, found {ms}"));
        }
        Ok(())
    }

    /// More than half of the replicas.
    pub fn quorum(&self) -> usize {
        self.replicas / 2 + 1
    }

    /// How long a record's ballots are remembered after it expired, until no replica can take it for current: the errors
    /// in its age at two replicas, and the drift of their clocks.
    pub fn ballot_retention(&self) -> Micros {
        let age_errors = 2 * u64::from(MAX_OWNERS) * ROUND_TRIP_LIMIT.0;
        Micros(age_errors + self.record_lifetime.0 / CLOCK_DRIFT_DIVISOR)
    }

    /// How long a replica that starts without its earlier state has no vote: after this, nothing that its earlier
    /// process promised or accepted counts any more.
    pub fn vote_delay(&self) -> Micros {
        self.record_lifetime + self.ballot_retention() + PROMISE_LIFETIME + ROUND_TRIP_LIMIT
    }
}

/// How long others wait for the end of a lease whose age they have from a replica: the lease and the drift of clocks.
pub fn lease_with_drift(lease: Micros) -> Micros {
    Micros(lease.0 + lease.0 / CLOCK_DRIFT_DIVISOR)
}
