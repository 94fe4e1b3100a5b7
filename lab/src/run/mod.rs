//! One run: starts stand-ins and gateways, carries out the plan, and collects what was seen.

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
use loopback_net::{last_byte, Net};
use places::places;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// After a reload the old services close their connections after this.
const MOVED: Duration = Duration::from_millis(1500);
/// A run could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum SetUpError {
    /// A loopback address or port could not be had.
    #[error("an address of the run: {0}")]
    Address(#[from] io::Error),
    /// A gateway did not start.
    #[error("{0}")]
    Start(#[from] StartError),
}

/// What a run is played with.
#[derive(Debug, Clone)]
pub struct RunResources {
    /// The program.
    pub binary: PathBuf,
    /// The program of the gateways in `gateways.second`.
    pub second: Option<PathBuf>,
    /// Where configurations and logs go.
    pub folder: PathBuf,
}

/// A fleet that stands.
pub struct World {
    context: Arc<RunContext>,
    backends: Mutex<BTreeMap<usize, Arc<Backend>>>,
    counter: Arc<Counter>,
    discovery: Arc<Discovery>,
    /// Its gateways.
    pub gateways: Vec<Arc<Gateway>>,
    clients: Arc<Clients>,
    doors: Mutex<BTreeMap<(usize, usize), GatewayListener>>,
    /// Doors to agent and counter, by gateway.
    services: Mutex<BTreeMap<usize, [GatewayListener; 2]>>,
    /// The list that each gateway had when it last ended.
    known: Mutex<BTreeMap<usize, Value>>,
    /// Keeps the agents' doors open.
    agents: tokio::sync::watch::Sender<bool>,
    _net: Net,
}

impl World {
    /// Sets everything up and starts the gateways. The run's clock stands at 0 until they are ready.
    pub async fn start(plan: Plan, resources: &RunResources) -> Result<Arc<World>, SetUpError> {
        std::fs::create_dir_all(&resources.folder)?;
        let net = Net::take()?;
        let context = Arc::new(RunContext::new(plan, Clock::default(), resources.folder.clone(), net.byte));
        let scenario = &context.plan.scenario;
        let counter = Counter::new(context.clone());
        let discovery = Discovery::new(context.clone());
        let places = places(&context, resources).await?;
        let listens: Vec<SocketAddr> = places.iter().map(|place| place.listen).collect();
        let clients = Clients::new(context.clone(), &listens);
        let gateways: Vec<Arc<Gateway>> = places
            .into_iter()
            .enumerate()
            .map(|(n, place)| Gateway::new(context.clone(), n, place))
            .collect();
        let world = Arc::new(World {
            context: context.clone(),
            backends: Mutex::default(),
            counter,
            discovery,
            gateways,
            clients,
            doors: Mutex::default(),
            services: Mutex::default(),
            known: Mutex::default(),
            agents: tokio::sync::watch::Sender::new(true),
            _net: net,
        });
        for number in 0..scenario.backends.count {
            let backend = world.add_backend(number, None)?;
            world.discovery.list(&backend, &context.plan.backends[number].label);
        }
        for gateway in &world.gateways {
            world.move_services(gateway.number)?;
            gateway.start(&world.discovery.known(gateway.number))?;
        }
        for gateway in &world.gateways {
            gateway.ready().await?;
        }
        context.clock.start();
        Ok(world)
    }

    /// Plays the plan to its end; `seen` hears the number of each arrival as it is sent.
    pub async fn play(self: &Arc<World>, seen: impl Fn(usize)) -> Record {
        let context = &self.context;
        let own = || used("self").map_or(0, |(cpu_us, _)| cpu_us);
        let before = own();
        let usage = tokio::spawn(watch_usage(context.clone(), self.gateways.clone()));
        let talk = context.plan.scenario.gateways.peers;
        let fleets = talk.then(|| tokio::spawn(watch_fleets(context.clone(), self.gateways.clone())));
        let world = self.clone();
        let steps = tokio::spawn(async move {
            for step in &world.context.plan.steps {
                world.context.clock.until(step.at).await;
                world.act(&step.action);
            }
        });
        self.clients.send_all(seen).await;
        // Until all is answered or given up.
        let longest =
            context.plan.scenario.classes.iter().map(|c| c.deadline_ms / 1000.0).fold(0.0, f64::max);
        let settling = Duration::from_secs_f64(longest + 1.5);
        let _ = timeout(settling, async {
            while self.clients.open() > 0 {
                sleep(Duration::from_millis(20)).await;
            }
            sleep(Duration::from_micros(crate::client::GRACE)).await;
        })
        .await;
        self.clients.look_at_kept().await;
        let listens: Vec<SocketAddr> = self.gateways.iter().map(|g| lock(&g.place).listen).collect();
        ask_receipts(context, &listens).await;
        steps.abort();
        usage.abort();
        fleets.into_iter().for_each(|fleets| fleets.abort());
        context.note(|record| {
            record.lab_cpu_us = own().saturating_sub(before);
            record.resource_shortages = context.resource_shortages.count();
            record.ended = context.clock.now();
            record.client_faults = fault_windows(&context.plan);
        });
        self.end().await;
        std::mem::take(&mut *lock(&context.record))
    }

    /// Ends all gateways: paused ones go on first, all get SIGTERM.
    pub async fn end(&self) {
        let ends = self.gateways.iter().filter(|gateway| gateway.runs()).map(|gateway| {
            let gateway = gateway.clone();
            tokio::spawn(async move {
                gateway.pause(false);
                gateway.terminate().await;
            })
        });
        for end in ends.collect::<Vec<_>>() {
            // A gateway that ends with a panic of ours is killed with its handle.
            let _ = end.await;
        }
    }

    /// The way between a gateway and a party behind a door of its.
    fn way(&self, gateway: usize, party: Party) -> Way {
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
            self.backend_door(gateway, &backend)?;
        }
        lock(&self.backends).insert(number, backend.clone());
        Ok(backend)
    }

    fn backend_door(&self, gateway: usize, backend: &Arc<Backend>) -> io::Result<()> {
        let behind = backend.clone();
        let serve: Serve = Arc::new(move |stream, stamp| behind.accept(stream, stamp, gateway));
        let way = self.way(gateway, Party::Backend(backend.number));
        let ip = self.context.side(gateway, last_byte::BACKENDS);
        let door = GatewayListener::open(
            ip,
            way,
            backend.alive.subscribe(),
            self.context.resource_shortages.clone(),
            serve,
        )?;
        self.discovery.door(gateway, backend.number, door.address);
        if let Some(old) = lock(&self.doors).insert((gateway, backend.number), door) {
            old.close();
        }
        Ok(())
    }

    /// Opens new doors to a gateway's agent and counter, and closes the old ones a moment later.
    fn move_services(&self, gateway: usize) -> io::Result<()> {
        let context = &self.context;
        let open = |last, party, alive, serve| {
            GatewayListener::open(
                context.side(gateway, last),
                self.way(gateway, party),
                alive,
                context.resource_shortages.clone(),
                serve,
            )
        };
        let (counter, discovery) = (self.counter.clone(), self.discovery.clone());
        let to_counter: Serve = Arc::new(move |stream, _| counter.accept(stream, gateway));
        let to_agent: Serve = Arc::new(move |stream, _| discovery.accept(stream, gateway));
        // The agent stands on the gateway's own machine.
        let agent = open(last_byte::AGENT, Party::Gateway(gateway), self.agents.subscribe(), to_agent)?;
        let counter = open(last_byte::COUNTER, Party::Counter, self.counter.alive.subscribe(), to_counter)?;
        {
            let mut place = lock(&self.gateways[gateway].place);
            (place.discovery, place.counter) = (agent.address, counter.address);
        }
        if let Some(old) = lock(&self.services).insert(gateway, [agent, counter]) {
            tokio::spawn(async move {
                sleep(MOVED).await;
                old.iter().for_each(GatewayListener::close);
            });
        }
        Ok(())
    }
}
