//! Clients and the front end that distributes their requests: an open-loop load with retries and reused connections.

use crate::fault_targets::Party;
use crate::http::{Answer, Connection, IdleState};
use crate::link::lock;
use crate::plan::{us, Microseconds};
use crate::record::{ClientAttempt, End, Receipt, WriteStatus};
use crate::relay::{relay_stream, Way};
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

/// Maximum number of open requests; more of them mean that the lab itself is too slow.
const MAX_OPEN_REQUESTS: usize = 20_000;
/// Time in microseconds for which an answer is still read after the client's time-out. Such an answer earns nothing,
/// but does not count as lost.
pub const GRACE: Microseconds = 500_000;
/// A reused connection that closes this soon after a request was written counts as closed before the gateway read it.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(30);

/// Idle connection to a gateway.
struct IdleConnection {
    connection: Connection,
    /// Arrival and attempt number of the last request.
    last: (usize, u32),
    /// Number of the gateway's process that the connection was opened to.
    process_number: usize,
}

struct GatewayTarget {
    address: SocketAddr,
    way: Way,
    idle_connections: Mutex<Vec<IdleConnection>>,
    /// Permits for connections that carry a request.
    connection_permits: Semaphore,
    /// Whether the front end has noticed that the gateway is down.
    down: AtomicBool,
}

/// All clients, and the front end that distributes their requests over the gateways.
pub struct Clients {
    context: Arc<RunContext>,
    targets: Vec<GatewayTarget>,
    open: AtomicUsize,
}

impl Clients {
    /// Creates the clients of the gateways at these addresses.
    pub fn new(context: Arc<RunContext>, addresses: &[SocketAddr]) -> Arc<Clients> {
        let target = |(number, address): (usize, &SocketAddr)| GatewayTarget {
            address: *address,
            way: Way {
                up: context.links.get(Party::Clients, Party::Gateway(number)),
                down: context.links.get(Party::Gateway(number), Party::Clients),
                clock: context.clock.clone(),
            },
            idle_connections: Mutex::default(),
            connection_permits: Semaphore::new(context.plan.scenario.load.connections),
            down: AtomicBool::new(false),
        };
        let targets = addresses.iter().enumerate().map(target).collect();
        Arc::new(Clients { context, targets, open: AtomicUsize::new(0) })
    }

    /// Marks a gateway as down or up at the front end.
    pub fn front(&self, gateway: usize, down: bool) {
        self.targets[gateway].down.store(down, Ordering::Relaxed);
    }

    /// Returns the number of open requests.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Sends every request of the plan at its time. `seen` is called with the index of each arrival.
    pub async fn send_all(self: &Arc<Clients>, seen: impl Fn(usize)) {
        for arrival in 0..self.context.plan.arrivals.len() {
            let at = self.context.plan.arrivals[arrival].at;
            if self.context.clock.now() < at {
                self.context.clock.until(at).await;
            }
            seen(arrival);
            if self.open() >= MAX_OPEN_REQUESTS {
                self.context.resource_shortages.note(&io::ErrorKind::OutOfMemory.into());
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

    /// Sends one request and its retries.
    async fn request(self: &Arc<Clients>, arrival: usize) {
        let spec = &self.context.plan.arrivals[arrival];
        let class = &self.context.plan.scenario.classes[spec.class];
        let load = &self.context.plan.scenario.load;
        let deadline = spec.at + us(class.deadline_ms / 1000.0);
        let window_end = spec.at + us(class.window_ms / 1000.0);
        let mut due = spec.at;
        for nth in 0..=load.retries {
            let until = (due + spec.patience_us).min(deadline);
            let (end, retry_after) = self.attempt(arrival, nth, due, until).await;
            let now = self.context.clock.now();
            let retryable = match end {
                End::Answer { status: 200 | 202, .. } | End::Open => return,
                End::Answer { status: 429 | 503, .. } | End::Unreachable => true,
                _ => match class.effect {
                    Effect::Safe => true,
                    Effect::Keyed => now < window_end,
                    Effect::Unsafe => false,
                },
            };
            let id = self.context.plan.id(arrival, nth);
            let mut pause = load.backoff_ms / 1000.0 * f64::from(1 << nth.min(10));
            pause *= 0.5 + self.context.unit_draw(id, 11);
            if let Some(retry_after_s) = retry_after.filter(|_| self.context.unit_draw(id, 12) < load.honour)
            {
                pause = pause.max(retry_after_s);
            }
            due = now + us(pause);
            if !retryable || due + 1000 >= deadline {
                return;
            }
            sleep(Duration::from_secs_f64(pause)).await;
        }
    }

    /// Selects the gateway of an attempt: the attempts rotate over those of the customer's gateways that are up according
    /// to the front end, or over all of them if none is.
    fn pick(&self, arrival: usize, nth: u32) -> usize {
        let set = &self.context.plan.arrivals[arrival].gateways;
        let up: Vec<usize> =
            set.iter().copied().filter(|g| !self.targets[*g].down.load(Ordering::Relaxed)).collect();
        let candidates = if up.is_empty() { set } else { &up };
        candidates[nth as usize % candidates.len()]
    }

    /// Makes one attempt. The client stops waiting at `until`; the connection is read for `GRACE` longer.
    async fn attempt(
        self: &Arc<Clients>,
        arrival: usize,
        nth: u32,
        due: Microseconds,
        until: Microseconds,
    ) -> (End, Option<f64>) {
        let gateway = self.pick(arrival, nth);
        let id = self.context.plan.id(arrival, nth);
        self.context.register_id(id, arrival);
        let began = self.context.clock.now();
        let attempt = ClientAttempt {
            arrival,
            nth,
            id,
            gateway,
            process_number: self.context.process_number(gateway),
            due,
            until,
            began,
            written: None,
            ended: began,
            end: End::Open,
            duplicate_answer: false,
        };
        let budget_ms = until.saturating_sub(due) / 1000;
        let text = self.request_text(arrival, nth, id, budget_ms.max(1));
        let (result_sender, result) = oneshot::channel();
        let clients = self.clone();
        tokio::spawn(async move {
            let ended = clients.run_attempt(attempt, &text).await;
            // Fails if the client has timed out and its receiver is gone.
            let _ = result_sender.send(ended);
        });
        match timeout_at(self.context.clock.instant(until), result).await {
            Ok(Ok(ended)) => ended,
            _ => (End::GaveUp, None),
        }
    }

    /// Runs an attempt to its end, which may be after the client's time-out, and records it. Returns the end and the
    /// `Retry-After` in seconds.
    async fn run_attempt(&self, mut attempt: ClientAttempt, text: &[u8]) -> (End, Option<f64>) {
        let deadline = self.context.clock.instant(attempt.until + GRACE);
        let until = self.context.clock.instant(attempt.until);
        let mut retry_after = None;
        attempt.end = match timeout_at(deadline, self.exchange(&mut attempt, text, until)).await {
            Ok((end, answer)) => {
                if let Some(answer) = answer {
                    retry_after = answer.retry_after;
                    self.record_receipt(attempt.arrival, end, answer.location);
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
    fn record_receipt(&self, arrival: usize, end: End, location: Option<String>) {
        if !matches!(end, End::Answer { status: 202, .. }) {
            return;
        }
        if let Some(path) = location {
            let receipt = Receipt { arrival, path, status: WriteStatus::Nothing };
            self.context.note(|record| record.receipts.push(receipt));
        }
    }

    /// Writes the request and reads its answer. If a reused connection was closed just as the request was written, the
    /// request is sent again. Nothing is written after the client's time-out.
    async fn exchange(
        &self,
        attempt: &mut ClientAttempt,
        text: &[u8],
        until: Instant,
    ) -> (End, Option<Answer>) {
        let target = &self.targets[attempt.gateway];
        // The semaphore is never closed.
        let Ok(Ok(_permit)) = timeout_at(until, target.connection_permits.acquire()).await else {
            return (End::Unreachable, None);
        };
        loop {
            let mut connection = match self.take_idle(attempt).await {
                Some(connection) => connection,
                None => match timeout_at(until, self.connect(target)).await {
                    Ok(Ok(connection)) => connection,
                    Ok(Err(error)) => {
                        self.context.resource_shortages.note(&error);
                        return (End::Unreachable, None);
                    }
                    Err(_) => return (End::Unreachable, None),
                },
            };
            if Instant::now() >= until {
                return (End::Unreachable, None);
            }
            let reused = connection.used > 0;
            let written_at = Instant::now();
            let written = connection.write(text).await.is_ok();
            if written {
                attempt.written = Some(self.context.clock.now());
            }
            let answer = if written { connection.read().await } else { Ok(None) };
            match answer {
                Ok(Some(answer)) => {
                    let mark = parse_mark(&answer.body);
                    let end = End::Answer { status: answer.status, mark };
                    let idle = IdleConnection {
                        connection,
                        last: (attempt.arrival, attempt.nth),
                        process_number: attempt.process_number,
                    };
                    if answer.keep_alive {
                        self.store_idle(target, idle);
                    }
                    return (end, Some(answer));
                }
                Ok(None) if reused && written_at.elapsed() < CLOSE_RACE_WINDOW => {
                    attempt.written = None;
                }
                Ok(None) if !written => return (End::Unreachable, None),
                _ => return (End::Broken, None),
            }
        }
    }

    /// Takes an idle connection to the gateway's present process on which no unexpected data has arrived.
    async fn take_idle(&self, attempt: &ClientAttempt) -> Option<Connection> {
        loop {
            let mut idle = lock(&self.targets[attempt.gateway].idle_connections).pop()?;
            match idle.connection.idle_state().await {
                IdleState::Usable if idle.process_number == attempt.process_number => {
                    return Some(idle.connection)
                }
                IdleState::UnexpectedData => self.record_duplicate_answer(&idle),
                _ => {}
            }
        }
    }

    fn store_idle(&self, target: &GatewayTarget, idle: IdleConnection) {
        let mut all = lock(&target.idle_connections);
        if all.len() < self.context.plan.scenario.load.connections {
            all.push(idle);
        }
    }

    /// Checks the remaining idle connections: data on one of them is a second answer to its last request.
    pub async fn look_at_kept(&self) {
        for target in &self.targets {
            let all = std::mem::take(&mut *lock(&target.idle_connections));
            for mut idle in all {
                if idle.connection.idle_state().await == IdleState::UnexpectedData {
                    self.record_duplicate_answer(&idle);
                }
            }
        }
    }

    fn record_duplicate_answer(&self, idle: &IdleConnection) {
        self.context.note(|record| {
            let (arrival, nth) = idle.last;
            let mut latest_first = record.tries.iter_mut().rev();
            if let Some(attempt) =
                latest_first.find(|attempt| attempt.arrival == arrival && attempt.nth == nth)
            {
                attempt.duplicate_answer = true;
            }
        });
    }

    async fn connect(&self, target: &GatewayTarget) -> io::Result<Connection> {
        // No connection is established while either direction is cut.
        for link in [&target.way.up, &target.way.down] {
            let _ = link.watch().wait_for(|view| !view.cut()).await;
        }
        let stream = TcpStream::connect(target.address).await?;
        Ok(Connection::new(relay_stream(stream, target.way.clone(), None).0))
    }

    fn request_text(&self, arrival: usize, nth: u32, id: u64, budget_ms: u64) -> Vec<u8> {
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

/// Reads the mark from the body of an answer by one of the lab's backends.
fn parse_mark(body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?.strip_prefix("lab ")?;
    u64::from_str_radix(text.get(..16)?, 16).ok()
}
