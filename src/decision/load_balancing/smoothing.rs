//! Exponentially weighted moving averages.

/// Weight of the newest sample in the averages of one endpoint, and in the averages of latency and load over
/// all endpoints.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of the newest sample in the average of failures over all endpoints.
pub(crate) const ALL_ENDPOINTS_SAMPLE_WEIGHT: f64 = SAMPLE_WEIGHT / 3.0;

/// Moves an average towards a sample.
pub(crate) fn update_average(average: &mut f64, sample: f64, weight: f64) {
    *average += weight * (sample - *average);
}

/// Moves an average towards a sample. An average of 0 has no sample yet and is set to the sample.
pub(crate) fn update_or_start_average(average: &mut f64, sample: f64, weight: f64) {
    if *average == 0.0 {
        *average = sample;
    } else {
        *average += weight * (sample - *average);
    }
}
