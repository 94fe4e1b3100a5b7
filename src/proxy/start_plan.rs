//! What the start of a gateway needs of its configuration, and the components that are made from it.

use super::admin::call::AdminContext;
use super::admin::known_names::KnownNames;
use super::cluster_transport::queued_write::QueuedWrite;
use super::cluster_transport::write_queue_sender::{check_uplink, forward_writes};
use super::cluster_transport::{
    abandoned_requests::finish_abandoned_requests, ClusterTransport, ClusterUpdate, RequestSenders,
    UpdateListener,
};
use super::control_plane::config::{ClusterConfig, Config, ConfigError, ServiceAddresses};
use super::control_plane::discovery::PollTiming;
use super::control_plane::service_watch::follow_peers;
use super::downstream::context::{ProxyContext, RequestIds};
use super::downstream::listener;
use super::downstream::request_head::{ClassRules, RequestRules};
use super::lifecycle::handover::Handover;
use super::lifecycle::inherited_listener;
use super::lifecycle::permits::Permits;
use super::runtime::messages::{send_event, AdminSender, RuntimeEvent, RuntimeSender};
use super::runtime::SharedParts;
use crate::cluster::ledger::AbandonedRequest;
use crate::decision::{ClassId, Micros, PlanId};
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
pub(super) fn cannot_listen(address: SocketAddr) -> impl Fn(io::Error) -> RunError {
    move |error| RunError::Listen { address, error }
}

/// What depends on messages of the other process of this gateway during a hand-over.
pub(super) struct OtherProcess {
    /// Publishes the number of its client connections.
    pub connections: watch::Sender<usize>,
    /// The cluster, if this gateway has a ledger.
    pub ledger: Option<Rc<ClusterTransport>>,
}

/// Values of the configuration that the start needs after the runtime has consumed it.
pub(super) struct StartPlan {
    pub name: String,
    pub listen: SocketAddr,
    pub operators: Option<SocketAddr>,
    pub accept_descriptor: Option<RawFd>,
    pub handover_folder: Option<PathBuf>,
    pub known_revision: Option<u64>,
    pub timing: PollTiming,
    pub rules: RequestRules,
    pub tick: Micros,
    pub cluster: Option<ClusterConfig>,
}

impl StartPlan {
    /// Copies the values from the configuration, and checks the routing rules, which refer to names in other parts of
    /// it.
    pub fn from_config(config: &Config) -> Result<StartPlan, ConfigError> {
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
    pub fn known_names(&self) -> KnownNames {
        KnownNames {
            classes: self.rules.classes.keys().cloned().collect(),
            plans: self.rules.plans.keys().cloned().collect(),
        }
    }

    /// Starts the tasks for the requests that the cluster assigns to this gateway.
    pub fn serve_cluster_requests(
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
    pub fn proxy_context(
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
    pub fn queues_writes(&self) -> bool {
        self.cluster.as_ref().is_some_and(|cluster| cluster.settings.write_queue.is_some())
    }

    /// Whether this gateway finishes abandoned requests of failed gateways.
    pub fn finishes_requests(&self) -> bool {
        self.cluster.as_ref().is_some_and(|cluster| !cluster.finish_classes.is_empty())
    }

    /// Creates the cluster transport if the gateway belongs to a cluster.
    pub fn cluster_transport(
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
    pub async fn listen(&self) -> Result<TcpListener, RunError> {
        let listener = match self.accept_descriptor {
            Some(descriptor) => inherited_listener::adopt(descriptor).and_then(TcpListener::from_std),
            None => TcpListener::bind(self.listen).await,
        };
        let listener = listener.map_err(cannot_listen(self.listen))?;
        listener::set_options(&listener);
        Ok(listener)
    }

    /// Joins the cluster.
    pub async fn start_cluster(
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
    pub async fn start_admin(
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
    pub fn handover(
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
