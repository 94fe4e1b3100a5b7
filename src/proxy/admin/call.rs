//! The operators' calls: which call a request is, and what it is answered.
//!
//! Paths, methods, statuses and bodies are a wire form that scripts depend on: they never change.

use super::known_names::KnownNames;
use super::metrics::Metrics;
use super::reply::{changing, reading, AdminCallError, AdminReply};
use super::rollout_calls::{self, RolloutCall};
use super::stats;
use crate::proxy::cluster_transport::ClusterTransport;
use crate::proxy::lifecycle::drain::Lifecycle;
use crate::proxy::runtime::messages::{AdminCommand, AdminSender};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::info;

/// The longest wait for the runtime; operators are promised a response within 1 s.
const RUNTIME_TIMEOUT: Duration = Duration::from_millis(700);

/// What the calls need.
pub struct AdminContext {
    /// Commands to the runtime, which wait behind no request.
    pub commands: AdminSender,
    /// The counters of this process.
    pub metrics: Rc<Metrics>,
    /// Whether the gateway serves, drains or ends.
    pub lifecycle: Rc<Lifecycle>,
    /// The cluster, where the gateway is part of one.
    pub cluster: Option<Rc<ClusterTransport>>,
    /// The names that routing rules may use.
    pub names: KnownNames,
}

impl AdminContext {
    fn available_calls(&self) -> AvailableCalls {
        AvailableCalls {
            cluster: self.cluster.is_some(),
            rollouts: self.cluster.as_ref().is_some_and(|cluster| cluster.keeps_rules()),
        }
    }
}

/// The calls that exist only with some configurations; elsewhere they are answered as unknown paths.
#[derive(Debug, Clone, Copy)]
pub struct AvailableCalls {
    /// `/fleet`: the gateway is part of a cluster.
    pub cluster: bool,
    /// `/rollout`: the cluster rolls out routing rules.
    pub rollouts: bool,
}

/// One call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminCall {
    /// `GET /healthcheck`: whether this process is ready to serve.
    Readiness,
    /// `POST /healthcheck/fail` and `/healthcheck/ok`: drain the gateway, or stop draining.
    SetDraining(bool),
    /// `GET /stats`.
    Stats,
    /// `GET /fleet`: the cluster as this gateway sees it.
    ClusterReport,
    /// `POST /backends/ID/maint` and `/backends/ID/ready`.
    SetMaintenance {
        /// The endpoint's name at discovery.
        endpoint: String,
        /// Into maintenance, or out of it.
        in_maintenance: bool,
    },
    /// `/rollout` and what is below it.
    Rollout(RolloutCall),
}

impl AdminCall {
    /// Reads method and path.
    ///
    /// # Errors
    ///
    /// The path is unknown with this configuration, or takes another method.
    pub fn parse(
        method: &Method,
        path: &str,
        available: AvailableCalls,
    ) -> Result<AdminCall, AdminCallError> {
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match segments.as_slice() {
            ["healthcheck"] => reading(method, AdminCall::Readiness),
            ["healthcheck", "fail"] => changing(method, AdminCall::SetDraining(true)),
            ["healthcheck", "ok"] => changing(method, AdminCall::SetDraining(false)),
            ["stats"] => reading(method, AdminCall::Stats),
            ["fleet"] if available.cluster => reading(method, AdminCall::ClusterReport),
            ["backends", endpoint, state @ ("maint" | "ready")] => {
                let in_maintenance = *state == "maint";
                let endpoint = endpoint.to_string();
                changing(method, AdminCall::SetMaintenance { endpoint, in_maintenance })
            }
            ["rollout", command @ ..] if available.rollouts => {
                RolloutCall::parse(method, &command.join("/")).map(AdminCall::Rollout)
            }
            _ => Err(AdminCallError::UnknownPath),
        }
    }
}

/// Answers one request.
pub async fn answer(request: Request<Incoming>, context: &AdminContext) -> AdminReply {
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
            info!(draining, "an operator sets draining");
            context.lifecycle.set_operator_drain(draining);
            AdminReply::done()
        }
        AdminCall::Stats => stats_reply(context).await,
        AdminCall::ClusterReport => cluster_report(context),
        AdminCall::SetMaintenance { endpoint, in_maintenance } => {
            info!(id = endpoint, in_maintenance, "an operator sets an endpoint's maintenance");
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
    let command = |reply| AdminCommand::SetMaintenance { endpoint, in_maintenance, relayed: false, reply };
    match ask_runtime(context, command).await {
        Some(true) => AdminReply::done(),
        Some(false) => AdminReply::text(StatusCode::NOT_FOUND, "no such backend\n"),
        None => AdminReply::runtime_timeout(),
    }
}

/// Sends a command to the runtime, which answers between two turns. None: it did not within `RUNTIME_TIMEOUT`.
async fn ask_runtime<T>(
    context: &AdminContext,
    command: impl FnOnce(oneshot::Sender<T>) -> AdminCommand,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    let asking = async {
        context.commands.send(command(reply)).await.ok()?;
        answer.await.ok()
    };
    timeout(RUNTIME_TIMEOUT, asking).await.ok().flatten()
}
