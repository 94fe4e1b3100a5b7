//! Parses and answers operators' calls to the admin server.
//!
//! Paths, methods, statuses and bodies are an interface that scripts depend on: they never change.

use super::known_names::KnownNames;
use super::metrics::Metrics;
use super::reply::{require_post, require_read_method, AdminCallError, AdminReply};
use super::rollout_calls::{self, RolloutCall};
use super::stats;
use crate::proxy::cluster_transport::ClusterTransport;
use crate::proxy::lifecycle::drain::Lifecycle;
use crate::proxy::lifecycle::handover::Handover;
use crate::proxy::memory_budget::MemoryBudget;
use crate::proxy::runtime::messages::{AdminCommand, AdminSender};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::info;

/// Time limit for the runtime's answer; operators are promised a response within 1 s.
const RUNTIME_TIMEOUT: Duration = Duration::from_millis(700);

/// The parts of the gateway that calls read and change.
pub struct AdminContext {
    /// Commands to the runtime, in a queue of their own so that they do not wait behind requests.
    pub commands: AdminSender,
    /// Counters of this process.
    pub metrics: Rc<Metrics>,
    /// Division of the machine's memory.
    pub memory: Rc<MemoryBudget>,
    /// Whether the gateway serves, drains or shuts down.
    pub lifecycle: Rc<Lifecycle>,
    /// Hand-over between two processes of this gateway, if one can replace another.
    pub handover: Option<Rc<Handover>>,
    /// The cluster, if the gateway is part of one.
    pub cluster: Option<Rc<ClusterTransport>>,
    /// Names of this site that routing rules may use.
    pub names: KnownNames,
}

impl AdminContext {
    fn available_calls(&self) -> AvailableCalls {
        AvailableCalls {
            cluster: self.cluster.is_some(),
            rollouts: self.cluster.as_ref().is_some_and(|cluster| cluster.allows_rollouts()),
        }
    }
}

/// Calls that exist only in some configurations; without these their paths are unknown.
#[derive(Debug, Clone, Copy)]
pub struct AvailableCalls {
    /// `/fleet` exists, as the gateway is part of a cluster.
    pub cluster: bool,
    /// `/rollout` exists, as the cluster rolls out routing rules.
    pub rollouts: bool,
}

/// A call to the admin server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminCall {
    /// `GET /healthcheck`: whether this process is ready to serve.
    Readiness,
    /// `POST /healthcheck/fail` and `/healthcheck/ok`: start or stop draining the gateway.
    SetDraining(bool),
    /// `GET /stats`: the metrics as text.
    Stats,
    /// `GET /fleet`: the cluster as this gateway sees it.
    ClusterReport,
    /// `POST /backends/ID/maint` and `/backends/ID/ready`.
    SetMaintenance {
        /// Name of the endpoint at discovery.
        endpoint: String,
        /// Whether the endpoint enters or leaves maintenance.
        in_maintenance: bool,
    },
    /// `/rollout` and the paths below it.
    Rollout(RolloutCall),
}

impl AdminCall {
    /// Parses the method and the path.
    ///
    /// # Errors
    ///
    /// The path is unknown in this configuration, or does not allow the method.
    pub fn parse(
        method: &Method,
        path: &str,
        available: AvailableCalls,
    ) -> Result<AdminCall, AdminCallError> {
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match segments.as_slice() {
            ["healthcheck"] => require_read_method(method, AdminCall::Readiness),
            ["healthcheck", "fail"] => require_post(method, AdminCall::SetDraining(true)),
            ["healthcheck", "ok"] => require_post(method, AdminCall::SetDraining(false)),
            ["stats"] => require_read_method(method, AdminCall::Stats),
            ["fleet"] if available.cluster => require_read_method(method, AdminCall::ClusterReport),
            ["backends", endpoint, state @ ("maint" | "ready")] => {
                let in_maintenance = *state == "maint";
                let endpoint = endpoint.to_string();
                require_post(method, AdminCall::SetMaintenance { endpoint, in_maintenance })
            }
            ["rollout", command @ ..] if available.rollouts => {
                RolloutCall::parse(method, &command.join("/")).map(AdminCall::Rollout)
            }
            _ => Err(AdminCallError::UnknownPath),
        }
    }
}

/// Answers a request to the admin server.
pub async fn handle_request(request: Request<Incoming>, context: &AdminContext) -> AdminReply {
    let call = AdminCall::parse(request.method(), request.uri().path(), context.available_calls());
    match call {
        Ok(call) => perform(call, request.into_body(), context).await,
        Err(error) => error.into(),
    }
}

async fn perform(call: AdminCall, body: Incoming, context: &AdminContext) -> AdminReply {
    match call {
        AdminCall::Readiness => readiness(context),
        AdminCall::SetDraining(draining) => {
            info!(draining, "operator set draining of this gateway");
            context.lifecycle.set_operator_drain(draining);
            AdminReply::done()
        }
        AdminCall::Stats => stats_reply(context).await,
        AdminCall::ClusterReport => cluster_report(context),
        AdminCall::SetMaintenance { endpoint, in_maintenance } => {
            info!(id = endpoint, in_maintenance, "operator requested a change of an endpoint's maintenance");
            set_maintenance(endpoint, in_maintenance, context).await
        }
        AdminCall::Rollout(call) => match &context.cluster {
            Some(cluster) => rollout_calls::perform(call, cluster, &context.names, body).await,
            None => AdminCallError::UnknownPath.into(),
        },
    }
}

fn readiness(context: &AdminContext) -> AdminReply {
    match context.lifecycle.is_ready() {
        true => AdminReply::text(StatusCode::OK, "ready\n"),
        false => AdminReply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

async fn stats_reply(context: &AdminContext) -> AdminReply {
    let Some(endpoints) = ask_runtime(context, AdminCommand::CountEndpoints).await else {
        return AdminReply::runtime_timeout();
    };
    let mut text = stats::process_lines(&context.metrics, endpoints);
    text.push_str(&stats::memory_lines(&context.memory));
    if let Some(cluster) = context.cluster.as_ref().and_then(|cluster| cluster.stats()) {
        text.push_str(&stats::cluster_lines(&cluster));
    }
    AdminReply::text(StatusCode::OK, text)
}

fn cluster_report(context: &AdminContext) -> AdminReply {
    match context.cluster.as_ref().and_then(|cluster| cluster.report()) {
        Some(report) => AdminReply::json(report),
        None => AdminReply::text(StatusCode::SERVICE_UNAVAILABLE, "not in the fleet now\n"),
    }
}

async fn set_maintenance(endpoint: String, in_maintenance: bool, context: &AdminContext) -> AdminReply {
    let relayed = match &context.handover {
        Some(handover) => handover.relay_before_take_over(&endpoint, in_maintenance).await,
        None => false,
    };
    let command = |reply| AdminCommand::SetMaintenance { endpoint, in_maintenance, relayed, reply };
    match ask_runtime(context, command).await {
        Some(true) => AdminReply::done(),
        // The process that serves knows the endpoint.
        Some(false) if relayed => AdminReply::done(),
        Some(false) => AdminReply::text(StatusCode::NOT_FOUND, "no such backend\n"),
        None => AdminReply::runtime_timeout(),
    }
}

/// Sends a command to the runtime, which answers between two turns. Returns none if no answer came within
/// `RUNTIME_TIMEOUT`.
async fn ask_runtime<T>(
    context: &AdminContext,
    command: impl FnOnce(oneshot::Sender<T>) -> AdminCommand,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    let exchange = async {
        context.commands.send(command(reply)).await.ok()?;
        answer.await.ok()
    };
    timeout(RUNTIME_TIMEOUT, exchange).await.ok().flatten()
}
