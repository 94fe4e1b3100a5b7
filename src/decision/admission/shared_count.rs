//! This gateway's view of one counter that all gateways share.

/// This gateway's view of a customer's shared counter in one period. All figures are in the counter's unit:
/// quota units, or attempts in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedCount {
    /// Number of the period.
    pub(crate) period: u64,
    /// Increments by this gateway that the counter is known to include.
    pub(crate) own_counted: f64,
    /// Spending of this gateway that no call has reported to the counter yet.
    pub(crate) unreported: f64,
    /// Earlier spending of this gateway that calls in flight report.
    pub(crate) in_flight: f64,
    /// The last total that the counter reported.
    pub(crate) last_total: f64,
    /// What the previous period left of its allowance, as far as known.
    pub(crate) carried_over: f64,
    /// Whether a total of the previous period was reported, so that `carried_over` is known.
    pub(crate) carry_over_known: bool,
}

/// A total that is lower than this gateway's own increments by more than this shows that the counter lost
/// data.
const LOSS_TOLERANCE: f64 = 0.5;

impl SharedCount {
    /// Returns the total as far as known here, including spending that the counter does not include yet.
    pub(crate) fn known_total(&self) -> f64 {
        self.last_total + self.unreported + self.in_flight
    }

    /// Returns this gateway's spending, whether the counter includes it or not.
    pub(crate) fn own_total(&self) -> f64 {
        self.own_counted + self.in_flight + self.unreported
    }

    /// Returns this gateway's spending that a total reported just now does not include.
    pub(crate) fn uncounted(&self) -> f64 {
        self.unreported + self.in_flight
    }

    /// Moves all unreported spending to the call that begins, and returns the amount.
    pub(crate) fn take_unreported(&mut self) -> f64 {
        let unreported = self.unreported;
        self.unreported -= unreported;
        self.in_flight += unreported;
        unreported
    }

    /// Returns this gateway's increments that the counter lost, if a reported total proves the loss by being
    /// below the increments that the counter is known to include.
    pub(crate) fn lost_increments(&self, total: f64) -> Option<f64> {
        Some(self.own_counted - total).filter(|lost| *lost > LOSS_TOLERANCE)
    }

    /// Marks own increments that the counter lost as unreported again, given its total.
    pub(crate) fn mark_unreported(&mut self, lost: f64, total: f64) {
        self.unreported += lost;
        self.own_counted = total;
    }

    /// Records a call whose amount was added but whose reply had no total.
    pub(crate) fn record_increment_without_total(&mut self, amount: f64) {
        self.own_counted += amount;
        self.last_total += amount;
    }
}
