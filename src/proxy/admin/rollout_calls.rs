//! Operators' calls for rollouts of routing rules, at `/rollout`.

use super::known_names::{KnownNames, UnknownName};
use super::reply::{is_read_method, require_post, AdminCallError, AdminReply};
use crate::cluster::rollout::RolloutRequest;
use crate::cluster::CommandResult;
use crate::decision::SettingsError;
use crate::proxy::cluster_transport::rollouts::{RolloutCommand, RolloutStartError};
use crate::proxy::cluster_transport::ClusterTransport;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;
use tracing::info;

/// Size limit of a rollout's definition, in bytes.
const MAX_TEXT_BYTES: usize = 8 * 1024;
/// Time limit for receiving the definition, and then again for the ledger to grant the rollout's record.
const START_TIMEOUT: Duration = Duration::from_millis(500);

/// A call for rollouts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutCall {
    /// `GET /rollout`: the rollout's report.
    Report,
    /// `POST /rollout`: start the rollout defined in the body.
    Start,
    /// `POST /rollout/pause`, `/resume` and `/abort`: change the running rollout.
    Command(RolloutCommand),
}

impl RolloutCall {
    /// Parses the method, and the part of the path after `/rollout/`.
    ///
    /// # Errors
    ///
    /// The command is unknown, or does not allow the method.
    pub fn parse(method: &Method, command: &str) -> Result<RolloutCall, AdminCallError> {
        match command {
            "" if is_read_method(method) => Ok(RolloutCall::Report),
            "" if method == Method::POST => Ok(RolloutCall::Start),
            "" => Err(AdminCallError::MethodNotAllowed { allow: "GET, HEAD, POST" }),
            "pause" => require_post(method, RolloutCall::Command(RolloutCommand::Pause)),
            "resume" => require_post(method, RolloutCall::Command(RolloutCommand::Resume)),
            "abort" => require_post(method, RolloutCall::Command(RolloutCommand::Abort)),
            _ => Err(AdminCallError::UnknownPath),
        }
    }
}

/// Why a rollout was not started.
#[derive(Debug, thiserror::Error)]
enum StartError {
    /// The body exceeds the size limit, or was not received in time.
    #[error("expected a text of up to {MAX_TEXT_BYTES} bytes at once")]
    TooLongOrSlow,
    /// The body is not UTF-8.
    #[error("expected a text")]
    NotText,
    /// The body does not define a rollout, or one with values out of bounds.
    #[error(transparent)]
    Invalid(#[from] SettingsError),
    /// A rule refers to a name that this site does not define.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// The cluster does not start the rollout.
    #[error(transparent)]
    Cluster(#[from] RolloutStartError),
    /// The ledger did not answer within `START_TIMEOUT`.
    #[error("the ledger does not answer; look at /rollout")]
    LedgerTimeout,
}

impl From<StartError> for AdminReply {
    fn from(error: StartError) -> AdminReply {
        let status = match &error {
            StartError::TooLongOrSlow => StatusCode::PAYLOAD_TOO_LARGE,
            StartError::NotText | StartError::Invalid(_) | StartError::UnknownName(_) => {
                StatusCode::BAD_REQUEST
            }
            StartError::Cluster(RolloutStartError::NoRecord) => StatusCode::CONFLICT,
            StartError::Cluster(RolloutStartError::NotTaken(result)) => return command_reply(*result),
            StartError::LedgerTimeout => StatusCode::SERVICE_UNAVAILABLE,
        };
        AdminReply::text(status, format!("{error}\n"))
    }
}

/// Performs a call for rollouts.
pub async fn perform(
    call: RolloutCall,
    cluster: &Rc<ClusterTransport>,
    names: &KnownNames,
    body: Incoming,
) -> AdminReply {
    match call {
        RolloutCall::Report => report(cluster),
        RolloutCall::Start => {
            let reply = start(cluster, names, body).await.unwrap_or_else(AdminReply::from);
            info!(
                status = reply.status.as_u16(),
                reply = reply.body(),
                "answered an operator's request to start a rollout"
            );
            reply
        }
        RolloutCall::Command(command) => {
            info!(?command, "operator sent a command for the rollout");
            command_reply(cluster.command_rollout(command))
        }
    }
}

fn report(cluster: &ClusterTransport) -> AdminReply {
    match cluster.rollout() {
        Some(report) => AdminReply::json(report),
        None => AdminReply::text(StatusCode::NOT_FOUND, "no rollout yet\n"),
    }
}

/// Starts the rollout defined in the body.
async fn start(
    cluster: &Rc<ClusterTransport>,
    names: &KnownNames,
    body: Incoming,
) -> Result<AdminReply, StartError> {
    let Ok(Ok(body)) = timeout(START_TIMEOUT, Limited::new(body, MAX_TEXT_BYTES).collect()).await else {
        return Err(StartError::TooLongOrSlow);
    };
    let body: Bytes = body.to_bytes();
    let text = std::str::from_utf8(&body).map_err(|_| StartError::NotText)?;
    let request = RolloutRequest::parse(text)?;
    names.check(&request.rules)?;
    match timeout(START_TIMEOUT, cluster.start_rollout(request)).await {
        Ok(result) => {
            let key = result?;
            Ok(AdminReply::text(StatusCode::ACCEPTED, format!("rollout {} begins\n", key.number)))
        }
        Err(_) => Err(StartError::LedgerTimeout),
    }
}

fn command_reply(result: CommandResult) -> AdminReply {
    match result {
        CommandResult::Done => AdminReply::done(),
        CommandResult::Conflict => {
            AdminReply::text(StatusCode::CONFLICT, "not while this is so; look at /rollout\n")
        }
        CommandResult::Disabled => AdminReply::text(StatusCode::NOT_FOUND, "no rollouts here\n"),
    }
}
