//! Whether the cluster agrees on the seats, as far as one member can know. Informational only: no quota share depends
//! on the result.

use serde::Serialize;

/// If at least one expected seat in this many is down, down members count as missing, not as restarting.
const DOWN_SEATS_DIVISOR: usize = 5;

/// Agreement of the cluster on the seats, as seen by one member. Expected seats are all but those whose gateways left
/// on purpose.
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
    /// Seats whose gateways left on purpose; they are not expected to report.
    pub left: usize,
    /// Seats whose gateways are down.
    pub down: usize,
    /// Seats whose statements still count.
    pub reporting: usize,
    /// Seats that state exactly this member's view.
    pub stating_own_view: usize,
    /// Seats that this member's view states to be held.
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
