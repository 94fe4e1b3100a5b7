//! Datagrams between gateways: for each pair an address on either side, boundaries kept, the sender seen at the
//! address that the receiver knows it by.

use crate::fault_targets::Party;
use crate::link::Links;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::time::{sleep, Duration};

/// The longest datagram that is carried; longer ones are dropped, as a network would drop their fragments.
pub const LONGEST: usize = 9000;
/// The pause after a read that failed: a receiver that is not there answers a send with an error.
const PAUSE: Duration = Duration::from_millis(1);

/// The addresses of all gateways, each as every other one sees them.
pub struct Mesh {
    /// `seen[a][b]`: where `a` sends what is for `b`.
    pub seen: Vec<Vec<SocketAddr>>,
    /// Where each gateway has to listen.
    pub own: Vec<SocketAddr>,
}

impl Mesh {
    /// Opens the relays: `ips` holds the address that is set aside for each gateway's side, `own` where each
    /// one listens.
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
                // What comes in where `a` reaches `b` goes out to `b` from where `b` reaches `a`.
                let (from, out) = (sockets[a][b].clone(), sockets[b][a].clone());
                let link = links.get(Party::Gateway(a), Party::Gateway(b));
                let (sender, to) = (own[a], own[b]);
                tokio::spawn(async move {
                    let mut buffer = vec![0; LONGEST + 1];
                    loop {
                        match from.recv_from(&mut buffer).await {
                            // Only the gateway whose address this is may be heard here.
                            Ok((length, peer)) if length <= LONGEST && peer.ip() == sender.ip() => {
                                let fate = link.datagram();
                                for _ in 0..fate.copies {
                                    carry(&out, buffer[..length].to_vec(), to, fate.delay);
                                }
                            }
                            Ok(_) => {}
                            Err(_) => sleep(PAUSE).await,
                        }
                    }
                });
            }
        }
        Ok(Mesh { seen, own })
    }
}

fn carry(out: &Arc<UdpSocket>, bytes: Vec<u8>, to: SocketAddr, delay: Duration) {
    let out = out.clone();
    tokio::spawn(async move {
        if !delay.is_zero() {
            sleep(delay).await;
        }
        // Nobody hears a datagram to a process that is not there.
        let _ = out.send_to(&bytes, to).await;
    });
}
