//! Starts the parts of a gateway in their order, and serves until the end.

use super::admin::call::AdminContext;
use super::admin::metrics::Metrics;
use super::admin::rollout_calls::KnownNames;
use super::cluster_transport::outcome_recorder::OutcomeRecorder;
use super::cluster_transport::write_queue_sender::{check_uplink, forward_writes};
use super::cluster_transport::{abandoned_requests, ClusterTransport, RequestSenders};
use super::control_plane::config::{ClusterConfig, Config, ConfigError, ServiceAddresses};
use super::control_plane::discovery::PollTiming;
use super::control_plane::service_watch::{follow_peers, follow_services};
use super::downstream::context::{ProxyContext, RequestIds};
use super::downstream::request_head::{ClassRules, RequestRules};
use super::downstream::server;
use super::lifecycle::drain::{Lifecycle, ShutdownPhase};
use super::lifecycle::handover::Handover;
use super::lifecycle::inherited_listener;
use super::lifecycle::permits::Permits;
use super::memory_budget::MemoryBudget;
use super::runtime::clock::Clock;
use super::runtime::messages::{AdminSender, RuntimeSender};
use super::runtime::{Runtime, SharedParts};
use crate::decision::{ClassId, Micros, PlanId};
use crate::site_settings::Site;
use std::io;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;
use std::rc::Rc;
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tracing::info;

/// The most writes of a branch that wait to be forwarded.
const MAX_QUEUED_WRITES: usize = 1000;
/// The most requests of gateways that are gone that wait to be finished.
const MAX_ABANDONED_REQUESTS: usize = 100;

/// Why a gateway could not start or go on.
#[derive(Debug, Error)]
pub enum RunError {
    /// Its configuration makes no sense.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// It could not listen.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// Its runtime ended.
    #[error("the runtime ended")]
    RuntimeEnded,
}

/// Turns the error of a socket into one that names its address.
fn cannot_listen(address: SocketAddr) -> impl Fn(io::Error) -> RunError {
    move |error| RunError::Listen { address, error }
}

/// Runs a gateway until `stopping` turns true and all that it accepted is answered. It calls discovery and the counter
/// at the addresses that `services` holds last.
///
/// # Errors
/// The gateway could not start, or its runtime ended.
pub async fn run(
    config: Config,
    services: watch::Receiver<ServiceAddresses>,
    stopping: watch::Receiver<bool>,
) -> Result<(), RunError> {
    let plan = StartPlan::of(&config)?;
    let parts = shared_parts(&config);
    let (runtime, commands) = Runtime::new(config, parts.clone())?;
    let sender = runtime.sender();
    let (queued_writes, writes_to_send) = mpsc::channel(MAX_QUEUED_WRITES);
    let (abandoned, requests_to_finish) = mpsc::channel(MAX_ABANDONED_REQUESTS);
    let senders = RequestSenders { queued_writes, abandoned_requests: abandoned };
    let transport = plan.cluster_transport(&parts, &sender, senders);
    let listener = plan.listen().await?;
    let address = listener.local_addr().map_err(cannot_listen(plan.listen))?;
    if let Some(transport) = &transport {
        plan.start_cluster(transport, &services).await?;
    }
    plan.start_admin(&parts, &commands, transport.clone()).await?;
    info!(name = plan.name, %address, "listening");
    spawn_local(begin_shutdown(stopping, parts.lifecycle.clone()));
    let (runtime_sender, metrics) = (sender.clone(), parts.metrics.clone());
    spawn_local(follow_services(services, plan.known_revision, plan.timing, runtime_sender, metrics));
    let running = spawn_local(runtime.run());
    let permits = Rc::new(Permits::new(plan.max_client_connections));
    let (other_process, other_process_connections) = watch::channel(0);
    let handover = plan.handover(address, commands, &parts, permits.clone(), other_process);
    let ledger = transport.filter(|transport| transport.keeps_ledger());
    let context = Rc::new(plan.proxy_context(&parts, sender, permits, ledger.clone()));
    if let Some(ledger) = ledger {
        if plan.queues_writes() {
            spawn_local(forward_writes(context.clone(), ledger.clone(), writes_to_send));
            parts.outcomes.start_recording_reachability();
            spawn_local(check_uplink(parts.outcomes.clone()));
        }
        if plan.finishes_requests() {
            spawn_local(abandoned_requests::finish_all(context.clone(), ledger, requests_to_finish));
        }
    }
    let serving = async {
        if let Some(handover) = handover {
            take_over_when_ready(handover, &parts.lifecycle).await;
        }
        parts.lifecycle.start_serving();
        server::serve(listener, context, other_process_connections).await;
    };
    // Guards against living on without a runtime, accepting requests that nobody decides.
    tokio::select! {
        () = serving => Ok(()),
        _ = running => Err(RunError::RuntimeEnded),
    }
}

/// What the runtime shares with the rest of the process.
fn shared_parts(config: &Config) -> SharedParts {
    SharedParts {
        clock: Clock::start(),
        lifecycle: Rc::new(Lifecycle::default()),
        metrics: Rc::new(Metrics::new(class_names(&config.site))),
        memory: Rc::new(MemoryBudget::new(config.memory_mb, config.sockets)),
        outcomes: Rc::new(OutcomeRecorder::default()),
    }
}

/// What of the configuration the start needs beside the runtime's.
struct StartPlan {
    name: String,
    listen: SocketAddr,
    operators: Option<SocketAddr>,
    accept_descriptor: Option<RawFd>,
    handover_folder: Option<PathBuf>,
    max_client_connections: usize,
    known_revision: Option<u64>,
    timing: PollTiming,
    rules: RequestRules,
    tick: Micros,
    cluster: Option<ClusterConfig>,
}

impl StartPlan {
    /// Takes what it needs, and checks what needs the whole configuration.
    fn of(config: &Config) -> Result<StartPlan, ConfigError> {
        let (site, settings) = (&config.site, &config.site.settings);
        let class = |(name, number): (&String, &usize)| {
            let class = &settings.classes[*number];
            let (id, idempotency, deadline) = (ClassId(*number), class.idempotency, class.deadline);
            (name.clone(), ClassRules { id, idempotency, deadline })
        };
        let plan = StartPlan {
            name: config.name.clone(),
            listen: config.listen,
            operators: config.operators,
            accept_descriptor: config.accept_descriptor,
            handover_folder: config.handover_folder.clone(),
            max_client_connections: config.sockets.clients,
            known_revision: config.known_revision(),
            timing: PollTiming::of(settings),
            rules: RequestRules {
                classes: site.classes.iter().map(class).collect(),
                plans: site.plans.iter().map(|(name, number)| (name.clone(), PlanId(*number))).collect(),
                gateways: settings.gateways,
                max_units: settings.max_request_units,
            },
            tick: settings.tick,
            cluster: config.cluster.clone(),
        };
        if let Some(rules) = plan.cluster.as_ref().and_then(|cluster| cluster.settings.rules.as_ref()) {
            plan.known_names().check(rules).map_err(ConfigError::RoutingRules)?;
        }
        Ok(plan)
    }

    /// The names that routing rules may use.
    fn known_names(&self) -> KnownNames {
        KnownNames {
            classes: self.rules.classes.keys().cloned().collect(),
            plans: self.rules.plans.keys().cloned().collect(),
        }
    }

    /// What all connections of clients share.
    fn proxy_context(
        &self,
        parts: &SharedParts,
        runtime: RuntimeSender,
        permits: Rc<Permits>,
        ledger: Option<Rc<ClusterTransport>>,
    ) -> ProxyContext {
        ProxyContext {
            runtime,
            clock: parts.clock,
            lifecycle: parts.lifecycle.clone(),
            metrics: parts.metrics.clone(),
            permits,
            memory: parts.memory.clone(),
            rules: self.rules.clone(),
            request_ids: RequestIds::default(),
            // The runtime's turns at the begin and at the end of a request.
            response_margin: self.tick + self.tick,
            cluster: ledger,
        }
    }

    /// This gateway forwards the writes that its branch accepted.
    fn queues_writes(&self) -> bool {
        self.cluster.as_ref().is_some_and(|cluster| cluster.settings.branch.is_some())
    }

    /// This gateway finishes requests of gateways that are gone.
    fn finishes_requests(&self) -> bool {
        self.cluster.as_ref().is_some_and(|cluster| !cluster.finish_classes.is_empty())
    }

    /// The gateway's place in its cluster, where it has one.
    fn cluster_transport(
        &self,
        parts: &SharedParts,
        runtime: &RuntimeSender,
        senders: RequestSenders,
    ) -> Option<Rc<ClusterTransport>> {
        let cluster = self.cluster.clone()?;
        let (clock, lifecycle, outcomes) = (parts.clock, parts.lifecycle.clone(), parts.outcomes.clone());
        Some(ClusterTransport::new(cluster, clock, lifecycle, runtime.clone(), outcomes, senders))
    }

    /// The clients' listening socket, inherited or its own.
    async fn listen(&self) -> Result<TcpListener, RunError> {
        let listener = match self.accept_descriptor {
            Some(descriptor) => inherited_listener::adopt(descriptor).and_then(TcpListener::from_std),
            None => TcpListener::bind(self.listen).await,
        };
        listener.map_err(cannot_listen(self.listen))
    }

    /// Joins the cluster.
    async fn start_cluster(
        &self,
        transport: &Rc<ClusterTransport>,
        services: &watch::Receiver<ServiceAddresses>,
    ) -> Result<(), RunError> {
        // A process that takes another's place opens the cluster's socket once that one has let go of it.
        let opened: Option<UdpSocket> = match self.accept_descriptor {
            Some(_) => None,
            None => Some(transport.open().await.map_err(cannot_listen(transport.listen()))?),
        };
        let (peer_sender, peer_addresses) = watch::channel(services.borrow().peers.clone());
        spawn_local(follow_peers(services.clone(), peer_sender));
        spawn_local(transport.clone().run(opened, peer_addresses));
        Ok(())
    }

    /// Serves operators, where they have an address.
    async fn start_admin(
        &self,
        parts: &SharedParts,
        commands: &AdminSender,
        transport: Option<Rc<ClusterTransport>>,
    ) -> Result<(), RunError> {
        let Some(operators) = self.operators else { return Ok(()) };
        let listener = TcpListener::bind(operators).await.map_err(cannot_listen(operators))?;
        let ops = listener.local_addr().map_err(cannot_listen(operators))?;
        info!(%ops, "operators");
        let context = AdminContext {
            commands: commands.clone(),
            metrics: parts.metrics.clone(),
            lifecycle: parts.lifecycle.clone(),
            cluster: transport,
            names: self.known_names(),
        };
        spawn_local(super::admin::server::serve(listener, Rc::new(context)));
        Ok(())
    }

    /// This process's part in replacements. Only an inherited socket can be shared with another process.
    fn handover(
        &self,
        address: SocketAddr,
        commands: AdminSender,
        parts: &SharedParts,
        client_permits: Rc<Permits>,
        other_process: watch::Sender<usize>,
    ) -> Option<Rc<Handover>> {
        let folder = self.handover_folder.as_ref().filter(|_| self.accept_descriptor.is_some())?;
        let lifecycle = parts.lifecycle.clone();
        Some(Rc::new(Handover::new(folder, address, commands, lifecycle, client_permits, other_process)))
    }
}

/// The names of the classes in the order of their numbers.
fn class_names(site: &Site) -> Vec<String> {
    let mut classes: Vec<(&String, &usize)> = site.classes.iter().collect();
    classes.sort_by_key(|(_, number)| **number);
    classes.into_iter().map(|(name, _)| name.clone()).collect()
}

/// Begins the shutdown once the process is to stop.
async fn begin_shutdown(mut stopping: watch::Receiver<bool>, lifecycle: Rc<Lifecycle>) {
    if stopping.wait_for(|stop| *stop).await.is_ok() {
        lifecycle.advance_shutdown(ShutdownPhase::Stopping);
    }
}

/// Takes over from the process that serves the clients until now, if there is one, and waits for a successor from then
/// on.
async fn take_over_when_ready(handover: Rc<Handover>, lifecycle: &Lifecycle) {
    let mut state = lifecycle.subscribe();
    let is_ready = state.wait_for(|state| state.endpoints_known || state.shutdown > ShutdownPhase::Running);
    if is_ready.await.is_ok() {
        handover.take_over().await;
    }
    spawn_local(handover.serve_successors());
}
