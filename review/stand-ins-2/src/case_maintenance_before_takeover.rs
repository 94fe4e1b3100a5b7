//! While a gateway's process is replaced, an operator takes a backend out at the new process, which says yes. From
//! then on the backend may get nothing from this gateway.

use crate::http::{answer, call, Message, Peer};
use crate::platform::*;
use crate::{Run, Verdict};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: usize = 4;
const CLIENTS: u64 = 4;
const WORK: Duration = Duration::from_millis(75);
/// What is sent to a draining backend up to 1 s after the gateway was told is allowed, 50 ms more on sockets, and 0.15 s in
/// which a gateway may be held up.
const GRACE: Duration = Duration::from_millis(1_200);
const OUT: &str = "s-3";

pub fn play(run: &Run) -> Result<Verdict, Failure> {
    let record = run.record.clone();
    let arrivals = Arc::new(Mutex::new(Vec::<(Instant, String)>::new()));
    let mut backends = Vec::new();
    for number in 0..BACKENDS {
        let id = format!("s-{number}");
        let (name, noted, arrivals) = (id.clone(), record.clone(), arrivals.clone());
        let work = move |request: &Message, peer: &mut Peer| {
            noted.note(format!("backend {name} runs {}", request.call_id()));
            if name == OUT {
                lock(&arrivals).push((Instant::now(), request.call_id()));
            }
            thread::sleep(WORK);
            peer.write(&answer("200 OK", "", &request.call_id())).is_ok()
        };
        backends.push((id, backend(Arc::new(work))?));
    }
    let (discovery, counter, folder) = (Discovery::start(&backends)?, Counter::start()?, Folder::new()?);
    let listener = loopback()?;
    let spec = GatewaySpec {
        name: "n0",
        number: 0,
        gateways: 2,
        listen: listener.local_addr()?,
        inherited: Some(&listener),
        folder: &folder.0,
        memory_mb: 128,
        sockets: 512,
        second_copies: true,
        fleet: None,
    };
    let mut old = Gateway::start_ready(&spec, &discovery, &counter)?;
    let stop = AtomicBool::new(false);
    let (said, _new) = thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (record, stop, listen) = (&record, &stop, spec.listen);
            scope.spawn(move || clients(record, listen, client, stop));
        }
        let said = operate(run, &spec, &mut old, &discovery, &counter);
        stop.store(true, Ordering::SeqCst);
        said
    })?;
    let arrivals = lock(&arrivals);
    let before = arrivals.iter().filter(|(at, _)| *at < said).count();
    let after = arrivals.iter().filter(|(at, _)| *at > said + GRACE).count();
    record.say(format!("{OUT} got {before} requests before the yes, and {after} later than 1.2 s after it"));
    match (before, after) {
        (0, _) => Err("the backend was not in use before".into()),
        (_, 0) => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken(format!(
            "{OUT} was sent {after} requests after the yes, with no call that put it back"
        ))),
    }
}

/// Replaces the process and takes the backend out. Returns when the yes came, and the new process.
fn operate(
    run: &Run,
    spec: &GatewaySpec,
    old: &mut Gateway,
    discovery: &Discovery,
    counter: &Counter,
) -> Result<(Instant, Option<Gateway>), Failure> {
    let record = &run.record;
    let path = format!("/backends/{OUT}/maint");
    thread::sleep(Duration::from_secs(5));
    if !run.trouble {
        let reply = call(old.ops, "POST", &path, Duration::from_secs(1))?;
        record.note(format!("operator takes {OUT} out: {}", reply.status()));
        thread::sleep(Duration::from_secs(10));
        return match reply.status() / 100 {
            2 => Ok((Instant::now() - Duration::from_secs(10), None)),
            _ => Err("the operator got no yes".into()),
        };
    }
    discovery.silent.store(true, Ordering::SeqCst);
    record.note("discovery falls silent; the new process is started");
    let new = Gateway::start(spec, discovery, counter)?;
    let until = Instant::now() + Duration::from_secs(5);
    let said = loop {
        if let Ok(reply) = call(new.ops, "POST", &path, Duration::from_secs(1)) {
            record.note(format!("operator takes {OUT} out at the new process: {}", reply.status()));
            if reply.status() / 100 == 2 {
                break Instant::now();
            }
        }
        if Instant::now() > until {
            return Err("the operator got no yes".into());
        }
        thread::sleep(Duration::from_millis(2));
    };
    new.wait_ready()?;
    record.note("the new process says yes");
    discovery.silent.store(false, Ordering::SeqCst);
    record.note("discovery answers again");
    thread::sleep(Duration::from_secs(1));
    old.signal("TERM");
    record.note("SIGTERM to the old process");
    thread::sleep(Duration::from_secs(7));
    record.note(format!("the old process has exited: {}", old.has_exited()));
    thread::sleep(Duration::from_secs(3));
    for line in new.stats().lines().filter(|line| line.contains("backends_")) {
        record.note(line);
    }
    Ok((said, Some(new)))
}

fn clients(record: &Record, listen: std::net::SocketAddr, client: u64, stop: &AtomicBool) {
    let mut kept: Option<Peer> = None;
    let mut number = 0_u64;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = new_id();
        let request = Request {
            class: "preview",
            id: &id,
            customer: 0x300 + client * 8 + number % 8,
            plan: "ampliado",
            budget_ms: 1500,
            spread: 2,
            extra: "",
            body: "",
        };
        let Ok(mut peer) = kept.take().map_or_else(|| Peer::connect(listen, Duration::from_secs(1)), Ok)
        else {
            continue;
        };
        record.note(format!("client sends {id}"));
        if let Ok(reply) = peer.write(&request.bytes()).and_then(|()| peer.read()) {
            record.note(format!("client has {} for {id}", reply.status()));
            if reply.header("connection") != Some("close") {
                kept = Some(peer);
            }
        }
    }
}
