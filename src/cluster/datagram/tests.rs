//! Datagrams that are whole, cut, changed, of another cluster, or too long.

use crate::cluster::datagram::{cluster_tag, decode, encode, DatagramError, Payload, MAX_DATAGRAM_BYTES};

#[test]
fn reads_a_whole_datagram_and_rejects_every_changed_or_cut_one() {
    let payload = Payload::Swim { known_incarnation: 77, is_present: true, suspicion: Some(3) };
    let whole = encode(cluster_tag("norte"), &payload, b"inner").expect("short enough");
    assert_eq!(decode(cluster_tag("norte"), &whole), Ok((payload.clone(), &b"inner"[..])));
    assert_eq!(decode(cluster_tag("sur"), &whole), Err(DatagramError::OtherCluster));
    for cut in 0..whole.len() {
        assert!(decode(cluster_tag("norte"), &whole[..cut]).is_err(), "cut at {cut}");
    }
    for at in 0..whole.len() {
        let mut changed = whole.clone();
        changed[at] ^= 0x10;
        assert!(decode(cluster_tag("norte"), &changed).is_err(), "changed at {at}");
    }
    let too_long = [0; MAX_DATAGRAM_BYTES + 1];
    assert_eq!(decode(cluster_tag("norte"), &too_long), Err(DatagramError::Oversized));
    assert_eq!(encode(cluster_tag("norte"), &payload, &[0; MAX_DATAGRAM_BYTES]), None);
}
