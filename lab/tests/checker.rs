//! Tests of the checker on real processes: a correct gateway passes, and for each rule a faulty gateway is detected.

use quota_gateway_lab::checker::{Rule, Word};
use quota_gateway_lab::plan::Plan;
use quota_gateway_lab::run::{RunResources, World};
use quota_gateway_lab::runner::{play, RunResult};
use quota_gateway_lab::scenario::Scenario;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Two gateways and four backends, two of which are replaced, under a load low enough for a busy machine.
const SCENARIO: &str = r#"
name = "small"
about = "A small cluster for the tests of the checker."
length_s = 7
warm_up_s = 0
load.per_s = 30
load.spread = [1, 2]
load.retries = 0
load.spiky = 0
load.full = 0
load.heavy = 0
gateways.count = 2
gateways.memory_mb = 60
backends.count = 4
backends.drops_cancelled = false
discovery.notice_s = [0.1, 0.2]
discovery.add_s = [0.1, 0.2]
[[plan]]
name = "plain"
share = 1
rate = 10
burst_s = 5
price = 1
over_cost = 1
[[fault]]
kind = "replace"
at_s = 1
who = ["backends:2"]
batch = 1.0
every_s = 1
drain_s = 4
"#;

fn run_with_fault(fault: &str, replacements: &[(&str, &str)]) -> (Vec<Rule>, RunResult) {
    let mut text = SCENARIO
        .replace("gateways.count = 2", &format!("gateways.count = 2\ngateways.env.FAULT = \"{fault}\""));
    for (from, to) in replacements {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    let scenario = Scenario::parse(PathBuf::from("small.toml"), &text, &[]).expect("a valid scenario");
    // Tests may run the same fault concurrently, so each run gets its own folder.
    static RUNS: AtomicUsize = AtomicUsize::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("checker-{fault}-{}-{run}", std::process::id()));
    let resources =
        RunResources { binary: env!("CARGO_BIN_EXE_lab-faulty-gateway").into(), second: None, folder };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let result = runtime.block_on(play(&scenario, 1, &resources)).expect("the run completes");
    (result.verdict.broken.iter().map(|b| b.rule).collect(), result)
}

#[test]
fn correct_gateway_breaks_no_rule_and_has_plausible_metrics() {
    let (broken, result) = run_with_fault("none", &[]);
    assert_eq!(broken, [], "{:?}", result.verdict.broken);
    let figures = &result.verdict.figures;
    assert!(figures.requests > 50 && figures.served > 0.5, "{figures:?}");
    assert!(figures.attempts > 0.9 && figures.counter_calls == 0.0, "{figures:?}");
}

#[test]
fn aborted_run_leaves_no_process_behind() {
    let scenario = Scenario::parse(PathBuf::from("small.toml"), SCENARIO, &[]).expect("a valid scenario");
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("breaks-off-{}", std::process::id()));
    let resources =
        RunResources { binary: env!("CARGO_BIN_EXE_lab-faulty-gateway").into(), second: None, folder };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let world = runtime.block_on(World::start(Plan::draw(&scenario, 1), &resources)).expect("the run starts");
    let listen_addresses = |world: &World| -> Vec<SocketAddr> {
        world.gateways.iter().map(|g| g.place.lock().expect("mutex is not poisoned").listen).collect()
    };
    let addresses = listen_addresses(&world);
    assert!(addresses.iter().all(|address| TcpStream::connect(address).is_ok()));
    // Drops all tasks at once, as a panic would.
    drop(runtime);
    let deadline = Instant::now() + Duration::from_secs(10);
    while addresses.iter().any(|address| TcpStream::connect(address).is_ok()) {
        assert!(Instant::now() < deadline, "a gateway process still listens 10 s after the run was dropped");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn lost_late_duplicate_and_forged_answers_are_detected() {
    std::thread::scope(|scope| {
        for fault in ["lose", "late", "twice", "made-up"] {
            scope.spawn(move || {
                let (broken, result) = run_with_fault(fault, &[]);
                assert_eq!(broken, [Rule::Answered], "{fault}: {:?}", result.verdict.broken);
                assert_eq!(result.verdict.word, Word::Failed, "{fault}: {:?}", result.verdict.doubts);
            });
        }
    });
}

#[test]
fn repeats_after_the_deduplication_window_are_detected() {
    // The work takes longer than the deduplication window, so that every repeat comes after the window.
    let keyed_class =
        "[[class]]\nname = \"publish-cover\"\nshare = 1\nwork_ms = 60\nwork_cv = 0\naim_ms = 900\n\
                 deadline_ms = 2000\nworth = 1\neffect = \"keyed\"\nwindow_ms = 1\n[[fault]]";
    let (broken, result) =
        run_with_fault("repeat", &[("[[fault]]", keyed_class), ("load.per_s = 30", "load.per_s = 10")]);
    assert_eq!(broken, [Rule::Effect], "{:?}", result.verdict.broken);
}

#[test]
fn requests_to_draining_backends_are_detected() {
    let (broken, result) = run_with_fault("drain", &[]);
    assert_eq!(broken, [Rule::Drain], "{:?}", result.verdict.broken);
}

#[test]
fn overload_of_a_backend_that_is_warming_up_is_detected() {
    let slow_backends = (
        "backends.count = 4",
        "backends.count = 4\nbackends.cores = 0.2\nbackends.cold_s = 20\nbackends.fall_s = 1",
    );
    let (broken, result) = run_with_fault("cold", &[slow_backends]);
    assert!(broken.contains(&Rule::Cold), "{:?}", result.verdict.broken);
}

#[test]
fn exceeded_ceiling_is_detected() {
    let low_ceiling = ("over_cost = 1", "over_cost = 1\nceiling = 1.1");
    let heavy_load = ("load.heavy = 0", "load.heavy = 1\nload.heavy_x = [4, 4]");
    let (broken, result) = run_with_fault("none", &[low_ceiling, heavy_load]);
    assert_eq!(broken, [Rule::Ceiling], "{:?}", result.verdict.broken);
}

#[test]
fn crash_and_exceeded_memory_limit_are_detected() {
    let (broken, result) = run_with_fault("crash", &[]);
    assert!(broken.contains(&Rule::Crash), "{:?}", result.verdict.broken);
    let (broken, result) = run_with_fault("memory", &[]);
    assert!(broken.contains(&Rule::Limits), "{:?}", result.verdict.broken);
}
