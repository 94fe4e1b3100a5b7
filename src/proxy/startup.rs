//! Starts the components of a gateway in dependency order, and serves until shutdown.

use super::admin::call::AdminContext;
use super::admin::known_names::KnownNames;
use super::admin::metrics::Metrics;
use super::cluster_transport::outcome_recorder::OutcomeRecorder;
use super::cluster_transport::queued_write::QueuedWrite;
use super::cluster_transport::write_queue_sender::{check_uplink, forward_writes};
use super::cluster_transport::{
    abandoned_requests::finish_abandoned_requests, ClusterTransport, ClusterUpdate, RequestSenders,
    UpdateListener,
};
use super::control_plane::config::{ClusterConfig, Config, ConfigError, ServiceAddresses};
use super::control_plane::discovery::PollTiming;
use super::control_plane::service_watch::{follow_peers, follow_services};
use super::downstream::context::{ProxyContext, RequestIds};
use super::downstream::request_head::{ClassRules, RequestRules};
use super::downstream::{listener, server};
use super::free_memory::return_freed_memory;
use super::lifecycle::drain::{Lifecycle, ShutdownPhase};
use super::lifecycle::handover::Handover;
use super::lifecycle::inherited_listener;
use super::lifecycle::permits::Permits;
use super::memory_budget::MemoryBudget;
use super::runtime::clock::Clock;
use super::runtime::messages::{send_event, AdminSender, RuntimeEvent, RuntimeSender};
use super::runtime::{Runtime, SharedParts};
use crate::cluster::ledger::AbandonedRequest;
use crate::decision::{ClassId, Micros, PlanId};
use crate::site_settings::Site;
use std::io;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;
use tracing::info;

/// Limit on the queued writes of a branch that wait to be forwarded.
const MAX_QUEUED_WRITES: usize = 1000;
/// Limit on the abandoned requests of failed gateways that wait to be finished.
const MAX_ABANDONED_REQUESTS: usize = 100;

/// Longest wait for the cluster's socket, which a predecessor closes once it has handed over.
const JOIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Error that keeps a gateway from starting or from running on.
#[derive(Debug, Error)]
pub enum RunError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A socket could not be opened.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// Address of the socket.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The runtime ended.
    #[error("the runtime ended")]
    RuntimeEnded,
}

/// Returns a conversion of I/O errors to errors that name the address.
fn cannot_listen(address: SocketAddr) -> impl Fn(io::Error) -> RunError {
    move |error| RunError::Listen { address, error }
}

/// Runs a gateway until `stopping` becomes true and all accepted requests are answered. Discovery and the counter are
/// called at the latest addresses in `services`.
///
/// # Errors
/// Returns an error if the gateway could not start, or if its runtime ended.
pub async fn run(
    config: Config,
    services: watch::Receiver<ServiceAddresses>,
    stopping: watch::Receiver<bool>,
) -> Result<(), RunError> {
    let plan = StartPlan::from_config(&config)?;
    let parts = shared_parts(&config);
    if plan.queues_writes() {
        // Before the runtime applies its first endpoint list, after which none may come for long.
        parts.outcomes.start_recording_reachability();
    }
    let (runtime, commands) = Runtime::new(config, parts.clone())?;
    let sender = runtime.sender();
    let (queued_writes, writes_to_forward) = mpsc::channel(MAX_QUEUED_WRITES);
    let (abandoned_sender, requests_to_finish) = mpsc::channel(MAX_ABANDONED_REQUESTS);
    let senders = RequestSenders { queued_writes, abandoned_requests: abandoned_sender };
    let transport = plan.cluster_transport(&parts, &sender, senders);
    let listener = plan.listen().await?;
    let address = listener.local_addr().map_err(cannot_listen(plan.listen))?;
    if let Some(transport) = &transport {
        plan.start_cluster(transport, &services).await?;
    }
    let permits = Rc::new(Permits::new(parts.memory.sockets().served_clients()));
    let (other_process_sender, other_process_connections) = watch::channel(0);
    let cluster_to_join = transport.clone();
    let ledger = transport.clone().filter(|transport| transport.has_ledger());
    let other_process = OtherProcess { connections: other_process_sender, ledger: ledger.clone() };
    let handover = plan.handover(address, commands.clone(), &parts, permits.clone(), other_process);
    plan.start_admin(&parts, &commands, transport, handover.clone()).await?;
    info!(name = plan.name, %address, "listening");
    spawn_local(begin_shutdown(stopping, parts.lifecycle.clone()));
    let (runtime_sender, metrics) = (sender.clone(), parts.metrics.clone());
    spawn_local(follow_services(services, plan.known_revision, plan.timing, runtime_sender, metrics));
    let runtime_task = spawn_local(runtime.run());
    spawn_local(return_freed_memory(parts.memory.clone(), permits.clone()));
    let context = Rc::new(plan.proxy_context(&parts, sender, permits, ledger.clone()));
    if let Some(ledger) = ledger {
        plan.serve_cluster_requests(&context, &ledger, &parts, writes_to_forward, requests_to_finish);
    }
    let serving = async {
        if let Some(handover) = handover {
            take_over_when_ready(handover, &parts.lifecycle).await;
            join_cluster(cluster_to_join, &parts.lifecycle).await;
        }
        parts.lifecycle.start_serving();
        server::serve(listener, context, other_process_connections).await;
    };
    // Without the runtime, requests would be accepted that are never answered, so the process ends with it.
    tokio::select! {
        () = serving => Ok(()),
        _ = runtime_task => Err(RunError::RuntimeEnded),
    }
}

/// Creates the components that the runtime shares with the rest of the process.
fn shared_parts(config: &Config) -> SharedParts {
    SharedParts {
        clock: Clock::start(),
        lifecycle: Rc::new(Lifecycle::default()),
        metrics: Rc::new(Metrics::new(class_names(&config.site))),
        memory: Rc::new(MemoryBudget::new(config.memory_mb, config.process_count(), config.sockets)),
        outcomes: Rc::new(OutcomeRecorder::default()),
    }
}

/// What depends on messages of the other process of this gateway during a hand-over.
struct OtherProcess {
    /// Publishes the number of its client connections.
    connections: watch::Sender<usize>,
    /// The cluster, if this gateway has a ledger.
    ledger: Option<Rc<ClusterTransport>>,
}

/// Values of the configuration that the start needs after the runtime has consumed it.
struct StartPlan {
    name: String,
    listen: SocketAddr,
    operators: Option<SocketAddr>,
    accept_descriptor: Option<RawFd>,
    handover_folder: Option<PathBuf>,
    known_revision: Option<u64>,
    timing: PollTiming,
    rules: RequestRules,
    tick: Micros,
    cluster: Option<ClusterConfig>,
}

impl StartPlan {
    /// Copies the values from the configuration, and checks the routing rules, which refer to names in other parts of
    /// it.
    fn from_config(config: &Config) -> Result<StartPlan, ConfigError> {
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
            known_revision: config.known_revision(),
            timing: PollTiming::from_settings(settings),
            rules: RequestRules {
                classes: site.classes.iter().map(class).collect(),
                plans: site.plans.iter().map(|(name, number)| (name.clone(), PlanId(*number))).collect(),
                gateways: settings.gateways,
                max_units: settings.max_request_units,
            },
            tick: settings.tick,
            cluster: config.cluster.clone(),
        };
        if let Some(rules) =
            plan.cluster.as_ref().and_then(|cluster| cluster.settings.baseline_rules.as_ref())
        {
            plan.known_names().check(rules).map_err(ConfigError::RoutingRules)?;
        }
        Ok(plan)
    }

    /// Returns the names that routing rules may refer to.
    fn known_names(&self) -> KnownNames {
        KnownNames {
            classes: self.rules.classes.keys().cloned().collect(),
            plans: self.rules.plans.keys().cloned().collect(),
        }
    }

    /// Starts the tasks for the requests that the cluster assigns to this gateway.
    fn serve_cluster_requests(
        &self,
        context: &Rc<ProxyContext>,
        ledger: &Rc<ClusterTransport>,
        parts: &SharedParts,
        writes_to_forward: mpsc::Receiver<QueuedWrite>,
        requests_to_finish: mpsc::Receiver<AbandonedRequest>,
    ) {
        if self.queues_writes() {
            spawn_local(forward_writes(context.clone(), ledger.clone(), writes_to_forward));
            spawn_local(check_uplink(parts.outcomes.clone()));
        }
        if self.finishes_requests() {
            spawn_local(finish_abandoned_requests(context.clone(), ledger.clone(), requests_to_finish));
        }
    }

    /// Creates the context that all client connections share.
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
            // One tick of the runtime at the start of a request and one at its end.
            response_margin: self.tick + self.tick,
            cluster: ledger,
        }
    }

    /// Whether this gateway forwards the queued writes of its branch.
    fn queues_writes(&self) -> bool {
        self.cluster.as_ref().is_some_and(|cluster| cluster.settings.write_queue.is_some())
    }

    /// Whether this gateway finishes abandoned requests of failed gateways.
    fn finishes_requests(&self) -> bool {
        self.cluster.as_ref().is_some_and(|cluster| !cluster.finish_classes.is_empty())
    }

    /// Creates the cluster transport if the gateway belongs to a cluster.
    fn cluster_transport(
        &self,
        parts: &SharedParts,
        runtime: &RuntimeSender,
        senders: RequestSenders,
    ) -> Option<Rc<ClusterTransport>> {
        let cluster = self.cluster.clone()?;
        let (clock, lifecycle, outcomes) = (parts.clock, parts.lifecycle.clone(), parts.outcomes.clone());
        Some(ClusterTransport::new(
            cluster,
            clock,
            lifecycle,
            update_listener(runtime.clone()),
            outcomes,
            senders,
        ))
    }

    /// Returns the client listening socket, which is inherited or opened here.
    async fn listen(&self) -> Result<TcpListener, RunError> {
        let listener = match self.accept_descriptor {
            Some(descriptor) => inherited_listener::adopt(descriptor).and_then(TcpListener::from_std),
            None => TcpListener::bind(self.listen).await,
        };
        let listener = listener.map_err(cannot_listen(self.listen))?;
        listener::set_options(&listener);
        Ok(listener)
    }

    /// Joins the cluster.
    async fn start_cluster(
        &self,
        transport: &Rc<ClusterTransport>,
        services: &watch::Receiver<ServiceAddresses>,
    ) -> Result<(), RunError> {
        // A process that replaces another opens the cluster's socket only after the predecessor has closed it.
        let socket: Option<UdpSocket> = match self.accept_descriptor {
            Some(_) => None,
            None => Some(transport.open().await.map_err(cannot_listen(transport.listen()))?),
        };
        let (peer_sender, peer_addresses) = watch::channel(services.borrow().peers.clone());
        spawn_local(follow_peers(services.clone(), peer_sender));
        spawn_local(transport.clone().run(socket, peer_addresses));
        Ok(())
    }

    /// Starts the admin server if an address is configured.
    async fn start_admin(
        &self,
        parts: &SharedParts,
        commands: &AdminSender,
        transport: Option<Rc<ClusterTransport>>,
        handover: Option<Rc<Handover>>,
    ) -> Result<(), RunError> {
        let Some(operators) = self.operators else { return Ok(()) };
        let listener = TcpListener::bind(operators).await.map_err(cannot_listen(operators))?;
        let ops = listener.local_addr().map_err(cannot_listen(operators))?;
        info!(%ops, "admin server listening");
        let context = AdminContext {
            commands: commands.clone(),
            metrics: parts.metrics.clone(),
            memory: parts.memory.clone(),
            lifecycle: parts.lifecycle.clone(),
            handover,
            cluster: transport,
            names: self.known_names(),
        };
        spawn_local(super::admin::server::serve(listener, Rc::new(context)));
        Ok(())
    }

    /// Creates the hand-over between processes. Returns `None` without an inherited socket, because only such a
    /// socket can be shared with another process.
    fn handover(
        &self,
        address: SocketAddr,
        commands: AdminSender,
        parts: &SharedParts,
        client_permits: Rc<Permits>,
        other_process: OtherProcess,
    ) -> Option<Rc<Handover>> {
        let folder = self.handover_folder.as_ref().filter(|_| self.accept_descriptor.is_some())?;
        let lifecycle = parts.lifecycle.clone();
        Some(Rc::new(Handover::new(
            folder,
            address,
            commands,
            lifecycle,
            client_permits,
            other_process.connections,
            other_process.ledger,
        )))
    }
}

/// Returns a listener that passes updates of the cluster to the runtime.
fn update_listener(runtime: RuntimeSender) -> UpdateListener {
    Box::new(move |update| {
        let event = match update {
            ClusterUpdate::QuotaLease(lease) => RuntimeEvent::QuotaLeaseChanged(lease),
            ClusterUpdate::Routing(in_force) => RuntimeEvent::RoutingChanged(in_force),
        };
        send_event(&runtime, event);
    })
}

/// Returns the names of the classes, ordered by number.
fn class_names(site: &Site) -> Vec<String> {
    let mut classes: Vec<(&String, &usize)> = site.classes.iter().collect();
    classes.sort_by_key(|(_, number)| **number);
    classes.into_iter().map(|(name, _)| name.clone()).collect()
}

/// Starts the shutdown once `stopping` becomes true.
async fn begin_shutdown(mut stopping: watch::Receiver<bool>, lifecycle: Rc<Lifecycle>) {
    if stopping.wait_for(|stop| *stop).await.is_ok() {
        lifecycle.advance_shutdown(ShutdownPhase::Stopping);
    }
}

/// Takes over from the serving process, if there is one, once the endpoint list is known, and accepts successors from
/// then on.
async fn take_over_when_ready(handover: Rc<Handover>, lifecycle: &Lifecycle) {
    let mut state = lifecycle.subscribe();
    let is_ready = state.wait_for(|state| state.endpoints_known || state.shutdown > ShutdownPhase::Running);
    if is_ready.await.is_ok() {
        handover.take_over().await;
    }
    spawn_local(handover.serve_successors());
}

/// Joins the cluster before the first request, so that requests of which a predecessor has a record meet it.
async fn join_cluster(cluster: Option<Rc<ClusterTransport>>, lifecycle: &Lifecycle) {
    lifecycle.start_joining();
    if let Some(cluster) = cluster {
        // Serving without a record is better than not serving.
        let _ = timeout(JOIN_TIMEOUT, cluster.wait_until_participating()).await;
    }
}
