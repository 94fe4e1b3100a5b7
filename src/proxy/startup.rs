//! Starts the components of a gateway in dependency order, and serves until shutdown.

use super::admin::metrics::Metrics;
use super::cluster_transport::outcome_recorder::OutcomeRecorder;
use super::cluster_transport::{ClusterTransport, RequestSenders};
use super::control_plane::config::{Config, ServiceAddresses};
use super::control_plane::service_watch::follow_services;
use super::downstream::server;
use super::free_memory::return_freed_memory;
use super::lifecycle::drain::{Lifecycle, ShutdownPhase};
use super::lifecycle::handover::Handover;
use super::lifecycle::permits::Permits;
use super::memory_budget::MemoryBudget;
use super::runtime::clock::Clock;
use super::runtime::{Runtime, SharedParts};
use super::start_plan::{cannot_listen, OtherProcess, RunError, StartPlan};
use crate::site_settings::Site;
use std::rc::Rc;
use std::time::Duration;
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
