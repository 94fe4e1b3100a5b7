//! The operators' calls for rollouts of routing rules, `/rollout`.

use super::known_names::{KnownNames, UnknownName};
use super::reply::{changing, is_reading, AdminCallError, AdminReply};
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

/// The longest text of a rollout, in bytes.
const MAX_TEXT_BYTES: usize = 8 * 1024;
/// The longest wait for the text, and then for the rollout's record in the ledger.
const START_TIMEOUT: Duration = Duration::from_millis(500);

/// One call for a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutCall {
    /// `GET /rollout`.
    Report,
    /// `POST /rollout`, with the rollout in the body.
    Start,
    /// `POST /rollout/pause`, `/resume` and `/abort`.
    Command(RolloutCommand),
}

impl RolloutCall {
    /// Reads the method, and what stands behind `/rollout/` in the path.
    ///
    /// # Errors
    ///
    /// There is no such command, or it takes another method.
    pub fn parse(method: &Method, command: &str) -> Result<RolloutCall, AdminCallError> {
        match command {
            "" if is_reading(method) => Ok(RolloutCall::Report),
            "" if method == Method::POST => Ok(RolloutCall::Start),
            "" => Err(AdminCallError::MethodNotAllowed { allow: "GET, HEAD, POST" }),
            "pause" => changing(method, RolloutCall::Command(RolloutCommand::Pause)),
            "resume" => changing(method, RolloutCall::Command(RolloutCommand::Resume)),
            "abort" => changing(method, RolloutCall::Command(RolloutCommand::Abort)),
            _ => Err(AdminCallError::UnknownPath),
        }
    }
}

/// Why a rollout was not started.
#[derive(Debug, thiserror::Error)]
enum StartError {
    /// The text is longer, or was not sent in time.
    #[error("expected a text of up to {MAX_TEXT_BYTES} bytes at once")]
    TooLongOrSlow,
    /// It is not UTF-8.
    #[error("expected a text")]
    NotText,
    /// It is no rollout, or one beyond the bounds.
    #[error(transparent)]
    Invalid(#[from] SettingsError),
    /// It names what the site does not have.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// The cluster does not start it.
    #[error(transparent)]
    Cluster(#[from] RolloutStartError),
    /// The ledger gave no answer within `START_TIMEOUT`.
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
            StartError::Cluster(RolloutStartError::NotTaken(taken)) => return command_reply(*taken),
            StartError::LedgerTimeout => StatusCode::SERVICE_UNAVAILABLE,
        };
        AdminReply::text(status, format!("{error}\n"))
    }
}

/// Answers a call for a rollout.
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
            info!(status = reply.status.as_u16(), said = reply.body(), "an operator starts a rollout");
            reply
        }
        RolloutCall::Command(command) => {
            info!(?command, "an operator commands the rollout");
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

/// Starts a rollout of the rules in the body.
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
    let start = RolloutRequest::parse(text)?;
    names.check(&start.rules)?;
    match timeout(START_TIMEOUT, cluster.start_rollout(start)).await {
        Ok(started) => {
            let key = started?;
            Ok(AdminReply::text(StatusCode::ACCEPTED, format!("rollout {} begins\n", key.number)))
        }
        Err(_) => Err(StartError::LedgerTimeout),
    }
}

fn command_reply(taken: CommandResult) -> AdminReply {
    match taken {
        CommandResult::Done => AdminReply::done(),
        CommandResult::Conflict => {
            AdminReply::text(StatusCode::CONFLICT, "not while this is so; look at /rollout\n")
        }
        CommandResult::Disabled => AdminReply::text(StatusCode::NOT_FOUND, "no rollouts here\n"),
    }
}
