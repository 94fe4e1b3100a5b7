//! Exponentially weighted moving averages.

/// Weight of the newest sample in an average of one endpoint, and in those of latency and load.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of the newest sample in the average of failures over all endpoints.
pub(crate) const ALL_ENDPOINTS_SAMPLE_WEIGHT: f64 = SAMPLE_WEIGHT / 3.0;

/// Moves an average towards a sample.
pub(crate) fn move_towards(average: &mut f64, sample: f64, weight: f64) {
    *average += weight * (sample - *average);
}

/// The same for an average that is 0 until its first sample, which it then equals.
pub(crate) fn move_or_start(average: &mut f64, sample: f64, weight: f64) {
    if *average == 0.0 {
        *average = sample;
    } else {
        *average += weight * (sample - *average);
    }
}
