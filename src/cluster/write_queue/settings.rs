//! Settings of a branch's write queue.

use crate::decision::{Micros, SettingsError};
use std::ops::RangeInclusive;

/// Maximum number of gateways in a branch.
const MAX_SEATS: usize = 15;
/// Accepted range of `branch.writes`.
const MAX_PENDING: RangeInclusive<usize> = 1..=20_000;
/// Accepted range of `branch.longest_s`, in microseconds.
const MAX_AGE_US: RangeInclusive<u64> = 1_000_000..=86_400_000_000;
/// Accepted range of `branch.cut_after_ms`, in microseconds.
const UPLINK_TIMEOUT_US: RangeInclusive<u64> = 200_000..=60_000_000;
/// Accepted range of `branch.out`.
const MAX_IN_FLIGHT: RangeInclusive<usize> = 1..=1000;
/// Accepted range of `branch.per_s`.
const MAX_SENDS_PER_SECOND: RangeInclusive<u32> = 1..=10_000;

/// Settings of a branch's write queue, which must be the same at each gateway of the branch.
#[derive(Debug, Clone, PartialEq)]
pub struct WriteQueueSettings {
    /// Seats of the branch's gateways: 1 to 15, including that of this gateway.
    pub seats: Vec<u16>,
    /// Maximum number of pending writes.
    pub max_pending: usize,
    /// Maximum number of pending writes of one customer.
    pub max_pending_per_customer: usize,
    /// Age at which a write that was never forwarded expires.
    pub max_age: Micros,
    /// Time without a response after which the uplink counts as down if attempts fail.
    pub uplink_timeout: Micros,
    /// Time after which a forwarded request has ended, with any outcome.
    pub send_timeout: Micros,
    /// Maximum number of writes in flight.
    pub max_in_flight: usize,
    /// Maximum number of writes forwarded per second.
    pub max_sends_per_second: u32,
    /// Classes whose failed writes block the writes that depend on them; those that depend on failed writes of other
    /// classes are forwarded.
    pub blocking_classes: Vec<u16>,
}

impl WriteQueueSettings {
    /// Validates the settings for the gateway in `own_seat`, one of `seats` seats.
    ///
    /// # Errors
    /// Returns an error that names the configuration keys and the expected values.
    pub fn check(&self, own_seat: u16, seats: usize) -> Result<(), SettingsError> {
        let invalid = |message: &str| Err(SettingsError(format!("branch.{message}")));
        let mut sorted = self.seats.clone();
        sorted.sort_unstable();
        sorted.dedup();
        let all_known = sorted.iter().all(|seat| usize::from(*seat) < seats);
        if sorted.len() != self.seats.len() || !all_known || sorted.len() > MAX_SEATS {
            return invalid("seats: expected 1 to 15 of the fleet's seats, each once");
        }
        if !self.seats.contains(&own_seat) {
            return invalid("seats: expected this gateway among them");
        }
        let per_customer_range = 1..=self.max_pending;
        if !MAX_PENDING.contains(&self.max_pending)
            || !per_customer_range.contains(&self.max_pending_per_customer)
        {
            return invalid("writes, of_one: expected 1 to 20,000, and no more of one than of all");
        }
        if !MAX_AGE_US.contains(&self.max_age.0) {
            return invalid("longest_s: expected 1 to 86,400");
        }
        if !UPLINK_TIMEOUT_US.contains(&self.uplink_timeout.0) {
            return invalid("cut_after_ms: expected 200 to 60,000");
        }
        let is_rate_valid = MAX_SENDS_PER_SECOND.contains(&self.max_sends_per_second);
        if !MAX_IN_FLIGHT.contains(&self.max_in_flight) || !is_rate_valid {
            return invalid("out, per_s: expected 1 to 1,000, and 1 to 10,000");
        }
        Ok(())
    }

    /// Returns the size of a majority of the branch's gateways.
    pub fn quorum(&self) -> usize {
        self.seats.len() / 2 + 1
    }

    /// Returns whether the branch has a single gateway.
    pub fn is_single(&self) -> bool {
        self.seats.len() == 1
    }
}
