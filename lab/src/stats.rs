//! Medians, spreads, and whether two builds differ.

use crate::plan::Draw;

#[cfg(test)]
mod tests;

/// The middle value; of an even number the mean of the two middle ones.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted: Vec<f64> = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    match sorted.len() {
        0 => f64::NAN,
        n if n % 2 == 1 => sorted[n / 2],
        n => (sorted[n / 2 - 1] + sorted[n / 2]) / 2.0,
    }
}

/// The value that the part `q` of all values does not exceed, by the nearest rank.
pub fn quantile(values: &mut [f64], q: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (q * values.len() as f64).ceil().max(1.0) as usize;
    values.get(rank.min(values.len()).wrapping_sub(1)).copied().unwrap_or(f64::NAN)
}

/// The least and the greatest.
pub fn spread(values: &[f64]) -> (f64, f64) {
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    (least, values.iter().copied().fold(f64::NEG_INFINITY, f64::max))
}

/// How B stands to A over pairs of plays.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ratio {
    /// The geometric mean of B over A.
    pub mean: f64,
    /// 95 in 100 resamples of the pairs lie above this ...
    pub low: f64,
    /// ... and below this, both by the percentile bootstrap.
    pub high: f64,
}

impl Ratio {
    /// What the pairs show, in words.
    pub fn words(&self, pairs: usize) -> &'static str {
        match () {
            () if self.low <= 1.0 && self.high >= 1.0 => "no difference shown",
            // That all pairs point one way by chance alone has the odds 2 in 2^pairs.
            () if pairs < LEAST_PAIRS => "too few pairs to say",
            () => "differs",
        }
    }
}

/// With fewer pairs chance alone points one way more often than 5 times in 100.
pub const LEAST_PAIRS: usize = 6;

/// Resamples of the bootstrap.
const RESAMPLES: usize = 4000;

/// The ratio of pairs of values; `None` where one of them is not above zero. Percentile bootstrap after Efron
/// (1979) over the logarithms of the ratios, with draws of its own fixed seed.
pub fn ratio(pairs: &[(f64, f64)]) -> Option<Ratio> {
    if pairs.is_empty() || pairs.iter().any(|(a, b)| *a <= 0.0 || *b <= 0.0) {
        return None;
    }
    let logs: Vec<f64> = pairs.iter().map(|(a, b)| (b / a).ln()).collect();
    let mean = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>() / logs.len() as f64;
    let mut draw = Draw::new(1, 1);
    let mut resources: Vec<f64> =
        (0..RESAMPLES).map(|_| mean(&mut (0..logs.len()).map(|_| logs[draw.below(logs.len())]))).collect();
    resources.sort_by(f64::total_cmp);
    let at = |part: f64| resources[((resources.len() - 1) as f64 * part).round() as usize].exp();
    Some(Ratio { mean: mean(&mut logs.iter().copied()).exp(), low: at(0.025), high: at(0.975) })
}
