//! Histograms of request times.

use hdrhistogram::Histogram;

/// Upper bound of a histogram, one hour; longer times count as this.
const MAX_TIME_US: u64 = 3_600_000_000;

pub(super) fn histogram(values: impl Iterator<Item = u64>) -> Histogram<u64> {
    // The library rejects only bounds and precisions outside its limits.
    let mut histogram = Histogram::new_with_bounds(1, MAX_TIME_US, 3)
        .unwrap_or_else(|_| unreachable!("histogram bounds are valid constants"));
    values.for_each(|value| histogram.saturating_record(value.min(MAX_TIME_US)));
    histogram
}
