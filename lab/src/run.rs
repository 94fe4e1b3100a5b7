//! One run: stand-ins, processes of the program, the plan's steps between them, and what was seen.

use crate::backend::Backend;
use crate::client::Clients;
use crate::clock::Clock;
use crate::cluster_poll::{call_ops, watch_fleets};
use crate::counter::Counter;
use crate::datagrams::Mesh;
use crate::discovery::{Discovery, Phase};
use crate::fault_targets::Party;
use crate::gateway::{notice, used, watch_usage, Gateway, Place, StartError};
use crate::link::lock;
use crate::plan::{us, Action, Plan};
use crate::record::{FaultWindow, Record};
use crate::relay::{GatewayListener, Serve, Way};
use crate::run_context::RunContext;
use crate::write_status_poll::ask_receipts;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The last bytes of the addresses of a gateway's side: its own, and where it reaches the others.
mod last {
    pub const OWN: u8 = 1;
    pub const AGENT: u8 = 2;
    pub const COUNTER: u8 = 3;
    pub const PEERS: u8 = 4;
    pub const BACKENDS: u8 = 10;
}

/// After a reload the old services close their connections after this.
const MOVED: Duration = Duration::from_millis(1500);
/// An operator waits so long for a rollout to be taken.
const ROLLOUT_TIME: Duration = Duration::from_secs(2);
/// After SIGTERM the front sends on for this long.
const FRONT_AFTER_TERM: Duration = Duration::from_millis(300);

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

/// The second byte of a run's loopback addresses, and what keeps it from other runs on this machine.
struct Net {
    byte: u8,
    _lock: TcpListener,
}

/// The port on the run's net whose listener says that the net is taken.
const LOCK: u16 = 41_999;

impl Net {
    /// One that no other run has.
    fn take() -> io::Result<Net> {
        let first = std::process::id() % NETS;
        let mut last = io::ErrorKind::AddrInUse.into();
        for step in 0..NETS {
            let byte = 16 + ((first + step) % NETS) as u8;
            match TcpListener::bind((Ipv4Addr::new(127, byte, 0, 1), LOCK)) {
                Ok(lock) => return Ok(Net { byte, _lock: lock }),
                Err(error) => last = error,
            }
        }
        Err(last)
    }
}

/// How many nets there are for runs.
const NETS: u32 = 220;

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
            record.starved = context.starved.count();
            record.ended = context.clock.now();
            record.excuses = excuses(&context.plan);
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
        let ip = self.context.side(gateway, last::BACKENDS);
        let door =
            GatewayListener::open(ip, way, backend.alive.subscribe(), self.context.starved.clone(), serve)?;
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
                context.starved.clone(),
                serve,
            )
        };
        let (counter, discovery) = (self.counter.clone(), self.discovery.clone());
        let to_counter: Serve = Arc::new(move |stream, _| counter.accept(stream, gateway));
        let to_agent: Serve = Arc::new(move |stream, _| discovery.accept(stream, gateway));
        // The agent stands on the gateway's own machine.
        let agent = open(last::AGENT, Party::Gateway(gateway), self.agents.subscribe(), to_agent)?;
        let counter = open(last::COUNTER, Party::Counter, self.counter.alive.subscribe(), to_counter)?;
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

    fn backend(&self, number: usize) -> Option<Arc<Backend>> {
        lock(&self.backends).get(&number).cloned()
    }

    /// Does what a step says.
    fn act(self: &Arc<World>, action: &Action) {
        match action {
            Action::Link { .. } | Action::Reset { .. } => self.on_links(action),
            Action::Kill(g) | Action::Restart(g) => self.stop(*g, matches!(action, Action::Kill(_))),
            Action::Start(g) => self.start_again(*g),
            Action::Pause { gateway, on } => self.pause(*gateway, *on),
            Action::Reload(g) => self.reload(*g),
            Action::BackendDies(b) => {
                if let Some(backend) = self.backend(*b) {
                    backend.die();
                    self.discovery.change(*b, Phase::Gone);
                }
            }
            Action::BackendStarts(b) => {
                if let Some(backend) = self.backend(*b) {
                    backend.start();
                    self.discovery.change(*b, Phase::Ready);
                }
            }
            Action::Drain { old, new, label } => {
                self.backend(*old).iter().for_each(|backend| backend.drain());
                self.discovery.change(*old, Phase::Draining);
                match self.add_backend(*new, Some(self.context.clock.now().max(1))) {
                    Ok(backend) => self.discovery.add(&backend, label),
                    Err(error) => self.context.starved.note(&error),
                }
            }
            Action::Ill { backend, ill, on } => {
                self.backend(*backend).iter().for_each(|backend| backend.ill(*ill, *on));
            }
            Action::CounterDown(on) => self.counter.down(*on),
            Action::CounterSlow { delay_us, on } => self.counter.slow(*delay_us, *on),
            Action::CounterEmpty => self.counter.empty(),
            Action::CounterGarble { rate, on } => self.counter.garble(*rate, *on),
            Action::CounterLimit { factor, on } => self.counter.limit(*factor, *on),
            Action::ListLate { delay_us, on } => self.discovery.late(*delay_us, *on),
            Action::ListSilent { gateway, on } => self.discovery.silent(*gateway, *on),
            Action::ListGhost(on) => self.discovery.ghosts(*on),
            Action::ListMove(b) => {
                if let Some(backend) = self.backend(*b) {
                    for gateway in 0..self.gateways.len() {
                        let moved = self.backend_door(gateway, &backend);
                        moved.iter_err(|error| self.context.starved.note(error));
                    }
                    self.discovery.moved(*b);
                }
            }
            Action::Rollout { gateway, rules } => self.roll(*gateway, rules.clone()),
            Action::KillLeader { back } => self.kill_leader(*back),
        }
    }

    fn roll(&self, gateway: usize, rules: String) {
        let ops = lock(&self.gateways[gateway].place).ops;
        tokio::spawn(async move {
            let call = format!(
                "POST /rollout HTTP/1.1\r\nHost: ops\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{rules}",
                rules.len()
            );
            match timeout(ROLLOUT_TIME, call_ops(ops, &call)).await {
                Ok(Some(answer)) if answer.starts_with("HTTP/1.1 202") => {}
                answer => tracing::error!(?answer, "a rollout was not taken"),
            }
        });
    }

    /// Kills the gateway that said last that it leads.
    fn kill_leader(self: &Arc<World>, back: u64) {
        let record = lock(&self.context.record);
        let leader = record.rollouts.iter().rev().find(|seen| seen.leads).map(|seen| seen.gateway);
        drop(record);
        let Some(leader) = leader else { return };
        self.stop(leader, true);
        let world = self.clone();
        tokio::spawn(async move {
            sleep(Duration::from_micros(back)).await;
            world.start_again(leader);
        });
    }

    fn on_links(&self, action: &Action) {
        let pairs = |from: &[Party], to: &[Party], each: &dyn Fn(Party, Party)| {
            for from in from {
                to.iter().filter(|to| *to != from).for_each(|to| each(*from, *to));
            }
        };
        match action {
            Action::Link { from, to, change, on } => {
                pairs(from, to, &|from, to| self.context.links.get(from, to).change(change, *on));
            }
            Action::Reset { one, other } => {
                pairs(one, other, &|from, to| self.context.links.get(from, to).reset());
                pairs(other, one, &|from, to| self.context.links.get(from, to).reset());
            }
            _ => {}
        }
    }

    /// Ends a gateway's process, by SIGKILL or by SIGTERM; after SIGTERM it starts again.
    fn stop(self: &Arc<World>, number: usize, killed: bool) {
        let (world, gateway) = (self.clone(), self.gateways[number].clone());
        lock(&self.known).insert(number, self.discovery.known(number));
        tokio::spawn(async move {
            if killed {
                notice(&world.context, &world.clients, &gateway);
                gateway.kill().await;
                return;
            }
            let (clients, front) = (world.clients.clone(), gateway.number);
            tokio::spawn(async move {
                sleep(FRONT_AFTER_TERM).await;
                clients.front(front, true);
            });
            gateway.terminate().await;
            world.start_again(number);
        });
    }

    fn start_again(self: &Arc<World>, number: usize) {
        let (world, gateway) = (self.clone(), self.gateways[number].clone());
        tokio::spawn(async move {
            while gateway.runs() {
                sleep(Duration::from_millis(5)).await;
            }
            world.context.next_life(number);
            world.discovery.forget(number);
            let known = lock(&world.known).get(&number).cloned();
            let known = known.unwrap_or_else(|| world.discovery.known(number));
            let started = match gateway.start(&known) {
                Ok(()) => gateway.ready().await,
                Err(error) => Err(error),
            };
            match started {
                Ok(()) => world.clients.front(number, false),
                Err(error) => tracing::error!(%error, "a gateway did not start again"),
            }
        });
    }

    fn pause(self: &Arc<World>, number: usize, on: bool) {
        let gateway = self.gateways[number].clone();
        gateway.pause(on);
        if on {
            notice(&self.context, &self.clients, &gateway);
        } else {
            self.clients.front(number, false);
        }
    }

    fn reload(&self, number: usize) {
        let gateway = &self.gateways[number];
        let done = self.move_services(number).map_err(SetUpError::from).and_then(|()| {
            gateway.configure(&self.discovery.known(number))?;
            Ok(())
        });
        match done {
            Ok(()) => gateway.reload(),
            Err(error) => tracing::error!(%error, "a reload could not be made ready"),
        }
    }
}

trait OnError<E> {
    /// Calls this with the error, if there is one.
    fn iter_err(&self, each: impl Fn(&E));
}

impl<T, E> OnError<E> for Result<T, E> {
    fn iter_err(&self, each: impl Fn(&E)) {
        if let Err(error) = self {
            each(error);
        }
    }
}

/// When clients could not reach gateways, by the plan.
fn excuses(plan: &Plan) -> Vec<FaultWindow> {
    let gateway = |party: &Party| if let Party::Gateway(g) = party { Some(*g) } else { None };
    let mut all = Vec::new();
    for (place, step) in plan.steps.iter().enumerate() {
        let (one, other, until) = match &step.action {
            Action::Link { from, to, change, on: true } => {
                // The end at which none that is alike goes on.
                let mut depth = 0;
                let mut ends = |action: &Action| match action {
                    Action::Link { from: f, to: t, change: c, on } if f == from && t == to && c == change => {
                        depth += if *on { 1 } else { -1 };
                        depth == 0
                    }
                    _ => false,
                };
                let end = plan.steps[place..].iter().find(|later| ends(&later.action)).map(|later| later.at);
                (from, to, end.unwrap_or(u64::MAX))
            }
            Action::Reset { one, other } => (one, other, step.at),
            _ => continue,
        };
        let clients = |list: &[Party]| list.contains(&Party::Clients);
        if clients(one) || clients(other) {
            let hit = one.iter().chain(other).filter_map(gateway);
            // What was held up meanwhile arrives a little later.
            all.extend(hit.map(|gateway| FaultWindow {
                gateway,
                from: step.at,
                to: until.saturating_add(us(0.6)),
            }));
        }
    }
    all
}

/// Addresses of all gateways, with those of each other where they talk.
async fn places(context: &Arc<RunContext>, resources: &RunResources) -> Result<Vec<Place>, SetUpError> {
    let scenario = &context.plan.scenario;
    let count = scenario.gateways.count;
    let own = |gateway| context.side(gateway, last::OWN);
    let nowhere = SocketAddr::new(own(0), 0);
    let mut places = Vec::with_capacity(count);
    let mut held = Vec::new();
    let mut peers = Vec::new();
    for number in 0..count {
        // Held until all are chosen, so that none is chosen twice.
        let (listen, ops) = (TcpListener::bind((own(number), 0))?, TcpListener::bind((own(number), 0))?);
        let datagrams = UdpSocket::bind((own(number), 0))?;
        peers.push(datagrams.local_addr()?);
        let second = resources.second.as_ref().filter(|_| scenario.gateways.second.contains(&number));
        places.push(Place {
            listen: listen.local_addr()?,
            ops: ops.local_addr()?,
            discovery: nowhere,
            counter: nowhere,
            env: Vec::new(),
            binary: second.unwrap_or(&resources.binary).clone(),
        });
        held.push((listen, ops, datagrams));
    }
    let mesh = match scenario.gateways.peers {
        true => {
            let ips: Vec<IpAddr> = (0..count).map(|g| context.side(g, last::PEERS)).collect();
            Some(Mesh::open(&ips, peers, &context.links).await?)
        }
        false => None,
    };
    for (number, place) in places.iter_mut().enumerate() {
        place.env = environment(context, mesh.as_ref(), number)?;
    }
    Ok(places)
}

/// A gateway's further environment, with its own names in place.
fn environment(
    context: &RunContext,
    mesh: Option<&Mesh>,
    number: usize,
) -> io::Result<Vec<(String, String)>> {
    let scenario = &context.plan.scenario;
    let peers = context.folder.join(format!("g{number}.peers.toml"));
    let mut listen = String::new();
    if let Some(mesh) = mesh {
        let others = mesh.seen[number].iter().enumerate().filter(|(other, _)| *other != number);
        let lines: Vec<String> =
            others.map(|(other, address)| format!("g{other} = \"{address}\"\n")).collect();
        listen = mesh.own[number].to_string();
        let zone = &scenario.net.zones[number % scenario.zones()];
        let seats: Vec<String> = (0..mesh.own.len()).map(|gateway| format!("\"g{gateway}\"")).collect();
        let head = format!(
            "fleet = \"lab\"\nlisten = \"{listen}\"\nzone = \"{zone}\"\nlend = {}\nseats = [{}]\n",
            scenario.gateways.lend,
            seats.join(", ")
        );
        let ledger = &scenario.gateways.ledger;
        let mut ledger: String = ledger.iter().map(|(name, value)| format!("{name} = {value}\n")).collect();
        if scenario.gateways.disks {
            let disk = context.folder.join(format!("g{number}.disk"));
            std::fs::create_dir_all(&disk)?;
            ledger.push_str(&format!("dir = \"{}\"\n", std::path::absolute(&disk)?.display()));
        }
        let ledger = if ledger.is_empty() { ledger } else { format!("\n[ledger]\n{ledger}") };
        let branch = &scenario.gateways.branch;
        let lines_of: String = branch.iter().map(|(name, value)| format!("{name} = {value}\n")).collect();
        let branch = match branch.is_empty() {
            true => String::new(),
            false => {
                let branches = scenario.gateways.branches.max(1);
                let of_branch = seats.iter().skip(number % branches).step_by(branches);
                let of_branch: Vec<&str> = of_branch.map(String::as_str).collect();
                format!("\n[branch]\nseats = [{}]\n{lines_of}", of_branch.join(", "))
            }
        };
        let rollout = if scenario.gateways.rollout { "\n[rollout]\n" } else { "" };
        std::fs::write(&peers, format!("{head}\n[peers]\n{}{ledger}{rollout}{branch}", lines.concat()))?;
    }
    let folder = |path: &Path| path.display().to_string();
    let fill = |text: &String| {
        text.replace("{name}", &format!("g{number}"))
            .replace("{zone}", &scenario.net.zones[number % scenario.zones()])
            .replace("{folder}", &folder(&context.folder))
            .replace("{peers}", &folder(&peers))
            .replace("{peer_listen}", &listen)
    };
    Ok(scenario.gateways.env.iter().map(|(name, text)| (name.clone(), fill(text))).collect())
}
