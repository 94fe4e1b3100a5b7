//! Priority load shedding: under overload some requests are rejected before they are sent, starting with
//! those of low weight. See "Handling Overload" in the Google SRE book on adaptive throttling.

/// Factor applied to the pass fraction after a sign of overload.
const FACTOR_AFTER_OVERLOAD: f64 = 0.85;
/// Increment of the pass fraction after any other response.
const INCREMENT_WITHOUT_OVERLOAD: f64 = 0.01;
/// Lower bound of the pass fraction.
pub(crate) const MIN_PASS_FRACTION: f64 = 0.05;
/// Weight of the newest sample in the average weight of requests.
const WEIGHT_SMOOTHING: f64 = 0.1 / 3.0;
/// The pass fraction is raised to (average weight / weight) to this power.
const WEIGHT_EXPONENT: i32 = 2;

/// Guards against overload where a gateway has too few attempts in flight at each endpoint for concurrency
/// limits to bound them.
#[derive(Clone, Debug)]
pub(crate) struct LoadShedding {
    /// Fraction of the requests of average weight that the endpoints can handle.
    pub(crate) pass_fraction: f64,
    pub(crate) average_weight: f64,
}

impl Default for LoadShedding {
    fn default() -> LoadShedding {
        LoadShedding { pass_fraction: 1.0, average_weight: 0.0 }
    }
}

impl LoadShedding {
    /// Records the weight of an arriving request.
    pub(crate) fn request_arrived(&mut self, weight: f64) {
        self.average_weight += WEIGHT_SMOOTHING * (weight - self.average_weight);
    }

    /// Returns the probability that a request of this weight passes.
    pub(crate) fn pass_probability(&self, weight: f64) -> f64 {
        let exponent =
            if weight > 0.0 { (self.average_weight / weight).powi(WEIGHT_EXPONENT) } else { f64::MAX };
        self.pass_fraction.powf(exponent)
    }

    /// Adjusts the pass fraction after an attempt. `overloaded` says that the attempt was rejected, timed out
    /// or ended late enough to indicate overload.
    pub(crate) fn attempt_ended(&mut self, overloaded: bool) {
        let next = if overloaded {
            self.pass_fraction * FACTOR_AFTER_OVERLOAD
        } else {
            self.pass_fraction + INCREMENT_WITHOUT_OVERLOAD
        };
        self.pass_fraction = next.clamp(MIN_PASS_FRACTION, 1.0);
    }
}
