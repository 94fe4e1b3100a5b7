//! One run from a scenario to its verdict, with a progress bar on a terminal.

use crate::checker::{check, Verdict};
use crate::plan::{Band, Plan};
use crate::run::{RunResources, SetUpError, World};
use crate::scenario::Scenario;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use serde::Serialize;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A run that goes so far past its time is ended.
const BEYOND: Duration = Duration::from_secs(30);

/// What a run came to, with what it was played with.
#[derive(Debug, Clone, Serialize)]
pub struct RunResult {
    /// The scenario's name.
    pub scenario: String,
    /// What the scenario shows.
    pub about: String,
    /// The seed.
    pub seed: u64,
    /// SHA-256 of the plan of arrivals and faults.
    pub digest: String,
    /// How many gateways, backends and customers there were.
    pub sizes: [usize; 3],
    /// How long requests arrived, in seconds.
    pub length_s: f64,
    /// The faults, resolved.
    pub faults: Vec<Band>,
    /// The judgement.
    pub verdict: Verdict,
}

/// A run that did not come to its end.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// It could not be set up.
    #[error("{0}")]
    SetUp(#[from] SetUpError),
    /// Somebody stopped it.
    #[error("stopped; no gateway is left behind")]
    Stopped,
}

/// Plays a scenario with a seed. Ctrl-C and SIGTERM end the run and all of its processes.
pub async fn play(scenario: &Scenario, seed: u64, resources: &RunResources) -> Result<RunResult, RunError> {
    let plan = Plan::draw(scenario, seed);
    let bar = bar(&plan);
    let world = tokio::select! {
        world = World::start(plan.clone(), resources) => world?,
        // What has started by then ends with its handles.
        () = crate::shutdown_signal::asked() => return Err(RunError::Stopped),
    };
    let _watchdog = Watchdog::over(&world, scenario);
    let record = tokio::select! {
        record = world.play(|sent| bar.set_position(sent as u64)) => record,
        () = crate::shutdown_signal::asked() => {
            bar.finish_and_clear();
            world.end().await;
            return Err(RunError::Stopped);
        }
    };
    bar.finish_and_clear();
    let verdict = check(&plan, &record);
    Ok(RunResult {
        scenario: scenario.name.clone(),
        about: scenario.about.clone(),
        seed,
        digest: plan.digest,
        sizes: [scenario.gateways.count, scenario.backends.count, plan.customers.len()],
        length_s: scenario.length_s,
        faults: plan.bands,
        verdict,
    })
}

/// Ends the whole program, gateways first, when a run goes far past its time: no run may stand for ever.
struct Watchdog(Arc<AtomicBool>);

impl Watchdog {
    fn over(world: &World, scenario: &Scenario) -> Watchdog {
        let longest = scenario.classes.iter().map(|c| c.deadline_ms / 1000.0).fold(0.0, f64::max);
        let until = Instant::now() + Duration::from_secs_f64(scenario.length_s + longest) + BEYOND;
        let (off, gateways) = (Arc::new(AtomicBool::new(false)), world.gateways.clone());
        let watched = off.clone();
        // A thread of its own: what it guards against may have stopped all others.
        std::thread::spawn(move || {
            while !watched.load(Ordering::Relaxed) {
                if Instant::now() > until {
                    gateways.iter().for_each(|gateway| gateway.end_now());
                    eprintln!(
                        "quota-gateway-lab: the run went {} s past its time and was ended",
                        BEYOND.as_secs()
                    );
                    std::process::exit(1);
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        });
        Watchdog(off)
    }
}

impl Drop for Watchdog {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn bar(plan: &Plan) -> ProgressBar {
    // Drawn on a terminal only.
    let bar = ProgressBar::with_draw_target(
        Some(plan.arrivals.len() as u64),
        ProgressDrawTarget::stderr_with_hz(5),
    );
    let style = ProgressStyle::with_template("{msg} [{elapsed}] {wide_bar} {pos}/{len} requests");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar.set_message(format!("{} seed {}", plan.scenario.name, plan.seed));
    bar
}
