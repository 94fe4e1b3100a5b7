//! The deadline of a request whose body is still arriving.

use quota_gateway::decision::{InputProgress, Micros, UploadClock};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const BUDGET: Micros = Micros(800 * MS);
/// The answer may be this late at most.
const ANSWER_SLACK: Micros = Micros(500 * MS);

fn progress(received_bytes: u64, drained_at: u64) -> InputProgress {
    InputProgress { received_bytes, drained_at: Micros(drained_at) }
}

#[test]
fn the_deadline_stands_while_the_backend_holds_up_the_body() {
    let mut clock = UploadClock::new(Micros(10 * S), BUDGET, progress(200, 10 * S));
    let deadline = clock.deadline();
    assert!(deadline >= Micros(10 * S) + BUDGET && deadline < Micros(10 * S) + BUDGET + ANSWER_SLACK);
    for step in 1..20 {
        clock.observe(Micros(10 * S + step * 100 * MS), progress(200 + step * 10_000, 10 * S));
        assert_eq!(clock.deadline(), deadline, "after {step} looks");
    }
}

#[test]
fn the_deadline_moves_on_while_the_client_is_waited_for() {
    let mut clock = UploadClock::new(Micros(10 * S), BUDGET, progress(200, 10 * S));
    clock.observe(Micros(70 * S), progress(4_000_000, 70 * S));
    assert!(clock.deadline() >= Micros(70 * S) + BUDGET);
}

#[test]
fn the_deadline_moves_on_while_a_body_longer_than_all_buffers_moves() {
    let mut clock = UploadClock::new(Micros(10 * S), BUDGET, progress(200, 10 * S));
    // 10 MB a second, and the client is always ahead.
    for step in 1..=50 {
        let now = Micros(10 * S + step * 100 * MS);
        clock.observe(now, progress(200 + step * 1_000_000, 10 * S));
        assert!(clock.deadline() > now, "after {step} looks");
    }
}

#[test]
fn the_deadline_stands_for_a_body_that_waited_in_full_buffers_to_be_accepted() {
    // All of it was handed over half a second before the head was read.
    let handed_over = 10 * S;
    let mut clock = UploadClock::new(Micros(handed_over + 500 * MS), BUDGET, progress(200, handed_over));
    for step in 1..=43 {
        let now = Micros(handed_over + 500 * MS + step * 10 * MS);
        clock.observe(now, progress(200 + step * 100_000, handed_over));
        assert!(clock.deadline() < Micros(handed_over) + BUDGET + ANSWER_SLACK, "after {step} looks");
    }
}

#[test]
fn the_final_deadline_counts_from_the_last_byte_read_unless_it_was_held_up() {
    let mut clock = UploadClock::new(Micros(10 * S), BUDGET, progress(200, 10 * S));
    clock.observe(Micros(11 * S), progress(100_000, 11 * S - 20 * MS));
    assert_eq!(clock.final_deadline(Micros(11 * S)), Micros(11 * S) + BUDGET);
    let held_up = clock.final_deadline(Micros(11 * S + 600 * MS));
    assert!(held_up < Micros(11 * S) + BUDGET + ANSWER_SLACK, "{held_up:?}");
}
