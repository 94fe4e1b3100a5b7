//! Links over real sockets: cuts without resets, resets, and datagrams that keep their boundaries and sender address.

use quota_gateway_lab::clock::Clock;
use quota_gateway_lab::datagrams::Mesh;
use quota_gateway_lab::fault_targets::Party;
use quota_gateway_lab::link::Links;
use quota_gateway_lab::plan::LinkChange;
use quota_gateway_lab::relay::{GatewayListener, Serve, Way};
use quota_gateway_lab::scenario::Scenario;
use std::net::{IpAddr, Ipv4Addr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time::timeout;

/// Time-out of operations that must succeed, with allowance for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which data that has not arrived counts as held up.
const HELD_UP: Duration = Duration::from_millis(300);
const CUT: LinkChange =
    LinkChange { cut: true, delay_us: 0, jitter_us: 0, loss: 0, duplicate: 0, reorder: 0 };

fn links() -> Links {
    links_with("")
}

/// Returns the links of a scenario with additional lines.
fn links_with(lines: &str) -> Links {
    let text = format!("name = \"x\"\nabout = \"x.\"\nlength_s = 5\n{lines}");
    Links::new(&Scenario::parse(PathBuf::from("x"), &text, &[]).expect("good"), 1)
}

fn local() -> IpAddr {
    Ipv4Addr::LOCALHOST.into()
}

/// Opens a listener for gateway 0 in front of backend 0, which echoes what it receives.
fn echo(links: &Links, alive: &watch::Sender<bool>) -> GatewayListener {
    let (gateway, backend) = (Party::Gateway(0), Party::Backend(0));
    let way =
        Way { up: links.get(gateway, backend), down: links.get(backend, gateway), clock: Clock::default() };
    let serve: Serve = Arc::new(|stream, _| {
        tokio::spawn(async move {
            let (mut read, mut write) = tokio::io::split(stream);
            // Fails when the connection is reset.
            let _ = tokio::io::copy(&mut read, &mut write).await;
        });
    });
    GatewayListener::open(local(), way, alive.subscribe(), Arc::default(), serve).expect("a port")
}

async fn echoes(stream: &mut TcpStream, text: &[u8], within: Duration) -> bool {
    stream.write_all(text).await.expect("open");
    receives(stream, text, within).await
}

async fn receives(stream: &mut TcpStream, text: &[u8], within: Duration) -> bool {
    let mut buffer = vec![0; text.len()];
    matches!(timeout(within, stream.read_exact(&mut buffer)).await, Ok(Ok(_)) if buffer == text)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_holds_up_data_and_new_connections_until_it_ends() {
    let (links, alive) = (links(), watch::Sender::new(true));
    let listener = echo(&links, &alive);
    let link = links.get(Party::Gateway(0), Party::Backend(0));
    let mut existing = TcpStream::connect(listener.address).await.expect("it listens");
    assert!(echoes(&mut existing, b"before", TIMEOUT).await);
    link.change(&CUT, true);
    assert!(!echoes(&mut existing, b"during", HELD_UP).await, "no data arrives during the cut");
    let mut new_connection = tokio::spawn(TcpStream::connect(listener.address));
    assert!(
        timeout(HELD_UP, &mut new_connection).await.is_err(),
        "a new connection is neither established nor refused"
    );
    link.change(&CUT, false);
    assert!(receives(&mut existing, b"during", TIMEOUT).await, "the held up data arrives");
    let mut new_connection =
        timeout(TIMEOUT, new_connection).await.expect("in time").expect("no panic").expect("connected");
    assert!(echoes(&mut new_connection, b"after", TIMEOUT).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn overlapping_cuts_end_with_the_last_one() {
    let (links, alive) = (links(), watch::Sender::new(true));
    let listener = echo(&links, &alive);
    let link = links.get(Party::Backend(0), Party::Gateway(0));
    let mut stream = TcpStream::connect(listener.address).await.expect("it listens");
    assert!(echoes(&mut stream, b"before", TIMEOUT).await);
    link.change(&CUT, true);
    link.change(&CUT, true);
    link.change(&CUT, false);
    assert!(!echoes(&mut stream, b"during", HELD_UP).await, "one cut is still active");
    link.change(&CUT, false);
    assert!(receives(&mut stream, b"during", TIMEOUT).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reset_breaks_connections_and_a_stopped_party_also_refuses_new_ones() {
    let (links, alive) = (links(), watch::Sender::new(true));
    let listener = echo(&links, &alive);
    let broken = |mut stream: TcpStream| async move {
        let mut byte = [0; 1];
        matches!(timeout(TIMEOUT, stream.read(&mut byte)).await, Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionReset)
    };
    let mut stream = TcpStream::connect(listener.address).await.expect("it listens");
    assert!(echoes(&mut stream, b"before", TIMEOUT).await);
    links.get(Party::Gateway(0), Party::Backend(0)).reset();
    assert!(broken(stream).await);
    let mut stream = TcpStream::connect(listener.address).await.expect("it listens still");
    assert!(echoes(&mut stream, b"again", TIMEOUT).await);
    alive.send_replace(false);
    assert!(broken(stream).await);
    // The connections and the listener end in separate tasks, in no particular order.
    let refused = async {
        while TcpStream::connect(listener.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, refused).await.expect("a stopped party refuses connections");
    for _ in 0..20 {
        assert!(TcpStream::connect(listener.address).await.is_err(), "connections are still refused");
    }
    alive.send_replace(true);
    let back = async {
        loop {
            match TcpStream::connect(listener.address).await {
                Ok(stream) => return stream,
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    };
    let mut stream = timeout(TIMEOUT, back).await.expect("at the same address");
    assert!(echoes(&mut stream, b"back", TIMEOUT).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn datagrams_keep_their_boundaries_and_come_from_the_senders_known_address() {
    let links = links();
    let parties = [
        UdpSocket::bind((local(), 0)).await.expect("a port"),
        UdpSocket::bind((local(), 0)).await.expect("a port"),
    ];
    let own = parties.iter().map(|p| p.local_addr().expect("bound")).collect();
    let mesh = Mesh::open(&[local(), local()], own, &links).await.expect("ports");
    let mut buffer = [0; 2000];
    for length in [1, 1200, 7] {
        parties[0].send_to(&vec![length as u8; length], mesh.seen[0][1]).await.expect("sent");
        let (got, from) =
            timeout(TIMEOUT, parties[1].recv_from(&mut buffer)).await.expect("in time").expect("received");
        assert_eq!(
            (got, from),
            (length, mesh.seen[1][0]),
            "one datagram, from the address by which gateway 1 knows gateway 0"
        );
    }
    parties[1].send_to(b"back", mesh.seen[1][0]).await.expect("sent");
    let (got, from) =
        timeout(TIMEOUT, parties[0].recv_from(&mut buffer)).await.expect("in time").expect("received");
    assert_eq!((&buffer[..got], from), (&b"back"[..], mesh.seen[0][1]));
    // One direction is cut and the other duplicates datagrams, which then arrive twice.
    links.get(Party::Gateway(0), Party::Gateway(1)).change(&CUT, true);
    links
        .get(Party::Gateway(1), Party::Gateway(0))
        .change(&LinkChange { cut: false, duplicate: 1_000_000, ..CUT }, true);
    parties[0].send_to(b"lost", mesh.seen[0][1]).await.expect("sent");
    assert!(timeout(HELD_UP, parties[1].recv_from(&mut buffer)).await.is_err());
    parties[1].send_to(b"double", mesh.seen[1][0]).await.expect("sent");
    for _ in 0..2 {
        let (got, _) =
            timeout(TIMEOUT, parties[0].recv_from(&mut buffer)).await.expect("in time").expect("received");
        assert_eq!(&buffer[..got], b"double");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reordered_datagrams_all_arrive_and_lost_ones_do_not() {
    // No base delay and no jitter, because jitter would reorder datagrams as well.
    let links = links_with("net.cross_ms = 0\nnet.jitter = 0\n");
    let parties = [
        UdpSocket::bind((local(), 0)).await.expect("a port"),
        UdpSocket::bind((local(), 0)).await.expect("a port"),
    ];
    let own = parties.iter().map(|p| p.local_addr().expect("bound")).collect();
    let mesh = Mesh::open(&[local(), local()], own, &links).await.expect("ports");
    let link = links.get(Party::Gateway(0), Party::Gateway(1));
    let reorder_half = LinkChange { cut: false, reorder: 500_000, ..CUT };
    link.change(&reorder_half, true);
    let mut received = Vec::new();
    for number in 0..100u8 {
        parties[0].send_to(&[number], mesh.seen[0][1]).await.expect("sent");
        // Sent with a pause, so that only datagrams delayed by the fault are overtaken.
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    while received.len() < 100 {
        let mut byte = [0];
        timeout(TIMEOUT, parties[1].recv_from(&mut byte))
            .await
            .expect("all datagrams arrive")
            .expect("received");
        received.push(byte[0]);
    }
    let overtaken = |index: usize| received[index..].iter().filter(|later| **later < received[index]).count();
    let inversions: usize = (0..received.len()).map(overtaken).sum();
    assert!(
        inversions > 50,
        "about half of the datagrams must be overtaken by several later ones, got {inversions} inversions"
    );
    received.sort_unstable();
    assert_eq!(received, (0..100).collect::<Vec<u8>>(), "each datagram must arrive once");
    link.change(&reorder_half, false);
    link.change(&LinkChange { cut: false, loss: 1_000_000, ..CUT }, true);
    parties[0].send_to(b"lost", mesh.seen[0][1]).await.expect("sent");
    assert!(timeout(HELD_UP, parties[1].recv_from(&mut [0; 8])).await.is_err());
}
