//! Recorded runs of the decision module, written by the build before the code was made readable: what the
//! module does stays equal to the byte. `tests/fixtures/README.md` says how they were made.
//!
//! With `FIXTURES_OUT=<folder>` the tests also write the files there, never into the repository.

mod model;
mod module;
mod simulator;

use model::site::S;
use model::terms::Stimulus;
use model::Scenario;
use std::path::PathBuf;

/// A run with everything switched on and few gateways.
fn small_site() -> Scenario {
    Scenario {
        name: "small_site",
        seed: 1,
        gateways: 3,
        played: vec![0, 1, 2],
        endpoints: 9,
        customers: 24,
        rates: vec![(6, 60.0), (9, 160.0), (16, 60.0), (138, 0.0), (143, 60.0)],
        module_only: false,
        counter: true,
        second_copies: false,
        may_cancel: true,
        retry_after: true,
        must_subscribe: false,
        work: 60_000,
        outage: None,
        schedule: Vec::new(),
    }
}

/// So many gateways that each sees little of each endpoint, and starts by chance which cold one it uses.
fn large_site() -> Scenario {
    Scenario {
        name: "large_site",
        seed: 2,
        gateways: 40,
        played: vec![0, 7, 19],
        endpoints: 24,
        rates: vec![(9, 50.0), (11, 180.0), (16, 60.0)],
        must_subscribe: true,
        second_copies: true,
        work: 120_000,
        ..small_site()
    }
}

/// No counter, no cancelling, no advice on when to come back.
fn bare_site() -> Scenario {
    Scenario {
        name: "bare_site",
        seed: 3,
        gateways: 2,
        played: vec![0, 1],
        endpoints: 5,
        outage: Some((1, 1, 7)),
        rates: vec![(8, 80.0)],
        counter: false,
        may_cancel: false,
        retry_after: false,
        work: 90_000,
        ..small_site()
    }
}

/// Two gateways by the module's own interface; the first is replaced by its second process, 100, which later
/// hands back to a third, 200, that goes away again.
fn replaced_site() -> Scenario {
    let at = |seconds: u64, gateway, stimulus| (seconds * S, gateway, stimulus);
    let lease = |fraction, seconds: u64, absent: &[u32]| Stimulus::QuotaLease {
        fraction,
        until: (1_000 + seconds) * S,
        absent: absent.to_vec(),
    };
    let maintenance = |endpoint, active| Stimulus::Maintenance { endpoint, active };
    let routing = |variant, share| Stimulus::Routing { variant, share };
    Scenario {
        name: "replaced_site",
        seed: 4,
        played: vec![0, 1],
        endpoints: 8,
        outage: Some((5, 2, 18)),
        rates: vec![(20, 70.0)],
        module_only: true,
        schedule: vec![
            at(1, 1, lease(0.8, 6, &[])),
            at(1, 0, routing(1, 5_000)),
            at(2, 1, maintenance(3, true)),
            at(2, 0, maintenance(3, true)),
            at(3, 1, maintenance(3, true)),
            at(4, 1, routing(2, 2_500)),
            at(4, 100, Stimulus::Start),
            at(5, 1, maintenance(3, false)),
            at(6, 0, Stimulus::HandOver { to: 100 }),
            at(7, 1, lease(0.8, 14, &[2])),
            at(8, 0, Stimulus::Stop),
            at(8, 100, Stimulus::PeerProcessExited),
            at(9, 100, maintenance(3, false)),
            at(10, 1, lease(0.8, 14, &[2])),
            at(11, 100, lease(1.0, 20, &[1, 2])),
            at(12, 200, Stimulus::Start),
            at(13, 100, Stimulus::HandOver { to: 200 }),
            at(15, 200, Stimulus::Stop),
            at(15, 100, Stimulus::PeerProcessExited),
            at(18, 1, routing(0, 0)),
        ],
        ..small_site()
    }
}

/// The same with many gateways and without a counter.
fn replaced_large_site() -> Scenario {
    Scenario {
        name: "replaced_large_site",
        seed: 5,
        gateways: 30,
        endpoints: 16,
        counter: false,
        rates: vec![(16, 60.0)],
        ..replaced_site()
    }
}

fn folder(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn recorded(folder_name: &str, file: &str) -> String {
    let path = folder(folder_name).join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Writes a file where `FIXTURES_OUT` asks for it.
fn write_where_asked(folder_name: &str, file: &str, text: &str) {
    let Some(out) = std::env::var_os("FIXTURES_OUT") else { return };
    let folder = PathBuf::from(out).join(folder_name);
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join(file), text).expect("a file");
}

/// Names the first line that differs, as whole texts are too long to print.
fn assert_same(name: &str, found: &str, recorded: &str) {
    let pairs = found.lines().zip(recorded.lines()).enumerate();
    if let Some((i, (found, recorded))) = pairs.into_iter().find(|(_, (found, recorded))| found != recorded) {
        panic!("{name}: line {}: found '{found}', recorded '{recorded}'", i + 1);
    }
    assert!(found == recorded, "{name}: {} bytes found, {} recorded", found.len(), recorded.len());
}

#[test]
fn adapter_replies_to_recorded_batches_as_the_build_before() {
    for scenario in [small_site(), large_site(), bare_site()] {
        let input = recorded("simulator", &format!("{}.input", scenario.name));
        let replies = recorded("simulator", &format!("{}.replies", scenario.name));
        assert_same(scenario.name, &simulator::replay(&input), &replies);
    }
}

#[test]
fn model_still_plays_the_recorded_batches() {
    let recordings = [small_site(), large_site(), bare_site()].map(|s| (s.name, simulator::record(s)));
    for (name, recording) in &recordings {
        write_where_asked("simulator", &format!("{name}.input"), &recording.input);
        write_where_asked("simulator", &format!("{name}.replies"), &recording.replies);
    }
    for (name, recording) in &recordings {
        assert_same(name, &recording.input, &recorded("simulator", &format!("{name}.input")));
    }
}

#[test]
fn each_value_that_makes_no_sense_is_named_as_by_the_build_before() {
    let found = simulator::errors_of_bad_values(&recorded("simulator", "small_site.input"));
    write_where_asked("simulator", "bad_values.errors", &found);
    assert_same("errors", &found, &recorded("simulator", "bad_values.errors"));
}

#[test]
fn module_acts_on_all_its_events_as_the_build_before() {
    let traces = [replaced_site(), replaced_large_site()].map(|s| (s.name, module::record(s)));
    for (name, trace) in &traces {
        write_where_asked("decisions", &format!("{name}.trace"), trace);
    }
    for (name, trace) in &traces {
        assert_same(name, trace, &recorded("decisions", &format!("{name}.trace")));
    }
}

/// The reader of floating-point numbers may differ from the writer in the last digit, so the text that is read
/// and written again was recorded as well.
#[test]
fn recorded_handover_state_is_read_and_written_as_by_the_build_before() {
    let trace = recorded("decisions", "replaced_site.trace");
    let states: Vec<&str> =
        trace.lines().filter_map(|line| line.split_once(" state ")).map(|p| p.1).collect();
    assert_eq!(states.len(), 2, "two processes handed over");
    let mut written = String::new();
    for state in states {
        let read: quota_gateway::decision::HandoverState = serde_json::from_str(state).expect("a state");
        written.push_str(&serde_json::to_string(&read).expect("a text"));
        written.push('\n');
    }
    write_where_asked("decisions", "replaced_site.states", &written);
    assert_same("states", &written, &recorded("decisions", "replaced_site.states"));
}
