//! The operators' calls for rollouts of rules: `/rollout`, and what they answer.

use crate::cluster::rollout::{RolloutRequest, RuleSet};
use crate::cluster::CommandResult;
use crate::proxy::cluster_transport::ClusterTransport;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::StatusCode;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// The longest text of a rollout, in bytes.
const LONGEST: usize = 8 * 1024;
/// The longest wait for the rollout's record.
const BEGIN: Duration = Duration::from_millis(500);

/// What a call is answered with.
pub type Said = (StatusCode, String);

/// The names that rules may use.
#[derive(Debug, Default)]
pub struct KnownNames {
    /// Classes of requests.
    pub classes: BTreeSet<String>,
    /// Plans of customers.
    pub plans: BTreeSet<String>,
}

impl KnownNames {
    /// Whether the rules name classes and plans of this site alone.
    pub fn check(&self, rules: &RuleSet) -> Result<(), String> {
        let known = |what: &str, name: &Option<String>, names: &BTreeSet<String>| match name {
            Some(name) if !names.contains(name) => Err(format!("rule: {what}: there is no '{name}' here")),
            _ => Ok(()),
        };
        rules.0.iter().try_for_each(|rule| {
            known("class", &rule.class, &self.classes)?;
            known("plan", &rule.plan, &self.plans)
        })
    }
}

fn said(status: StatusCode, words: impl Into<String>) -> Said {
    (status, words.into())
}

/// Begins a rollout of the rules in this text.
pub async fn start(peers: &Rc<ClusterTransport>, names: &KnownNames, body: Incoming) -> Said {
    let Ok(Ok(body)) = timeout(BEGIN, Limited::new(body, LONGEST).collect()).await else {
        return said(StatusCode::PAYLOAD_TOO_LARGE, "expected a text of up to 8192 bytes at once\n");
    };
    let body: Bytes = body.to_bytes();
    let Ok(text) = std::str::from_utf8(&body) else {
        return said(StatusCode::BAD_REQUEST, "expected a text\n");
    };
    let start = RolloutRequest::parse(text).map_err(|e| e.0);
    let start = start.and_then(|start| names.check(&start.rules).map(|()| start));
    match start {
        Err(problem) => said(StatusCode::BAD_REQUEST, format!("{problem}\n")),
        Ok(start) => match timeout(BEGIN, peers.start_rollout(start)).await {
            Ok(Ok(Some(key))) => said(StatusCode::ACCEPTED, format!("rollout {} begins\n", key.number)),
            Ok(Ok(None)) => {
                said(StatusCode::CONFLICT, "another rollout runs, or the ledger has no majority\n")
            }
            Ok(Err(taken)) => answer(taken),
            Err(_) => said(StatusCode::SERVICE_UNAVAILABLE, "the ledger does not answer; look at /rollout\n"),
        },
    }
}

/// How an order was taken, as an answer.
pub fn answer(taken: CommandResult) -> Said {
    match taken {
        CommandResult::Done => said(StatusCode::OK, "done\n"),
        CommandResult::Conflict => said(StatusCode::CONFLICT, "not while this is so; look at /rollout\n"),
        CommandResult::Disabled => said(StatusCode::NOT_FOUND, "no rollouts here\n"),
    }
}
