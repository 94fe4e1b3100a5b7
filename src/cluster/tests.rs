//! The whole part against bytes that nobody sends.

use crate::cluster::*;
use std::time::Duration;

fn settings(name: &str) -> Settings {
    let metadata = MemberMetadata { zone: "z".into(), version: "1".into(), capabilities: 0, advertise: None };
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    Settings {
        fleet: "norte".into(),
        name: name.into(),
        metadata,
        peers: [("a".to_string(), at(1)), ("b".to_string(), at(2))].into(),
        period: Duration::from_secs(1),
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

#[test]
fn messages_bent_behind_a_right_checksum_end_nothing_and_grow_nothing() {
    let (mut fleets, mut bent) = ([member("a", 1), member("b", 2)], member("b", 3));
    let (mut rng, mut out) = (fastrand::Rng::with_seed(7), Vec::new());
    let from = [SocketAddr::from(([127, 0, 0, 1], 1)), SocketAddr::from(([127, 0, 0, 1], 2))];
    for step in 0..300u64 {
        let now = Micros(step * 200_000);
        for i in 0..2 {
            fleets[i].handle(now, Event::Tick, &mut out);
            let mut under_way: Vec<(usize, Vec<u8>)> = Vec::new();
            let sent = |out: &mut Vec<Effect>, by: usize, under_way: &mut Vec<(usize, Vec<u8>)>| {
                under_way.extend(out.drain(..).filter_map(|effect| match effect {
                    Effect::Send { to: _, bytes } => Some((1 - by, bytes)),
                    _ => None,
                }));
            };
            sent(&mut out, i, &mut under_way);
            while let Some((to, bytes)) = under_way.pop() {
                for _ in 0..10 {
                    let mut body = bytes.clone();
                    for _ in 0..rng.usize(1..4) {
                        let at = rng.usize(11..body.len());
                        body[at] = if rng.bool() { rng.u8(..) } else { 0xff };
                    }
                    body.truncate(rng.usize(11..=body.len()));
                    datagram::write_checksum(&mut body);
                    bent.handle(now, Event::Datagram { from: from[0], bytes: &body }, &mut Vec::new());
                }
                fleets[to].handle(now, Event::Datagram { from: from[1 - to], bytes: &bytes }, &mut out);
                sent(&mut out, to, &mut under_way);
            }
        }
        bent.handle(now, Event::Tick, &mut Vec::new());
    }
    let refused = bent.traffic().strangers.get(&DatagramError::Rejected).copied().unwrap_or(0);
    assert!(refused > 1_000, "{refused} came as far as the protocol and were refused there");
    assert!(bent.records().count() <= MAX_MEMBERS);
    assert_eq!(fleets[0].present(), 2);
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
        let mut fleet = ClusterNode::new(settings, Micros(0), unix, 1).expect("sound settings");
        fleet.handle(Micros(0), Event::Tick, &mut Vec::new());
        // Found late once; its score becomes 4.
        fleet.handle(Micros(1_000_000), Event::Tick, &mut Vec::new());
        let desk = fleet.desk.as_mut().expect("a ledger");
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
        fleet.branch = Some(Branch::new(clerk, Micros(0)));
        (fleet.traffic.heard, fleet.traffic.sent) = (41, 42);
        let strangers = DatagramError::ALL.into_iter().zip(51..);
        fleet.traffic.strangers = strangers.collect();
        fleet
    }
}
