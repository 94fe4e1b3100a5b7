//! Links on real sockets: silent cuts, resets, and datagrams that keep their boundaries and their sender.

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

/// Long enough on a busy machine.
const PATIENCE: Duration = Duration::from_secs(10);
/// What has not come by then is held up.
const HELD_UP: Duration = Duration::from_millis(300);
const CUT: LinkChange =
    LinkChange { cut: true, delay_us: 0, jitter_us: 0, loss: 0, duplicate: 0, reorder: 0 };

fn links() -> Links {
    links_of("")
}

/// Links of a scenario with these lines.
fn links_of(lines: &str) -> Links {
    let text = format!("name = \"x\"\nabout = \"x.\"\nlength_s = 5\n{lines}");
    Links::new(&Scenario::parse(PathBuf::from("x"), &text, &[]).expect("good"), 1)
}

fn local() -> IpAddr {
    Ipv4Addr::LOCALHOST.into()
}

/// A door of gateway 0 to backend 0, which sends back what it hears.
fn echo(links: &Links, alive: &watch::Sender<bool>) -> GatewayListener {
    let (gateway, backend) = (Party::Gateway(0), Party::Backend(0));
    let way =
        Way { up: links.get(gateway, backend), down: links.get(backend, gateway), clock: Clock::default() };
    let serve: Serve = Arc::new(|stream, _| {
        tokio::spawn(async move {
            let (mut read, mut write) = tokio::io::split(stream);
            // Ends with the connection.
            let _ = tokio::io::copy(&mut read, &mut write).await;
        });
    });
    GatewayListener::open(local(), way, alive.subscribe(), Arc::default(), serve).expect("a port")
}

async fn says(stream: &mut TcpStream, text: &[u8], within: Duration) -> bool {
    stream.write_all(text).await.expect("open");
    hears(stream, text, within).await
}

async fn hears(stream: &mut TcpStream, text: &[u8], within: Duration) -> bool {
    let mut buffer = vec![0; text.len()];
    matches!(timeout(within, stream.read_exact(&mut buffer)).await, Ok(Ok(_)) if buffer == text)
}

#[tokio::test(flavor = "multi_thread")]
async fn over_a_cut_nothing_crosses_nothing_comes_up_and_after_it_both_go_on() {
    let (links, alive) = (links(), watch::Sender::new(true));
    let door = echo(&links, &alive);
    let link = links.get(Party::Gateway(0), Party::Backend(0));
    let mut old = TcpStream::connect(door.address).await.expect("it listens");
    assert!(says(&mut old, b"before", PATIENCE).await);
    link.change(&CUT, true);
    assert!(!says(&mut old, b"during", HELD_UP).await, "nothing crosses");
    let mut fresh = tokio::spawn(TcpStream::connect(door.address));
    assert!(timeout(HELD_UP, &mut fresh).await.is_err(), "a new connection neither comes up nor fails");
    link.change(&CUT, false);
    assert!(hears(&mut old, b"during", PATIENCE).await, "what was held up arrives");
    let mut fresh = timeout(PATIENCE, fresh).await.expect("in time").expect("no panic").expect("it comes up");
    assert!(says(&mut fresh, b"after", PATIENCE).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_cuts_at_once_end_with_the_later_one() {
    let (links, alive) = (links(), watch::Sender::new(true));
    let door = echo(&links, &alive);
    let link = links.get(Party::Backend(0), Party::Gateway(0));
    let mut stream = TcpStream::connect(door.address).await.expect("it listens");
    assert!(says(&mut stream, b"before", PATIENCE).await);
    link.change(&CUT, true);
    link.change(&CUT, true);
    link.change(&CUT, false);
    assert!(!says(&mut stream, b"during", HELD_UP).await, "one of them is still on");
    link.change(&CUT, false);
    assert!(hears(&mut stream, b"during", PATIENCE).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reset_or_a_death_breaks_connections_and_only_death_refuses_new_ones() {
    let (links, alive) = (links(), watch::Sender::new(true));
    let door = echo(&links, &alive);
    let broken = |mut stream: TcpStream| async move {
        let mut byte = [0; 1];
        matches!(timeout(PATIENCE, stream.read(&mut byte)).await, Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionReset)
    };
    let mut stream = TcpStream::connect(door.address).await.expect("it listens");
    assert!(says(&mut stream, b"before", PATIENCE).await);
    links.get(Party::Gateway(0), Party::Backend(0)).reset();
    assert!(broken(stream).await);
    let mut stream = TcpStream::connect(door.address).await.expect("it listens still");
    assert!(says(&mut stream, b"again", PATIENCE).await);
    alive.send_replace(false);
    assert!(broken(stream).await);
    // Its connections and its listener end in tasks of their own, in no order.
    let refused = async {
        while TcpStream::connect(door.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(PATIENCE, refused).await.expect("a dead party refuses");
    for _ in 0..20 {
        assert!(TcpStream::connect(door.address).await.is_err(), "and goes on refusing");
    }
    alive.send_replace(true);
    let back = async {
        loop {
            match TcpStream::connect(door.address).await {
                Ok(stream) => return stream,
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    };
    let mut stream = timeout(PATIENCE, back).await.expect("at the same address");
    assert!(says(&mut stream, b"back", PATIENCE).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn datagrams_keep_boundaries_and_their_receiver_sees_the_sender_where_it_knows_it() {
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
            timeout(PATIENCE, parties[1].recv_from(&mut buffer)).await.expect("in time").expect("received");
        assert_eq!(
            (got, from),
            (length, mesh.seen[1][0]),
            "one datagram, from where gateway 1 knows gateway 0"
        );
    }
    parties[1].send_to(b"back", mesh.seen[1][0]).await.expect("sent");
    let (got, from) =
        timeout(PATIENCE, parties[0].recv_from(&mut buffer)).await.expect("in time").expect("received");
    assert_eq!((&buffer[..got], from), (&b"back"[..], mesh.seen[0][1]));
    // One way is cut, the other is not; a doubled one comes twice.
    links.get(Party::Gateway(0), Party::Gateway(1)).change(&CUT, true);
    links
        .get(Party::Gateway(1), Party::Gateway(0))
        .change(&LinkChange { cut: false, duplicate: 1_000_000, ..CUT }, true);
    parties[0].send_to(b"lost", mesh.seen[0][1]).await.expect("sent");
    assert!(timeout(HELD_UP, parties[1].recv_from(&mut buffer)).await.is_err());
    parties[1].send_to(b"double", mesh.seen[1][0]).await.expect("sent");
    for _ in 0..2 {
        let (got, _) =
            timeout(PATIENCE, parties[0].recv_from(&mut buffer)).await.expect("in time").expect("received");
        assert_eq!(&buffer[..got], b"double");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reordered_datagrams_all_come_out_of_turn_and_lost_ones_stay_away() {
    // Without delays of their own, which would overtake each other as well.
    let links = links_of("net.cross_ms = 0\nnet.jitter = 0\n");
    let parties = [
        UdpSocket::bind((local(), 0)).await.expect("a port"),
        UdpSocket::bind((local(), 0)).await.expect("a port"),
    ];
    let own = parties.iter().map(|p| p.local_addr().expect("bound")).collect();
    let mesh = Mesh::open(&[local(), local()], own, &links).await.expect("ports");
    let link = links.get(Party::Gateway(0), Party::Gateway(1));
    let half = LinkChange { cut: false, reorder: 500_000, ..CUT };
    link.change(&half, true);
    let mut heard = Vec::new();
    for number in 0..100u8 {
        parties[0].send_to(&[number], mesh.seen[0][1]).await.expect("sent");
        // One after another, so that only what is held up on purpose is overtaken.
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    while heard.len() < 100 {
        let mut byte = [0];
        timeout(PATIENCE, parties[1].recv_from(&mut byte)).await.expect("all come").expect("received");
        heard.push(byte[0]);
    }
    let overtaken = |place: usize| heard[place..].iter().filter(|later| **later < heard[place]).count();
    let inversions: usize = (0..heard.len()).map(overtaken).sum();
    assert!(inversions > 50, "half of them were overtaken by several behind them: {inversions}");
    heard.sort_unstable();
    assert_eq!(heard, (0..100).collect::<Vec<u8>>(), "each came once");
    link.change(&half, false);
    link.change(&LinkChange { cut: false, loss: 1_000_000, ..CUT }, true);
    parties[0].send_to(b"lost", mesh.seen[0][1]).await.expect("sent");
    assert!(timeout(HELD_UP, parties[1].recv_from(&mut [0; 8])).await.is_err());
}
