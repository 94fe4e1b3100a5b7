//! A run: starts the stand-ins and gateways, executes the plan, and collects the observations in a record.

mod actions;
mod fault_windows;
mod loopback_net;
mod places;

use crate::backend::Backend;
use crate::client::Clients;
use crate::clock::Clock;
use crate::cluster_poll::watch_fleets;
use crate::counter::Counter;
use crate::discovery::Discovery;
use crate::fault_targets::Party;
use crate::gateway::{used, watch_usage, Gateway, StartError};
use crate::link::lock;
use crate::plan::Plan;
use crate::record::Record;
use crate::relay::{GatewayListener, Serve, Way};
use crate::run_context::RunContext;
use crate::write_status_poll::ask_receipts;
use fault_windows::fault_windows;
use loopback_net::{last_byte, LoopbackNet};
use places::places;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time after a reload at which the old agent and counter addresses close.
const OLD_SERVICE_CLOSE_DELAY: Duration = Duration::from_millis(1500);
/// An error while a run is set up.
#[derive(Debug, thiserror::Error)]
pub enum SetUpError {
    /// A loopback address or port was not available.
    #[error("failed to set up an address or folder of the run: {0}")]
    Address(#[from] io::Error),
    /// A gateway did not start.
    #[error("{0}")]
    Start(#[from] StartError),
}

/// Binaries and folder of a run.
#[derive(Debug, Clone)]
pub struct RunResources {
    /// Gateway binary.
    pub binary: PathBuf,
    /// Binary of the gateways in `gateways.second`.
    pub second: Option<PathBuf>,
    /// Folder for configurations and logs.
    pub folder: PathBuf,
}

/// A running set-up: the gateways, the stand-ins around them, and the clients.
pub struct World {
    context: Arc<RunContext>,
    backends: Mutex<BTreeMap<usize, Arc<Backend>>>,
    counter: Arc<Counter>,
    discovery: Arc<Discovery>,
    /// Gateways by number.
    pub gateways: Vec<Arc<Gateway>>,
    clients: Arc<Clients>,
    /// Listeners in front of the backends, by gateway and backend.
    backend_listeners: Mutex<BTreeMap<(usize, usize), GatewayListener>>,
    /// Listeners in front of the agent and the counter, by gateway.
    service_listeners: Mutex<BTreeMap<usize, [GatewayListener; 2]>>,
    /// Endpoint list that each gateway had when it last ended.
    last_lists: Mutex<BTreeMap<usize, Value>>,
    /// Keeps the listeners of the agents open.
    agents_alive: tokio::sync::watch::Sender<bool>,
    _net: LoopbackNet,
}

impl World {
    /// Sets up all parties and starts the gateways. The run's clock is 0 until all gateways are ready.
    pub async fn start(plan: Plan, resources: &RunResources) -> Result<Arc<World>, SetUpError> {
        std::fs::create_dir_all(&resources.folder)?;
        let net = LoopbackNet::reserve()?;
        let context =
            Arc::new(RunContext::new(plan, Clock::default(), resources.folder.clone(), net.second_byte));
        let scenario = &context.plan.scenario;
        let counter = Counter::new(context.clone());
        let discovery = Discovery::new(context.clone());
        let places = places(&context, resources).await?;
        let listens: Vec<SocketAddr> = places.iter().map(|place| place.listen).collect();
        let clients = Clients::new(context.clone(), &listens);
        let gateways: Vec<Arc<Gateway>> = places
            .into_iter()
            .enumerate()
            .map(|(number, place)| Gateway::new(context.clone(), number, place))
            .collect();
        let world = Arc::new(World {
            context: context.clone(),
            backends: Mutex::default(),
            counter,
            discovery,
            gateways,
            clients,
            backend_listeners: Mutex::default(),
            service_listeners: Mutex::default(),
            last_lists: Mutex::default(),
            agents_alive: tokio::sync::watch::Sender::new(true),
            _net: net,
        });
        for number in 0..scenario.backends.count {
            let backend = world.add_backend(number, None)?;
            world.discovery.list(&backend, &context.plan.backends[number].label);
        }
        for gateway in &world.gateways {
            world.open_services(gateway.number)?;
            gateway.start(&world.discovery.known(gateway.number))?;
        }
        for gateway in &world.gateways {
            gateway.ready().await?;
        }
        context.clock.start();
        Ok(world)
    }

    /// Executes the plan to its end; `on_sent` is called with the number of each arrival when it is sent.
    pub async fn play(self: &Arc<World>, on_sent: impl Fn(usize)) -> Record {
        let context = &self.context;
        let used_cpu_us = || used("self").map_or(0, |(cpu_us, _)| cpu_us);
        let before = used_cpu_us();
        let usage_watch = tokio::spawn(watch_usage(context.clone(), self.gateways.clone()));
        let has_peers = context.plan.scenario.gateways.peers;
        let cluster_watch =
            has_peers.then(|| tokio::spawn(watch_fleets(context.clone(), self.gateways.clone())));
        let world = self.clone();
        let steps = tokio::spawn(async move {
            for step in &world.context.plan.steps {
                world.context.clock.until(step.at).await;
                world.execute(&step.action);
            }
        });
        self.clients.send_all(on_sent).await;
        // Wait until all requests are answered or given up.
        let longest_deadline_s =
            context.plan.scenario.classes.iter().map(|class| class.deadline_ms / 1000.0).fold(0.0, f64::max);
        let settling = Duration::from_secs_f64(longest_deadline_s + 1.5);
        let _ = timeout(settling, async {
            while self.clients.open() > 0 {
                sleep(Duration::from_millis(20)).await;
            }
            sleep(Duration::from_micros(crate::client::GRACE)).await;
        })
        .await;
        self.clients.look_at_kept().await;
        let listens: Vec<SocketAddr> =
            self.gateways.iter().map(|gateway| lock(&gateway.place).listen).collect();
        ask_receipts(context, &listens).await;
        steps.abort();
        usage_watch.abort();
        cluster_watch.into_iter().for_each(|cluster_watch| cluster_watch.abort());
        context.note(|record| {
            record.lab_cpu_us = used_cpu_us().saturating_sub(before);
            record.starved = context.starved.count();
            record.ended = context.clock.now();
            record.excuses = fault_windows(&context.plan);
        });
        self.end().await;
        std::mem::take(&mut *lock(&context.record))
    }

    /// Ends all gateways: resumes paused ones, and sends SIGTERM to all.
    pub async fn end(&self) {
        let ends = self.gateways.iter().filter(|gateway| gateway.runs()).map(|gateway| {
            let gateway = gateway.clone();
            tokio::spawn(async move {
                gateway.pause(false);
                gateway.terminate().await;
            })
        });
        for end in ends.collect::<Vec<_>>() {
            // If this task panicked, the gateway is killed when its handle is dropped.
            let _ = end.await;
        }
    }

    /// Returns both directions of the link between a gateway and another party.
    fn link_to(&self, gateway: usize, party: Party) -> Way {
        Way {
            up: self.context.links.get(Party::Gateway(gateway), party),
            down: self.context.links.get(party, Party::Gateway(gateway)),
            clock: self.context.clock.clone(),
        }
    }

    fn add_backend(&self, number: usize, since: Option<u64>) -> io::Result<Arc<Backend>> {
        let spec = &self.context.plan.backends[number];
        self.context.links.place(number, spec.zone);
        let backend = Backend::new(self.context.clone(), number, spec.speed, since);
        for gateway in 0..self.gateways.len() {
            self.open_backend_listener(gateway, &backend)?;
        }
        lock(&self.backends).insert(number, backend.clone());
        Ok(backend)
    }

    fn open_backend_listener(&self, gateway: usize, backend: &Arc<Backend>) -> io::Result<()> {
        let behind = backend.clone();
        let serve: Serve = Arc::new(move |stream, stamp| behind.accept(stream, stamp, gateway));
        let way = self.link_to(gateway, Party::Backend(backend.number));
        let ip = self.context.side(gateway, last_byte::BACKENDS);
        let listener =
            GatewayListener::open(ip, way, backend.alive.subscribe(), self.context.starved.clone(), serve)?;
        self.discovery.door(gateway, backend.number, listener.address);
        if let Some(old) = lock(&self.backend_listeners).insert((gateway, backend.number), listener) {
            old.close();
        }
        Ok(())
    }

    /// Opens new listeners in front of a gateway's agent and counter, and closes the old ones after a delay.
    fn open_services(&self, gateway: usize) -> io::Result<()> {
        let context = &self.context;
        let open = |last, party, alive, serve| {
            GatewayListener::open(
                context.side(gateway, last),
                self.link_to(gateway, party),
                alive,
                context.starved.clone(),
                serve,
            )
        };
        let (counter, discovery) = (self.counter.clone(), self.discovery.clone());
        let to_counter: Serve = Arc::new(move |stream, _| counter.accept(stream, gateway));
        let to_agent: Serve = Arc::new(move |stream, _| discovery.accept(stream, gateway));
        // The agent runs on the gateway's machine.
        let agent = open(last_byte::AGENT, Party::Gateway(gateway), self.agents_alive.subscribe(), to_agent)?;
        let counter = open(last_byte::COUNTER, Party::Counter, self.counter.alive.subscribe(), to_counter)?;
        {
            let mut place = lock(&self.gateways[gateway].place);
            (place.discovery, place.counter) = (agent.address, counter.address);
        }
        if let Some(old) = lock(&self.service_listeners).insert(gateway, [agent, counter]) {
            tokio::spawn(async move {
                sleep(OLD_SERVICE_CLOSE_DELAY).await;
                old.iter().for_each(GatewayListener::close);
            });
        }
        Ok(())
    }
}
