//! The whole cluster node against datagrams that no member sends.
//!
//! A member with a fault, or anybody who can send to the port, may send datagrams whose checksum is right and whose
//! content is not. They must not end the process, nor make it remember more and more.

use crate::cluster::datagram::{self, DatagramError};
use crate::cluster::{
    ledger, write_queue, Branch, ClusterNode, Effect, Event, Machine, MemberMetadata, Micros, Settings,
    MAX_MEMBERS,
};
use std::net::SocketAddr;
use std::time::Duration;

/// The bytes before the payload, which the checksum is one of.
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
        rules: None,
        branch: None,
        disk: None,
    }
}

fn member(name: &str, seed: u64) -> ClusterNode {
    ClusterNode::new(settings(name), Micros(0), Micros(1_790_000_000_000_000), seed).expect("sound settings")
}

/// A datagram with some bytes changed, cut somewhere, and its checksum made right again.
fn forged(datagram: &[u8], rng: &mut fastrand::Rng) -> Vec<u8> {
    let mut forged = datagram.to_vec();
    for _ in 0..rng.usize(1..4) {
        let at = rng.usize(PRELUDE_BYTES..forged.len());
        forged[at] = if rng.bool() { rng.u8(..) } else { 0xff };
    }
    forged.truncate(rng.usize(PRELUDE_BYTES..=forged.len()));
    datagram::write_checksum(&mut forged);
    forged
}

/// Takes the datagrams out of a member's effects, each with the number of the other member that it is for.
fn take_datagrams(out: &mut Vec<Effect>, sender: usize, under_way: &mut Vec<(usize, Vec<u8>)>) {
    under_way.extend(out.drain(..).filter_map(|effect| match effect {
        Effect::Send { bytes, .. } => Some((1 - sender, bytes)),
        _ => None,
    }));
}

#[test]
fn forged_messages_with_a_right_checksum_end_nothing_and_grow_nothing() {
    let mut members = [member("a", 1), member("b", 2)];
    let mut target = member("b", 3);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut out = Vec::new();
    let from = [address(1), address(2)];
    for step in 0..300u64 {
        let now = Micros(step * STEP.0);
        for i in 0..2 {
            members[i].handle(now, Event::Tick, &mut out);
            let mut under_way: Vec<(usize, Vec<u8>)> = Vec::new();
            take_datagrams(&mut out, i, &mut under_way);
            while let Some((to, bytes)) = under_way.pop() {
                for _ in 0..10 {
                    let bytes = forged(&bytes, &mut rng);
                    target.handle(now, Event::Datagram { from: from[0], bytes: &bytes }, &mut Vec::new());
                }
                members[to].handle(now, Event::Datagram { from: from[1 - to], bytes: &bytes }, &mut out);
                take_datagrams(&mut out, i, &mut under_way);
            }
        }
        target.handle(now, Event::Tick, &mut Vec::new());
    }
    let rejected = target.traffic().dropped.get(&DatagramError::Rejected).copied().unwrap_or(0);
    assert!(rejected > 1_000, "{rejected} came as far as the protocol and were rejected there");
    assert!(target.records().count() <= MAX_MEMBERS);
    assert_eq!(members[0].present(), 2);
}

impl ClusterNode {
    /// A gateway with a ledger, a branch and a disk, whose counters all differ, for the test of `/stats`.
    pub(crate) fn with_distinct_counts() -> ClusterNode {
        let terms = write_queue::Terms {
            seats: vec![0, 1, 2],
            most: 10,
            most_of_one: 10,
            longest: Micros(1_000_000),
            cut_after: Micros(1_000_000),
            patience: Micros(1_000_000),
            out: 1,
            per_s: 1,
            stop: Vec::new(),
        };
        let ledger = ledger::Terms { holders: 3, lease: Micros(400_000), life: Micros(2_000_000) };
        let settings = Settings {
            seats: ["a", "b", "c"].map(String::from).to_vec(),
            ledger: Some(ledger),
            branch: Some(terms.clone()),
            disk: Some(Machine { boot: 7, uptime: Micros(0) }),
            ..settings("a")
        };
        let unix = Micros(1_790_000_000_000_000);
        let mut node = ClusterNode::new(settings, Micros(0), unix, 1).expect("sound settings");
        node.handle(Micros(0), Event::Tick, &mut Vec::new());
        // Found late once; its score becomes 4.
        node.handle(Micros(1_000_000), Event::Tick, &mut Vec::new());
        let desk = node.desk.as_mut().expect("a ledger");
        desk.tallies = ledger::Tallies {
            claims: 11,
            clear: 12,
            taken_over: 13,
            running: 14,
            answered: 15,
            mistakes: 16,
            unheld: 17,
            lost: 18,
            unprotected: 19,
            orphans: 20,
        };
        let refusals = &mut desk.holder_mut().refusals;
        (refusals.mute, refusals.full, refusals.late, refusals.unfit) = (21, 22, 23, 24);
        let mut clerk = write_queue::Clerk::new(0, terms, 1, Micros(0));
        clerk.tallies = write_queue::Tallies { accepted: 31, refused: 32, sent: 33, done: 34, not_done: 35 };
        node.branch = Some(Branch::new(clerk, Micros(0)));
        node.traffic.received = 41;
        node.traffic.sent = 42;
        node.traffic.dropped = DatagramError::ALL.into_iter().zip(51..).collect();
        node
    }
}
