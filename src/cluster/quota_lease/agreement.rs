//! Whether the cluster agrees on the seats, as far as one member can know. For people only: no share depends on it.

use serde::Serialize;

/// Members that are down count as missing, not as on their way back, from one in so many on.
const MISSING_DIVISOR: usize = 5;

/// Whether the cluster agrees.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Agreement {
    /// More than half of all seats, and as many as are held, state the same view.
    Agreed,
    /// More than half report, and not all state the same yet.
    Converging,
    /// More than half report, and a fifth or more is down: dead, or cut off.
    Majority,
    /// Fewer than half report.
    Minority,
    /// Exactly half report.
    Even,
}

/// What the agreement follows from, in seats.
#[derive(Debug, Clone, Copy)]
pub struct SeatCounts {
    /// All seats.
    pub total: usize,
    /// Seats whose gateways left on purpose; nobody misses them.
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
    /// The agreement that these counts show.
    pub fn agreement(&self) -> Agreement {
        let expected = self.total - self.left;
        if self.reporting * 2 < expected {
            Agreement::Minority
        } else if self.reporting * 2 == expected {
            Agreement::Even
        } else if self.down * MISSING_DIVISOR >= expected {
            Agreement::Majority
        } else if self.stating_own_view * 2 > self.total && self.stating_own_view >= self.held {
            Agreement::Agreed
        } else {
            Agreement::Converging
        }
    }
}
