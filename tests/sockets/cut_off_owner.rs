//! A gateway that owns requests is cut off from the other gateways, which hold the records of these requests, while it
//! reaches its clients and backends all the time.

use crate::takeover::start_ledger_gateway;
use crate::world::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
/// Enough that each request has one of its own.
const BACKENDS: usize = 16;
const LEASE_MS: u64 = 400;
/// Time for which records live: long enough for a request with its whole budget.
const LIFETIME_MS: u64 = 6000;
const BUDGET: Duration = Duration::from_millis(3000);
/// An attempt may begin this long after its client has gone.
const GRACE: Duration = Duration::from_millis(150);
/// A backend notices this late that the connection of an attempt was closed.
const NOTICE_TIME: Duration = Duration::from_millis(50);
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

/// Cluster file of a gateway that has not started, and the socket that reserves its address until it does.
struct ReservedGateway {
    file: PathBuf,
    address: UdpSocket,
}

/// Writes the cluster files of three gateways; the links of the first one are severed while the flag is set.
fn linked_cluster_files(severed: &Arc<AtomicBool>) -> Vec<ReservedGateway> {
    let reserved: Vec<UdpSocket> =
        (0..GATEWAYS).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
    let addresses: Vec<SocketAddr> =
        reserved.iter().map(|socket| socket.local_addr().expect("the socket is bound")).collect();
    let never = Arc::new(AtomicBool::new(false));
    let write_file = |number: usize| {
        let others = (0..GATEWAYS).filter(|other| *other != number);
        let link = |other: usize| {
            let severed = if number == 0 || other == 0 { severed } else { &never };
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
    let files: Vec<PathBuf> = (0..GATEWAYS).map(write_file).collect();
    files.into_iter().zip(reserved).map(|(file, address)| ReservedGateway { file, address }).collect()
}

/// One attempt, as the backend saw it.
#[derive(Clone, Debug)]
struct Attempt {
    key: String,
    began: Instant,
    ended: Option<Instant>,
}

/// Backends that work on the first attempt of a key for as long as the request says, and on a repeat for a tenth of a second.
struct RecordingBackends {
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

const REPEAT_WORK: Duration = Duration::from_millis(100);

impl RecordingBackends {
    /// Starts a backend. Returns its address.
    fn start_one(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("the socket is bound");
        let recorded = self.attempts.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let recorded = recorded.clone();
                thread::spawn(move || serve(stream, &recorded));
            }
        });
        address
    }

    fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().expect("no panic").clone()
    }

    fn wait_for_attempts(&self, count: usize) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.attempts().len() < count {
            assert!(Instant::now() < deadline, "the requests were not forwarded");
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Serves the requests of one connection.
fn serve(stream: TcpStream, attempts: &Mutex<Vec<Attempt>>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
    let mut writer = stream.try_clone().expect("a socket");
    while let Some(message) = Message::read(&mut reader) {
        let key = message.header("idempotency-key").expect("a key").to_string();
        let work = message.line.split("work=").nth(1).and_then(|rest| rest.split(' ').next());
        let work = Duration::from_millis(work.and_then(|work| work.parse().ok()).expect("the work"));
        let (number, is_repeat) = {
            let mut attempts = attempts.lock().expect("no panic");
            let is_repeat = attempts.iter().any(|attempt| attempt.key == key);
            attempts.push(Attempt { key, began: Instant::now(), ended: None });
            (attempts.len() - 1, is_repeat)
        };
        let stays = works_for(&stream, if is_repeat { REPEAT_WORK } else { work });
        attempts.lock().expect("no panic")[number].ended = Some(Instant::now());
        if !stays || writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone").is_err() {
            return;
        }
    }
}

/// Waits for this long. Returns whether the gateway has kept the connection open.
fn works_for(stream: &TcpStream, work: Duration) -> bool {
    let until = Instant::now() + work;
    let mut byte = [0];
    while Instant::now() < until {
        stream.set_read_timeout(Some(Duration::from_millis(10))).expect("a socket");
        if matches!(stream.peek(&mut byte), Ok(0)) {
            return false;
        }
    }
    stream.set_read_timeout(None).expect("a socket");
    true
}

/// The answer of one request.
#[derive(Clone, Debug)]
struct Answer {
    key: String,
    status: u16,
    at: Instant,
}

/// A cluster whose first gateway has sent some requests to the backend.
struct OwnedRequests {
    severed: Arc<AtomicBool>,
    backends: RecordingBackends,
    gateways: Vec<Gateway>,
    clients: Vec<(String, Client)>,
    sent_at: Instant,
    _services: (Discovery, Stub),
}

impl OwnedRequests {
    /// Starts the cluster, and a request for each of these times that the backend works, in milliseconds.
    fn start(works_ms: &[u64]) -> OwnedRequests {
        let severed = Arc::new(AtomicBool::new(false));
        let backends = RecordingBackends { attempts: Arc::default() };
        let members: Vec<String> = (0..BACKENDS)
            .map(|number| backend_entry(&format!("s-{number}"), backends.start_one(), "ready"))
            .collect();
        let discovery = Discovery::start(&members.join(","));
        let counter = counter_stub();
        let start = |(number, ReservedGateway { file, address })| {
            drop(address);
            start_ledger_gateway(number, &discovery, &counter, &file)
        };
        let gateways: Vec<Gateway> =
            linked_cluster_files(&severed).into_iter().enumerate().map(start).collect();
        for gateway in &gateways {
            gateway.wait_ready();
            gateway.wait_for_metric("fleet.present", GATEWAYS as u64);
        }
        gateways.iter().for_each(wait_for_vote);
        let sent_at = Instant::now();
        let send = |(number, work_ms): (usize, &u64)| {
            let key = format!("k-{number}");
            let text = with_new_customer(&request("buy", BUDGET.as_millis() as u32))
                .replace("k-17", &key)
                .replace("&x=1", &format!("&work={work_ms}"));
            let mut client = gateways[0].client();
            client.send(&text);
            (key, client)
        };
        let clients = works_ms.iter().enumerate().map(send).collect();
        backends.wait_for_attempts(works_ms.len());
        OwnedRequests { severed, backends, gateways, clients, sent_at, _services: (discovery, counter) }
    }

    /// Reads the answers, each of whose clients closes its connection then.
    fn answers(&mut self) -> Vec<Answer> {
        let read = |(key, mut client): (String, Client)| {
            thread::spawn(move || {
                let status = client.read_response().expect("an answer").status();
                Answer { key, status, at: Instant::now() }
            })
        };
        let readers: Vec<_> = self.clients.drain(..).map(read).collect();
        let answers: Vec<Answer> =
            readers.into_iter().map(|reader| reader.join().expect("the reader ends")).collect();
        let late: Vec<&Answer> = answers.iter().filter(|answer| answer.at > self.sent_at + BUDGET).collect();
        assert!(late.is_empty(), "answered late: {late:?}");
        answers
    }
}

fn wait_for_vote(gateway: &Gateway) {
    let deadline = Instant::now() + 2 * WAIT_TIMEOUT;
    while gateway.metric("fleet.ledger.votes") == 0 {
        assert!(Instant::now() < deadline, "the gateway has no vote");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Waits until the other gateways have had time to finish abandoned requests, and checks the attempts.
fn check_attempts(answers: &[Answer], backends: &RecordingBackends) {
    thread::sleep(Duration::from_millis(3_000));
    let attempts = backends.attempts();
    for (number, later) in attempts.iter().enumerate() {
        let answer = answers.iter().find(|answer| answer.key == later.key).expect("an answer");
        assert!(later.began <= answer.at + GRACE, "{later:?} began after {answer:?}");
        let overlaps = |earlier: &&Attempt| {
            earlier.key == later.key && earlier.ended.is_none_or(|end| end > later.began + NOTICE_TIME)
        };
        let earlier = attempts[..number].iter().find(overlaps);
        assert!(earlier.is_none(), "two attempts at once: {earlier:?}, {later:?}");
    }
}

// Guards against other gateways that act for an owner whom they merely can't hear, after it has answered its clients.
#[test]
fn requests_of_a_gateway_that_is_cut_off_are_not_sent_again_after_their_answers() {
    let mut owned = OwnedRequests::start(&[40, 90, 150, 210, 270, 340, 500, 700, 1_200, 1_900]);
    owned.severed.store(true, Ordering::SeqCst);
    let answers = owned.answers();
    check_attempts(&answers, &owned.backends);
    // Those that end while the lease runs have their answer, although it is given late.
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert!(served >= 4, "{answers:?}");
}

// Guards against clients that wait for their whole budget although the others are heard again.
#[test]
fn requests_of_a_gateway_that_is_cut_off_for_a_moment_are_served_once_the_others_are_heard_again() {
    let mut owned = OwnedRequests::start(&[150, 400, 700]);
    owned.severed.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(1_500));
    owned.severed.store(false, Ordering::SeqCst);
    let answers = owned.answers();
    assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
    check_attempts(&answers, &owned.backends);
}

// Guards against abandoned work: behind the same links, the others finish the requests of a gateway that was killed.
#[test]
fn requests_of_a_gateway_that_was_killed_are_finished_by_the_others() {
    let mut owned = OwnedRequests::start(&[1_000, 1_700, 2_500]);
    owned.gateways[0].child.kill().expect("the process is killed");
    owned.gateways[0].child.wait().expect("the process exits");
    let deadline = Instant::now() + Duration::from_millis(2_500);
    let finished =
        || -> u64 { owned.gateways[1..].iter().map(|gateway| gateway.metric("fleet.ledger.finished")).sum() };
    while finished() < 3 {
        assert!(Instant::now() < deadline, "{} finished: {:?}", finished(), owned.backends.attempts());
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(owned.backends.attempts().len(), 6);
}
