//! Compares the cluster's lines of `/stats` with the fixture `tests/fixtures/stats-gauges.txt`.

use super::{ClusterTransport, RequestSenders};
use crate::cluster::ClusterNode;
use crate::proxy::admin::stats::cluster_lines;
use crate::proxy::cluster_transport::outcome_recorder::OutcomeRecorder;
use crate::proxy::control_plane::config::ClusterConfig;
use crate::proxy::lifecycle::drain::Lifecycle;
use crate::proxy::runtime::clock::Clock;
use std::path::Path;
use std::rc::Rc;
use tokio::sync::mpsc;

const CLUSTER_TOML: &str = "fleet = \"norte\"\nname = \"a\"\nlisten = \"127.0.0.1:1\"\nseats = [\"a\", \"b\", \"c\"]\n\
    [ledger]\nholders = 3\n[rollout]\n[branch]\nseats = [\"a\", \"b\", \"c\"]\nclasses = [\"buy\"]\n[peers]\nb = \"127.0.0.1:2\"\n";

#[test]
fn keys_order_and_values_of_cluster_gauges_match_the_stats_fixture() {
    let config = ClusterConfig::parse(CLUSTER_TOML, "a").expect("valid");
    let ((queued_writes, _write_receiver), (abandoned_requests, _abandoned_receiver)) =
        (mpsc::channel(1), mpsc::channel(1));
    let senders = RequestSenders { queued_writes, abandoned_requests };
    let (lifecycle, outcomes) = (Rc::new(Lifecycle::default()), Rc::new(OutcomeRecorder::default()));
    let transport =
        ClusterTransport::new(config, Clock::start(), lifecycle, Box::new(|_| {}), outcomes, senders);
    assert!(transport.stats().is_none(), "no stats before this process participates in the cluster");
    *transport.node.borrow_mut() = Some(ClusterNode::with_distinct_counts());
    transport.datagrams_not_sent.set(61);
    transport.abandoned_finished.set(62);
    transport.abandoned_not_finished.set(63);
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/stats-gauges.txt");
    let text = cluster_lines(&transport.stats().expect("the transport has a node"));
    if std::env::var_os("WRITE_NEW_FIXTURES").is_some() && !path.exists() {
        std::fs::write(&path, &text).expect("written");
    }
    assert_eq!(text, std::fs::read_to_string(path).expect("the fixture"));
}
