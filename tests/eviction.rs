//! Which client connections make room for one that waits to be accepted.
use quota_gateway::decision::{EvictionLimits, Micros};

const MS: u64 = 1_000;

#[test]
fn pauses_in_a_head_are_shortened_while_others_wait_to_be_accepted() {
    let limits = |wait_ms: u64| EvictionLimits::after_waiting(Micros(wait_ms * MS));
    assert!(limits(0).head >= Micros(500 * MS), "{:?}", limits(0));
    for wait_ms in 1..1_000 {
        let (shorter, longer) = (limits(wait_ms - 1), limits(wait_ms));
        assert!(longer.head <= shorter.head, "{longer:?} after {wait_ms} ms");
        assert!(longer.head >= Micros(50 * MS), "a pause of a moment is none: {longer:?}");
    }
    assert!(limits(300).head <= Micros(50 * MS), "{:?}", limits(300));
}

#[test]
fn bodies_and_responses_that_move_slowly_are_not_cut_for_others_that_wait() {
    let crowded = EvictionLimits::after_waiting(Micros(10_000 * MS));
    assert!(crowded.body >= Micros(500 * MS) && crowded.unread >= Micros(2_000 * MS), "{crowded:?}");
}
