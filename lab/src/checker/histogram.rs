//! Times of a run as a histogram.

use hdrhistogram::Histogram;

/// The longest time that a histogram tells apart: an hour.
const LONGEST_US: u64 = 3_600_000_000;

pub(super) fn histogram(values: impl Iterator<Item = u64>) -> Histogram<u64> {
    // Bounds and digits that the library takes.
    let mut histogram =
        Histogram::new_with_bounds(1, LONGEST_US, 3).unwrap_or_else(|_| unreachable!("sound bounds"));
    values.for_each(|value| histogram.saturating_record(value.min(LONGEST_US)));
    histogram
}
