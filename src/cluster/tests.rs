//! The cluster node against forged datagrams.
//!
//! A faulty member, or anybody who can reach the port, may send datagrams with a valid checksum and invalid content.
//! They must neither crash the process nor make its memory grow without bound.

use crate::cluster::datagram::{self, DatagramError};
use crate::cluster::{
    ledger, write_queue, ClusterNode, Effect, Event, MachineId, MemberMetadata, Micros, Settings, MAX_MEMBERS,
};
use std::net::SocketAddr;
use std::time::Duration;

/// Length of the prelude before the payload, including the checksum, in bytes.
const PRELUDE_BYTES: usize = 11;
const STEP: Micros = Micros(200_000);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn settings(name: &str) -> Settings {
    let metadata = MemberMetadata { zone: "z".into(), version: "1".into(), capabilities: 0, advertise: None };
    Settings {
        cluster: "norte".into(),
        name: name.into(),
        metadata,
        peers: [("a".to_string(), address(1)), ("b".to_string(), address(2))].into(),
        probe_period: Duration::from_secs(1),
        seats: vec!["a".into(), "b".into()],
        ledger: None,
        baseline_rules: None,
        write_queue: None,
        storage_machine: None,
    }
}

fn member(name: &str, seed: u64) -> ClusterNode {
    ClusterNode::new(settings(name), Micros(0), Micros(1_790_000_000_000_000), seed).expect("valid settings")
}

/// Returns a datagram with some bytes modified, truncated at random, and with its checksum corrected.
fn forged(datagram: &[u8], rng: &mut fastrand::Rng) -> Vec<u8> {
    let mut forged = datagram.to_vec();
    for _ in 0..rng.usize(1..4) {
        let offset = rng.usize(PRELUDE_BYTES..forged.len());
        forged[offset] = if rng.bool() { rng.u8(..) } else { 0xff };
    }
    forged.truncate(rng.usize(PRELUDE_BYTES..=forged.len()));
    datagram::write_checksum(&mut forged);
    forged
}

/// Moves the datagrams out of a member's effects, each with the index of the other member, its receiver.
fn take_datagrams(out: &mut Vec<Effect>, sender: usize, in_transit: &mut Vec<(usize, Vec<u8>)>) {
    in_transit.extend(out.drain(..).filter_map(|effect| match effect {
        Effect::Send { bytes, .. } => Some((1 - sender, bytes)),
        _ => None,
    }));
}

#[test]
fn forged_messages_with_a_valid_checksum_neither_crash_nor_grow_the_member_table() {
    let mut members = [member("a", 1), member("b", 2)];
    let mut target = member("b", 3);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut out = Vec::new();
    let from = [address(1), address(2)];
    for step in 0..300u64 {
        let now = Micros(step * STEP.0);
        for i in 0..2 {
            members[i].handle(now, Event::Tick, &mut out);
            let mut in_transit: Vec<(usize, Vec<u8>)> = Vec::new();
            take_datagrams(&mut out, i, &mut in_transit);
            while let Some((to, bytes)) = in_transit.pop() {
                for _ in 0..10 {
                    let bytes = forged(&bytes, &mut rng);
                    target.handle(now, Event::Datagram { from: from[0], bytes: &bytes }, &mut Vec::new());
                }
                members[to].handle(now, Event::Datagram { from: from[1 - to], bytes: &bytes }, &mut out);
                take_datagrams(&mut out, i, &mut in_transit);
            }
        }
        target.handle(now, Event::Tick, &mut Vec::new());
    }
    let rejected = target.traffic().dropped.get(&DatagramError::Rejected).copied().unwrap_or(0);
    assert!(rejected > 1_000, "only {rejected} datagrams reached the protocol and were rejected there");
    assert!(target.records().count() <= MAX_MEMBERS);
    assert_eq!(members[0].present_count(), 2);
}

fn queue_settings() -> write_queue::WriteQueueSettings {
    write_queue::WriteQueueSettings {
        seats: vec![0, 1, 2],
        max_pending: 10,
        max_pending_per_customer: 10,
        max_age: Micros(1_000_000),
        uplink_timeout: Micros(1_000_000),
        send_timeout: Micros(1_000_000),
        max_in_flight: 1,
        max_sends_per_second: 1,
        blocking_classes: Vec::new(),
    }
}

impl ClusterNode {
    /// Creates a gateway with a ledger, a branch and a disk whose counters all differ, for the test of `/stats`.
    pub(crate) fn with_distinct_counts() -> ClusterNode {
        let queue_settings = queue_settings();
        let ledger = ledger::LedgerSettings {
            replicas: 3,
            lease: Micros(400_000),
            record_lifetime: Micros(2_000_000),
        };
        let settings = Settings {
            seats: ["a", "b", "c"].map(String::from).to_vec(),
            ledger: Some(ledger),
            write_queue: Some(queue_settings.clone()),
            storage_machine: Some(MachineId { boot: 7, uptime: Micros(0) }),
            ..settings("a")
        };
        let wall_clock = Micros(1_790_000_000_000_000);
        let mut node = ClusterNode::new(settings, Micros(0), wall_clock, 1).expect("valid settings");
        node.handle(Micros(0), Event::Tick, &mut Vec::new());
        // One late call raises the health score to 4.
        node.handle(Micros(1_000_000), Event::Tick, &mut Vec::new());
        let ledger = node.ledger.as_mut().expect("a ledger");
        ledger.counts = ledger::ClaimCounts {
            claims: 11,
            acquired: 12,
            taken_over: 13,
            in_progress: 14,
            completed: 15,
            key_reused: 16,
            unavailable: 17,
            lost: 18,
            unprotected: 19,
            abandoned: 20,
        };
        ledger.replica_mut().rejections =
            ledger::RejectionCounts { not_voting: 21, at_capacity: 22, late: 23, invalid: 24 };
        let mut replica = write_queue::QueueReplica::new(0, queue_settings, 1, Micros(0));
        replica.counts = write_queue::QueueCounts {
            accepted: 31,
            rejected: 32,
            forwarded: 33,
            completed: 34,
            not_completed: 35,
        };
        node.write_queue = Some(crate::cluster::WriteQueue::new(replica, Micros(0)));
        node.traffic.received = 41;
        node.traffic.sent = 42;
        node.traffic.dropped = DatagramError::ALL.into_iter().zip(51..).collect();
        node
    }
}
