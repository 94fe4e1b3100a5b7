//! Stand-in for the shared counter: totals by name behind a bounded queue, with injected faults.

use crate::link::lock;
use crate::plan::Microseconds;
use crate::record::CounterCall;
use crate::run_context::RunContext;
use crate::serve::{answer, connection, Answer};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::DuplexStream;
use tokio::sync::watch;

/// Default capacity, in calls for each request of the planned load. It exceeds 1 because requests beyond the quotas call
/// the counter as well, and because units are returned.
const CALLS_PER_REQUEST: f64 = 2.5;
/// Maximum number of open connections of one gateway.
pub const CONNECTIONS: usize = 32;
/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time to live of a name, in milliseconds.
const MAX_TTL_MS: u64 = 60_000;
/// Number of names at which expired ones are first removed. The next removal is due at twice the number of
/// remaining names plus this.
const CLEANUP_THRESHOLD: usize = 10_000;

struct State {
    /// Totals by name, with their expiry times.
    totals: HashMap<String, (f64, Microseconds)>,
    /// Time at which the queued calls are completed, in microseconds.
    busy_until: f64,
    extra_delay_us: u64,
    /// Fraction of the calls that is answered without a number, in millionths.
    garble: u32,
    /// Active limits, in millionths of the capacity.
    limits: Vec<u32>,
    cleanup_at: usize,
    connections: Vec<usize>,
}

/// Shared counter.
pub struct Counter {
    context: Arc<RunContext>,
    /// Capacity in calls per second.
    capacity: f64,
    state: Mutex<State>,
    /// Whether the counter accepts connections.
    pub alive: watch::Sender<bool>,
    /// Number of active outages.
    down: Mutex<u32>,
}

impl Counter {
    /// Creates the counter of a run's scenario.
    pub fn new(context: Arc<RunContext>) -> Arc<Counter> {
        let scenario = &context.plan.scenario;
        let capacity = match scenario.counter.per_s {
            configured if configured > 0.0 => configured,
            _ => scenario.load.per_s * CALLS_PER_REQUEST,
        };
        let gateways = scenario.gateways.count;
        Arc::new(Counter {
            context,
            capacity,
            state: Mutex::new(State {
                totals: HashMap::new(),
                busy_until: 0.0,
                extra_delay_us: 0,
                garble: 0,
                limits: Vec::new(),
                cleanup_at: CLEANUP_THRESHOLD,
                connections: vec![0; gateways],
            }),
            alive: watch::Sender::new(true),
            down: Mutex::new(0),
        })
    }

    /// Starts or ends an outage; outages may overlap.
    pub fn down(&self, on: bool) {
        let mut down = lock(&self.down);
        *down = if on { *down + 1 } else { down.saturating_sub(1) };
        self.alive.send_replace(*down == 0);
    }
    /// Starts or ends an additional delay of each call.
    pub fn slow(&self, delay_us: u32, on: bool) {
        let extra_delay_us = &mut lock(&self.state).extra_delay_us;
        *extra_delay_us = if on {
            *extra_delay_us + u64::from(delay_us)
        } else {
            extra_delay_us.saturating_sub(delay_us.into())
        };
    }
    /// Removes all totals.
    pub fn empty(&self) {
        lock(&self.state).totals.clear();
    }
    /// Starts or ends a fault by which a fraction of the calls, in millionths, is answered without a number.
    pub fn garble(&self, rate: u32, on: bool) {
        let garble = &mut lock(&self.state).garble;
        *garble = if on { garble.saturating_add(rate) } else { garble.saturating_sub(rate) };
    }
    /// Starts or ends a limit of the capacity to a factor in millionths.
    pub fn limit(&self, factor: u32, on: bool) {
        let limits = &mut lock(&self.state).limits;
        match on {
            true => limits.push(factor),
            // Removes one of several equal limits, because another fault may still apply the same one.
            false => {
                if let Some(index) = limits.iter().position(|limit| *limit == factor) {
                    limits.remove(index);
                }
            }
        }
    }

    /// Accepts a gateway's connection, up to `CONNECTIONS` at once.
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
            let serving = connection(stream, IDLE_TIMEOUT, |request| {
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
        let record_call = |status: StatusCode| {
            self.context
                .note(|record| record.calls.push(CounterCall { gateway, at, status: status.as_u16() }));
        };
        let call = (request.method() == Method::POST)
            .then(|| parse_call(request.uri().path(), request.uri().query().unwrap_or("")))
            .flatten();
        let Some((name, amount, ttl)) = call else {
            record_call(StatusCode::BAD_REQUEST);
            return answer(StatusCode::BAD_REQUEST, "");
        };
        let Some(wait) = self.enqueue(at) else {
            record_call(StatusCode::SERVICE_UNAVAILABLE);
            return answer(StatusCode::SERVICE_UNAVAILABLE, "");
        };
        record_call(StatusCode::OK);
        // A queued call is executed even if its caller has given up.
        let counter = self.clone();
        let added = tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            counter.add(name, amount, ttl)
        });
        answer(StatusCode::OK, added.await.ok().flatten().unwrap_or_default())
    }

    /// Queues a call and returns the time until its completion, or `None` if the queue is full.
    fn enqueue(&self, now: Microseconds) -> Option<Duration> {
        let spec = &self.context.plan.scenario.counter;
        let mut state = lock(&self.state);
        let limit: f64 = state.limits.iter().map(|f| f64::from(*f) / 1e6).product();
        let start = state.busy_until.max(now as f64);
        if start - now as f64 > spec.queue_ms * 1000.0 {
            return None;
        }
        state.busy_until = start + 1e6 / (self.capacity * limit).max(0.01);
        let us = state.busy_until - now as f64 + spec.latency_ms * 1000.0 + state.extra_delay_us as f64;
        Some(Duration::from_micros(us as u64))
    }

    /// Adds an amount and returns the new total as text, or `None` if the answer is to carry no number.
    fn add(&self, name: String, amount: f64, ttl: Microseconds) -> Option<String> {
        let now = self.context.clock.now();
        let mut state = lock(&self.state);
        if state.totals.len() >= state.cleanup_at {
            state.totals.retain(|_, (_, until)| *until > now);
            state.cleanup_at = state.totals.len() * 2 + CLEANUP_THRESHOLD;
        }
        let garble = state.garble;
        let total = state.totals.entry(name).or_insert((0.0, now + ttl));
        if total.1 <= now {
            *total = (0.0, now + ttl);
        }
        total.0 += amount;
        let text = format!("{}", total.0);
        let garbled = self.context.unit_draw(now ^ total.0.to_bits(), 5) * 1e6 < f64::from(garble);
        (!garbled).then_some(text)
    }
}

/// Parses name, amount and time to live of a call, the latter in microseconds. Returns `None` if the call is invalid.
fn parse_call(path: &str, query: &str) -> Option<(String, f64, Microseconds)> {
    let name = path.strip_prefix("/v1/count/").filter(|name| (1..=64).contains(&name.len()))?;
    let value = |key: &str| query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
    let amount: f64 = value("add")?.parse().ok().filter(|a: &f64| a.abs() <= 1e9)?;
    let ttl: u64 = value("ttl_ms")?.parse().ok().filter(|ms| *ms >= 1)?;
    Some((name.to_string(), amount, ttl.min(MAX_TTL_MS) * 1000))
}
