//! The real gateway: the decision module on sockets.

pub mod admin;
pub mod cluster_transport;
pub mod control_plane;
pub mod downstream;
pub mod lifecycle;
mod log_rate_limit;
pub mod memory_budget;
pub mod runtime;
mod tcp_io;
pub mod upstream;
use admin::call::AdminContext;
use admin::metrics::Metrics;
use cluster_transport::outcome_recorder::OutcomeRecorder;
use cluster_transport::{ClusterTransport, RequestSenders};
use control_plane::config::{Config, ConfigError, ServiceAddresses};
use downstream::context::{ProxyContext, RequestIds};
use downstream::request_head::{ClassRules, RequestRules};
use lifecycle::drain::{Lifecycle, ShutdownPhase};
use lifecycle::handover::Succession;
use lifecycle::permits::Permits;
use memory_budget::MemoryBudget;
use runtime::{Clock, Runtime, RuntimeEvent, RuntimeSender};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tracing::info;

/// The most writes of a branch that are about to be sent on.
const MOST_SENT_ON: usize = 1000;
/// The most requests of gateways that are gone that wait to be finished.
const MOST_ORPHANS: usize = 100;

/// Why a gateway could not start or go on.
#[derive(Debug)]
pub enum RunError {
    /// Its configuration makes no sense.
    Config(ConfigError),
    /// It could not listen.
    Listen(SocketAddr, std::io::Error),
    /// Its driver ended.
    Runtime,
}

impl std::fmt::Display for RunError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RunError::Config(e) => e.fmt(f),
            RunError::Listen(address, e) => write!(f, "can't listen on {address}: {e}"),
            RunError::Runtime => f.write_str("the driver ended"),
        }
    }
}
impl std::error::Error for RunError {}

/// Watches discovery from the version that is held from before, and after a change of the services' addresses asks both at
/// the new ones. Another discovery may count its versions otherwise: there all is asked for.
async fn follow(
    mut services: watch::Receiver<ServiceAddresses>,
    mut held: Option<u64>,
    pace: control_plane::discovery::PollTiming,
    inbox: RuntimeSender,
    figures: Rc<Metrics>,
) {
    loop {
        let discovery = services.borrow_and_update().discovery;
        tokio::select! {
            () = control_plane::discovery::watch(discovery, held.take(), pace, inbox.clone(), figures.clone()) => return,
            changed = services.changed() => if changed.is_err() {
                return;
            },
        }
        let counter = services.borrow().counter;
        if let Some(address) = counter {
            // Without a driver the gateway ends.
            let _ = inbox.send(RuntimeEvent::CounterAddressChanged(address)).await;
        }
    }
}

/// Passes on where other gateways listen, when that changes.
async fn follow_peers(
    mut services: watch::Receiver<ServiceAddresses>,
    tell: watch::Sender<BTreeMap<String, SocketAddr>>,
) {
    while services.changed().await.is_ok() {
        let peers = services.borrow_and_update().peers.clone();
        tell.send_if_modified(|held| std::mem::replace(held, peers.clone()) != peers);
    }
    // Whoever listens takes an end for the end of the gateway.
    std::future::pending::<()>().await;
}

/// Runs a gateway until `stopping` turns true and all that it took is answered. It asks discovery and the
/// counter at the addresses that `services` holds last.
pub async fn run(
    config: Config,
    services: watch::Receiver<ServiceAddresses>,
    mut stopping: watch::Receiver<bool>,
) -> Result<(), RunError> {
    let clock = Clock::start();
    let duty = Rc::new(Lifecycle::default());
    let mut names: Vec<(&String, usize)> = config.site.classes.iter().map(|(name, &i)| (name, i)).collect();
    names.sort_by_key(|(_, i)| *i);
    let figures = Rc::new(Metrics::new(names.into_iter().map(|(name, _)| name.clone())));
    let (listen, ops, sockets) = (config.listen, config.ops, config.sockets);
    let (accept_fd, folder) = (config.accept_fd, config.folder.clone());
    let class_rules = |(name, &i): (&String, &usize)| {
        let class = &config.site.settings.classes[i];
        let id = crate::decision::ClassId(i);
        (name.clone(), ClassRules { id, idempotency: class.idempotency, deadline: class.deadline })
    };
    let rules = RequestRules {
        classes: config.site.classes.iter().map(class_rules).collect(),
        plans: config
            .site
            .plans
            .iter()
            .map(|(name, &i)| (name.clone(), crate::decision::PlanId(i)))
            .collect(),
        gateways: config.site.settings.gateways,
        max_units: config.site.settings.max_request_units,
    };
    let tick = config.site.settings.tick;
    let pace = control_plane::discovery::PollTiming::of(&config.site.settings);
    let known = config.known_revision();
    let last_moment = tick + tick;
    let names = admin::rollout_calls::KnownNames {
        classes: config.site.classes.keys().cloned().collect(),
        plans: config.site.plans.keys().cloned().collect(),
    };
    let name = config.name.clone();
    let longest = config.site.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    let mut fleet = config.fleet.clone();
    if let Some(fleet) = fleet.as_mut() {
        let class = |name: &String| config.site.classes.get(name).map(|i| *i as u16);
        let unknown = |name: &&String| class(name).is_none();
        let mut named = fleet.write_queue_classes.iter().chain(&fleet.write_queue_stop_classes);
        if let Some(name) = named.find(unknown) {
            return Err(RunError::Config(ConfigError::of(format!("branch: there is no class '{name}'"))));
        }
        let stops = fleet.write_queue_stop_classes.iter().filter_map(class).collect();
        if let Some(terms) = fleet.settings.branch.as_mut() {
            terms.send_timeout = longest + last_moment;
            terms.blocking_classes = stops;
        }
    }
    let memory = Rc::new(MemoryBudget::new(config.memory_mb, config.sockets));
    let unknown = |class: &&String| !names.classes.contains(*class);
    if let Some(class) = fleet.as_ref().and_then(|fleet| fleet.finish_classes.iter().find(unknown)) {
        return Err(RunError::Config(ConfigError::of(format!("ledger.finish: there is no class '{class}'"))));
    }
    if let Some(rules) = fleet.as_ref().and_then(|fleet| fleet.settings.rules.as_ref()) {
        names.check(rules).map_err(|e| RunError::Config(ConfigError::of(e.to_string())))?;
    }
    let (mut driver, orders) = Runtime::new(config, clock, duty.clone(), figures.clone(), memory.clone())
        .map_err(RunError::Config)?;
    let inbox = driver.inbox();
    let arms = Rc::new(OutcomeRecorder::default());
    driver.counts(arms.clone());
    let of_branch = fleet.as_ref().is_some_and(|fleet| fleet.settings.branch.is_some());
    let (writes, orders_to_send) = tokio::sync::mpsc::channel(MOST_SENT_ON);
    let (orphans, orphans_to_finish) = tokio::sync::mpsc::channel(MOST_ORPHANS);
    let senders = RequestSenders { queued_writes: writes, abandoned_requests: orphans };
    let finishes = fleet.as_ref().is_some_and(|fleet| !fleet.finish_classes.is_empty());
    let looks = arms.clone();
    let peers =
        fleet.map(|fleet| ClusterTransport::new(fleet, clock, duty.clone(), inbox.clone(), arms, senders));
    let listener = match accept_fd {
        Some(number) => lifecycle::inherited_listener::listener(number).and_then(TcpListener::from_std),
        None => TcpListener::bind(listen).await,
    };
    let listener = listener.map_err(|e| RunError::Listen(listen, e))?;
    let address = listener.local_addr().map_err(|e| RunError::Listen(listen, e))?;
    if let Some(peers) = &peers {
        // A process that takes another's place opens the fleet's socket once that one has let go of it.
        let opened = match accept_fd {
            Some(_) => None,
            None => Some(peers.open().await.map_err(|e| RunError::Listen(peers.listen(), e))?),
        };
        let (tell, elsewhere) = watch::channel(services.borrow().peers.clone());
        tokio::task::spawn_local(follow_peers(services.clone(), tell));
        tokio::task::spawn_local(peers.clone().run(opened, elsewhere));
    }
    if let Some(ops) = ops {
        let listener = TcpListener::bind(ops).await.map_err(|e| RunError::Listen(ops, e))?;
        let ops = listener.local_addr().map_err(|e| RunError::Listen(ops, e))?;
        info!(%ops, "operators");
        let (orders, figures, duty) = (orders.clone(), figures.clone(), duty.clone());
        let desk = AdminContext { orders, figures, duty, peers: peers.clone(), names };
        tokio::task::spawn_local(admin::server::serve(listener, Rc::new(desk)));
    }
    info!(name, %address, "listening");
    let ends = duty.clone();
    tokio::task::spawn_local(async move {
        if stopping.wait_for(|stop| *stop).await.is_ok() {
            ends.advance_shutdown(ShutdownPhase::Stopping);
        }
    });
    tokio::task::spawn_local(follow(services, known, pace, inbox.clone(), figures.clone()));
    let driving = tokio::task::spawn_local(driver.run());
    let places = Rc::new(Permits::new(sockets.clients));
    let (elsewhere, left) = watch::channel(0);
    // Only an inherited socket can be shared with the process that takes this one's place.
    let succession = folder.filter(|_| accept_fd.is_some()).map(|folder| {
        let places = places.clone();
        let held = Rc::new(move || places.in_use());
        Rc::new(Succession::new(folder, address, orders, duty.clone(), held, elsewhere))
    });
    let front = ProxyContext {
        runtime: inbox,
        clock,
        lifecycle: duty.clone(),
        metrics: figures,
        permits: places,
        memory,
        rules,
        request_ids: RequestIds::default(),
        response_margin: last_moment,
        cluster: peers.filter(|peers| peers.keeps_ledger()),
    };
    let front = Rc::new(front);
    if let Some(peers) = front.cluster.clone().filter(|_| of_branch) {
        tokio::task::spawn_local(cluster_transport::write_queue_sender::forward_writes(
            front.clone(),
            peers,
            orders_to_send,
        ));
        looks.watch();
        tokio::task::spawn_local(cluster_transport::write_queue_sender::check_uplink(looks));
    }
    if let Some(peers) = front.cluster.clone().filter(|_| finishes) {
        tokio::task::spawn_local(cluster_transport::abandoned_requests::finish_all(
            front.clone(),
            peers,
            orphans_to_finish,
        ));
    }
    let serving = async {
        if let Some(succession) = succession {
            // Until then the process before this one takes the clients.
            let mut state = duty.subscribe();
            if state
                .wait_for(|state| state.endpoints_known || state.shutdown > ShutdownPhase::Running)
                .await
                .is_ok()
            {
                succession.inherit().await;
            }
            tokio::task::spawn_local(succession.bequeath());
        }
        duty.start_serving();
        downstream::server::serve(listener, front, left).await;
    };
    // Guards against living on without a driver, taking requests that nobody decides.
    tokio::select! {
        () = serving => Ok(()),
        _ = driving => Err(RunError::Runtime),
    }
}
