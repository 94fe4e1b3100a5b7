//! Stand-in for discovery: the authoritative endpoint list, and one agent for each gateway that receives its changes late.

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

/// Maximum time for which a watch request is held.
const MAX_HOLD_MS: u64 = 60_000;
/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Maximum number of open connections of a gateway to its agent.
const CONNECTIONS: usize = 32;
/// Time in microseconds after which a gateway counts as notified of a change that its agent has, even if it did not ask.
const ASSUMED_NOTIFIED_AFTER: Microseconds = 6_000_000;
/// Initial revision of every list.
const FIRST_REVISION: u64 = 41;

/// Life cycle phase of a backend, as listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The backend accepts requests.
    Ready,
    /// The backend completes its requests and rejects new ones.
    Draining,
    /// The backend no longer runs.
    Gone,
}

#[derive(Clone)]
struct EndpointEntry {
    phase: Phase,
    /// Revision of the agent's list at which the entry last changed.
    revision: u64,
    /// Number of the change that the entry shows. A change that arrives late and has a lower number is ignored.
    change: u64,
    started: Microseconds,
    /// Whether the gateway's current process was notified of the entry or counts as notified.
    notified: bool,
}

struct EndpointList {
    revision: u64,
    entries: BTreeMap<usize, EndpointEntry>,
}

/// Discovery agent of one gateway.
pub struct Agent {
    gateway: usize,
    list: Mutex<EndpointList>,
    revision: watch::Sender<u64>,
    silent: watch::Sender<u32>,
    connections: AtomicUsize,
}

/// Authoritative list and the agents of all gateways.
pub struct Discovery {
    context: Arc<RunContext>,
    backends: Mutex<BTreeMap<usize, Arc<Backend>>>,
    /// Address of each backend for each gateway, keyed by gateway and backend.
    addresses: Mutex<BTreeMap<(usize, usize), SocketAddr>>,
    labels: Mutex<BTreeMap<usize, String>>,
    agents: Vec<Arc<Agent>>,
    changes: Mutex<u64>,
    extra_delay_us: Mutex<u64>,
    ghosts: watch::Sender<u32>,
}

impl Discovery {
    /// Creates a discovery with an empty list.
    pub fn new(context: Arc<RunContext>) -> Arc<Discovery> {
        let agent = |gateway| {
            let list = EndpointList { revision: FIRST_REVISION, entries: BTreeMap::new() };
            let (revision, silent) = (watch::Sender::new(FIRST_REVISION), watch::Sender::new(0));
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
            addresses: Mutex::default(),
            labels: Mutex::default(),
            changes: Mutex::new(0),
            extra_delay_us: Mutex::new(0),
            ghosts: watch::Sender::new(0),
        })
    }

    /// Sets the address at which a gateway reaches a backend.
    pub fn door(&self, gateway: usize, backend: usize, address: SocketAddr) {
        lock(&self.addresses).insert((gateway, backend), address);
    }

    /// Lists a backend that exists from the start, at every agent at once.
    pub fn list(&self, backend: &Arc<Backend>, label: &str) {
        lock(&self.backends).insert(backend.number, backend.clone());
        lock(&self.labels).insert(backend.number, label.to_string());
        for agent in &self.agents {
            let entry = EndpointEntry {
                phase: Phase::Ready,
                revision: FIRST_REVISION,
                change: 0,
                started: backend.started(),
                notified: false,
            };
            lock(&agent.list).entries.insert(backend.number, entry);
        }
    }

    /// Adds a backend during the run; the agents learn of it with delay.
    pub fn add(self: &Arc<Discovery>, backend: &Arc<Backend>, label: &str) {
        lock(&self.backends).insert(backend.number, backend.clone());
        lock(&self.labels).insert(backend.number, label.to_string());
        self.change(backend.number, Phase::Ready);
    }

    /// Changes a backend's phase. Each agent receives the change after a delay of its own.
    pub fn change(self: &Arc<Discovery>, backend: usize, phase: Phase) {
        let change = {
            let mut changes = lock(&self.changes);
            *changes += 1;
            *changes
        };
        let started = lock(&self.backends).get(&backend).map_or(0, |b| b.started());
        let spec = &self.context.plan.scenario.discovery;
        let range = if phase == Phase::Ready { spec.add_s } else { spec.notice_s };
        let extra_delay_us = *lock(&self.extra_delay_us);
        for agent in &self.agents {
            let stream = 7 << 32 | change << 12 | agent.gateway as u64;
            let delay_s = Draw::new(self.context.plan.seed, stream).between(range);
            let wait = Duration::from_secs_f64(delay_s) + Duration::from_micros(extra_delay_us);
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
            // Backends that ended stay listed while the fault is active.
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
            list.entries.insert(backend, EndpointEntry { phase, revision, change, started, notified: false });
            revision
        };
        agent.revision.send_replace(revision);
        let process_number = self.context.process_number(agent.gateway);
        sleep(Duration::from_micros(ASSUMED_NOTIFIED_AFTER)).await;
        if self.context.process_number(agent.gateway) == process_number {
            self.record_notices(agent, |entry, number| number == backend && entry.revision == revision);
        }
    }

    /// Records notices to the gateway for those selected entries that it has not been notified of.
    fn record_notices(&self, agent: &Agent, select: impl Fn(&EndpointEntry, usize) -> bool) {
        let at = self.context.clock.now();
        let mut list = lock(&agent.list);
        for (number, entry) in list.entries.iter_mut().filter(|(n, e)| !e.notified && select(e, **n)) {
            entry.notified = true;
            self.context.record_notice(
                agent.gateway,
                *number,
                entry.phase == Phase::Ready,
                entry.started,
                at,
            );
        }
    }

    /// Resets the notified state of a gateway's entries, because a new process has received no notice yet.
    pub fn forget(&self, gateway: usize) {
        lock(&self.agents[gateway].list).entries.values_mut().for_each(|entry| entry.notified = false);
    }

    /// Starts or ends an additional delay of changes.
    pub fn late(&self, delay_us: u32, on: bool) {
        let mut extra = lock(&self.extra_delay_us);
        *extra = if on { *extra + u64::from(delay_us) } else { extra.saturating_sub(delay_us.into()) };
    }

    /// Starts or ends a fault by which a gateway's agent does not answer.
    pub fn silent(&self, gateway: usize, on: bool) {
        self.agents[gateway].silent.send_modify(|n| *n = if on { *n + 1 } else { n.saturating_sub(1) });
    }

    /// Starts or ends a fault by which backends that ended stay listed.
    pub fn ghosts(&self, on: bool) {
        self.ghosts.send_modify(|n| *n = if on { *n + 1 } else { n.saturating_sub(1) });
    }

    /// Announces that a backend's address has changed for all gateways.
    pub fn moved(self: &Arc<Discovery>, backend: usize) {
        self.change(backend, Phase::Ready);
    }

    /// Returns the complete list of a gateway's agent, as JSON.
    pub fn known(&self, gateway: usize) -> Value {
        let list = lock(&self.agents[gateway].list);
        let all = list.entries.iter().filter(|(_, entry)| entry.phase != Phase::Gone);
        let members: Vec<Value> =
            all.filter_map(|(number, entry)| self.endpoint_json(gateway, *number, entry)).collect();
        json!({"revision": list.revision, "complete": true, "members": members})
    }

    fn endpoint_json(&self, gateway: usize, number: usize, entry: &EndpointEntry) -> Option<Value> {
        let scenario = &self.context.plan.scenario;
        let backend = lock(&self.backends).get(&number)?.clone();
        let address = *lock(&self.addresses).get(&(gateway, number))?;
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

    /// Accepts a gateway's connection to its agent, up to `CONNECTIONS` at once.
    pub fn accept(self: &Arc<Discovery>, stream: DuplexStream, gateway: usize) {
        let (discovery, agent) = (self.clone(), self.agents[gateway].clone());
        if agent.connections.fetch_add(1, Ordering::Relaxed) >= CONNECTIONS {
            agent.connections.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        tokio::spawn(async move {
            connection(stream, IDLE_TIMEOUT, |request| {
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
        let parameter =
            |key: &str| query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
        let from: Option<u64> = parameter("from").and_then(|text| text.parse().ok());
        let hold = parameter("hold_ms").and_then(|text| text.parse().ok()).unwrap_or(0).min(MAX_HOLD_MS);
        if let Some(from) = from {
            let mut revision = agent.revision.subscribe();
            // On a time-out the answer holds no entries.
            let _ = timeout(Duration::from_millis(hold), revision.wait_for(|r| *r != from)).await;
        }
        let mut silent = agent.silent.subscribe();
        if silent.wait_for(|silent| *silent == 0).await.is_err() {
            return answer(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let answered_revision = lock(&agent.list).revision;
        let text = {
            let list = lock(&agent.list);
            match from.filter(|from| *from <= list.revision) {
                Some(from) => {
                    let changed = list.entries.iter().filter(|(_, entry)| entry.revision > from);
                    let members: Vec<Value> = changed
                        .filter_map(|(number, entry)| self.endpoint_json(gateway, *number, entry))
                        .collect();
                    json!({"revision": list.revision, "complete": false, "members": members}).to_string()
                }
                None => {
                    drop(list);
                    self.known(gateway).to_string()
                }
            }
        };
        self.record_notices(agent, |entry, _| {
            entry.revision <= answered_revision && from.is_none_or(|from| entry.revision > from)
        });
        answer(StatusCode::OK, text)
    }
}
