//! Clients and the front: requests at their times, whatever became of those before; retries; connections kept.

use crate::fault_targets::Party;
use crate::http::{Answer, Connection, Idle};
use crate::link::lock;
use crate::plan::{us, Microseconds};
use crate::record::{End, Fate, Receipt, Try};
use crate::relay::{through, Way};
use crate::run_context::RunContext;
use crate::scenario::Effect;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Semaphore};
use tokio::time::{sleep, timeout_at, Instant};

/// Requests under way at once; beyond that the lab itself is too slow.
const MOST_OPEN: usize = 20_000;
/// A client hears an answer for so long after its time; it earns nothing, but is not lost.
pub const GRACE: Microseconds = 500_000;
/// A close that came so soon after a request crossed it.
const CROSSED: Duration = Duration::from_millis(30);

/// A connection kept, and the try that it carried last.
struct Kept {
    connection: Connection,
    last: (usize, u32),
    life: usize,
}

struct Line {
    address: SocketAddr,
    way: Way,
    kept: Mutex<Vec<Kept>>,
    /// One for each connection that may carry a request.
    places: Semaphore,
    /// The front has noticed that it is down.
    down: AtomicBool,
}

/// All clients, and the front that deals their requests out.
pub struct Clients {
    context: Arc<RunContext>,
    lines: Vec<Line>,
    open: AtomicUsize,
}

impl Clients {
    /// Clients of gateways at these addresses.
    pub fn new(context: Arc<RunContext>, addresses: &[SocketAddr]) -> Arc<Clients> {
        let line = |(number, address): (usize, &SocketAddr)| Line {
            address: *address,
            way: Way {
                up: context.links.get(Party::Clients, Party::Gateway(number)),
                down: context.links.get(Party::Gateway(number), Party::Clients),
                clock: context.clock.clone(),
            },
            kept: Mutex::default(),
            places: Semaphore::new(context.plan.scenario.load.connections),
            down: AtomicBool::new(false),
        };
        let lines = addresses.iter().enumerate().map(line).collect();
        Arc::new(Clients { context, lines, open: AtomicUsize::new(0) })
    }

    /// The front notices that a gateway is down, or that it is back.
    pub fn front(&self, gateway: usize, down: bool) {
        self.lines[gateway].down.store(down, Ordering::Relaxed);
    }

    /// Requests under way.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Sends every request of the plan at its time; `seen` hears how many are sent.
    pub async fn send_all(self: &Arc<Clients>, seen: impl Fn(usize)) {
        for arrival in 0..self.context.plan.arrivals.len() {
            let at = self.context.plan.arrivals[arrival].at;
            if self.context.clock.now() < at {
                self.context.clock.until(at).await;
            }
            seen(arrival);
            if self.open() >= MOST_OPEN {
                self.context.starved.note(&io::ErrorKind::OutOfMemory.into());
                continue;
            }
            self.open.fetch_add(1, Ordering::Relaxed);
            let clients = self.clone();
            tokio::spawn(async move {
                clients.request(arrival).await;
                clients.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    /// One request with its retries.
    async fn request(self: &Arc<Clients>, arrival: usize) {
        let spec = &self.context.plan.arrivals[arrival];
        let class = &self.context.plan.scenario.classes[spec.class];
        let load = &self.context.plan.scenario.load;
        let over = spec.at + us(class.deadline_ms / 1000.0);
        let window_over = spec.at + us(class.window_ms / 1000.0);
        let mut due = spec.at;
        for nth in 0..=load.retries {
            let until = (due + spec.patience_us).min(over);
            let (end, retry_after) = self.attempt(arrival, nth, due, until).await;
            let now = self.context.clock.now();
            let again = match end {
                End::Answer { status: 200 | 202, .. } | End::Open => return,
                End::Answer { status: 429 | 503, .. } | End::Unreachable => true,
                _ => match class.effect {
                    Effect::Safe => true,
                    Effect::Keyed => now < window_over,
                    Effect::Unsafe => false,
                },
            };
            let id = self.context.plan.id(arrival, nth);
            let mut pause = load.backoff_ms / 1000.0 * f64::from(1 << nth.min(10));
            pause *= 0.5 + self.context.part(id, 11);
            if let Some(told) = retry_after.filter(|_| self.context.part(id, 12) < load.honour) {
                pause = pause.max(told);
            }
            due = now + us(pause);
            if !again || due + 1000 >= over {
                return;
            }
            sleep(Duration::from_secs_f64(pause)).await;
        }
    }

    /// The gateway that a try goes to: the next of the customer's set that the front believes to be up.
    fn pick(&self, arrival: usize, nth: u32) -> usize {
        let set = &self.context.plan.arrivals[arrival].gateways;
        let up: Vec<usize> =
            set.iter().copied().filter(|g| !self.lines[*g].down.load(Ordering::Relaxed)).collect();
        let from = if up.is_empty() { set } else { &up };
        from[nth as usize % from.len()]
    }

    /// One attempt. It ends for its client at `until`; the connection is watched for `GRACE` longer.
    async fn attempt(
        self: &Arc<Clients>,
        arrival: usize,
        nth: u32,
        due: Microseconds,
        until: Microseconds,
    ) -> (End, Option<f64>) {
        let gateway = self.pick(arrival, nth);
        let id = self.context.plan.id(arrival, nth);
        self.context.announce(id, arrival);
        let began = self.context.clock.now();
        let attempt = Try {
            arrival,
            nth,
            id,
            gateway,
            life: self.context.life(gateway),
            due,
            until,
            began,
            written: None,
            ended: began,
            end: End::Open,
            twice: false,
        };
        let budget_ms = until.saturating_sub(due) / 1000;
        let text = self.text(arrival, nth, id, budget_ms.max(1));
        let (result_sender, result) = oneshot::channel();
        let clients = self.clone();
        tokio::spawn(async move {
            let ended = clients.run_attempt(attempt, &text).await;
            // Its client may have gone on to another attempt.
            let _ = result_sender.send(ended);
        });
        match timeout_at(self.context.clock.instant(until), result).await {
            Ok(Ok(ended)) => ended,
            _ => (End::GaveUp, None),
        }
    }

    /// Runs an attempt to its end, which may be later than its client waits, and records it. Returns how it ended and
    /// the seconds of its `Retry-After`.
    async fn run_attempt(&self, mut attempt: Try, text: &[u8]) -> (End, Option<f64>) {
        let deadline = self.context.clock.instant(attempt.until + GRACE);
        let until = self.context.clock.instant(attempt.until);
        let mut retry_after = None;
        attempt.end = match timeout_at(deadline, self.exchange(&mut attempt, text, until)).await {
            Ok((end, answer)) => {
                if let Some(answer) = answer {
                    retry_after = answer.retry_after;
                    self.note_receipt(attempt.arrival, end, answer.location);
                }
                end
            }
            Err(_) if attempt.written.is_none() => End::Unreachable,
            Err(_) => End::GaveUp,
        };
        attempt.ended = self.context.clock.now();
        let end = attempt.end;
        self.context.note(|record| record.tries.push(attempt));
        (end, retry_after)
    }

    /// Records where the status of a write that was accepted with 202 can be polled.
    fn note_receipt(&self, arrival: usize, end: End, location: Option<String>) {
        if !matches!(end, End::Answer { status: 202, .. }) {
            return;
        }
        if let Some(place) = location {
            let receipt = Receipt { arrival, place, told: Fate::Nothing };
            self.context.note(|record| record.receipts.push(receipt));
        }
    }

    /// Writes the request and waits for its answer, once more where a close crossed it. Nothing is written past the
    /// client's time.
    async fn exchange(&self, this: &mut Try, text: &[u8], until: Instant) -> (End, Option<Answer>) {
        let line = &self.lines[this.gateway];
        // Nobody closes the places.
        let Ok(Ok(_place)) = timeout_at(until, line.places.acquire()).await else {
            return (End::Unreachable, None);
        };
        loop {
            let mut connection = match self.take(this).await {
                Some(connection) => connection,
                None => match timeout_at(until, self.connect(line)).await {
                    Ok(Ok(connection)) => connection,
                    Ok(Err(error)) => {
                        self.context.starved.note(&error);
                        return (End::Unreachable, None);
                    }
                    Err(_) => return (End::Unreachable, None),
                },
            };
            if Instant::now() >= until {
                return (End::Unreachable, None);
            }
            let reused = connection.used > 0;
            let wrote = Instant::now();
            let written = connection.write(text).await.is_ok();
            if written {
                this.written = Some(self.context.clock.now());
            }
            let read = if written { connection.read().await } else { Ok(None) };
            match read {
                Ok(Some(answer)) => {
                    let mark = mark(&answer.body);
                    let end = End::Answer { status: answer.status, mark };
                    let kept = Kept { connection, last: (this.arrival, this.nth), life: this.life };
                    if answer.keep {
                        self.keep(line, kept);
                    }
                    return (end, Some(answer));
                }
                Ok(None) if reused && wrote.elapsed() < CROSSED => {
                    this.written = None;
                }
                Ok(None) if !written => return (End::Unreachable, None),
                _ => return (End::Broken, None),
            }
        }
    }

    /// A kept connection that shows nothing.
    async fn take(&self, this: &Try) -> Option<Connection> {
        loop {
            let mut kept = lock(&self.lines[this.gateway].kept).pop()?;
            match kept.connection.idle().await {
                Idle::Quiet if kept.life == this.life => return Some(kept.connection),
                Idle::Speaks => self.spoke(&kept),
                _ => {}
            }
        }
    }

    fn keep(&self, line: &Line, kept: Kept) {
        let mut all = lock(&line.kept);
        if all.len() < self.context.plan.scenario.load.connections {
            all.push(kept);
        }
    }

    /// Looks at the connections that are kept still: whoever wrote on one of them answered twice.
    pub async fn look_at_kept(&self) {
        for line in &self.lines {
            let all = std::mem::take(&mut *lock(&line.kept));
            for mut kept in all {
                if kept.connection.idle().await == Idle::Speaks {
                    self.spoke(&kept);
                }
            }
        }
    }

    fn spoke(&self, kept: &Kept) {
        self.context.note(|record| {
            let (arrival, nth) = kept.last;
            let mut latest_first = record.tries.iter_mut().rev();
            if let Some(attempt) = latest_first.find(|one| one.arrival == arrival && one.nth == nth) {
                attempt.twice = true;
            }
        });
    }

    async fn connect(&self, line: &Line) -> io::Result<Connection> {
        // Nothing comes up over a way that is cut.
        for link in [&line.way.up, &line.way.down] {
            let _ = link.watch().wait_for(|view| !view.cut()).await;
        }
        let stream = TcpStream::connect(line.address).await?;
        Ok(Connection::new(through(stream, line.way.clone(), None).0))
    }

    fn text(&self, arrival: usize, nth: u32, id: u64, budget_ms: u64) -> Vec<u8> {
        let plan = &self.context.plan;
        let spec = &plan.arrivals[arrival];
        let customer = &plan.customers[spec.customer];
        let class = &plan.scenario.classes[spec.class];
        let safe = class.effect == Effect::Safe;
        let method = if safe { "GET" } else { "POST" };
        let mut text = format!(
            "{method} /api?customer={:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id:016x}\r\n\
             X-Call-Class: {}\r\nX-Plan: {}\r\nX-Budget-Ms: {budget_ms}\r\n\
             X-Quota: units={},spread={},first={}\r\n",
            customer.number,
            class.name,
            plan.scenario.plans[customer.plan].name,
            spec.units,
            customer.spread,
            customer.first,
        );
        if nth > 0 {
            text.push_str("X-Again: 1\r\n");
        }
        if class.effect == Effect::Keyed {
            let key = plan.id(arrival, 255);
            text.push_str(&format!("Idempotency-Key: {key:016x}{:016x}\r\n", key.rotate_left(13)));
        }
        if safe {
            text.push_str("\r\n");
            return text.into_bytes();
        }
        let length = plan.scenario.load.body_bytes;
        text.push_str(&format!("Content-Length: {length}\r\n\r\n"));
        let mut bytes = text.into_bytes();
        bytes.resize(bytes.len() + length, b'x');
        bytes
    }
}

/// The mark in a body of a backend of the lab.
fn mark(body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?.strip_prefix("lab ")?;
    u64::from_str_radix(text.get(..16)?, 16).ok()
}
