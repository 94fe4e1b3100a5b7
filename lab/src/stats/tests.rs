//! When two builds are said to differ, and the medians and spreads of figures.

use super::{median, ratio, spread};

#[test]
fn a_difference_is_said_only_where_chance_would_not_show_it() {
    let pairs = |ratios: &[f64]| ratios.iter().map(|r| (2.0, 2.0 * r)).collect::<Vec<_>>();
    let words = |ratios: &[f64]| ratio(&pairs(ratios)).map(|found| found.words(ratios.len()));
    assert_eq!(words(&[1.1, 1.12, 1.09, 1.11, 1.1, 1.08]), Some("differs"));
    assert_eq!(words(&[1.1, 1.12, 1.09]), Some("too few pairs to say"));
    assert_eq!(words(&[1.1, 0.9, 1.05, 0.93, 1.01, 0.99]), Some("no difference shown"));
    assert_eq!(words(&[0.9, 0.0]), None, "there is no ratio to nothing");
    let found = ratio(&pairs(&[1.1, 1.2, 1.3, 1.1, 1.2, 1.3])).expect("a ratio");
    assert!(found.low <= found.mean && found.mean <= found.high && found.low > 1.09 && found.high < 1.31);
    assert_eq!((median(&[3.0, 1.0, 2.0, 10.0]), spread(&[3.0, 1.0, 2.0])), (2.5, (1.0, 3.0)));
}
