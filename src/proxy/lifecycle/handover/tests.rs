//! Compatibility with the hand-over messages of older builds: they are parsed, serialized to the same bytes, and
//! taken over.
//!
//! The fixtures are in `tests/fixtures/control`. The other process may be an older build, so they must never change.

use super::message::LedgerHandover;
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

fn parse_snapshot(line: &str) -> Box<HandoverSnapshot> {
    match serde_json::from_str(line) {
        Ok(HandoverMessage::Snapshot(snapshot)) => snapshot,
        other => panic!("expected a snapshot, found {:?}", other.err()),
    }
}

/// Takes over the snapshot in this line and returns the state that the gateway hands over in turn, its lists sorted
/// by id.
fn take_over_and_hand_over(line: &str) -> String {
    let config = Config::parse(CONFIGURATION, None, None).expect("valid configuration");
    let mut gateway = Gateway::new(config.seed, config.site.settings).expect("settings");
    gateway.take_over(parse_snapshot(line).decision_state);
    let mut state = gateway.hand_over();
    state.endpoints.sort_by_key(|(id, _)| *id);
    state.customers.sort_by_key(|(id, _)| *id);
    serde_json::to_string_pretty(&state).expect("serialized state") + "\n"
}

#[test]
fn parsed_messages_serialize_to_the_same_bytes() {
    for line in PREDECESSOR.lines().chain(SUCCESSOR.lines()) {
        let message: HandoverMessage = serde_json::from_str(line).expect("known message");
        assert_eq!(serde_json::to_string(&message).expect("serialized message"), line);
    }
}

#[tokio::test]
async fn connection_preserves_messages_of_both_sides() {
    for lines in [PREDECESSOR, SUCCESSOR] {
        let (near, far) = UnixStream::pair().expect("socket pair");
        let mut receiver = HandoverConnection::new(far);
        let mut sender = HandoverConnection::new(near);
        let mut received = String::new();
        for line in lines.lines() {
            sender.send(&serde_json::from_str(line).expect("known message")).await.expect("message sent");
            let message = receiver.receive().await.expect("message received");
            received += &(serde_json::to_string(&message).expect("serialized message") + "\n");
        }
        assert_eq!(received, lines);
        drop(sender);
        assert!(receiver.receive().await.is_err(), "receiving must fail once the sender is closed");
    }
}

#[test]
fn ledger_reply_and_its_announcement_keep_their_form() {
    let reply = r#"{"LedgerReply":{"seat":1,"bytes":[0,200]}}"#;
    let message: HandoverMessage = serde_json::from_str(reply).expect("known message");
    assert_eq!(serde_json::to_string(&message).expect("serialized message"), reply);
    let mut snapshot = parse_snapshot(PREDECESSOR.lines().next().expect("first line"));
    assert_eq!(snapshot.ledger, None, "an older build awaits none");
    snapshot.ledger = Some(LedgerHandover { present_seats: vec![1, 2] });
    let line = serde_json::to_string(&HandoverMessage::Snapshot(snapshot)).expect("serialized message");
    assert!(line.contains(r#""ledger":{"present":[1,2]}"#), "{line}");
    assert_eq!(parse_snapshot(&line).ledger.expect("a ledger").present_seats, [1, 2]);
}

#[tokio::test]
async fn unknown_message_is_an_error() {
    for line in [&b"{\"Later\":1}\n"[..], b"hello\n", b"{\"Held\":-1}\n", b"\xff\n"] {
        let (near, far) = UnixStream::pair().expect("socket pair");
        near.try_write(line).expect("line written");
        assert!(HandoverConnection::new(far).receive().await.is_err(), "{line:?}");
    }
}

#[test]
fn gateway_hands_over_the_state_that_it_took_over() {
    let first = PREDECESSOR.lines().next().expect("first line");
    fixture::assert_same("control/handover_handed_on.json", &take_over_and_hand_over(first));
}

#[test]
fn state_with_missing_or_unknown_fields_is_taken_over() {
    let snapshot = parse_snapshot(OTHER_BUILDS);
    assert!(!snapshot.endpoints.complete);
    assert!(snapshot.decision_state.customers.iter().all(|(_, customer)| customer.first_gateway == 0));
    let rejections =
        snapshot.decision_state.customers.iter().filter_map(|(_, customer)| customer.last_rejection.as_ref());
    assert_eq!(rejections.map(|rejection| rejection.class).collect::<Vec<_>>(), [ClassId(1), ClassId(0)]);
    take_over_and_hand_over(OTHER_BUILDS);
}
