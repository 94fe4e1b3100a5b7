//! The judge on real processes: a sound gateway passes, and for each rule one that breaks it is caught.

use quota_gateway_lab::checker::{Rule, Word};
use quota_gateway_lab::plan::Plan;
use quota_gateway_lab::run::{RunResources, World};
use quota_gateway_lab::runner::{play, RunResult};
use quota_gateway_lab::scenario::Scenario;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Two gateways and four backends, two of which are replaced: little load, so that a busy machine bears it.
const SCENARIO: &str = r#"
name = "small"
about = "A small fleet for the tests of the judge."
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

fn rules(fault: &str, change: &[(&str, &str)]) -> (Vec<Rule>, RunResult) {
    let mut text = SCENARIO
        .replace("gateways.count = 2", &format!("gateways.count = 2\ngateways.env.FAULT = \"{fault}\""));
    for (from, to) in change {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    let scenario = Scenario::parse(PathBuf::from("small.toml"), &text, &[]).expect("a good scenario");
    // Two tests may play the same fault at once: each run has a folder of its own.
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
    let result = runtime.block_on(play(&scenario, 1, &resources)).expect("it runs");
    (result.verdict.broken.iter().map(|b| b.rule).collect(), result)
}

#[test]
fn a_sound_gateway_breaks_no_rule_and_its_figures_stand() {
    let (broken, result) = rules("none", &[]);
    assert_eq!(broken, [], "{:?}", result.verdict.broken);
    let figures = &result.verdict.figures;
    assert!(figures.requests > 50 && figures.served > 0.5, "{figures:?}");
    assert!(figures.attempts > 0.9 && figures.counter_calls == 0.0, "{figures:?}");
}

#[test]
fn a_run_that_breaks_off_leaves_no_process_behind() {
    let scenario = Scenario::parse(PathBuf::from("small.toml"), SCENARIO, &[]).expect("a good scenario");
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("breaks-off-{}", std::process::id()));
    let resources =
        RunResources { binary: env!("CARGO_BIN_EXE_lab-faulty-gateway").into(), second: None, folder };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let world = runtime.block_on(World::start(Plan::draw(&scenario, 1), &resources)).expect("it starts");
    let listens = |world: &World| -> Vec<SocketAddr> {
        world.gateways.iter().map(|g| g.place.lock().expect("whole").listen).collect()
    };
    let listens = listens(&world);
    assert!(listens.iter().all(|address| TcpStream::connect(address).is_ok()));
    // As a panic would: everything is dropped where it stands.
    drop(runtime);
    let until = Instant::now() + Duration::from_secs(10);
    while listens.iter().any(|address| TcpStream::connect(address).is_ok()) {
        assert!(Instant::now() < until, "a gateway lives on");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn requests_lost_late_answered_twice_or_with_made_up_bodies_are_caught() {
    std::thread::scope(|scope| {
        for fault in ["lose", "late", "twice", "made-up"] {
            scope.spawn(move || {
                let (broken, result) = rules(fault, &[]);
                assert_eq!(broken, [Rule::Answered], "{fault}: {:?}", result.verdict.broken);
                assert_eq!(result.verdict.word, Word::Failed, "{fault}: {:?}", result.verdict.doubts);
            });
        }
    });
}

#[test]
fn repeats_beyond_the_class_are_caught() {
    // Work longer than the window, so that every repeat comes after it.
    let keyed = "[[class]]\nname = \"publish-cover\"\nshare = 1\nwork_ms = 60\nwork_cv = 0\naim_ms = 900\n\
                 deadline_ms = 2000\nworth = 1\neffect = \"keyed\"\nwindow_ms = 1\n[[fault]]";
    let (broken, result) = rules("repeat", &[("[[fault]]", keyed), ("load.per_s = 30", "load.per_s = 10")]);
    assert_eq!(broken, [Rule::Effect], "{:?}", result.verdict.broken);
}

#[test]
fn sends_to_what_drains_are_caught() {
    let (broken, result) = rules("drain", &[]);
    assert_eq!(broken, [Rule::Drain], "{:?}", result.verdict.broken);
}

#[test]
fn a_cold_backend_pushed_over_is_caught() {
    let weak = (
        "backends.count = 4",
        "backends.count = 4\nbackends.cores = 0.2\nbackends.cold_s = 20\nbackends.fall_s = 1",
    );
    let (broken, result) = rules("cold", &[weak]);
    assert!(broken.contains(&Rule::Cold), "{:?}", result.verdict.broken);
}

#[test]
fn a_ceiling_passed_is_caught() {
    let low = ("over_cost = 1", "over_cost = 1\nceiling = 1.1");
    let heavy = ("load.heavy = 0", "load.heavy = 1\nload.heavy_x = [4, 4]");
    let (broken, result) = rules("none", &[low, heavy]);
    assert_eq!(broken, [Rule::Ceiling], "{:?}", result.verdict.broken);
}

#[test]
fn a_crash_and_too_much_memory_are_caught() {
    let (broken, result) = rules("crash", &[]);
    assert!(broken.contains(&Rule::Crash), "{:?}", result.verdict.broken);
    let (broken, result) = rules("memory", &[]);
    assert!(broken.contains(&Rule::Limits), "{:?}", result.verdict.broken);
}
