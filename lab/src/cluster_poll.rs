//! What gateways say of their fleet, asked again and again at their operators' addresses.

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

/// Between two looks at all gateways.
const LOOK: Duration = Duration::from_millis(500);
/// The longest wait for an answer.
const PATIENCE: Duration = Duration::from_millis(900);
/// The longest answer that is read.
const LONGEST: u64 = 1 << 20;

#[derive(Deserialize)]
struct Report {
    #[serde(default)]
    members: Vec<Member>,
    view: Option<View>,
    ledger: Option<Ledger>,
}

/// How a gateway's claims at the ledger ended so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
pub struct Ledger {
    /// All of them.
    pub claims: u64,
    /// Such that an earlier owner had left.
    pub taken_over: u64,
    /// Found in work elsewhere.
    pub running: u64,
    /// Found answered.
    pub answered: u64,
    /// Work that went on without a record.
    pub unprotected: u64,
    /// Lost to another owner.
    pub lost: u64,
}

#[derive(Deserialize)]
struct Rollout {
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

/// Looks at what the gateways say for as long as it is let.
pub async fn watch_fleets(context: Arc<RunContext>, gateways: Vec<Arc<Gateway>>) {
    loop {
        let looks: Vec<_> =
            gateways.iter().map(|gateway| tokio::spawn(look(context.clone(), gateway.clone()))).collect();
        sleep(LOOK).await;
        for look in looks {
            // A look that failed saw nothing.
            let _ = look.await;
        }
    }
}

async fn look(context: Arc<RunContext>, gateway: Arc<Gateway>) {
    let ops = lock(&gateway.place).ops;
    let (life, asked) = (context.life(gateway.number), context.clock.now());
    if context.plan.scenario.gateways.rollout {
        if let Ok(Some(said)) = timeout(PATIENCE, ask::<Rollout>(ops, "/rollout")).await {
            let (number, stage, state, leads) = (said.number, said.stage.0, said.state, said.leads);
            let (gateway, at) = (gateway.number, context.clock.now());
            context.note(|record| {
                record.rollouts.push(RolloutObservation {
                    gateway,
                    life,
                    asked,
                    at,
                    number,
                    stage,
                    state,
                    leads,
                });
            });
        }
    }
    let Ok(Some(report)) = timeout(PATIENCE, ask::<Report>(ops, "/fleet")).await else { return };
    let number = |name: &str| name.strip_prefix('g').and_then(|n| n.parse::<usize>().ok());
    let present = report.members.iter().filter(|m| matches!(m.state.as_str(), "alive" | "suspect"));
    let mut present: Vec<usize> = present.filter_map(|m| number(&m.name)).collect();
    present.push(gateway.number);
    present.sort_unstable();
    let down = report.members.iter().filter(|m| m.state == "down").filter_map(|m| number(&m.name));
    let down = down.collect();
    let seen = ClusterObservation {
        gateway: gateway.number,
        life,
        asked,
        at: context.clock.now(),
        present,
        down,
        view: report.view.as_ref().map(|v| (v.number, v.digest.clone())),
        agreed: report.view.as_ref().is_some_and(|v| v.agreement == "agreed"),
        ledger: report.ledger.unwrap_or_default(),
        whole: report.view.as_ref().is_some_and(|v| v.share_for_ms > 0),
    };
    context.note(|record| record.fleets.push(seen));
}

async fn ask<T: for<'de> Deserialize<'de>>(ops: SocketAddr, path: &str) -> Option<T> {
    let call = format!("GET {path} HTTP/1.1\r\nHost: ops\r\nConnection: close\r\n\r\n");
    let text = call_ops(ops, &call).await?;
    let (_, body) = text.split_once("\r\n\r\n").filter(|(head, _)| head.starts_with("HTTP/1.1 200"))?;
    serde_json::from_str(body).ok()
}

/// Calls an operators' address, and returns the whole answer.
pub async fn call_ops(ops: SocketAddr, call: &str) -> Option<String> {
    let mut stream = tokio::net::TcpStream::connect(ops).await.ok()?;
    stream.write_all(call.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.take(LONGEST).read_to_end(&mut answer).await.ok()?;
    String::from_utf8(answer).ok()
}
