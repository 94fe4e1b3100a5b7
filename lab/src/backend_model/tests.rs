//! The model of a backend: processor sharing, queueing, and overload while cold.

use super::{Machine, Offer};
use crate::scenario::Backends;

fn spec() -> Backends {
    Backends { cores: 2.0, slots_per_core: 2.0, queue_per_core: 1.0, ..Backends::default() }
}

#[test]
fn work_takes_its_time_and_shares_the_cores() {
    let mut machine = Machine::new(&spec(), 1.0, None);
    for job in 0..6 {
        let wanted = if job < 6 { Offer::Taken } else { Offer::Full };
        assert_eq!(machine.offer(0, job, 10_000.0, false), wanted);
    }
    assert_eq!(machine.offer(0, 6, 10_000.0, false), Offer::Full, "four in work, two wait");
    assert_eq!(machine.next(), Some(20_000), "four on two cores");
    assert!(machine.advance(19_000).is_empty());
    assert_eq!(machine.advance(20_000), vec![0, 1, 2, 3]);
    assert_eq!(machine.advance(30_000), vec![4, 5], "two on two cores");
}

#[test]
fn a_cold_one_falls_over_beyond_its_multiple_and_a_warm_one_never() {
    let cold = Machine::new(&spec(), 1.0, Some(0));
    assert!((cold.warmth(0) - 0.28).abs() < 1e-9 && cold.warmth(9_000_000) == 1.0);
    // 2 cores, 0.28 warm, 3 times that over 2.25 s: 3.78 s of work.
    for (since, falls) in [(Some(0), true), (None, false)] {
        let mut machine = Machine::new(&spec(), 1.0, since);
        let fell = (0..60).any(|job| machine.offer(job, job, 100_000.0, true) == Offer::Fell);
        assert_eq!(fell, falls);
        assert!(!falls || machine.knowing() == 1.0);
    }
}
