//! Medians, quantiles and ranges of metrics, and a test whether two builds differ.

use crate::plan::Draw;

#[cfg(test)]
mod tests;

/// Returns the median; of an even number of values, the mean of the two middle ones; NaN without values.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted: Vec<f64> = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    match sorted.len() {
        0 => f64::NAN,
        count if count % 2 == 1 => sorted[count / 2],
        count => (sorted[count / 2 - 1] + sorted[count / 2]) / 2.0,
    }
}

/// Sorts the values and returns their quantile `q` by the nearest rank; NaN without values.
pub fn quantile(values: &mut [f64], q: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (q * values.len() as f64).ceil().max(1.0) as usize;
    values.get(rank.min(values.len()).wrapping_sub(1)).copied().unwrap_or(f64::NAN)
}

/// Returns the lowest and the highest value.
pub fn spread(values: &[f64]) -> (f64, f64) {
    let lowest = values.iter().copied().fold(f64::INFINITY, f64::min);
    (lowest, values.iter().copied().fold(f64::NEG_INFINITY, f64::max))
}

/// Ratio of build B to build A over pairs of runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ratio {
    /// Geometric mean of B over A.
    pub mean: f64,
    /// Lower bound of the 95% confidence interval by the percentile bootstrap.
    pub low: f64,
    /// Upper bound of the 95% confidence interval by the percentile bootstrap.
    pub high: f64,
}

impl Ratio {
    /// Returns what the pairs show about a difference between the builds.
    pub fn conclusion(&self, pairs: usize) -> &'static str {
        match () {
            () if self.low <= 1.0 && self.high >= 1.0 => "no difference shown",
            // If the builds are equal, all pairs point the same way with probability 2 in 2^pairs.
            () if pairs < MIN_PAIRS => "too few pairs to say",
            () => "differs",
        }
    }
}

/// Lowest number of pairs for a conclusion: with fewer, all pairs of equal builds point the same way in more than 5% of
/// the comparisons.
pub const MIN_PAIRS: usize = 6;

/// Number of resamples of the bootstrap.
const RESAMPLES: usize = 4000;

/// Returns the ratio over pairs of values; `None` if there is no pair or a value is not above zero. Uses the percentile
/// bootstrap after Efron (1979) over the logarithms of the ratios, with a fixed seed, so that results are reproducible.
pub fn ratio(pairs: &[(f64, f64)]) -> Option<Ratio> {
    if pairs.is_empty() || pairs.iter().any(|(a, b)| *a <= 0.0 || *b <= 0.0) {
        return None;
    }
    let logs: Vec<f64> = pairs.iter().map(|(a, b)| (b / a).ln()).collect();
    let mean = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>() / logs.len() as f64;
    let mut draw = Draw::new(1, 1);
    let mut resampled_means: Vec<f64> =
        (0..RESAMPLES).map(|_| mean(&mut (0..logs.len()).map(|_| logs[draw.below(logs.len())]))).collect();
    resampled_means.sort_by(f64::total_cmp);
    let quantile_at = |quantile: f64| {
        resampled_means[((resampled_means.len() - 1) as f64 * quantile).round() as usize].exp()
    };
    Some(Ratio {
        mean: mean(&mut logs.iter().copied()).exp(),
        low: quantile_at(0.025),
        high: quantile_at(0.975),
    })
}
