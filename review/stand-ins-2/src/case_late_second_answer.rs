//! Backends send some answers twice, the second some milliseconds late. No client may get it for another request.

use crate::http::{answer, Message, Peer};
use crate::platform::*;
use crate::{Run, Verdict};
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: usize = 4;
const WORK: Duration = Duration::from_millis(75);
/// One answer in this many comes twice.
const TWICE_EVERY: u64 = 10;
/// The second one comes 2 to 8 ms after the first.
const LATE_BY_MS: std::ops::Range<u64> = 2..9;
/// Clients of a gateway, each of which waits 0 to 60 ms between an answer and its next request: some 50 requests a second.
const CLIENTS: u64 = 6;
const LONGEST_PAUSE_MS: u64 = 60;
/// Small deployments side by side, in each of which one gateway after the other starts from nothing and is used for a moment.
const ROWS: usize = 12;
const STARTS: usize = 55;
/// After this no further gateway is started, however many are left.
const NO_START_AFTER: Duration = Duration::from_secs(85);
const EACH: Duration = Duration::from_millis(1_300);

/// A number that looks drawn by chance, made from an id.
fn draw(id: &str, salt: u64) -> u64 {
    let number = u64::from_str_radix(id, 16).unwrap_or(0) ^ salt;
    number.wrapping_mul(0xd6e8_feb8_6659_fd93).rotate_left(32).wrapping_mul(0xd6e8_feb8_6659_fd93) >> 33
}

pub fn play(run: &Run) -> Result<Verdict, Failure> {
    let (total, foreign, gateways) = (AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0));
    let starts = AtomicUsize::new(0);
    thread::scope(|scope| -> Result<(), Failure> {
        let rows: Vec<_> = (0..ROWS)
            .map(|row| {
                let (total, foreign, gateways, starts) = (&total, &foreign, &gateways, &starts);
                scope.spawn(move || -> Result<(), Failure> {
                    let (discovery, counter, folder) = surroundings(run, row)?;
                    for start in 0..STARTS {
                        if run.record.started.elapsed() > NO_START_AFTER {
                            break;
                        }
                        starts.fetch_add(1, Ordering::SeqCst);
                        let name = format!("{row}.{start}");
                        let wrong = one_start(run, &name, &discovery, &counter, &folder, total)?;
                        foreign.fetch_add(wrong, Ordering::SeqCst);
                        gateways.fetch_add(usize::from(wrong > 0), Ordering::SeqCst);
                    }
                    Ok(())
                })
            })
            .collect();
        for row in rows {
            row.join().map_err(|_| "a row ended early")??;
        }
        Ok(())
    })?;
    let (total, foreign, gateways) = (total.into_inner(), foreign.into_inner(), gateways.into_inner());
    run.record.say(format!(
        "{foreign} of {total} answers belonged to another request, after {gateways} of {} starts",
        starts.into_inner()
    ));
    match foreign {
        0 if total < 1_000 => Err("too few answers came".into()),
        0 => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken(format!("{foreign} clients got the answer to another request"))),
    }
}

/// Starts backends, discovery and a counter.
fn surroundings(run: &Run, row: usize) -> Result<(Arc<Discovery>, Arc<Counter>, Folder), Failure> {
    let record = run.record.clone();
    let mut backends = Vec::new();
    for number in 0..BACKENDS {
        let (noted, trouble, place) = (record.clone(), run.trouble, format!("{row} s-{number}"));
        let work = move |request: &Message, peer: &mut Peer| {
            let id = request.call_id();
            noted.note(format!("{place} runs {id}"));
            thread::sleep(WORK);
            let text = answer("200 OK", "", &id);
            if peer.write(&text).is_err() {
                return false;
            }
            if trouble && draw(&id, 1) % TWICE_EVERY == 0 {
                if let Ok(mut late) = peer.stream.try_clone() {
                    let (noted, place) = (noted.clone(), place.clone());
                    thread::spawn(move || {
                        let span = LATE_BY_MS.end - LATE_BY_MS.start;
                        thread::sleep(Duration::from_millis(LATE_BY_MS.start + draw(&id, 2) % span));
                        // The gateway may have closed the connection.
                        let written = late.write_all(&text);
                        noted.note(format!("{place} has answered {id} once more: {written:?}"));
                    });
                }
            }
            true
        };
        backends.push((format!("s-{number}"), backend(Arc::new(work))?));
    }
    Ok((Discovery::start(&backends)?, Counter::start()?, Folder::new()?))
}

/// Starts a gateway, uses it for a moment, and returns how many of its clients got the answer to another request.
fn one_start(
    run: &Run,
    name: &str,
    discovery: &Discovery,
    counter: &Counter,
    folder: &Folder,
    total: &AtomicUsize,
) -> Result<usize, Failure> {
    let record = run.record.clone();
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
    let gateway = Gateway::start_ready(&spec, discovery, counter)?;
    let wrong = AtomicUsize::new(0);
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (record, listen, wrong) = (&record, gateway.listen, &wrong);
            scope.spawn(move || {
                let (until, mut number) = (Instant::now() + EACH, 0);
                let mut kept: Option<Peer> = None;
                while Instant::now() < until {
                    number += 1;
                    let id = new_id();
                    let request = Request {
                        class: "preview",
                        id: &id,
                        customer: 0x100 + client * 8 + number % 8,
                        plan: "ampliado",
                        budget_ms: 1500,
                        spread: 2,
                        extra: "",
                        body: "",
                    };
                    let opened =
                        kept.take().map_or_else(|| Peer::connect(listen, Duration::from_secs(1)), Ok);
                    let Ok(mut peer) = opened else { continue };
                    let Ok(reply) = peer.write(&request.bytes()).and_then(|()| peer.read()) else { continue };
                    total.fetch_add(1, Ordering::SeqCst);
                    if reply.status() == 200 && reply.text() != id {
                        wrong.fetch_add(1, Ordering::SeqCst);
                        record.note(format!("{name}: client of {id} has the answer to {}", reply.text()));
                    }
                    if reply.header("connection") != Some("close") {
                        kept = Some(peer);
                    }
                    thread::sleep(Duration::from_millis(draw(&id, 3) % (LONGEST_PAUSE_MS + 1)));
                }
            });
        }
    });
    Ok(wrong.into_inner())
}
