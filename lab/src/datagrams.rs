//! Datagram relays between gateways. Each pair has one relay address per side; datagrams keep their boundaries and arrive
//! from the address by which the receiver knows the sender.

use crate::fault_targets::Party;
use crate::link::Links;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::time::{sleep, Duration};

/// Maximum size of a datagram in bytes. Longer ones are dropped, as a network would drop their fragments.
pub const MAX_DATAGRAM_BYTES: usize = 9000;
/// Pause after a failed read. Reads fail because the kernel reports a send to a closed port as an error.
const ERROR_PAUSE: Duration = Duration::from_millis(1);

/// Relay addresses between all gateways.
pub struct Mesh {
    /// Address to which gateway `a` sends datagrams for gateway `b`, at `seen[a][b]`.
    pub seen: Vec<Vec<SocketAddr>>,
    /// Address at which each gateway listens.
    pub own: Vec<SocketAddr>,
}

impl Mesh {
    /// Opens the relays. `ips` holds the relay address on each gateway's side, `own` the address at which each gateway
    /// listens.
    pub async fn open(ips: &[IpAddr], own: Vec<SocketAddr>, links: &Links) -> io::Result<Mesh> {
        let count = ips.len();
        let mut sockets: Vec<Vec<Arc<UdpSocket>>> = Vec::with_capacity(count);
        for ip in ips {
            let mut row = Vec::with_capacity(count);
            for _ in 0..count {
                row.push(Arc::new(UdpSocket::bind(SocketAddr::new(*ip, 0)).await?));
            }
            sockets.push(row);
        }
        let mut seen = Vec::with_capacity(count);
        for row in &sockets {
            seen.push(row.iter().map(|socket| socket.local_addr()).collect::<io::Result<Vec<_>>>()?);
        }
        for a in 0..count {
            for b in (0..count).filter(|b| *b != a) {
                // Datagrams from `a` for `b` are sent to `b` from the address at which `b` reaches `a`.
                let (from, out) = (sockets[a][b].clone(), sockets[b][a].clone());
                let link = links.get(Party::Gateway(a), Party::Gateway(b));
                let (sender, to) = (own[a], own[b]);
                tokio::spawn(async move {
                    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
                    loop {
                        match from.recv_from(&mut buffer).await {
                            // Only datagrams of the gateway that this address belongs to are relayed.
                            Ok((length, peer))
                                if length <= MAX_DATAGRAM_BYTES && peer.ip() == sender.ip() =>
                            {
                                let delivery = link.datagram();
                                for _ in 0..delivery.copies {
                                    deliver(&out, buffer[..length].to_vec(), to, delivery.delay);
                                }
                            }
                            Ok(_) => {}
                            Err(_) => sleep(ERROR_PAUSE).await,
                        }
                    }
                });
            }
        }
        Ok(Mesh { seen, own })
    }
}

fn deliver(out: &Arc<UdpSocket>, bytes: Vec<u8>, to: SocketAddr, delay: Duration) {
    let out = out.clone();
    tokio::spawn(async move {
        if !delay.is_zero() {
            sleep(delay).await;
        }
        // A datagram to a process that is not running is lost.
        let _ = out.send_to(&bytes, to).await;
    });
}
