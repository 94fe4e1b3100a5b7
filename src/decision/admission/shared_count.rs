//! This gateway's view of one counter that all gateways share.

/// What this gateway knows of a customer's shared counter in one period. All figures are in the counter's units:
/// quota units, or attempts in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedCount {
    /// The number of the period.
    pub(crate) period: u64,
    /// Own additions that the counter is known to hold.
    pub(crate) own_counted: f64,
    /// Own spending that no call has carried to the counter yet.
    pub(crate) owed: f64,
    /// Own earlier spending that calls in flight carry.
    pub(crate) in_transit: f64,
    /// The last total that the counter reported.
    pub(crate) last_total: f64,
    /// What the period before left of its allowance, as far as is known.
    pub(crate) carried_over: f64,
    /// A total of the period before was reported, so that `carried_over` is known.
    pub(crate) carry_over_known: bool,
}

/// A total below own additions, by which the counter has lost its memory, in units.
const LOSS_TOLERANCE: f64 = 0.5;

impl SharedCount {
    /// The total as far as it is known here, with own spending that it does not hold yet.
    pub(crate) fn known_total(&self) -> f64 {
        self.last_total + self.owed + self.in_transit
    }

    /// Own spending, whether the counter holds it or not.
    pub(crate) fn own_total(&self) -> f64 {
        self.own_counted + self.in_transit + self.owed
    }

    /// Own spending that `total`, just reported, does not hold yet.
    pub(crate) fn not_yet_counted(&self) -> f64 {
        self.owed + self.in_transit
    }

    /// A call begins that also carries all that is owed; returns how much that is.
    pub(crate) fn carry_owed(&mut self) -> f64 {
        let owed = self.owed;
        self.owed -= owed;
        self.in_transit += owed;
        owed
    }

    /// How much of the own additions a reported total lacks, where that proves that the counter lost them.
    pub(crate) fn lost_by(&self, total: f64) -> Option<f64> {
        Some(self.own_counted - total).filter(|lost| *lost > LOSS_TOLERANCE)
    }

    /// Own additions that the counter lost are owed again.
    pub(crate) fn owe_again(&mut self, lost: f64, total: f64) {
        self.owed += lost;
        self.own_counted = total;
    }

    /// A call ended without a total, though the amount was added.
    pub(crate) fn added_without_total(&mut self, amount: f64) {
        self.own_counted += amount;
        self.last_total += amount;
    }
}
