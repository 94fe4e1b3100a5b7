//! Plays one run of a scenario and checks it, with a progress bar on a terminal.

use crate::checker::{check, Verdict};
use crate::plan::{Band, Plan};
use crate::run::{RunResources, SetUpError, World};
use crate::scenario::Scenario;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use serde::Serialize;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after its planned end at which a run is aborted.
const OVERRUN_LIMIT: Duration = Duration::from_secs(30);

/// Result of a run, with the parameters that it was played with.
#[derive(Debug, Clone, Serialize)]
pub struct RunResult {
    /// Name of the scenario.
    pub scenario: String,
    /// Description of the scenario.
    pub about: String,
    /// Seed of the plan.
    pub seed: u64,
    /// SHA-256 of the plan of arrivals and faults.
    pub digest: String,
    /// Numbers of gateways, backends and customers.
    pub sizes: [usize; 3],
    /// Duration of the load, in seconds.
    pub length_s: f64,
    /// Time spans and targets of the faults.
    pub faults: Vec<Band>,
    /// Result of the checks.
    pub verdict: Verdict,
}

/// Error of a run that was not completed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The run could not be set up.
    #[error("{0}")]
    SetUp(#[from] SetUpError),
    /// The run was stopped by Ctrl-C or SIGTERM.
    #[error("stopped; no gateway is left behind")]
    Stopped,
}

/// Plays a scenario with a seed. Ctrl-C and SIGTERM end the run and all of its processes.
pub async fn play(scenario: &Scenario, seed: u64, resources: &RunResources) -> Result<RunResult, RunError> {
    let plan = Plan::draw(scenario, seed);
    let bar = progress_bar(&plan);
    let world = tokio::select! {
        world = World::start(plan.clone(), resources) => world?,
        // Dropping the handles ends the processes that were started so far.
        () = crate::shutdown_signal::asked() => return Err(RunError::Stopped),
    };
    let _watchdog = Watchdog::start(&world, scenario);
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

/// Kills the gateways and exits the program if a run exceeds its time limit, so that no run hangs for ever.
struct Watchdog(Arc<AtomicBool>);

impl Watchdog {
    fn start(world: &World, scenario: &Scenario) -> Watchdog {
        let longest_deadline_s = scenario.classes.iter().map(|c| c.deadline_ms / 1000.0).fold(0.0, f64::max);
        let deadline =
            Instant::now() + Duration::from_secs_f64(scenario.length_s + longest_deadline_s) + OVERRUN_LIMIT;
        let (is_cancelled, gateways) = (Arc::new(AtomicBool::new(false)), world.gateways.clone());
        let is_cancelled_in_thread = is_cancelled.clone();
        // Runs in its own thread, because the fault that makes a run hang may block all threads of the runtime.
        std::thread::spawn(move || {
            while !is_cancelled_in_thread.load(Ordering::Relaxed) {
                if Instant::now() > deadline {
                    gateways.iter().for_each(|gateway| gateway.end_now());
                    eprintln!(
                        "quota-gateway-lab: the run exceeded its planned end by {} s and was aborted",
                        OVERRUN_LIMIT.as_secs()
                    );
                    std::process::exit(1);
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        });
        Watchdog(is_cancelled)
    }
}

impl Drop for Watchdog {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn progress_bar(plan: &Plan) -> ProgressBar {
    // The progress bar is drawn on a terminal only.
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
