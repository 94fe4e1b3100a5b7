//! A soak: one gateway under slow clients, slow backends, floods and signals, within the limits of its configuration.
//!
//! Each play is drawn from one seed ([`plan`]). Real processes of the gateway ([`gateway`]) are watched for their memory and
//! descriptors and killed over the limit, as the platform does. Judged requests ([`client`]) and the backends ([`backend`])
//! write records, which [`judge`] holds against the rules.

pub mod backend;
pub mod client;
pub mod crowd;
pub mod gateway;
pub mod judge;
pub mod plan;
pub mod services;

use crate::soak::judge::{judge, Violation};
use backend::Backends;
use client::RequestLog;
use gateway::GatewayRun;
use plan::SoakPlan;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// How long judged requests may go on after the last one was sent.
const TAIL: Duration = Duration::from_secs(6);

/// Result of one play.
pub struct SoakResult {
    /// What was played.
    pub plan: SoakPlan,
    /// Number of judged requests.
    pub requests: usize,
    /// Number of them that were served.
    pub served: usize,
    /// Largest memory of all processes together, in bytes.
    pub peak_memory: u64,
    /// Largest number of descriptors of all processes together.
    pub peak_descriptors: usize,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
}

/// Plays one seed against this gateway program, with its files in `folder`.
///
/// # Errors
/// Returns an error if the stand-ins or the gateway could not be started.
pub async fn play(program: &Path, folder: &Path, seed: u64) -> anyhow::Result<SoakResult> {
    let plan = SoakPlan::draw(seed);
    let start = Instant::now();
    let backends = Arc::new(Backends::start(plan.backends, start).await?);
    let services = services::start(&backends.addresses()).await?;
    let gateway = Arc::new(GatewayRun::start(program, folder, &plan, &services, start).await?);
    let log = Arc::new(RequestLog::new(start));
    let background = crowd::start(gateway.address(), &plan);
    let judged = tokio::spawn(client::send_judged(gateway.address(), plan.clone(), log.clone()));
    gateway.play_steps(&plan.steps).await?;
    sleep(plan.length.saturating_sub(start.elapsed())).await;
    judged.await?;
    background.stop();
    sleep(TAIL).await;
    let watch = gateway.stop().await;
    let requests = log.take();
    let served = requests.iter().filter(|request| request.status == Some(200)).count();
    let violations = judge(&plan, &requests, &backends.take_records(), &watch);
    Ok(SoakResult {
        plan,
        requests: requests.len(),
        served,
        peak_memory: watch.peak_memory,
        peak_descriptors: watch.peak_descriptors,
        violations,
    })
}
