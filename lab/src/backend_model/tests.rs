//! Backend model: processor sharing, queueing, and overload during the warm-up.

use super::{Machine, Offer};
use crate::scenario::Backends;

fn spec() -> Backends {
    Backends { cores: 2.0, slots_per_core: 2.0, queue_per_core: 1.0, ..Backends::default() }
}

#[test]
fn running_jobs_share_the_cores_and_others_queue() {
    let mut machine = Machine::new(&spec(), 1.0, None);
    for job in 0..6 {
        let expected = if job < 6 { Offer::Accepted } else { Offer::QueueFull };
        assert_eq!(machine.offer(0, job, 10_000.0, false), expected);
    }
    assert_eq!(machine.offer(0, 6, 10_000.0, false), Offer::QueueFull, "four running, two queued");
    assert_eq!(machine.next_due(), Some(20_000), "four jobs share two cores");
    assert!(machine.advance(19_000).is_empty());
    assert_eq!(machine.advance(20_000), vec![0, 1, 2, 3]);
    assert_eq!(machine.advance(30_000), vec![4, 5], "two jobs on two cores");
}

#[test]
fn overload_crashes_a_machine_while_it_warms_up_but_not_a_warm_one() {
    let cold = Machine::new(&spec(), 1.0, Some(0));
    assert!((cold.available_fraction(0) - 0.28).abs() < 1e-9 && cold.available_fraction(9_000_000) == 1.0);
    // 2 cores at 0.28 of their capacity, times 3, over 2.25 s: 3.78 s of work.
    for (since, expected) in [(Some(0), true), (None, false)] {
        let mut machine = Machine::new(&spec(), 1.0, since);
        let overloaded = (0..60).any(|job| machine.offer(job, job, 100_000.0, true) == Offer::Overloaded);
        assert_eq!(overloaded, expected);
        assert!(!expected || machine.informed_fraction() == 1.0);
    }
}
