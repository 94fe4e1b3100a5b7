//! `/stats` as in `tests/fixtures/stats-counters.txt`: every counter of a process under its key, in its
//! position.

use quota_gateway::decision::{ClassId, EndpointCounts, Outcome, RejectionReason};
use quota_gateway::proxy::admin::metrics::{ConnectionCloseReason, Metrics, NotSentReason, RequestResult};
use quota_gateway::proxy::admin::stats::process_lines;
use quota_gateway::proxy::control_plane::discovery::FailureKind;
use std::path::Path;
use std::rc::Rc;
use strum::VariantArray;

const FIXTURE: &str = "tests/fixtures/stats-counters.txt";

/// Counts each variant once more often than the previous one, beginning with `first`, so that all values
/// differ.
fn count_each<Kind: Copy>(kinds: &[Kind], first: usize, count: impl Fn(Kind)) {
    for (position, kind) in kinds.iter().enumerate() {
        for _ in 0..first + position {
            count(*kind);
        }
    }
}

#[test]
fn every_counter_has_its_key_position_and_value_in_the_stats() {
    let metrics = Rc::new(Metrics::new(["look".to_string(), "buy".to_string()]));
    for (class, counts) in [(0, [3, 4, 5]), (1, [6, 7, 8])] {
        for (result, count) in
            [RequestResult::Served, RequestResult::Rejected, RequestResult::Failed].into_iter().zip(counts)
        {
            for _ in 0..count {
                metrics.request_received(ClassId(class)).set_result(result);
            }
        }
    }
    let _in_flight = [metrics.request_received(ClassId(0)), metrics.request_received(ClassId(1))];
    (0..9).for_each(|_| metrics.attempts_sent.increment());
    (0..10).for_each(|_| metrics.discovery.call_started());
    for (revision, bytes) in [(41, 100), (42, 23), (43, 7)] {
        metrics.discovery.list_applied(revision, bytes);
    }
    count_each(FailureKind::VARIANTS, 11, |kind| metrics.discovery.call_failed(kind));
    count_each(Outcome::VARIANTS, 21, |kind| metrics.attempt_outcomes.increment(kind));
    count_each(NotSentReason::VARIANTS, 31, |kind| metrics.not_sent.increment(kind));
    count_each(RejectionReason::VARIANTS, 41, |kind| metrics.rejections.increment(kind));
    count_each(ConnectionCloseReason::VARIANTS, 51, |kind| metrics.connection_closes.increment(kind));
    (0..56).for_each(|_| metrics.unexpected_responses.increment());
    let text = process_lines(&metrics, EndpointCounts { known: 61, excluded: 62 });
    // The only value that depends on the clock.
    let without_clock = |line: &str| match line.split_once("last_list_ms_ago=") {
        Some((before, ago)) => {
            assert!(ago.parse::<u64>().is_ok(), "{line}");
            format!("{before}last_list_ms_ago=MS\n")
        }
        None => format!("{line}\n"),
    };
    let text: String = text.lines().map(without_clock).collect();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(FIXTURE);
    if std::env::var_os("WRITE_NEW_FIXTURES").is_some() && !path.exists() {
        std::fs::write(&path, &text).expect("written");
    }
    assert_eq!(text, std::fs::read_to_string(path).expect("the fixture"));
}
