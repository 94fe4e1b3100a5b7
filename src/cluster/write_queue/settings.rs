//! The settings of a branch's write queue.

use crate::decision::{Micros, SettingsError};
use std::ops::RangeInclusive;

/// The most gateways of a branch.
const MAX_SEATS: usize = 15;
/// Bounds of `branch.writes`.
const MAX_PENDING: RangeInclusive<usize> = 1..=20_000;
/// Bounds of `branch.longest_s`, in microseconds.
const MAX_AGE_US: RangeInclusive<u64> = 1_000_000..=86_400_000_000;
/// Bounds of `branch.cut_after_ms`, in microseconds.
const UPLINK_TIMEOUT_US: RangeInclusive<u64> = 200_000..=60_000_000;
/// Bounds of `branch.out`.
const MAX_IN_FLIGHT: RangeInclusive<usize> = 1..=1000;
/// Bounds of `branch.per_s`.
const MAX_SENDS_PER_SECOND: RangeInclusive<u32> = 1..=10_000;

/// The settings of a branch's write queue, the same at each gateway of the branch.
#[derive(Debug, Clone, PartialEq)]
pub struct WriteQueueSettings {
    /// The branch's gateways, by seat: 1 to 15 of them, this one among them.
    pub seats: Vec<u16>,
    /// The most writes that are pending.
    pub max_pending: usize,
    /// The most of them that are one customer's.
    pub max_pending_per_customer: usize,
    /// A write that was never forwarded expires after this.
    pub max_age: Micros,
    /// The uplink is down after so long without a response, while attempts fail.
    pub uplink_timeout: Micros,
    /// A forwarded request has ended after this, however it ended.
    pub send_timeout: Micros,
    /// The most writes that are in flight at once.
    pub max_in_flight: usize,
    /// The most that are begun each second.
    pub max_sends_per_second: u32,
    /// Writes that depend on one of these classes that was not completed are not forwarded either; others are.
    pub blocking_classes: Vec<u16>,
}

impl WriteQueueSettings {
    /// Checks the settings for a gateway in this seat of so many.
    ///
    /// # Errors
    /// Names the key of the configuration and what was expected.
    pub fn check(&self, own_seat: u16, seats: usize) -> Result<(), SettingsError> {
        let fail = |what: &str| Err(SettingsError(format!("branch.{what}")));
        let mut sorted = self.seats.clone();
        sorted.sort_unstable();
        sorted.dedup();
        let all_known = sorted.iter().all(|seat| usize::from(*seat) < seats);
        if sorted.len() != self.seats.len() || !all_known || sorted.len() > MAX_SEATS {
            return fail("seats: expected 1 to 15 of the fleet's seats, each once");
        }
        if !self.seats.contains(&own_seat) {
            return fail("seats: expected this gateway among them");
        }
        let of_one = 1..=self.max_pending;
        if !MAX_PENDING.contains(&self.max_pending) || !of_one.contains(&self.max_pending_per_customer) {
            return fail("writes, of_one: expected 1 to 20,000, and no more of one than of all");
        }
        if !MAX_AGE_US.contains(&self.max_age.0) {
            return fail("longest_s: expected 1 to 86,400");
        }
        if !UPLINK_TIMEOUT_US.contains(&self.uplink_timeout.0) {
            return fail("cut_after_ms: expected 200 to 60,000");
        }
        let rate_is_sound = MAX_SENDS_PER_SECOND.contains(&self.max_sends_per_second);
        if !MAX_IN_FLIGHT.contains(&self.max_in_flight) || !rate_is_sound {
            return fail("out, per_s: expected 1 to 1,000, and 1 to 10,000");
        }
        Ok(())
    }

    /// More than half of the branch.
    pub fn quorum(&self) -> usize {
        self.seats.len() / 2 + 1
    }

    /// Whether the branch is one gateway alone.
    pub fn is_single(&self) -> bool {
        self.seats.len() == 1
    }
}
