//! Clients of a soak that are not judged: slow, unsound, or gone too early.

use super::backend::Behaviour;
use super::client::request_bytes;
use super::plan::{CrowdKind, SoakPlan};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Time budget of the crowd's requests.
const BUDGET: Duration = Duration::from_secs(2);
/// How long a client stays on one connection.
const STAY: Duration = Duration::from_secs(4);
/// Pause before a client connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Header fields of a head with many.
const FIELDS: usize = 85;
/// Requests in one write of a flood.
const FLOOD_BATCH: usize = 50;

/// The clients of a crowd, which end when this is dropped.
pub struct Crowd(JoinSet<()>);

impl Crowd {
    /// Ends all clients.
    pub fn stop(mut self) {
        self.0.abort_all();
    }
}

/// Starts the crowd of a play.
pub fn start(gateway: SocketAddr, plan: &SoakPlan) -> Crowd {
    let mut clients = JoinSet::new();
    for number in 0..plan.crowd {
        clients.spawn(repeat(gateway, plan.crowd_kinds[number % plan.crowd_kinds.len()]));
    }
    Crowd(clients)
}

async fn repeat(gateway: SocketAddr, kind: CrowdKind) {
    loop {
        // Every end of a connection is an end.
        let _ = timeout(STAY, once(gateway, kind)).await;
        sleep(RECONNECT_PAUSE).await;
    }
}

async fn once(gateway: SocketAddr, kind: CrowdKind) -> io::Result<()> {
    let mut stream = TcpStream::connect(gateway).await?;
    stream.write_all(&first_bytes(kind)).await?;
    match kind {
        CrowdKind::UnreadResponse => sleep(STAY).await,
        CrowdKind::Leave => return Ok(()),
        CrowdKind::Flood => {
            let (mut reading, mut writing) = stream.into_split();
            let discard =
                async move { tokio::io::copy(&mut reading, &mut tokio::io::sink()).await.map(drop) };
            let flood = async move {
                loop {
                    writing.write_all(&first_bytes(kind)).await?;
                }
            };
            tokio::select! {
                ended = discard => return ended,
                ended = flood => return ended,
            }
        }
        _ => {
            let mut answer = [0; 1024];
            while stream.read(&mut answer).await? > 0 {}
        }
    }
    Ok(())
}

fn first_bytes(kind: CrowdKind) -> Vec<u8> {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let id = format!("c{:x}", LAST.fetch_add(1, Ordering::Relaxed));
    let get = |behaviour| request_bytes(&id, "look", behaviour, BUDGET, 0, false);
    let post = |length| request_bytes(&id, "buy", Behaviour::Answer, BUDGET, length, false);
    let fields: Vec<u8> = (0..FIELDS).flat_map(|field| format!("h{field}: v\r\n").into_bytes()).collect();
    let without_end = |bytes: &[u8], cut: usize| bytes[..bytes.len() - cut].to_vec();
    match kind {
        CrowdKind::HalfHead => [without_end(&get(Behaviour::Answer), 2), fields].concat(),
        CrowdKind::ManyFields => {
            let head = without_end(&post(60_000), 60_000 + 2);
            [head, fields, b"\r\n".to_vec()].concat()
        }
        CrowdKind::HalfBody => without_end(&post(600_000), 300_000),
        CrowdKind::UnreadResponse => get(Behaviour::WriteMuch),
        CrowdKind::Leave => without_end(&post(60_000), 20_000),
        CrowdKind::Flood => b"GET /none HTTP/1.1\r\nHost: h\r\n\r\n".repeat(FLOOD_BATCH),
    }
}
