//! Stand-in for a backend: an HTTP server in front of the machine model, with injected faults.

use crate::backend_model::{Job, Machine, Offer};
use crate::fault_targets::Party;
use crate::link::lock;
use crate::plan::{BackendFault, Microseconds};
use crate::record::{BackendAttempt, Outcome, Overload};
use crate::relay::LastRead;
use crate::run_context::RunContext;
use crate::serve::{answer, connection, truncated_answer, Answer};
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
/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Work of a repeated request that is dropped, and of a load report request, in microseconds.
const SMALL_WORK_US: f64 = 250.0;

struct State {
    machine: Machine,
    completions: HashMap<Job, oneshot::Sender<()>>,
    next_job: Job,
    faults: Vec<BackendFault>,
    connections: usize,
    report: (Microseconds, String),
    draining: bool,
}

/// Request that was offered to the machine, with the machine's decision.
struct OfferedJob {
    offer: Offer,
    /// Receives a message when the job is done; closed when the backend's process ends.
    done: oneshot::Receiver<()>,
    /// Faults that were active when the job was offered.
    faults: Vec<BackendFault>,
}

/// One backend, across restarts of its process.
pub struct Backend {
    /// Number of the backend.
    pub number: usize,
    /// Id of the backend in the endpoint list.
    pub id: String,
    context: Arc<RunContext>,
    speed: f64,
    state: Mutex<State>,
    changed: Notify,
    /// Whether the backend's process is running.
    pub alive: watch::Sender<bool>,
    /// Time of the last process start; 0 if the process started before the run.
    started: Mutex<Microseconds>,
}

impl Backend {
    /// Creates a running backend. With `since` its process starts at that time and is still warming up; with `None` it
    /// started before the run.
    pub fn new(
        context: Arc<RunContext>,
        number: usize,
        speed: f64,
        since: Option<Microseconds>,
    ) -> Arc<Backend> {
        let spec = &context.plan.scenario.backends;
        let state = State {
            machine: Machine::new(spec, speed, since),
            completions: HashMap::new(),
            next_job: 0,
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
        tokio::spawn(backend.clone().run_machine());
        backend
    }

    /// Returns the time of the last process start; 0 if the process started before the run.
    pub fn started(&self) -> Microseconds {
        *lock(&self.started)
    }

    /// Ends the backend's process: its connections are reset and its jobs are lost.
    pub fn die(&self) {
        self.alive.send_replace(false);
        let mut state = lock(&self.state);
        let spec = &self.context.plan.scenario.backends;
        state.machine = Machine::new(spec, self.speed, None);
        state.completions.clear();
        state.connections = 0;
    }

    /// Starts the backend's process, which is then warming up.
    pub fn start(&self) {
        let now = self.context.clock.now().max(1);
        *lock(&self.started) = now;
        let mut state = lock(&self.state);
        state.machine = Machine::new(&self.context.plan.scenario.backends, self.speed, Some(now));
        state.machine.advance(now);
        apply_slowdown(&mut state, now);
        state.draining = false;
        drop(state);
        self.alive.send_replace(true);
    }

    /// Starts draining: new requests are rejected, accepted ones are completed.
    pub fn drain(&self) {
        lock(&self.state).draining = true;
    }

    /// Starts or ends a fault.
    pub fn set_fault(&self, fault: BackendFault, on: bool) {
        let now = self.context.clock.now();
        let mut state = lock(&self.state);
        if on {
            state.faults.push(fault);
        } else if let Some(index) = state.faults.iter().position(|active| *active == fault) {
            state.faults.remove(index);
        }
        let done = apply_slowdown(&mut state, now);
        notify_completed(&mut state, done);
        drop(state);
        self.changed.notify_one();
    }

    /// Advances the machine whenever its next job is due or its load has changed.
    async fn run_machine(self: Arc<Backend>) {
        loop {
            let next_due = lock(&self.state).machine.next_due();
            tokio::select! {
                () = self.changed.notified() => {}
                () = self.context.clock.until(next_due.unwrap_or(0)), if next_due.is_some() => {}
            }
            let mut state = lock(&self.state);
            let done = state.machine.advance(self.context.clock.now());
            notify_completed(&mut state, done);
        }
    }

    /// Accepts a gateway's connection, up to the machine's connection limit.
    pub fn accept(self: &Arc<Backend>, stream: DuplexStream, last_read: LastRead, gateway: usize) {
        let spec = &self.context.plan.scenario.backends;
        let max_connections = (spec.connections_per_core as f64 * spec.cores) as usize;
        let now = self.context.clock.now();
        {
            let mut state = lock(&self.state);
            if state.connections >= max_connections {
                return;
            }
            state.connections += 1;
            let overhead_us = spec.handshake_us;
            state.machine.add_overhead(now, overhead_us);
        }
        self.changed.notify_one();
        self.context.note(|record| record.connections += 1);
        let backend = self.clone();
        let idle = Duration::from_secs_f64(spec.idle_s);
        let mut alive = self.alive.subscribe();
        let (backend_party, gateway_party) = (Party::Backend(self.number), Party::Gateway(gateway));
        let (up, down) = (
            self.context.links.get(gateway_party, backend_party),
            self.context.links.get(backend_party, gateway_party),
        );
        tokio::spawn(async move {
            // A handshake adds one round trip before the first request is read.
            down.cross(&mut down.watch()).await;
            up.cross(&mut up.watch()).await;
            let serving = connection(stream, idle, |request| {
                let (backend, first) = (backend.clone(), last_read.last());
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
                lock(&self.state).machine.add_overhead(self.context.clock.now(), SMALL_WORK_US);
                return answer(StatusCode::OK, self.report());
            }
            _ => {}
        }
        let id = request_id(request.headers());
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
        let Ok(_) = body else { return answer(StatusCode::BAD_REQUEST, "") };
        let received_at = self.context.clock.now();
        let arrival = id.and_then(|id| self.context.arrival(id));
        let mut guard = AttemptGuard {
            context: &self.context,
            backend: self,
            job: None,
            attempt: Some(BackendAttempt {
                id: id.filter(|_| arrival.is_some()).unwrap_or(0),
                backend: self.number,
                gateway,
                first,
                received_at,
                ended: received_at,
                outcome: Outcome::Abandoned,
                ran: false,
                mark: 0,
                work_us: 0.0,
            }),
        };
        let (Some(id), Some(arrival)) = (id, arrival) else {
            let status = if id.is_some() { StatusCode::BAD_REQUEST } else { StatusCode::NOT_FOUND };
            guard.end(Outcome::Error);
            return answer(status, "");
        };
        self.run(id, arrival, gateway, received_at, guard).await
    }

    /// Offers a request to the machine. The attempt is recorded as run if it was accepted and is not a repeat within its
    /// deduplication window.
    fn offer(
        &self,
        arrival: usize,
        gateway: usize,
        now: Microseconds,
        guard: &mut AttemptGuard<'_>,
    ) -> OfferedJob {
        let arrival_spec = &self.context.plan.arrivals[arrival];
        let class = &self.context.plan.scenario.classes[arrival_spec.class];
        let window = (class.window_ms * 1000.0) as Microseconds;
        let keyed = self.context.plan.keyed(arrival_spec.class);
        let mut state = lock(&self.state);
        let ended = state.machine.advance(now);
        notify_completed(&mut state, ended);
        let repeated = keyed && self.context.is_repeated(arrival, window, now);
        let work_us = if repeated { SMALL_WORK_US } else { arrival_spec.work_us };
        let informed = self.context.knows_start(gateway, self.number, self.started());
        let job = state.next_job;
        state.next_job += 1;
        let offer =
            if state.draining { Offer::QueueFull } else { state.machine.offer(now, job, work_us, informed) };
        let (done_sender, done) = oneshot::channel();
        if offer == Offer::Accepted {
            state.completions.insert(job, done_sender);
            guard.job = Some(job);
            guard.update(|attempt| {
                attempt.ran = !repeated;
                attempt.work_us = work_us;
            });
        }
        if offer == Offer::Overloaded {
            let overload = Overload {
                backend: self.number,
                at: now,
                informed_fraction: state.machine.informed_fraction(),
            };
            self.context.note(|record| record.overloads.push(overload));
        }
        OfferedJob { offer, done, faults: state.faults.clone() }
    }

    /// Runs a request and returns its answer. A request that gets no answer stays pending until its connection ends.
    async fn run(
        &self,
        id: u64,
        arrival: usize,
        gateway: usize,
        now: Microseconds,
        mut guard: AttemptGuard<'_>,
    ) -> Answer {
        let OfferedJob { offer, done, faults } = self.offer(arrival, gateway, now, &mut guard);
        match offer {
            Offer::Overloaded => {
                self.die();
                guard.end(Outcome::Died);
                return std::future::pending().await;
            }
            Offer::QueueFull => {
                guard.end(Outcome::TurnedAway);
                return self.rejection();
            }
            Offer::Accepted => self.changed.notify_one(),
        }
        let died = done.await.is_err();
        if died || faults.contains(&BackendFault::Silent) {
            if died {
                guard.end(Outcome::Died);
            }
            // Pending until the gateway closes the connection or the process ends.
            return std::future::pending().await;
        }
        guard.job = None;
        self.reply(id, &faults, guard)
    }

    /// Builds the answer to a completed job, with the injected faults.
    fn reply(&self, id: u64, faults: &[BackendFault], mut guard: AttemptGuard<'_>) -> Answer {
        let max_rate =
            |pick: fn(&BackendFault) -> Option<f64>| faults.iter().filter_map(pick).fold(0.0, f64::max);
        let error_rate =
            max_rate(|fault| if let BackendFault::Errors(rate) = fault { Some(*rate) } else { None });
        let truncation_rate =
            max_rate(|fault| if let BackendFault::Half(rate) = fault { Some(*rate) } else { None });
        let error_rate = error_rate.max(self.context.plan.scenario.backends.error_rate);
        let mark = self.context.mark(id, self.number);
        // The draw depends on request and backend alone, so that a repeat at this backend has the same outcome.
        if self.context.unit_draw(id, 1 << 20 | self.number as u64) < error_rate {
            guard.end(Outcome::Error);
            return self.with_report(answer(StatusCode::INTERNAL_SERVER_ERROR, ""));
        }
        let body = Bytes::from(format!("lab {mark:016x} {:>180}\n", self.id));
        if self.context.unit_draw(id, 2 << 20 | self.number as u64) < truncation_rate {
            guard.end(Outcome::Half);
            return truncated_answer(body);
        }
        guard.update(|attempt| attempt.mark = mark);
        guard.end(Outcome::Served);
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
        let interval_us = (self.context.plan.scenario.backends.report_ms * 1000.0) as Microseconds;
        if state.report.1.is_empty() || now >= state.report.0 + interval_us {
            let (requests, utilization) = (state.machine.request_count(), state.machine.utilization());
            state.report = (now, format!("TEXT concurrent={requests}, load_share={utilization:.3}"));
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

fn apply_slowdown(state: &mut State, now: Microseconds) -> Vec<Job> {
    let done = state.machine.advance(now);
    let slowdown =
        state.faults.iter().map(|fault| if let BackendFault::Slow(factor) = fault { *factor } else { 1.0 });
    let slowdown = slowdown.product();
    state.machine.set_slowdown(now, slowdown);
    done
}

fn notify_completed(state: &mut State, done: Vec<Job>) {
    for completion in done.into_iter().filter_map(|job| state.completions.remove(&job)) {
        // Fails if the attempt was cancelled and its receiver is gone.
        let _ = completion.send(());
    }
}

/// Attempt that has not ended. Dropping the guard records the attempt as abandoned, or as lost with its process.
struct AttemptGuard<'a> {
    context: &'a RunContext,
    backend: &'a Backend,
    job: Option<Job>,
    attempt: Option<BackendAttempt>,
}

impl AttemptGuard<'_> {
    fn update(&mut self, update: impl FnOnce(&mut BackendAttempt)) {
        if let Some(attempt) = &mut self.attempt {
            update(attempt);
        }
    }

    fn end(&mut self, outcome: Outcome) {
        let ended = self.context.clock.now();
        if let Some(attempt) = self.attempt.take() {
            self.context.note(|record| record.attempts.push(BackendAttempt { outcome, ended, ..attempt }));
        }
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let mut outcome = Outcome::Abandoned;
        if let Some(job) = self.job.take() {
            let mut state = lock(&self.backend.state);
            let drops_cancelled = self.context.plan.scenario.backends.drops_cancelled;
            if drops_cancelled && state.machine.cancel_queued(job) {
                state.completions.remove(&job);
                self.update(|attempt| attempt.ran = false);
            }
        }
        if !*self.backend.alive.borrow() {
            outcome = Outcome::Died;
        }
        self.end(outcome);
    }
}

/// Reads the request id, 16 hexadecimal digits.
fn request_id(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get("x-call-id")?.to_str().ok()?;
    (text.len() == 16).then(|| u64::from_str_radix(text, 16).ok())?
}
