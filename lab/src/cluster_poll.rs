//! Polls the cluster state and rollout state of all gateways at their admin addresses.

use crate::gateway::Gateway;
use crate::link::lock;
use crate::record::{ClusterObservation, RolloutObservation};
use crate::run_context::RunContext;
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};

/// Interval between two polls of all gateways.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time-out of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum length of an answer, in bytes; the rest is cut off.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

#[derive(Deserialize)]
struct ClusterReport {
    #[serde(default)]
    members: Vec<Member>,
    view: Option<View>,
    ledger: Option<LedgerCounts>,
}

/// Outcomes of a gateway's claims at the ledger so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
pub struct LedgerCounts {
    /// Number of all claims.
    pub claims: u64,
    /// Claims that took a request over from an earlier owner.
    pub taken_over: u64,
    /// Claims that found the request running at another gateway.
    pub running: u64,
    /// Claims that found the request answered.
    pub answered: u64,
    /// Claims whose request continued without a ledger record.
    pub unprotected: u64,
    /// Claims lost to another owner.
    pub lost: u64,
}

#[derive(Deserialize)]
struct RolloutReport {
    number: u64,
    stage: (u8, usize),
    state: String,
    leads: bool,
}

#[derive(Deserialize)]
struct Member {
    name: String,
    state: String,
}

#[derive(Deserialize)]
struct View {
    number: u64,
    digest: String,
    agreement: String,
    share_for_ms: u64,
}

/// Polls all gateways until the task is aborted.
pub async fn watch_fleets(context: Arc<RunContext>, gateways: Vec<Arc<Gateway>>) {
    loop {
        let polls: Vec<_> =
            gateways.iter().map(|gateway| tokio::spawn(poll(context.clone(), gateway.clone()))).collect();
        sleep(POLL_INTERVAL).await;
        for poll in polls {
            // A poll that failed records nothing.
            let _ = poll.await;
        }
    }
}

async fn poll(context: Arc<RunContext>, gateway: Arc<Gateway>) {
    let admin = lock(&gateway.place).ops;
    let (life, asked_at) = (context.life(gateway.number), context.clock.now());
    if context.plan.scenario.gateways.rollout {
        if let Ok(Some(rollout)) = timeout(REQUEST_TIMEOUT, fetch::<RolloutReport>(admin, "/rollout")).await {
            let (number, stage, state, leads) =
                (rollout.number, rollout.stage.0, rollout.state, rollout.leads);
            let (gateway, answered_at) = (gateway.number, context.clock.now());
            context.note(|record| {
                record.rollouts.push(RolloutObservation {
                    gateway,
                    life,
                    asked_at,
                    answered_at,
                    number,
                    stage,
                    state,
                    leads,
                });
            });
        }
    }
    let Ok(Some(report)) = timeout(REQUEST_TIMEOUT, fetch::<ClusterReport>(admin, "/fleet")).await else {
        return;
    };
    let gateway_number = |name: &str| name.strip_prefix('g').and_then(|n| n.parse::<usize>().ok());
    let present = report.members.iter().filter(|m| matches!(m.state.as_str(), "alive" | "suspect"));
    let mut present: Vec<usize> = present.filter_map(|m| gateway_number(&m.name)).collect();
    present.push(gateway.number);
    present.sort_unstable();
    let down = report.members.iter().filter(|m| m.state == "down").filter_map(|m| gateway_number(&m.name));
    let down = down.collect();
    let observation = ClusterObservation {
        gateway: gateway.number,
        life,
        asked_at,
        answered_at: context.clock.now(),
        present,
        down,
        view: report.view.as_ref().map(|v| (v.number, v.digest.clone())),
        agreed: report.view.as_ref().is_some_and(|v| v.agreement == "agreed"),
        ledger: report.ledger.unwrap_or_default(),
        has_quota_share: report.view.as_ref().is_some_and(|v| v.share_for_ms > 0),
    };
    context.note(|record| record.cluster_observations.push(observation));
}

async fn fetch<T: for<'de> Deserialize<'de>>(admin: SocketAddr, path: &str) -> Option<T> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: ops\r\nConnection: close\r\n\r\n");
    let answer = call_ops(admin, &request).await?;
    let (_, body) = answer.split_once("\r\n\r\n").filter(|(head, _)| head.starts_with("HTTP/1.1 200"))?;
    serde_json::from_str(body).ok()
}

/// Sends a request to an admin address and returns the answer up to the close of the connection; `None` if it failed.
pub async fn call_ops(admin: SocketAddr, request: &str) -> Option<String> {
    let mut stream = tokio::net::TcpStream::connect(admin).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.take(MAX_ANSWER_BYTES).read_to_end(&mut answer).await.ok()?;
    String::from_utf8(answer).ok()
}
