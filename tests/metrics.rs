//! The counters of a process, and their lines in `/stats`.

use quota_gateway::decision::{ClassId, EndpointCounts, Outcome, RejectionReason};
use quota_gateway::proxy::admin::metrics::{ConnectionCloseReason, Metrics, NotSentReason, RequestResult};
use quota_gateway::proxy::admin::stats::process_lines;
use quota_gateway::proxy::control_plane::discovery::FailureKind;
use std::rc::Rc;

#[test]
fn requests_count_as_in_flight_until_they_end_and_then_by_their_result() {
    let metrics = Rc::new(Metrics::new(["look".to_string(), "buy".to_string()]));
    let mut served = metrics.request_received(ClassId(0));
    let mut rejected = metrics.request_received(ClassId(1));
    let disconnected = metrics.request_received(ClassId(1));
    served.set_result(RequestResult::Served);
    rejected.set_result(RequestResult::Failed);
    rejected.set_result(RequestResult::Rejected);
    assert!(process_lines(&metrics, EndpointCounts::default()).contains("edge_node.in_flight=3\n"));
    drop((served, rejected, disconnected));
    metrics.attempts_sent.increment();
    let text = process_lines(&metrics, EndpointCounts { known: 4, excluded: 1 });
    let first_lines: Vec<&str> = text.lines().take(10).collect();
    assert_eq!(
        first_lines,
        [
            "edge_node.requests.look.served=1",
            "edge_node.requests.look.refused=0",
            "edge_node.requests.look.failed=0",
            "edge_node.requests.buy.served=0",
            "edge_node.requests.buy.refused=1",
            "edge_node.requests.buy.failed=0",
            "edge_node.attempts=1",
            "edge_node.in_flight=0",
            "edge_node.backends_known=4",
            "edge_node.backends_excluded=1",
        ]
    );
}

#[test]
fn every_reason_has_a_line_that_counts_its_events() {
    let metrics = Metrics::default();
    metrics.discovery.call_failed(FailureKind::TooLong);
    metrics.discovery.list_applied(7, 41);
    metrics.not_sent.increment(NotSentReason::EndpointDraining);
    metrics.attempt_outcomes.increment(Outcome::ConnectFailed);
    metrics.rejections.increment(RejectionReason::QuotaKnownExhausted);
    metrics.connection_closes.increment(ConnectionCloseReason::Idle);
    let text = process_lines(&metrics, EndpointCounts::default());
    for line in [
        "discovery.failed.too_long=1",
        "discovery.failed.broken=0",
        "discovery.revision=7",
        "discovery.list_bytes=41",
        "attempts_unsent.drained=1",
        "attempt_ends.connect_failed=1",
        "refusals.quota_full=1",
        "client_closes.quiet=1",
    ] {
        assert!(text.contains(&format!("edge_node.{line}\n")), "{line}: {text}");
    }
}
