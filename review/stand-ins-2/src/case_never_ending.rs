//! Some answers of backends begin and never end. A client has to hear within half a second after its time that it gets no
//! whole answer, by an answer or by the end of its connection.

use crate::http::{answer, Message, Peer};
use crate::platform::*;
use crate::{Run, Verdict};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: usize = 8;
const WORK: Duration = Duration::from_millis(90);
/// One answer in this many never ends.
const SPOILT_EVERY: usize = 20;
const BUDGET: Duration = Duration::from_millis(1_000);
/// An answer counts up to half a second after its time, and time limits on sockets are 50 ms longer.
const GRACE: Duration = Duration::from_millis(550);
const CLIENTS: u64 = 4;
const LOAD_FOR: Duration = Duration::from_secs(20);

/// How a request ended for its client.
enum End {
    Whole,
    /// Refused or failed, or its connection ended.
    NotWhole,
    /// Neither within its time and the grace.
    Open,
}

pub fn play(run: &Run) -> Result<Verdict, Failure> {
    let record = run.record.clone();
    let answers = Arc::new(AtomicUsize::new(0));
    let mut backends = Vec::new();
    for number in 0..BACKENDS {
        let (noted, answers, trouble) = (record.clone(), answers.clone(), run.trouble);
        let work = move |request: &Message, peer: &mut Peer| {
            let id = request.call_id();
            noted.note(format!("backend s-{number} runs {id}"));
            thread::sleep(WORK);
            if !trouble || answers.fetch_add(1, Ordering::SeqCst) % SPOILT_EVERY != SPOILT_EVERY - 1 {
                return peer.write(&answer("200 OK", "", &id)).is_ok();
            }
            noted.note(format!("backend s-{number} begins the answer to {id} and does not end it"));
            let begun =
                format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{id}\r\n", id.len());
            if peer.write(begun.as_bytes()).is_err() {
                return false;
            }
            let mut rest = [0; 64];
            // Waits until the gateway closes the connection.
            let ended = peer.reader.read(&mut rest);
            noted.note(format!("backend s-{number}: the connection of {id} has ended: {ended:?}"));
            false
        };
        backends.push((format!("s-{number}"), backend(Arc::new(work))?));
    }
    let (discovery, counter, folder) = (Discovery::start(&backends)?, Counter::start()?, Folder::new()?);
    let spec = GatewaySpec {
        name: "n0",
        number: 0,
        gateways: 2,
        listen: free_address()?,
        inherited: None,
        folder: &folder.0,
        memory_mb: 128,
        sockets: 512,
        second_copies: true,
        fleet: None,
    };
    let gateway = Gateway::start_ready(&spec, &discovery, &counter)?;
    let (whole, not_whole, open) = (AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (record, listen, whole, not_whole, open) =
                (&record, gateway.listen, &whole, &not_whole, &open);
            scope.spawn(move || {
                let (until, mut number) = (Instant::now() + LOAD_FOR, 0);
                while Instant::now() < until {
                    number += 1;
                    let count = match request(record, listen, 0x700 + client * 8 + number % 8) {
                        End::Whole => whole,
                        End::NotWhole => not_whole,
                        End::Open => open,
                    };
                    count.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    let (whole, not_whole, open) = (whole.into_inner(), not_whole.into_inner(), open.into_inner());
    record.say(format!("{whole} requests served, {not_whole} refused, failed or ended, {open} still open 0.55 s after their time"));
    match open {
        0 if whole < 50 => Err("too few requests were served".into()),
        0 => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken(format!("{open} requests had no final answer 0.55 s after their time"))),
    }
}

fn request(record: &Record, listen: SocketAddr, customer: u64) -> End {
    let id = new_id();
    let request = Request {
        class: "preview",
        id: &id,
        customer,
        plan: "ampliado",
        budget_ms: BUDGET.as_millis() as u64,
        spread: 2,
        extra: "",
        body: "",
    };
    let Ok(mut peer) = Peer::connect(listen, Duration::from_secs(1)) else { return End::NotWhole };
    record.note(format!("client sends {id}"));
    if peer.write(&request.bytes()).is_err() {
        return End::NotWhole;
    }
    let sent_at = Instant::now();
    let Ok(()) = peer.stream.set_read_timeout(Some(BUDGET + GRACE)) else { return End::NotWhole };
    let reply = peer.read();
    let took = sent_at.elapsed();
    match reply {
        Ok(reply) => {
            record.note(format!("client has {} for {id} after {} ms", reply.status(), took.as_millis()));
            if reply.status() == 200 {
                End::Whole
            } else {
                End::NotWhole
            }
        }
        // Checked by the time too, as the first bytes begin the time-out anew.
        Err(error) if took >= BUDGET + GRACE => {
            record.note(format!(
                "client has no whole answer for {id} after {} ms, and leaves: {error}",
                took.as_millis()
            ));
            End::Open
        }
        Err(error) => {
            record.note(format!("the connection of {id} ended after {} ms: {error}", took.as_millis()));
            End::NotWhole
        }
    }
}
