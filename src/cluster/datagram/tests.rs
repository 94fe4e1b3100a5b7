//! Decoding of datagrams that are complete, truncated, modified, of another cluster, or too long.

use crate::cluster::datagram::{cluster_tag, decode, encode, DatagramError, Payload, MAX_DATAGRAM_BYTES};

#[test]
fn decodes_a_complete_datagram_and_rejects_every_modified_or_truncated_one() {
    let payload = Payload::Swim { known_incarnation: 77, is_present: true, suspicion: Some(3) };
    let complete = encode(cluster_tag("norte"), &payload, b"inner").expect("short enough");
    assert_eq!(decode(cluster_tag("norte"), &complete), Ok((payload.clone(), &b"inner"[..])));
    assert_eq!(decode(cluster_tag("sur"), &complete), Err(DatagramError::OtherCluster));
    for length in 0..complete.len() {
        assert!(decode(cluster_tag("norte"), &complete[..length]).is_err(), "truncated to {length} bytes");
    }
    for offset in 0..complete.len() {
        let mut modified = complete.clone();
        modified[offset] ^= 0x10;
        assert!(decode(cluster_tag("norte"), &modified).is_err(), "modified at byte {offset}");
    }
    let too_long = [0; MAX_DATAGRAM_BYTES + 1];
    assert_eq!(decode(cluster_tag("norte"), &too_long), Err(DatagramError::Oversized));
    assert_eq!(encode(cluster_tag("norte"), &payload, &[0; MAX_DATAGRAM_BYTES]), None);
}
