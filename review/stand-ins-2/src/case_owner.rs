//! Keyed requests are in progress at a gateway of a small cluster, and its process is replaced, or it is cut off from the
//! other gateways. None of them may send such a request again while its attempt is out, or once its client has its answer
//! and has gone.

use crate::http::{answer, Message, Peer};
use crate::platform::*;
use crate::{Run, Verdict};
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const BACKENDS: usize = 8;
/// Work of most requests, and of one in eight: 0.3 s in the mean.
const SHORT_WORK: Duration = Duration::from_millis(100);
const LONG_WORK: Duration = Duration::from_millis(1_700);
const LONG_EVERY: usize = 8;
const BUDGET_MS: u64 = 6_000;
/// Backends drop a repeat of a key for this long.
const KEYS_KEPT: Duration = Duration::from_secs(4);
/// A new gateway votes in the ledger after 14.6 s.
const UNTIL_VOTES: Duration = Duration::from_secs(17);
const CLIENTS: u64 = 8;
/// An attempt may begin 0.1 s after its client has gone, 50 ms more on sockets.
const GRACE: Duration = Duration::from_millis(150);

/// What befalls the gateway that owns the requests.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    /// Its process is replaced.
    Upgrade,
    /// It is cut off from the other gateways for 6 s; its clients, backends, discovery and counter are not.
    Cut,
}

const CUT_FOR: Duration = Duration::from_secs(6);

/// An attempt that was given up may count as out for this long.
const UNNOTICED: Duration = Duration::from_millis(50);

/// One attempt at a backend.
struct Attempt {
    id: String,
    backend: String,
    began: Instant,
    /// When its answer was written or its connection ended.
    ended: Option<Instant>,
}

#[derive(Default)]
struct Seen {
    attempts: Mutex<Vec<Attempt>>,
    keys: Mutex<HashMap<String, Instant>>,
    /// When the client of a request had its answer and closed its connection.
    gone: Mutex<HashMap<String, Instant>>,
}

/// Waits for this long. Returns false at once when the peer has closed the connection.
fn work_for(peer: &Peer, time: Duration) -> bool {
    let until = Instant::now() + time;
    let mut byte = [0];
    while Instant::now() < until {
        let left = until
            .saturating_duration_since(Instant::now())
            .clamp(Duration::from_millis(1), Duration::from_millis(20));
        if peer.stream.set_read_timeout(Some(left)).is_err() {
            return false;
        }
        match peer.stream.peek(&mut byte) {
            Ok(0) => return false,
            Ok(_) => thread::sleep(left),
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return false,
        }
    }
    peer.stream.set_read_timeout(None).is_ok()
}

fn serve(
    record: &Record,
    seen: &Seen,
    name: &str,
    number: usize,
    request: &Message,
    peer: &mut Peer,
) -> bool {
    let (id, key) = (request.call_id(), request.header("idempotency-key").unwrap_or("").to_string());
    let now = Instant::now();
    let is_repeat = {
        let mut keys = lock(&seen.keys);
        let kept = keys.get(&key).is_some_and(|at| now < *at + KEYS_KEPT);
        if !kept {
            keys.insert(key, now);
        }
        kept
    };
    let place = {
        let mut attempts = lock(&seen.attempts);
        attempts.push(Attempt { id: id.clone(), backend: name.to_string(), began: now, ended: None });
        attempts.len() - 1
    };
    record
        .note(format!("backend {name} gets {id}{}", if is_repeat { ", a repeat that it drops" } else { "" }));
    let work = if number % LONG_EVERY == 0 { LONG_WORK } else { SHORT_WORK };
    let stays = work_for(peer, if is_repeat { SHORT_WORK } else { work });
    let written = stays && peer.write(&answer("200 OK", "", &id)).is_ok();
    lock(&seen.attempts)[place].ended = Some(Instant::now());
    record.note(format!(
        "backend {name} {} {id}",
        if written { "has answered" } else { "finds its connection closed for" }
    ));
    written
}

/// Passes datagrams on to a gateway, except while `severed` is set. Returns the address to send them to.
fn link(to: SocketAddr, severed: Option<Arc<AtomicBool>>) -> Result<SocketAddr, Failure> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let address = socket.local_addr()?;
    thread::spawn(move || {
        let mut datagram = [0; 2048];
        while let Ok(length) = socket.recv(&mut datagram) {
            if !severed.as_ref().is_some_and(|severed| severed.load(Ordering::SeqCst)) {
                // A datagram may be lost.
                let _ = socket.send_to(&datagram[..length], to);
            }
        }
    });
    Ok(address)
}

pub fn play(run: &Run, disruption: Disruption) -> Result<Verdict, Failure> {
    let (record, seen) = (run.record.clone(), Arc::new(Seen::default()));
    let count = Arc::new(AtomicUsize::new(0));
    let mut backends = Vec::new();
    for number in 0..BACKENDS {
        let name = format!("s-{number}");
        let (id, noted, seen, count) = (name.clone(), record.clone(), seen.clone(), count.clone());
        let work = move |request: &Message, peer: &mut Peer| {
            serve(&noted, &seen, &name, count.fetch_add(1, Ordering::SeqCst), request, peer)
        };
        backends.push((id, backend(Arc::new(work))?));
    }
    let (discovery, counter, folder) = (Discovery::start(&backends)?, Counter::start()?, Folder::new()?);
    let udp: Vec<SocketAddr> = (0..GATEWAYS)
        .map(|_| Ok(UdpSocket::bind("127.0.0.1:0")?.local_addr()?))
        .collect::<Result<_, Failure>>()?;
    let seats: Vec<String> = (0..GATEWAYS).map(|number| format!("\"g{number}\"")).collect();
    let listener = loopback()?;
    let cut = Arc::new(AtomicBool::new(false));
    let mut files = Vec::new();
    for number in 0..GATEWAYS {
        let peers: Vec<String> = (0..GATEWAYS)
            .filter(|other| *other != number)
            .map(|other| {
                let severed = (number == 0 || other == 0).then(|| cut.clone());
                Ok(format!("g{other} = \"{}\"", link(udp[other], severed)?))
            })
            .collect::<Result<_, Failure>>()?;
        let text = format!(
            "fleet = \"norte\"\nlisten = \"{}\"\nname = \"g{number}\"\nseats = [{}]\n[peers]\n{}\n[ledger]\nholders = 3\nlease_ms = 600\nlife_ms = 10000\nwait_ms = 10\nfinish = [\"publish-cover\"]\n",
            udp[number], seats.join(", "), peers.join("\n")
        );
        let path = folder.0.join(format!("fleet-{number}.toml"));
        std::fs::write(&path, text)?;
        std::fs::create_dir_all(folder.0.join(format!("g{number}")))?;
        files.push(path);
    }
    let folders: Vec<_> = (0..GATEWAYS).map(|number| folder.0.join(format!("g{number}"))).collect();
    let names: Vec<String> = (0..GATEWAYS).map(|number| format!("g{number}")).collect();
    let spec = |number: usize| -> Result<GatewaySpec, Failure> {
        Ok(GatewaySpec {
            name: &names[number],
            number,
            gateways: GATEWAYS,
            listen: if number == 0 { listener.local_addr()? } else { free_address()? },
            inherited: (number == 0).then_some(&listener),
            folder: &folders[number],
            memory_mb: 128,
            sockets: 512,
            second_copies: false,
            fleet: Some(&files[number]),
        })
    };
    let (first, others) = (spec(0)?, [spec(1)?, spec(2)?]);
    let mut old = Gateway::start_ready(&first, &discovery, &counter)?;
    let others = [
        Gateway::start_ready(&others[0], &discovery, &counter)?,
        Gateway::start_ready(&others[1], &discovery, &counter)?,
    ];
    record.note("three gateways are ready");
    thread::sleep(UNTIL_VOTES);
    let stop = AtomicBool::new(false);
    let new = thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (record, seen, stop, listen) = (&record, &seen, &stop, first.listen);
            scope.spawn(move || clients(record, seen, listen, client, stop));
        }
        let new = match disruption {
            Disruption::Upgrade => upgrade(run, &first, &mut old, &discovery, &counter),
            Disruption::Cut => sever(run, &cut),
        };
        stop.store(true, Ordering::SeqCst);
        new
    })?;
    thread::sleep(Duration::from_secs(2));
    for (name, gateway) in names.iter().zip([new.as_ref().unwrap_or(&old), &others[0], &others[1]]) {
        for line in gateway.stats().lines().filter(|line| line.contains("ledger")) {
            record.note(format!("{name} {line}"));
        }
    }
    judge(run, &seen)
}

fn upgrade(
    run: &Run,
    spec: &GatewaySpec,
    old: &mut Gateway,
    discovery: &Discovery,
    counter: &Counter,
) -> Result<Option<Gateway>, Failure> {
    let record = &run.record;
    thread::sleep(Duration::from_secs(4));
    if !run.trouble {
        thread::sleep(Duration::from_secs(12));
        return Ok(None);
    }
    record.note("the new process is started");
    let new = Gateway::start(spec, discovery, counter)?;
    new.wait_ready()?;
    record.note("the new process says yes");
    thread::sleep(Duration::from_secs(2));
    old.signal("TERM");
    record.note("SIGTERM to the old process");
    thread::sleep(Duration::from_secs(7));
    record.note(format!("the old process has exited: {}", old.has_exited()));
    thread::sleep(Duration::from_secs(3));
    Ok(Some(new))
}

fn sever(run: &Run, cut: &AtomicBool) -> Result<Option<Gateway>, Failure> {
    thread::sleep(Duration::from_secs(4));
    if run.trouble {
        run.record.note("g0 is cut off from g1 and g2");
        cut.store(true, Ordering::SeqCst);
        thread::sleep(CUT_FOR);
        cut.store(false, Ordering::SeqCst);
        run.record.note("the gateways hear each other again");
    }
    thread::sleep(Duration::from_secs(8));
    Ok(None)
}

/// Sends one request after the other, each on a connection of its own, which the client closes at its answer.
fn clients(record: &Record, seen: &Seen, listen: SocketAddr, client: u64, stop: &AtomicBool) {
    let mut number = 0_u64;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let (id, key) = (new_id(), format!("Idempotency-Key: {}{}\r\n", new_id(), new_id()));
        let request = Request {
            class: "publish-cover",
            id: &id,
            customer: 0x500 + client * 8 + number % 8,
            plan: "ampliado",
            budget_ms: BUDGET_MS,
            spread: GATEWAYS,
            extra: &key,
            body: "cover",
        };
        let Ok(mut peer) = Peer::connect(listen, Duration::from_secs(1)) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        record.note(format!("client sends {id}"));
        let reply = peer.write(&request.bytes()).and_then(|()| peer.read());
        drop(peer);
        if reply.is_ok() {
            lock(&seen.gone).insert(id.clone(), Instant::now());
        }
        match reply {
            Ok(reply) => record.note(format!("client has {} for {id}, and closes", reply.status())),
            Err(error) => record.note(format!("client has no answer for {id}: {error}")),
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn judge(run: &Run, seen: &Seen) -> Result<Verdict, Failure> {
    let (attempts, gone) = (lock(&seen.attempts), lock(&seen.gone));
    let (mut at_once, mut after_end) = (0, 0);
    for (place, later) in attempts.iter().enumerate() {
        // A backend notices within 20 ms that its connection was closed.
        let overlaps = |earlier: &&Attempt| {
            earlier.id == later.id && earlier.ended.is_none_or(|ended| ended > later.began + UNNOTICED)
        };
        if let Some(earlier) = attempts[..place].iter().find(overlaps) {
            at_once += 1;
            let out_for = later.began - earlier.began;
            run.record.note(format!(
                "{}: sent to {} while its attempt at {} had been out for {} ms",
                later.id,
                later.backend,
                earlier.backend,
                out_for.as_millis()
            ));
        }
        if let Some(at) = gone.get(&later.id).filter(|at| later.began > **at + GRACE) {
            after_end += 1;
            run.record.note(format!(
                "{}: sent to {} {} ms after its client had its answer and closed",
                later.id,
                later.backend,
                (later.began - *at).as_millis()
            ));
        }
    }
    run.record.say(format!(
        "{} requests, {} attempts: {at_once} began while another of the same request was out, {after_end} after the client had gone",
        gone.len(),
        attempts.len()
    ));
    // Second copies are noted, and do not decide: the claim is about attempts after the close.
    match after_end {
        0 if gone.len() < 50 => Err("too few requests were answered".into()),
        0 => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken(format!("{after_end} attempts began after the client had gone"))),
    }
}
