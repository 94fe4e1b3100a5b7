//! Tests of the comparison of two builds, and of medians and ranges.

use super::{median, ratio, spread};

#[test]
fn builds_differ_only_if_the_interval_excludes_one_and_there_are_enough_pairs() {
    let pairs = |ratios: &[f64]| ratios.iter().map(|r| (2.0, 2.0 * r)).collect::<Vec<_>>();
    let conclusion = |ratios: &[f64]| ratio(&pairs(ratios)).map(|result| result.conclusion(ratios.len()));
    assert_eq!(conclusion(&[1.1, 1.12, 1.09, 1.11, 1.1, 1.08]), Some("differs"));
    assert_eq!(conclusion(&[1.1, 1.12, 1.09]), Some("too few pairs to say"));
    assert_eq!(conclusion(&[1.1, 0.9, 1.05, 0.93, 1.01, 0.99]), Some("no difference shown"));
    assert_eq!(conclusion(&[0.9, 0.0]), None, "no ratio with a value of zero");
    let result = ratio(&pairs(&[1.1, 1.2, 1.3, 1.1, 1.2, 1.3])).expect("all values are above zero");
    assert!(
        result.low <= result.mean && result.mean <= result.high && result.low > 1.09 && result.high < 1.31
    );
    assert_eq!((median(&[3.0, 1.0, 2.0, 10.0]), spread(&[3.0, 1.0, 2.0])), (2.5, (1.0, 3.0)));
}
