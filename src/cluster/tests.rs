//! The whole part against bytes that nobody sends.

use crate::cluster::*;
use std::time::Duration;

fn member(name: &str, seed: u64) -> ClusterNode {
    let metadata = MemberMetadata { zone: "z".into(), version: "1".into(), capabilities: 0, advertise: None };
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let settings = Settings {
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
    };
    ClusterNode::new(settings, Micros(0), Micros(1_790_000_000_000_000), seed).expect("sound settings")
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
