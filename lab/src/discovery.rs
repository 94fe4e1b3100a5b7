//! The stand-in of discovery: the true list, and an agent for each gateway that has it late.

use crate::backend::Backend;
use crate::fault_targets::Party;
use crate::link::lock;
use crate::plan::{Draw, Microseconds};
use crate::run_context::RunContext;
use crate::serve::{answer, connection, Answer};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::DuplexStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// The longest that a watch waits.
const LONGEST_HOLD_MS: u64 = 60_000;
/// An idle connection is closed after this.
const IDLE: Duration = Duration::from_secs(90);
/// Connections of a gateway to its agent at once.
const CONNECTIONS: usize = 32;
/// What the agent has counts as told after this.
const DEEMED: Microseconds = 6_000_000;
/// The first revision of a list.
const FIRST: u64 = 41;

/// Whether a backend takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Gone,
}

#[derive(Clone)]
struct Entry {
    phase: Phase,
    /// The revision of this list at which it last changed.
    revision: u64,
    /// The number of the true change that it shows, so that news that comes out of turn changes nothing.
    change: u64,
    started: Microseconds,
    told: bool,
}

struct List {
    revision: u64,
    entries: BTreeMap<usize, Entry>,
}

/// One gateway's agent.
pub struct Agent {
    gateway: usize,
    list: Mutex<List>,
    revision: watch::Sender<u64>,
    silent: watch::Sender<u32>,
    connections: AtomicUsize,
}

/// The true list and all agents.
pub struct Discovery {
    context: Arc<RunContext>,
    backends: Mutex<BTreeMap<usize, Arc<Backend>>>,
    /// Where each gateway reaches each backend.
    doors: Mutex<BTreeMap<(usize, usize), SocketAddr>>,
    labels: Mutex<BTreeMap<usize, String>>,
    agents: Vec<Arc<Agent>>,
    changes: Mutex<u64>,
    late_us: Mutex<u64>,
    ghosts: watch::Sender<u32>,
}

impl Discovery {
    /// Discovery that lists nothing yet.
    pub fn new(context: Arc<RunContext>) -> Arc<Discovery> {
        let agent = |gateway| {
            let list = List { revision: FIRST, entries: BTreeMap::new() };
            let (revision, silent) = (watch::Sender::new(FIRST), watch::Sender::new(0));
            Arc::new(Agent {
                gateway,
                list: Mutex::new(list),
                revision,
                silent,
                connections: AtomicUsize::new(0),
            })
        };
        Arc::new(Discovery {
            agents: (0..context.plan.scenario.gateways.count).map(agent).collect(),
            context,
            backends: Mutex::default(),
            doors: Mutex::default(),
            labels: Mutex::default(),
            changes: Mutex::new(0),
            late_us: Mutex::new(0),
            ghosts: watch::Sender::new(0),
        })
    }

    /// Where a gateway reaches a backend, from now on.
    pub fn door(&self, gateway: usize, backend: usize, address: SocketAddr) {
        lock(&self.doors).insert((gateway, backend), address);
    }

    /// Lists a backend from the start, known to all.
    pub fn list(&self, backend: &Arc<Backend>, label: &str) {
        lock(&self.backends).insert(backend.number, backend.clone());
        lock(&self.labels).insert(backend.number, label.to_string());
        for agent in &self.agents {
            let entry = Entry {
                phase: Phase::Ready,
                revision: FIRST,
                change: 0,
                started: backend.started(),
                told: false,
            };
            lock(&agent.list).entries.insert(backend.number, entry);
        }
    }

    /// Adds a backend that comes in during the run.
    pub fn add(self: &Arc<Discovery>, backend: &Arc<Backend>, label: &str) {
        lock(&self.backends).insert(backend.number, backend.clone());
        lock(&self.labels).insert(backend.number, label.to_string());
        self.change(backend.number, Phase::Ready);
    }

    /// A backend's true state changes; each agent hears of it in its own time.
    pub fn change(self: &Arc<Discovery>, backend: usize, phase: Phase) {
        let change = {
            let mut changes = lock(&self.changes);
            *changes += 1;
            *changes
        };
        let started = lock(&self.backends).get(&backend).map_or(0, |b| b.started());
        let spec = &self.context.plan.scenario.discovery;
        let range = if phase == Phase::Ready { spec.add_s } else { spec.notice_s };
        let late = *lock(&self.late_us);
        for agent in &self.agents {
            let stream = 7 << 32 | change << 12 | agent.gateway as u64;
            let after = Draw::new(self.context.plan.seed, stream).between(range);
            let wait = Duration::from_secs_f64(after) + Duration::from_micros(late);
            let (discovery, agent) = (self.clone(), agent.clone());
            tokio::spawn(async move {
                sleep(wait).await;
                discovery.deliver(&agent, backend, phase, change, started).await;
            });
        }
    }

    async fn deliver(
        &self,
        agent: &Arc<Agent>,
        backend: usize,
        phase: Phase,
        change: u64,
        started: Microseconds,
    ) {
        let link = self.context.links.get(Party::Discovery, Party::Gateway(agent.gateway));
        link.cross(&mut link.watch()).await;
        if phase == Phase::Gone {
            // While it lasts, what went is listed on.
            let mut ghosts = self.ghosts.subscribe();
            if ghosts.wait_for(|ghosts| *ghosts == 0).await.is_err() {
                return;
            }
        }
        let revision = {
            let mut list = lock(&agent.list);
            if list.entries.get(&backend).is_some_and(|entry| entry.change > change) {
                return;
            }
            list.revision += 1;
            let revision = list.revision;
            list.entries.insert(backend, Entry { phase, revision, change, started, told: false });
            revision
        };
        agent.revision.send_replace(revision);
        let life = self.context.life(agent.gateway);
        sleep(Duration::from_micros(DEEMED)).await;
        if self.context.life(agent.gateway) == life {
            self.tell(agent, |entry, number| number == backend && entry.revision == revision);
        }
    }

    /// Notes as told what is not yet, of those entries.
    fn tell(&self, agent: &Agent, which: impl Fn(&Entry, usize) -> bool) {
        let at = self.context.clock.now();
        let mut list = lock(&agent.list);
        for (number, entry) in list.entries.iter_mut().filter(|(n, e)| !e.told && which(e, **n)) {
            entry.told = true;
            self.context.told(agent.gateway, *number, entry.phase == Phase::Ready, entry.started, at);
        }
    }

    /// A new process of a gateway has been told nothing.
    pub fn forget(&self, gateway: usize) {
        lock(&self.agents[gateway].list).entries.values_mut().for_each(|entry| entry.told = false);
    }

    /// News comes later, or no longer does.
    pub fn late(&self, delay_us: u32, on: bool) {
        let mut late = lock(&self.late_us);
        *late = if on { *late + u64::from(delay_us) } else { late.saturating_sub(delay_us.into()) };
    }

    /// A gateway's agent falls silent, or speaks again.
    pub fn silent(&self, gateway: usize, on: bool) {
        self.agents[gateway].silent.send_modify(|n| *n = if on { *n + 1 } else { n.saturating_sub(1) });
    }

    /// What goes is listed on, or no longer is.
    pub fn ghosts(&self, on: bool) {
        self.ghosts.send_modify(|n| *n = if on { *n + 1 } else { n.saturating_sub(1) });
    }

    /// A backend's address has changed for all.
    pub fn moved(self: &Arc<Discovery>, backend: usize) {
        self.change(backend, Phase::Ready);
    }

    /// The whole list as a gateway's agent has it.
    pub fn known(&self, gateway: usize) -> Value {
        let list = lock(&self.agents[gateway].list);
        let all = list.entries.iter().filter(|(_, entry)| entry.phase != Phase::Gone);
        let members: Vec<Value> =
            all.filter_map(|(number, entry)| self.member(gateway, *number, entry)).collect();
        json!({"revision": list.revision, "complete": true, "members": members})
    }

    fn member(&self, gateway: usize, number: usize, entry: &Entry) -> Option<Value> {
        let scenario = &self.context.plan.scenario;
        let backend = lock(&self.backends).get(&number)?.clone();
        let address = *lock(&self.doors).get(&(gateway, number))?;
        let zone = self.context.links.zone(Party::Backend(number))?;
        let phase = match entry.phase {
            Phase::Ready => "ready",
            Phase::Draining => "draining",
            Phase::Gone => "gone",
        };
        let since = if entry.started == 0 { 0 } else { self.context.clock.unix_ms(entry.started) };
        let label = lock(&self.labels).get(&number).cloned().unwrap_or_default();
        Some(json!({"id": backend.id, "host_port": address.to_string(), "locality": scenario.net.zones[zone],
            "flavor": label, "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": since}))
    }

    /// Takes a connection of a gateway to its agent.
    pub fn accept(self: &Arc<Discovery>, stream: DuplexStream, gateway: usize) {
        let (discovery, agent) = (self.clone(), self.agents[gateway].clone());
        if agent.connections.fetch_add(1, Ordering::Relaxed) >= CONNECTIONS {
            agent.connections.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        tokio::spawn(async move {
            connection(stream, IDLE, |request| {
                let discovery = discovery.clone();
                async move { discovery.serve(&request, gateway).await }
            })
            .await;
            agent.connections.fetch_sub(1, Ordering::Relaxed);
        });
    }

    async fn serve(&self, request: &Request<Incoming>, gateway: usize) -> Answer {
        if request.uri().path() != "/catalog/members" {
            return answer(StatusCode::NOT_FOUND, "");
        }
        let agent = &self.agents[gateway];
        let query = request.uri().query().unwrap_or("");
        let value = |key: &str| query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
        let from: Option<u64> = value("from").and_then(|text| text.parse().ok());
        let hold = value("hold_ms").and_then(|text| text.parse().ok()).unwrap_or(0).min(LONGEST_HOLD_MS);
        if let Some(from) = from {
            let mut revision = agent.revision.subscribe();
            // Past its time the answer holds no entries.
            let _ = timeout(Duration::from_millis(hold), revision.wait_for(|r| *r != from)).await;
        }
        let mut silent = agent.silent.subscribe();
        if silent.wait_for(|silent| *silent == 0).await.is_err() {
            return answer(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let upto = lock(&agent.list).revision;
        let text = {
            let list = lock(&agent.list);
            match from.filter(|from| *from <= list.revision) {
                Some(from) => {
                    let changed = list.entries.iter().filter(|(_, entry)| entry.revision > from);
                    let members: Vec<Value> =
                        changed.filter_map(|(number, entry)| self.member(gateway, *number, entry)).collect();
                    json!({"revision": list.revision, "complete": false, "members": members}).to_string()
                }
                None => {
                    drop(list);
                    self.known(gateway).to_string()
                }
            }
        };
        self.tell(agent, |entry, _| entry.revision <= upto && from.is_none_or(|from| entry.revision > from));
        answer(StatusCode::OK, text)
    }
}
