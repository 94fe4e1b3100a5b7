//! Whether the cluster agrees on the seats, as far as one member can know. Informational only: no quota share depends
//! on the result.

use serde::Serialize;

/// If the number of down seats is at least the number of expected seats divided by this divisor, down members
/// count as missing, not as restarting.
const DOWN_SEATS_DIVISOR: usize = 5;

/// Agreement of the cluster on the seats, as seen by one member. The expected seats are all seats except
/// those whose gateways left on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Agreement {
    /// More than half of all seats, and at least as many as are held, state this member's view.
    Agreed,
    /// More than half of the expected seats report, but not all state the same view yet.
    Converging,
    /// More than half of the expected seats report, and at least a fifth of them is down: crashed or unreachable.
    Majority,
    /// Fewer than half of the expected seats report.
    Minority,
    /// Exactly half of the expected seats report.
    Even,
}

/// Seat counts from which the agreement is derived.
#[derive(Debug, Clone, Copy)]
pub struct SeatCounts {
    /// Number of all seats.
    pub total: usize,
    /// Number of seats whose gateways left on purpose; these gateways are not expected to report.
    pub left: usize,
    /// Number of seats whose gateways are down.
    pub down: usize,
    /// Number of seats whose latest statements are still valid.
    pub reporting: usize,
    /// Number of seats that state exactly this member's view.
    pub stating_own_view: usize,
    /// Number of seats that this member's view states to be held.
    pub held: usize,
}

impl SeatCounts {
    /// Derives the agreement from these counts.
    pub fn agreement(&self) -> Agreement {
        let expected = self.total - self.left;
        if self.reporting * 2 < expected {
            Agreement::Minority
        } else if self.reporting * 2 == expected {
            Agreement::Even
        } else if self.down * DOWN_SEATS_DIVISOR >= expected {
            Agreement::Majority
        } else if self.stating_own_view * 2 > self.total && self.stating_own_view >= self.held {
            Agreement::Agreed
        } else {
            Agreement::Converging
        }
    }
}
