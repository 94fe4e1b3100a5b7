//! Priority load shedding: under overload some requests are rejected before they are sent, those of little weight
//! first. See "Handling Overload" in the Google SRE book on adaptive throttling.

/// The pass fraction is multiplied by this after a late response.
const FACTOR_AFTER_LATE: f64 = 0.85;
/// What any other response adds to it.
const GROWTH_BY_OTHER: f64 = 0.01;
/// The pass fraction never falls below this.
pub(crate) const LEAST_PASS_FRACTION: f64 = 0.05;
/// Weight of the newest sample in the average weight of requests.
const WEIGHT_SMOOTHING: f64 = 0.1 / 3.0;
/// The pass fraction is raised to (average weight / weight) to this power.
const WEIGHT_EXPONENT: i32 = 2;

/// Guards against overload where a gateway has too few attempts in flight at each endpoint for concurrency limits to
/// bound them.
#[derive(Clone, Debug)]
pub(crate) struct LoadShedding {
    /// The fraction of requests of average weight that the endpoints can take.
    pub(crate) pass_fraction: f64,
    pub(crate) average_weight: f64,
}

impl Default for LoadShedding {
    fn default() -> LoadShedding {
        LoadShedding { pass_fraction: 1.0, average_weight: 0.0 }
    }
}

impl LoadShedding {
    /// Notes the weight of a request that came in.
    pub(crate) fn request_arrived(&mut self, weight: f64) {
        self.average_weight += WEIGHT_SMOOTHING * (weight - self.average_weight);
    }

    /// The probability that a request of this weight passes.
    pub(crate) fn pass_probability(&self, weight: f64) -> f64 {
        let exponent =
            if weight > 0.0 { (self.average_weight / weight).powi(WEIGHT_EXPONENT) } else { f64::MAX };
        self.pass_fraction.powf(exponent)
    }

    /// Notes whether an attempt ended so late, or was rejected, that it speaks for overload.
    pub(crate) fn attempt_ended(&mut self, overloaded: bool) {
        let next = if overloaded {
            self.pass_fraction * FACTOR_AFTER_LATE
        } else {
            self.pass_fraction + GROWTH_BY_OTHER
        };
        self.pass_fraction = next.clamp(LEAST_PASS_FRACTION, 1.0);
    }
}
