//! The stand-in of a backend: the model of its machine behind HTTP, with its faults.

use crate::backend_model::{Job, Machine, Offer};
use crate::fault_targets::Party;
use crate::link::lock;
use crate::plan::{BackendFault, Microseconds};
use crate::record::{Attempt, Fall, Outcome};
use crate::relay::LastRead;
use crate::run_context::RunContext;
use crate::serve::{answer, connection, half, Answer};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::DuplexStream;
use tokio::sync::{oneshot, watch, Notify};

const REJECTED: HeaderName = HeaderName::from_static("x-rejected");
const REPORT: HeaderName = HeaderName::from_static("x-load-report");
/// The longest body of a request.
const LONGEST_BODY_BYTES: usize = 64 * 1024;
/// Work of a repeat that is dropped, and of a probe, in microseconds.
const SMALL_WORK_US: f64 = 250.0;

struct State {
    machine: Machine,
    waiting: HashMap<Job, oneshot::Sender<()>>,
    next: Job,
    faults: Vec<BackendFault>,
    connections: usize,
    report: (Microseconds, String),
    draining: bool,
}

/// A request that was offered to the machine.
struct OfferedJob {
    offer: Offer,
    /// Fires when the job is done; closed when the process dies.
    done: oneshot::Receiver<()>,
    /// The faults that were on at that time.
    faults: Vec<BackendFault>,
}

/// One backend, over all of its processes.
pub struct Backend {
    /// Its number.
    pub number: usize,
    /// The name in discovery's list.
    pub id: String,
    context: Arc<RunContext>,
    speed: f64,
    state: Mutex<State>,
    changed: Notify,
    /// Whether its process runs.
    pub alive: watch::Sender<bool>,
    /// When it last started; 0: long ago.
    started: Mutex<Microseconds>,
}

impl Backend {
    /// A backend; `since`: it starts now, cold.
    pub fn new(
        context: Arc<RunContext>,
        number: usize,
        speed: f64,
        since: Option<Microseconds>,
    ) -> Arc<Backend> {
        let spec = &context.plan.scenario.backends;
        let state = State {
            machine: Machine::new(spec, speed, since),
            waiting: HashMap::new(),
            next: 0,
            faults: Vec::new(),
            connections: 0,
            report: (0, String::new()),
            draining: false,
        };
        let id = format!("s-{:08x}", context.mark(number as u64, 7) as u32);
        let backend = Arc::new(Backend {
            number,
            id,
            context,
            speed,
            state: Mutex::new(state),
            changed: Notify::new(),
            alive: watch::Sender::new(true),
            started: Mutex::new(since.unwrap_or(0)),
        });
        tokio::spawn(backend.clone().work());
        backend
    }

    /// When it last started; 0: long ago.
    pub fn started(&self) -> Microseconds {
        *lock(&self.started)
    }

    /// Its process dies: connections are reset, work is lost.
    pub fn die(&self) {
        self.alive.send_replace(false);
        let mut state = lock(&self.state);
        let spec = &self.context.plan.scenario.backends;
        state.machine = Machine::new(spec, self.speed, None);
        state.waiting.clear();
        state.connections = 0;
    }

    /// Its process starts, cold.
    pub fn start(&self) {
        let now = self.context.clock.now().max(1);
        *lock(&self.started) = now;
        let mut state = lock(&self.state);
        state.machine = Machine::new(&self.context.plan.scenario.backends, self.speed, Some(now));
        state.machine.advance(now);
        slow_down(&mut state, now);
        state.draining = false;
        drop(state);
        self.alive.send_replace(true);
    }

    /// From now on it turns new work away and finishes what it has.
    pub fn drain(&self) {
        lock(&self.state).draining = true;
    }

    /// Begins a fault, or ends it.
    pub fn set_fault(&self, fault: BackendFault, on: bool) {
        let now = self.context.clock.now();
        let mut state = lock(&self.state);
        if on {
            state.faults.push(fault);
        } else if let Some(place) = state.faults.iter().position(|known| *known == fault) {
            state.faults.remove(place);
        }
        let done = slow_down(&mut state, now);
        finish(&mut state, done);
        drop(state);
        self.changed.notify_one();
    }

    /// Ends jobs when their time has come.
    async fn work(self: Arc<Backend>) {
        loop {
            let next = lock(&self.state).machine.next();
            tokio::select! {
                () = self.changed.notified() => {}
                () = self.context.clock.until(next.unwrap_or(0)), if next.is_some() => {}
            }
            let mut state = lock(&self.state);
            let done = state.machine.advance(self.context.clock.now());
            finish(&mut state, done);
        }
    }

    /// Takes a gateway's connection.
    pub fn accept(self: &Arc<Backend>, stream: DuplexStream, stamp: LastRead, gateway: usize) {
        let spec = &self.context.plan.scenario.backends;
        let most = (spec.connections_per_core as f64 * spec.cores) as usize;
        let now = self.context.clock.now();
        {
            let mut state = lock(&self.state);
            if state.connections >= most {
                return;
            }
            state.connections += 1;
            let work = spec.handshake_us;
            state.machine.burden(now, work);
        }
        self.changed.notify_one();
        self.context.note(|record| record.connections += 1);
        let backend = self.clone();
        let idle = Duration::from_secs_f64(spec.idle_s);
        let mut alive = self.alive.subscribe();
        let (own, from) = (Party::Backend(self.number), Party::Gateway(gateway));
        let (up, down) = (self.context.links.get(from, own), self.context.links.get(own, from));
        tokio::spawn(async move {
            // A handshake takes a round trip more before the first request is read.
            down.cross(&mut down.watch()).await;
            up.cross(&mut up.watch()).await;
            let serving = connection(stream, idle, |request| {
                let (backend, first) = (backend.clone(), stamp.last());
                async move { backend.serve(request, gateway, first).await }
            });
            tokio::select! {
                () = serving => {
                    let mut state = lock(&backend.state);
                    state.connections = state.connections.saturating_sub(1);
                }
                _ = alive.wait_for(|alive| !alive) => {}
            }
        });
    }

    async fn serve(&self, request: Request<Incoming>, gateway: usize, first: Microseconds) -> Answer {
        match request.uri().path() {
            "/ping" => return answer(StatusCode::OK, ""),
            "/_load" => {
                lock(&self.state).machine.burden(self.context.clock.now(), SMALL_WORK_US);
                return answer(StatusCode::OK, self.report());
            }
            _ => {}
        }
        let id = id_of(request.headers());
        let body = Limited::new(request.into_body(), LONGEST_BODY_BYTES).collect().await;
        let Ok(_) = body else { return answer(StatusCode::BAD_REQUEST, "") };
        let came = self.context.clock.now();
        let arrival = id.and_then(|id| self.context.arrival(id));
        let mut open = Open {
            context: &self.context,
            backend: self,
            job: None,
            attempt: Some(Attempt {
                id: id.filter(|_| arrival.is_some()).unwrap_or(0),
                backend: self.number,
                gateway,
                first,
                came,
                ended: came,
                outcome: Outcome::Abandoned,
                ran: false,
                mark: 0,
                work_us: 0.0,
            }),
        };
        let (Some(id), Some(arrival)) = (id, arrival) else {
            let status = if id.is_some() { StatusCode::BAD_REQUEST } else { StatusCode::NOT_FOUND };
            open.end(Outcome::Error);
            return answer(status, "");
        };
        self.run(id, arrival, gateway, came, open).await
    }

    /// Offers a request to the machine. The attempt is noted as run if it was taken and is no repeat.
    fn offer(&self, arrival: usize, gateway: usize, now: Microseconds, open: &mut Open<'_>) -> OfferedJob {
        let arrival_spec = &self.context.plan.arrivals[arrival];
        let class = &self.context.plan.scenario.classes[arrival_spec.class];
        let window = (class.window_ms * 1000.0) as Microseconds;
        let keyed = self.context.plan.keyed(arrival_spec.class);
        let mut state = lock(&self.state);
        let ended = state.machine.advance(now);
        finish(&mut state, ended);
        let repeated = keyed && self.context.repeated(arrival, window, now);
        let work_us = if repeated { SMALL_WORK_US } else { arrival_spec.work_us };
        let knowing = self.context.knows(gateway, self.number, self.started());
        let job = state.next;
        state.next += 1;
        let offer =
            if state.draining { Offer::Full } else { state.machine.offer(now, job, work_us, knowing) };
        let (done_sender, done) = oneshot::channel();
        if offer == Offer::Taken {
            state.waiting.insert(job, done_sender);
            open.job = Some(job);
            open.change(|attempt| {
                attempt.ran = !repeated;
                attempt.work_us = work_us;
            });
        }
        if offer == Offer::Fell {
            let fall = Fall { backend: self.number, at: now, knowing: state.machine.knowing() };
            self.context.note(|record| record.falls.push(fall));
        }
        OfferedJob { offer, done, faults: state.faults.clone() }
    }

    /// Runs a request to its answer; one that gets none ends with its connection.
    async fn run(
        &self,
        id: u64,
        arrival: usize,
        gateway: usize,
        now: Microseconds,
        mut open: Open<'_>,
    ) -> Answer {
        let OfferedJob { offer, done, faults } = self.offer(arrival, gateway, now, &mut open);
        match offer {
            Offer::Fell => {
                self.die();
                open.end(Outcome::Died);
                return std::future::pending().await;
            }
            Offer::Full => {
                open.end(Outcome::TurnedAway);
                return self.rejection();
            }
            Offer::Taken => self.changed.notify_one(),
        }
        let died = done.await.is_err();
        if died || faults.contains(&BackendFault::Silent) {
            if died {
                open.end(Outcome::Died);
            }
            // Until the gateway closes the connection, or the process's end does.
            return std::future::pending().await;
        }
        open.job = None;
        self.reply(id, &faults, open)
    }

    /// The answer of a job that is done.
    fn reply(&self, id: u64, faults: &[BackendFault], mut open: Open<'_>) -> Answer {
        let rate =
            |pick: fn(&BackendFault) -> Option<f64>| faults.iter().filter_map(pick).fold(0.0, f64::max);
        let errors = rate(|fault| if let BackendFault::Errors(rate) = fault { Some(*rate) } else { None });
        let halves = rate(|fault| if let BackendFault::Half(rate) = fault { Some(*rate) } else { None });
        let errors = errors.max(self.context.plan.scenario.backends.error_rate);
        let mark = self.context.mark(id, self.number);
        // The same request fares alike when it comes again to this backend.
        if self.context.part(id, 1 << 20 | self.number as u64) < errors {
            open.end(Outcome::Error);
            return self.with_report(answer(StatusCode::INTERNAL_SERVER_ERROR, ""));
        }
        let body = Bytes::from(format!("lab {mark:016x} {:>180}\n", self.id));
        if self.context.part(id, 2 << 20 | self.number as u64) < halves {
            open.end(Outcome::Half);
            return half(body);
        }
        open.change(|attempt| attempt.mark = mark);
        open.end(Outcome::Served);
        self.with_report(answer(StatusCode::OK, body))
    }

    fn rejection(&self) -> Answer {
        let mut answer = answer(StatusCode::SERVICE_UNAVAILABLE, "");
        answer.headers_mut().insert(REJECTED, HeaderValue::from_static("1"));
        self.with_report(answer)
    }

    fn report(&self) -> String {
        let now = self.context.clock.now();
        let mut state = lock(&self.state);
        let fresh = (self.context.plan.scenario.backends.report_ms * 1000.0) as Microseconds;
        if state.report.1.is_empty() || now >= state.report.0 + fresh {
            let (held, busy) = (state.machine.held(), state.machine.busy());
            state.report = (now, format!("TEXT concurrent={held}, load_share={busy:.3}"));
        }
        state.report.1.clone()
    }

    fn with_report(&self, mut answer: Answer) -> Answer {
        if let Ok(report) = HeaderValue::from_str(&self.report()) {
            answer.headers_mut().insert(REPORT, report);
        }
        answer
    }
}

fn slow_down(state: &mut State, now: Microseconds) -> Vec<Job> {
    let done = state.machine.advance(now);
    let slower =
        state.faults.iter().map(|fault| if let BackendFault::Slow(times) = fault { *times } else { 1.0 });
    let slower = slower.product();
    state.machine.slow(now, slower);
    done
}

fn finish(state: &mut State, done: Vec<Job>) {
    for tell in done.into_iter().filter_map(|job| state.waiting.remove(&job)) {
        // Nobody waits for it if the attempt was given up.
        let _ = tell.send(());
    }
}

/// An attempt that has not ended; given up where it is dropped.
struct Open<'a> {
    context: &'a RunContext,
    backend: &'a Backend,
    job: Option<Job>,
    attempt: Option<Attempt>,
}

impl Open<'_> {
    fn change(&mut self, change: impl FnOnce(&mut Attempt)) {
        if let Some(attempt) = &mut self.attempt {
            change(attempt);
        }
    }

    fn end(&mut self, outcome: Outcome) {
        let ended = self.context.clock.now();
        if let Some(attempt) = self.attempt.take() {
            self.context.note(|record| record.attempts.push(Attempt { outcome, ended, ..attempt }));
        }
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        let mut outcome = Outcome::Abandoned;
        if let Some(job) = self.job.take() {
            let mut state = lock(&self.backend.state);
            let drops = self.context.plan.scenario.backends.drops_cancelled;
            if drops && state.machine.drop_waiting(job) {
                state.waiting.remove(&job);
                self.change(|attempt| attempt.ran = false);
            }
        }
        if !*self.backend.alive.borrow() {
            outcome = Outcome::Died;
        }
        self.end(outcome);
    }
}

/// The id in the form in which clients send it.
fn id_of(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get("x-call-id")?.to_str().ok()?;
    (text.len() == 16).then(|| u64::from_str_radix(text, 16).ok())?
}
