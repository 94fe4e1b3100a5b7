//! Clients read long answers slowly, but steadily. No answer may be cut off that the backend still gives.

use crate::http::{Message, Peer};
use crate::platform::*;
use crate::{Run, Verdict};
use std::io::Read;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: usize = 8;
const WORK: Duration = Duration::from_millis(200);
/// Length of an answer: a quarter of the longest that occurs.
const LENGTH: usize = 8 << 20;
/// Clients at once; with 256 descriptors they may hold 85.
const CLIENTS: usize = 46;
const SOCKETS: usize = 256;
const MEMORY_MB: usize = 64;
/// A client reads one piece in each interval: 80 kB a second.
const PIECE: usize = 6_400;
const INTERVAL: Duration = Duration::from_millis(80);
/// A reader that was held up for longer, by a slow machine, does not count.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// How long it reads slowly; then it reads the rest as fast as it comes.
const SLOW_FOR: Duration = Duration::from_secs(40);

pub fn play(run: &Run) -> Result<Verdict, Failure> {
    let record = run.record.clone();
    let given = Arc::new(AtomicUsize::new(0));
    let mut backends = Vec::new();
    for number in 0..BACKENDS {
        let (noted, given) = (record.clone(), given.clone());
        let work = move |request: &Message, peer: &mut Peer| {
            let id = request.call_id();
            noted.note(format!("backend s-{number} runs {id}"));
            thread::sleep(WORK);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n");
            let mut text = head.into_bytes();
            text.resize(text.len() + LENGTH, b'x');
            let written = peer.write(&text);
            match &written {
                Ok(()) => given.fetch_add(1, Ordering::SeqCst),
                Err(_) => 0,
            };
            noted.note(format!("backend s-{number} has written {id}: {written:?}"));
            written.is_ok()
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
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        second_copies: true,
        fleet: None,
    };
    let gateway = Gateway::start_ready(&spec, &discovery, &counter)?;
    let (whole, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let (cut, held_up) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (record, gateway, slow) = (&record, &gateway, run.trouble);
            let (whole, refused, cut, held_up) = (&whole, &refused, &cut, &held_up);
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(100 * number as u64));
                let id = new_id();
                match client(record, gateway, number, &id, slow) {
                    Ok(true) => whole.fetch_add(1, Ordering::SeqCst),
                    Ok(false) => refused.fetch_add(1, Ordering::SeqCst),
                    Err(Cut { what, longest_pause }) => {
                        record.note(format!("client lost {id}: {what}"));
                        let count = if longest_pause > LONGEST_PAUSE { held_up } else { cut };
                        count.fetch_add(1, Ordering::SeqCst)
                    }
                };
            });
        }
    });
    let (whole, refused) = (whole.into_inner(), refused.into_inner());
    let (cut, held_up) = (cut.into_inner(), held_up.into_inner());
    for line in
        gateway.stats().lines().filter(|line| line.contains("client_closes") || line.contains("memory"))
    {
        record.note(line);
    }
    record.say(format!(
        "{CLIENTS} answers of {LENGTH} bytes: {whole} whole, {refused} refused or failed, {cut} cut off, {held_up} cut off after a pause of their reader"
    ));
    match cut {
        0 if whole == 0 => Err("no answer was given at all".into()),
        0 if held_up > 0 => Err("the readers were held up".into()),
        0 => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken(format!(
            "{cut} of {CLIENTS} answers were cut off while their clients read them"
        ))),
    }
}

/// Reads one answer. Returns whether it was served, or how it was cut off.
fn client(record: &Record, gateway: &Gateway, number: usize, id: &str, slow: bool) -> Result<bool, Cut> {
    let request = Request {
        class: "batch-thumbs",
        id,
        customer: 0x2000 + number as u64,
        plan: "ampliado",
        budget_ms: 6000,
        spread: 2,
        extra: "",
        body: "",
    };
    let Ok(mut peer) = Peer::connect(gateway.listen, Duration::from_secs(2)) else { return Ok(false) };
    record.note(format!("client sends {id}"));
    let head = peer.write(&request.bytes()).and_then(|()| peer.read_head());
    // Not begun: what became of such a request is not this case's question.
    let Ok(head) = head else { return Ok(false) };
    record.note(format!("client has {} for {id}", head.status()));
    if head.status() != 200 {
        return Ok(false);
    }
    let (begun, mut received, mut longest_pause) = (Instant::now(), 0, Duration::ZERO);
    let mut piece = vec![0; PIECE];
    let mut read_at = Instant::now();
    let mut next = Instant::now();
    while received < LENGTH {
        if slow && begun.elapsed() < SLOW_FOR {
            next += INTERVAL;
            crate::http::sleep_until(next);
        }
        // Only what the reader itself was late counts, not a wait for bytes.
        longest_pause = longest_pause.max(read_at.elapsed());
        let (want, mut filled) = (PIECE.min(LENGTH - received), 0);
        while filled < want {
            match peer.reader.read(&mut piece[filled..want]) {
                Ok(0) => return Err(ended("ended", received + filled, begun, longest_pause)),
                Ok(length) => filled += length,
                Err(error) => return Err(ended(&error.to_string(), received + filled, begun, longest_pause)),
            }
        }
        received += filled;
        read_at = Instant::now();
    }
    record.note(format!("client has all of {id} after {} ms", begun.elapsed().as_millis()));
    Ok(true)
}

/// How an answer was cut off.
struct Cut {
    what: String,
    longest_pause: Duration,
}

fn ended(how: &str, received: usize, begun: Instant, longest_pause: Duration) -> Cut {
    let what = format!(
        "the connection {how} after {received} of {LENGTH} bytes, {} ms after the first; the longest pause of its reader was {} ms",
        begun.elapsed().as_millis(),
        longest_pause.as_millis()
    );
    Cut { what, longest_pause }
}
