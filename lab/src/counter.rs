//! The stand-in of the counter: numbers by name behind a line of bounded length, with its faults.

use crate::link::lock;
use crate::plan::Microseconds;
use crate::record::Call;
use crate::run_context::RunContext;
use crate::serve::{answer, connection, Answer};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::DuplexStream;
use tokio::sync::watch;

/// Calls that it bears for each request inside quotas, where its scenario does not say. What is asked beyond quotas asks
/// too, and units are given back.
const BEARS: f64 = 2.5;
/// Connections of one gateway at once.
pub const CONNECTIONS: usize = 32;
/// An idle connection is closed after this.
const IDLE: Duration = Duration::from_secs(10);
/// The longest life of a name.
const LONGEST_LIFE_MS: u64 = 60_000;
/// Names held before those that are over are looked for.
const MANY: usize = 10_000;

struct State {
    /// Totals and when they are forgotten.
    totals: HashMap<String, (f64, Microseconds)>,
    /// When the calls in line are done.
    busy_until: f64,
    slower_us: u64,
    garble: u32,
    /// Millionths of its capacity.
    limits: Vec<u32>,
    tidy_at: usize,
    connections: Vec<usize>,
}

/// The counter.
pub struct Counter {
    context: Arc<RunContext>,
    /// Calls a second.
    capacity: f64,
    state: Mutex<State>,
    /// Whether it takes calls.
    pub alive: watch::Sender<bool>,
    down: Mutex<u32>,
}

impl Counter {
    /// A counter by its scenario.
    pub fn new(context: Arc<RunContext>) -> Arc<Counter> {
        let scenario = &context.plan.scenario;
        let capacity = match scenario.counter.per_s {
            own if own > 0.0 => own,
            _ => scenario.load.per_s * BEARS,
        };
        let gateways = scenario.gateways.count;
        Arc::new(Counter {
            context,
            capacity,
            state: Mutex::new(State {
                totals: HashMap::new(),
                busy_until: 0.0,
                slower_us: 0,
                garble: 0,
                limits: Vec::new(),
                tidy_at: MANY,
                connections: vec![0; gateways],
            }),
            alive: watch::Sender::new(true),
            down: Mutex::new(0),
        })
    }

    /// Begins or ends an outage; outages may overlap.
    pub fn down(&self, on: bool) {
        let mut down = lock(&self.down);
        *down = if on { *down + 1 } else { down.saturating_sub(1) };
        self.alive.send_replace(*down == 0);
    }
    /// Takes longer for each call.
    pub fn slow(&self, delay_us: u32, on: bool) {
        let slower = &mut lock(&self.state).slower_us;
        *slower = if on { *slower + u64::from(delay_us) } else { slower.saturating_sub(delay_us.into()) };
    }
    /// Forgets all.
    pub fn empty(&self) {
        lock(&self.state).totals.clear();
    }
    /// Answers some calls without a number.
    pub fn garble(&self, rate: u32, on: bool) {
        let garble = &mut lock(&self.state).garble;
        *garble = if on { garble.saturating_add(rate) } else { garble.saturating_sub(rate) };
    }
    /// Bears more or fewer calls.
    pub fn limit(&self, factor: u32, on: bool) {
        let limits = &mut lock(&self.state).limits;
        match on {
            true => limits.push(factor),
            // One of those that are alike: another may go on.
            false => {
                if let Some(place) = limits.iter().position(|limit| *limit == factor) {
                    limits.remove(place);
                }
            }
        }
    }

    /// Takes a gateway's connection.
    pub fn accept(self: &Arc<Counter>, stream: DuplexStream, gateway: usize) {
        {
            let mut state = lock(&self.state);
            if state.connections[gateway] >= CONNECTIONS {
                return;
            }
            state.connections[gateway] += 1;
        }
        let (counter, mut alive) = (self.clone(), self.alive.subscribe());
        tokio::spawn(async move {
            let serving = connection(stream, IDLE, |request| {
                let counter = counter.clone();
                async move { counter.call(&request, gateway).await }
            });
            tokio::select! {
                () = serving => {}
                _ = alive.wait_for(|alive| !alive) => {}
            }
            lock(&counter.state).connections[gateway] -= 1;
        });
    }

    async fn call(self: &Arc<Counter>, request: &Request<Incoming>, gateway: usize) -> Answer {
        let at = self.context.clock.now();
        let note = |status: StatusCode| {
            self.context.note(|record| record.calls.push(Call { gateway, at, status: status.as_u16() }));
        };
        let read = (request.method() == Method::POST)
            .then(|| read(request.uri().path(), request.uri().query().unwrap_or("")))
            .flatten();
        let Some((name, amount, life)) = read else {
            note(StatusCode::BAD_REQUEST);
            return answer(StatusCode::BAD_REQUEST, "");
        };
        let Some(wait) = self.turn(at) else {
            note(StatusCode::SERVICE_UNAVAILABLE);
            return answer(StatusCode::SERVICE_UNAVAILABLE, "");
        };
        note(StatusCode::OK);
        // A call in line has its turn whether its caller waits or not.
        let counter = self.clone();
        let added = tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            counter.add(name, amount, life)
        });
        answer(StatusCode::OK, added.await.ok().flatten().unwrap_or_default())
    }

    /// How long until a call's turn is over; `None`: the line is too long.
    fn turn(&self, now: Microseconds) -> Option<Duration> {
        let spec = &self.context.plan.scenario.counter;
        let mut state = lock(&self.state);
        let limit: f64 = state.limits.iter().map(|f| f64::from(*f) / 1e6).product();
        let start = state.busy_until.max(now as f64);
        if start - now as f64 > spec.queue_ms * 1000.0 {
            return None;
        }
        state.busy_until = start + 1e6 / (self.capacity * limit).max(0.01);
        let us = state.busy_until - now as f64 + spec.latency_ms * 1000.0 + state.slower_us as f64;
        Some(Duration::from_micros(us as u64))
    }

    /// Adds, and gives the total's text; `None`: an answer without a number.
    fn add(&self, name: String, amount: f64, life: Microseconds) -> Option<String> {
        let now = self.context.clock.now();
        let mut state = lock(&self.state);
        if state.totals.len() >= state.tidy_at {
            state.totals.retain(|_, (_, until)| *until > now);
            state.tidy_at = state.totals.len() * 2 + MANY;
        }
        let garble = state.garble;
        let total = state.totals.entry(name).or_insert((0.0, now + life));
        if total.1 <= now {
            *total = (0.0, now + life);
        }
        total.0 += amount;
        let text = format!("{}", total.0);
        let garbled = self.context.part(now ^ total.0.to_bits(), 5) * 1e6 < f64::from(garble);
        (!garbled).then_some(text)
    }
}

/// Name, amount and life of a call in its right form.
fn read(path: &str, query: &str) -> Option<(String, f64, Microseconds)> {
    let name = path.strip_prefix("/v1/count/").filter(|name| (1..=64).contains(&name.len()))?;
    let value = |key: &str| query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
    let amount: f64 = value("add")?.parse().ok().filter(|a: &f64| a.abs() <= 1e9)?;
    let life: u64 = value("ttl_ms")?.parse().ok().filter(|ms| *ms >= 1)?;
    Some((name.to_string(), amount, life.min(LONGEST_LIFE_MS) * 1000))
}
