//! A gateway owns requests in progress whose records other gateways hold, and is cut off from them, replaced or killed.

use crate::replacement::{wait_until_serving, Platform};
use crate::takeover::start_ledger_gateway;
use crate::world::*;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
/// Enough that each request has one of its own.
const BACKENDS: usize = 16;
const LEASE_MS: u64 = 400;
/// Time for which records live: long enough for a request with its whole budget.
const LIFETIME_MS: u64 = 6000;
const BUDGET: Duration = Duration::from_millis(3000);
const LONGEST_DATAGRAM: usize = 2048;

/// Passes datagrams on, except while `severed` is set. Returns the address to send them to.
fn start_link(to: SocketAddr, severed: Arc<AtomicBool>) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("the socket is bound");
    thread::spawn(move || {
        let mut datagram = [0; LONGEST_DATAGRAM];
        while let Ok(length) = socket.recv(&mut datagram) {
            if !severed.load(Ordering::SeqCst) {
                // A datagram may be lost.
                let _ = socket.send_to(&datagram[..length], to);
            }
        }
    });
    address
}

/// Which links of the first gateway are severed.
#[derive(Default)]
struct Cut {
    from_owner: Arc<AtomicBool>,
    to_owner: Arc<AtomicBool>,
}

impl Cut {
    fn set(&self, severed: bool) {
        self.from_owner.store(severed, Ordering::SeqCst);
        self.to_owner.store(severed, Ordering::SeqCst);
    }
}

/// Writes the cluster files of three gateways.
fn linked_cluster_files(cut: &Cut) -> Vec<PathBuf> {
    let addresses: Vec<SocketAddr> = (0..GATEWAYS).map(|_| free_udp_address()).collect();
    let never = Arc::new(AtomicBool::new(false));
    let write_file = |number: usize| {
        let others = (0..GATEWAYS).filter(|other| *other != number);
        let link = |other: usize| {
            let severed = match (number, other) {
                (0, _) => &cut.from_owner,
                (_, 0) => &cut.to_owner,
                _ => &never,
            };
            format!("g{other} = \"{}\"\n", start_link(addresses[other], severed.clone()))
        };
        let peers: String = others.map(link).collect();
        let text = format!(
            "fleet = \"test\"\nname = \"g{number}\"\nlisten = \"{}\"\nperiod_ms = 200\nseats = [\"g0\", \"g1\", \"g2\"]\n\
            [peers]\n{peers}[ledger]\nholders = 3\nlease_ms = {LEASE_MS}\nlife_ms = {LIFETIME_MS}\nwait_ms = 100\n\
            finish = [\"buy\"]\n",
            addresses[number]
        );
        let path = std::env::temp_dir().join(format!(
            "cut-{}-{}.toml",
            std::process::id(),
            addresses[number].port()
        ));
        std::fs::write(&path, text).expect("the file is written");
        path
    };
    (0..GATEWAYS).map(write_file).collect()
}

/// A cluster whose first gateway has sent some requests to the backend.
struct OwnedRequests {
    cut: Cut,
    backends: RecordingBackends,
    owner: OwnerCommand,
    gateways: Vec<Gateway>,
    clients: Vec<WaitingClient>,
    sent_at: Instant,
    _services: (Discovery, Stub),
}

/// How the processes of the first gateway are started.
struct OwnerCommand {
    platform: Platform,
    config: String,
    file: PathBuf,
}

impl OwnerCommand {
    fn start(&self) -> Gateway {
        let config = self.config.replace("\"balancers\":2", "\"balancers\":3");
        let mut command = self.platform.command(&config);
        command.env("NODE_FLEET", &self.file);
        Gateway::spawn(command)
    }
}

/// A client that has sent a request and has no answer yet.
struct WaitingClient {
    key: String,
    /// The request.
    text: String,
    client: Client,
}

impl OwnedRequests {
    /// Starts the cluster, and a request for each of these times that the backend works, in milliseconds.
    fn start(works_ms: &[u64]) -> OwnedRequests {
        let cut = Cut::default();
        let backends = RecordingBackends::default();
        let discovery = Discovery::start(&backends.start(BACKENDS));
        let counter = counter_stub();
        let mut files = linked_cluster_files(&cut).into_iter();
        let file = files.next().expect("a file of each gateway");
        let config = config(discovery.stub.address, counter.address);
        let owner = OwnerCommand { platform: Platform::new(), config, file };
        let start = |(number, file)| start_ledger_gateway(number + 1, &discovery, &counter, &file);
        let mut gateways = vec![owner.start()];
        gateways.extend(files.enumerate().map(start));
        for gateway in &gateways {
            wait_until_serving(gateway);
            gateway.wait_for_metric("fleet.present", GATEWAYS as u64);
        }
        gateways.iter().for_each(wait_for_vote);
        let sent_at = Instant::now();
        let send = |work_ms: &u64| WaitingClient::send(&gateways[0], *work_ms);
        let clients = works_ms.iter().map(send).collect();
        backends.wait_for_attempts(works_ms.len());
        let services = (discovery, counter);
        OwnedRequests { cut, backends, owner, gateways, clients, sent_at, _services: services }
    }

    /// Reads the answers, each of whose clients closes its connection then.
    fn answers(&mut self) -> Vec<Answer> {
        let answers = read_answers(std::mem::take(&mut self.clients));
        let late: Vec<&Answer> = answers.iter().filter(|answer| answer.at > self.sent_at + BUDGET).collect();
        assert!(late.is_empty(), "answered late: {late:?}");
        answers
    }
}

impl WaitingClient {
    /// Sends a request on a new connection, on which the backend works for this long.
    fn send(gateway: &Gateway, work_ms: u64) -> WaitingClient {
        static LAST_KEY: AtomicUsize = AtomicUsize::new(0);
        let key = format!("k-{}", LAST_KEY.fetch_add(1, Ordering::Relaxed));
        let text = with_new_customer(&request("buy", BUDGET.as_millis() as u32))
            .replace("k-17", &key)
            .replace("&x=1", &format!("&work={work_ms}"));
        let mut client = gateway.client();
        client.send(&text);
        WaitingClient { key, text, client }
    }
}

fn read_answers(clients: Vec<WaitingClient>) -> Vec<Answer> {
    let read = |WaitingClient { key, mut client, .. }| {
        thread::spawn(move || {
            let status = client.read_response().expect("an answer").status();
            Answer { key, status, at: Instant::now() }
        })
    };
    let readers: Vec<_> = clients.into_iter().map(read).collect();
    readers.into_iter().map(|reader| reader.join().expect("the reader ends")).collect()
}

/// Returns the attempts once the other gateways have had time to finish abandoned requests.
fn attempts_in_the_end(owned: &OwnedRequests) -> Vec<Attempt> {
    thread::sleep(Duration::from_millis(3_000));
    owned.backends.attempts()
}

fn wait_for_vote(gateway: &Gateway) {
    let deadline = Instant::now() + 2 * WAIT_TIMEOUT;
    while gateway.metric("fleet.ledger.votes") == 0 {
        assert!(Instant::now() < deadline, "the gateway has no vote");
        thread::sleep(Duration::from_millis(20));
    }
}

// Guards against other gateways that act for an owner whom they merely can't hear, after it has answered its clients.
#[test]
fn requests_of_a_gateway_that_is_cut_off_are_not_sent_again_after_their_answers() {
    check_disrupted_owner(|owned| owned.cut.set(true));
}

// Guards against an owner that hears the others, who do not hear it.
#[test]
fn requests_of_a_gateway_that_is_not_heard_are_not_sent_again_after_their_answers() {
    check_disrupted_owner(|owned| owned.cut.from_owner.store(true, Ordering::SeqCst));
}

// Guards against an owner that is heard, but does not hear that its lease was renewed.
#[test]
fn requests_of_a_gateway_that_hears_nobody_are_not_sent_again_after_their_answers() {
    check_disrupted_owner(|owned| owned.cut.to_owner.store(true, Ordering::SeqCst));
}

// Guards against an owner that answers from before its pause when it goes on. Attempts that are out during a pause can't be
// cancelled, so that others may be made meanwhile.
#[test]
fn requests_of_a_gateway_that_is_paused_are_not_sent_again_after_their_answers() {
    let mut owned = OwnedRequests::start(&[40, 150, 300, 500, 900, 1_500]);
    owned.gateways[0].signal("STOP");
    thread::sleep(Duration::from_millis(1_300));
    owned.gateways[0].signal("CONT");
    let answers = owned.answers();
    check_no_attempt_after_answer(&answers, &attempts_in_the_end(&owned));
}

/// Disrupts the owner of requests of many lengths, and checks their attempts.
fn check_disrupted_owner(disrupt: impl FnOnce(&OwnedRequests)) {
    let mut owned = OwnedRequests::start(&[40, 90, 150, 210, 270, 340, 500, 700, 1_200, 1_900]);
    disrupt(&owned);
    let answers = owned.answers();
    check_attempts(&answers, &attempts_in_the_end(&owned));
    // Those that end while the lease runs have their answer, although it may be given late.
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert!(served >= 4, "{answers:?}");
}

// Guards against clients that wait for their whole budget although the others are heard again.
#[test]
fn requests_of_a_gateway_that_is_cut_off_for_a_moment_are_served_once_the_others_are_heard_again() {
    let mut owned = OwnedRequests::start(&[150, 400, 700]);
    owned.cut.set(true);
    thread::sleep(Duration::from_millis(1_500));
    owned.cut.set(false);
    let answers = owned.answers();
    assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
    check_attempts(&answers, &attempts_in_the_end(&owned));
}

/// Waits until the other gateways have finished this many requests.
fn wait_until_finished(owned: &OwnedRequests, others: &[&Gateway], count: u64) {
    let deadline = Instant::now() + Duration::from_millis(2_500);
    let finished = || -> u64 { others.iter().map(|gateway| gateway.metric("fleet.ledger.finished")).sum() };
    while finished() < count {
        assert!(Instant::now() < deadline, "{} finished: {:?}", finished(), owned.backends.attempts());
        thread::sleep(Duration::from_millis(10));
    }
}

// Guards against abandoned work: behind the same links, the others finish the requests of a gateway that was killed.
#[test]
fn requests_of_a_gateway_that_was_killed_are_finished_by_the_others() {
    let mut owned = OwnedRequests::start(&[1_000, 1_700, 2_500]);
    owned.gateways[0].child.kill().expect("the process is killed");
    owned.gateways[0].child.wait().expect("the process exits");
    wait_until_finished(&owned, &[&owned.gateways[1], &owned.gateways[2]], 3);
    assert_eq!(owned.backends.attempts().len(), 6);
}

// Guards against claims that are dropped at a hand-over, so that other gateways send the requests of the predecessor again.
#[test]
fn requests_in_progress_at_a_replaced_process_are_sent_once() {
    let works_ms = [500, 900, 1_300, 1_700, 2_100, 2_500];
    let mut owned = OwnedRequests::start(&works_ms);
    let successor = owned.owner.start();
    wait_until_serving(&successor);
    // Repeats at the successor follow the record.
    let repeat = |waiting: &WaitingClient| {
        let mut client = successor.client();
        client.send(&waiting.text);
        WaitingClient { key: waiting.key.clone(), text: String::new(), client }
    };
    let repeats: Vec<WaitingClient> = owned.clients[4..].iter().map(repeat).collect();
    thread::sleep(Duration::from_millis(300));
    owned.gateways[0].terminate();
    let answers = owned.answers();
    let repeated = read_answers(repeats);
    let attempts = attempts_in_the_end(&owned);
    assert!(answers.iter().chain(&repeated).all(|answer| answer.status == 200), "{answers:?} {repeated:?}");
    assert_eq!(attempts.len(), works_ms.len(), "{attempts:?}");
    assert_eq!(owned.gateways[0].wait_for_exit(), Some(0));
}

// Guards against replies that reach only the last of several processes.
#[test]
fn requests_in_progress_are_sent_once_while_two_processes_replace_each_other() {
    let works_ms = [1_200, 1_800, 2_400];
    let mut owned = OwnedRequests::start(&works_ms);
    let second = owned.owner.start();
    wait_until_serving(&second);
    owned.clients.extend(works_ms.map(|work_ms| WaitingClient::send(&second, work_ms)));
    owned.backends.wait_for_attempts(2 * works_ms.len());
    let third = owned.owner.start();
    wait_until_serving(&third);
    let answers = read_answers(std::mem::take(&mut owned.clients));
    let attempts = attempts_in_the_end(&owned);
    assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
    assert_eq!(attempts.len(), 2 * works_ms.len(), "{attempts:?}");
}

// Guards against requests that are refused as their claim is opened while the cluster's socket changes hands.
#[test]
fn requests_that_arrive_during_a_replacement_are_served_once() {
    const REQUESTS: usize = 200;
    let mut owned = OwnedRequests::start(&[]);
    let predecessor = owned.gateways.remove(0);
    let (answers, successor) = thread::scope(|scope| {
        let sender = scope.spawn(|| {
            let send = |_| {
                thread::sleep(Duration::from_millis(2));
                WaitingClient::send(&predecessor, 15)
            };
            read_answers((0..REQUESTS).map(send).collect())
        });
        thread::sleep(Duration::from_millis(50));
        let successor = owned.owner.start();
        (sender.join().expect("the sender ends"), successor)
    });
    wait_until_serving(&successor);
    let attempts = attempts_in_the_end(&owned);
    check_attempts(&answers, &attempts);
    let refused: Vec<&Answer> = answers.iter().filter(|answer| answer.status != 200).collect();
    assert!(refused.is_empty(), "{refused:?}");
    assert_eq!(attempts.len(), REQUESTS);
}

// Guards against abandoned work: a predecessor that is killed after the hand-over is no longer heard from.
#[test]
fn requests_of_a_replaced_process_that_was_killed_are_finished_by_the_others() {
    let mut owned = OwnedRequests::start(&[1_600, 1_900, 2_500]);
    let successor = owned.owner.start();
    wait_until_serving(&successor);
    thread::sleep(Duration::from_millis(200));
    owned.gateways[0].child.kill().expect("the process is killed");
    owned.gateways[0].child.wait().expect("the process exits");
    wait_until_finished(&owned, &[&successor, &owned.gateways[1], &owned.gateways[2]], 3);
    assert_eq!(owned.backends.attempts().len(), 6);
}
