//! When a reader that takes nothing counts as silent.
use quota_gateway::decision::{Micros, ReadProgress};

const SECOND: u64 = 1_000_000;
const MIN_SILENCE: Micros = Micros(2 * SECOND);
/// How late a reader may be.
const MAX_DELAY: Micros = Micros(SECOND / 2);
/// Minimum rate that is promised to clients, in bytes a second.
const PROMISED_RATE: u64 = 64_000;

/// Returns whether a reader that has taken `bytes` bytes at second 1 is silent `after` later.
fn is_silent_after(bytes: u64, after: Micros) -> bool {
    let taken_at = Micros(SECOND);
    let mut progress = ReadProgress::new(Micros(0));
    progress.observe(taken_at, bytes);
    progress.begin_wait(taken_at);
    progress.silence(taken_at + after, MIN_SILENCE).is_some()
}

#[test]
fn a_reader_that_has_taken_nothing_is_silent_after_the_minimum() {
    assert!(!is_silent_after(0, MIN_SILENCE - Micros(1)));
    assert!(is_silent_after(0, MIN_SILENCE));
    assert!(is_silent_after(60_000, MIN_SILENCE));
    assert!(!is_silent_after(100_000, MIN_SILENCE));
}

#[test]
fn a_reader_may_take_nothing_while_it_reads_what_it_has_taken() {
    for bytes in [100_000, 250_000, 400_000] {
        let read_time = Micros(bytes * SECOND / PROMISED_RATE);
        assert!(!is_silent_after(bytes, read_time), "{bytes} bytes");
        assert!(is_silent_after(bytes, read_time.times(1.3) + MAX_DELAY), "{bytes} bytes");
    }
}

#[test]
fn a_reader_that_took_much_and_stops_is_silent_within_ten_seconds() {
    assert!(is_silent_after(u64::MAX, Micros(10 * SECOND) + MAX_DELAY));
}

#[test]
fn a_reader_at_the_promised_rate_is_never_silent_whatever_its_step() {
    for step_bytes in [6_400, 64_000, 128_000, 400_000] {
        let step_time = Micros(step_bytes * SECOND / PROMISED_RATE);
        let mut progress = ReadProgress::new(Micros(0));
        for step in 1..100 {
            let now = Micros(step_time.0 * step);
            progress.observe(now, step_bytes * step);
            let before_next_step = now + step_time - Micros(1);
            assert_eq!(progress.silence(before_next_step, MIN_SILENCE), None, "step {step} of {step_bytes}");
        }
    }
}

#[test]
fn silence_counts_from_the_begin_of_the_wait() {
    let mut progress = ReadProgress::new(Micros(0));
    progress.begin_wait(Micros(50 * SECOND));
    assert_eq!(progress.silence(Micros(51 * SECOND), MIN_SILENCE), None);
    assert_eq!(progress.silence(Micros(53 * SECOND), MIN_SILENCE), Some(Micros(3 * SECOND)));
}
