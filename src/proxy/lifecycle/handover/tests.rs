//! The lines of a hand-over as an older build wrote them: read, written again to the same bytes, and taken over.
//!
//! The files are in `tests/fixtures/control`. An older build may be at the other end, so they never change.

use super::{HandoverConnection, HandoverMessage, HandoverSnapshot};
use crate::decision::ClassId;
use crate::decision::Gateway;
use crate::fixture;
use crate::proxy::control_plane::config::Config;
use tokio::net::UnixStream;

const PREDECESSOR: &str = include_str!("../../../../tests/fixtures/control/handover_predecessor.jsonl");
const SUCCESSOR: &str = include_str!("../../../../tests/fixtures/control/handover_successor.jsonl");
const OTHER_BUILDS: &str = include_str!("../../../../tests/fixtures/control/handover_other_builds.jsonl");
const CONFIGURATION: &str = include_str!("../../../../tests/fixtures/control/gateway.json");

fn state_of(line: &str) -> Box<HandoverSnapshot> {
    match serde_json::from_str(line) {
        Ok(HandoverMessage::Snapshot(snapshot)) => snapshot,
        other => panic!("expected the state that is handed over, found {:?}", other.err()),
    }
}

/// What a gateway hands on that took this over, its lists in the order of their ids.
fn handed_on(line: &str) -> String {
    let config = Config::parse(CONFIGURATION, None, None).expect("a configuration");
    let mut gateway = Gateway::new(config.seed, config.site.settings).expect("settings");
    gateway.take_over(state_of(line).decision_state);
    let mut state = gateway.hand_over();
    state.endpoints.sort_by_key(|(id, _)| *id);
    state.customers.sort_by_key(|(id, _)| *id);
    serde_json::to_string_pretty(&state).expect("a text") + "\n"
}

#[test]
fn messages_are_written_to_the_bytes_that_they_were_read_from() {
    for line in PREDECESSOR.lines().chain(SUCCESSOR.lines()) {
        let message: HandoverMessage = serde_json::from_str(line).expect("a message");
        assert_eq!(serde_json::to_string(&message).expect("a text"), line);
    }
}

#[tokio::test]
async fn a_connection_carries_the_same_bytes_both_ways() {
    for side in [PREDECESSOR, SUCCESSOR] {
        let (near, far) = UnixStream::pair().expect("two sockets");
        let mut reading = HandoverConnection::new(far);
        let mut writing = HandoverConnection::new(near);
        let mut written = String::new();
        for line in side.lines() {
            writing.send(&serde_json::from_str(line).expect("a message")).await.expect("it is taken");
            let heard = reading.receive().await.expect("a message");
            written += &(serde_json::to_string(&heard).expect("a text") + "\n");
        }
        assert_eq!(written, side);
        drop(writing);
        assert!(reading.receive().await.is_err(), "the end of the connection ends the conversation");
    }
}

#[tokio::test]
async fn a_message_that_this_build_does_not_know_ends_the_conversation() {
    for line in [&b"{\"Later\":1}\n"[..], b"hello\n", b"{\"Held\":-1}\n", b"\xff\n"] {
        let (near, far) = UnixStream::pair().expect("two sockets");
        near.try_write(line).expect("it is taken");
        assert!(HandoverConnection::new(far).receive().await.is_err(), "{line:?}");
    }
}

#[test]
fn a_gateway_hands_on_what_it_took_over() {
    let first = PREDECESSOR.lines().next().expect("a line");
    fixture::assert_same("control/handover_handed_on.json", &handed_on(first));
}

#[test]
fn a_state_without_the_later_fields_or_with_unknown_ones_is_taken_over() {
    let state = state_of(OTHER_BUILDS);
    assert!(!state.endpoints.complete);
    assert!(state.decision_state.customers.iter().all(|(_, customer)| customer.first_gateway == 0));
    let refused =
        state.decision_state.customers.iter().filter_map(|(_, customer)| customer.last_rejection.as_ref());
    assert_eq!(refused.map(|refusal| refusal.class).collect::<Vec<_>>(), [ClassId(1), ClassId(0)]);
    handed_on(OTHER_BUILDS);
}
