//! Compares the decision module with recorded runs of an earlier build: its output must be identical byte for byte.
//! `tests/fixtures/README.md` describes how the recordings were made.
//!
//! If `FIXTURES_OUT` names a folder, the tests also write their output there. It must lie outside the repository.

mod model;
mod module;
mod simulator;

use model::messages::GatewayInput;
use model::site::S;
use model::Scenario;
use std::path::PathBuf;

/// A run with few gateways that uses the counter, cancellation and Retry-After.
fn small_site() -> Scenario {
    Scenario {
        name: "small_site",
        seed: 1,
        gateways: 3,
        simulated_gateways: vec![0, 1, 2],
        endpoints: 9,
        customers: 24,
        rates: vec![(6, 60.0), (9, 160.0), (16, 60.0), (138, 0.0), (143, 60.0)],
        module_only: false,
        counter: true,
        hedging: false,
        may_cancel: true,
        retry_after: true,
        must_subscribe: false,
        service_time: 60_000,
        outage: None,
        schedule: Vec::new(),
    }
}

/// A run with so many gateways that each sends few requests to each endpoint, and selects endpoints in slow start by
/// lottery.
fn large_site() -> Scenario {
    Scenario {
        name: "large_site",
        seed: 2,
        gateways: 40,
        simulated_gateways: vec![0, 7, 19],
        endpoints: 24,
        rates: vec![(9, 50.0), (11, 180.0), (16, 60.0)],
        must_subscribe: true,
        hedging: true,
        service_time: 120_000,
        ..small_site()
    }
}

/// A run without counter, cancellation and Retry-After.
fn bare_site() -> Scenario {
    Scenario {
        name: "bare_site",
        seed: 3,
        gateways: 2,
        simulated_gateways: vec![0, 1],
        endpoints: 5,
        outage: Some((1, 1, 7)),
        rates: vec![(8, 80.0)],
        counter: false,
        may_cancel: false,
        retry_after: false,
        service_time: 90_000,
        ..small_site()
    }
}

/// A run of two gateways through the module's own interface. Process 0 of the first gateway hands over to process
/// 100, which later hands over to process 200; that process ends, and 100 continues.
fn replaced_site() -> Scenario {
    let at = |seconds: u64, gateway, input| (seconds * S, gateway, input);
    let lease = |fraction, seconds: u64, absent: &[u32]| GatewayInput::QuotaLease {
        fraction,
        until: (1_000 + seconds) * S,
        absent: absent.to_vec(),
    };
    let maintenance = |endpoint, active| GatewayInput::Maintenance { endpoint, active };
    let routing = |variant, share| GatewayInput::Routing { variant, share };
    Scenario {
        name: "replaced_site",
        seed: 4,
        simulated_gateways: vec![0, 1],
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
            at(4, 100, GatewayInput::Start),
            at(5, 1, maintenance(3, false)),
            at(6, 0, GatewayInput::HandOver { to: 100 }),
            at(7, 1, lease(0.8, 14, &[2])),
            at(8, 0, GatewayInput::Stop),
            at(8, 100, GatewayInput::PeerProcessExited),
            at(9, 100, maintenance(3, false)),
            at(10, 1, lease(0.8, 14, &[2])),
            at(11, 100, lease(1.0, 20, &[1, 2])),
            at(12, 200, GatewayInput::Start),
            at(13, 100, GatewayInput::HandOver { to: 200 }),
            at(15, 200, GatewayInput::Stop),
            at(15, 100, GatewayInput::PeerProcessExited),
            at(18, 1, routing(0, 0)),
        ],
        ..small_site()
    }
}

/// The run of `replaced_site` with many gateways and without a counter.
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

fn read_recording(folder_name: &str, file: &str) -> String {
    let path = folder(folder_name).join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Writes a file into the folder that `FIXTURES_OUT` names, if it is set.
fn write_if_requested(folder_name: &str, file: &str, text: &str) {
    let Some(out) = std::env::var_os("FIXTURES_OUT") else { return };
    let folder = PathBuf::from(out).join(folder_name);
    std::fs::create_dir_all(&folder).expect("the output folder can be created");
    std::fs::write(folder.join(file), text).expect("the output file can be written");
}

/// Compares two texts and reports only the first line that differs, as whole texts are too long to print.
fn assert_matches_recording(name: &str, found: &str, recorded: &str) {
    let pairs = found.lines().zip(recorded.lines()).enumerate();
    if let Some((i, (found, recorded))) = pairs.into_iter().find(|(_, (found, recorded))| found != recorded) {
        panic!("{name}: line {}: found '{found}', recorded '{recorded}'", i + 1);
    }
    assert!(found == recorded, "{name}: {} bytes found, {} recorded", found.len(), recorded.len());
}

#[test]
fn recorded_batches_get_the_recorded_replies() {
    for scenario in [small_site(), large_site(), bare_site()] {
        let input = read_recording("simulator", &format!("{}.input", scenario.name));
        let replies = read_recording("simulator", &format!("{}.replies", scenario.name));
        assert_matches_recording(scenario.name, &simulator::replay(&input), &replies);
    }
}

#[test]
fn model_generates_the_recorded_batches() {
    let recordings = [small_site(), large_site(), bare_site()].map(|s| (s.name, simulator::record(s)));
    for (name, recording) in &recordings {
        write_if_requested("simulator", &format!("{name}.input"), &recording.input);
        write_if_requested("simulator", &format!("{name}.replies"), &recording.replies);
    }
    for (name, recording) in &recordings {
        assert_matches_recording(
            name,
            &recording.input,
            &read_recording("simulator", &format!("{name}.input")),
        );
    }
}

#[test]
fn invalid_values_give_the_recorded_errors() {
    let found = simulator::errors_for_invalid_values(&read_recording("simulator", "small_site.input"));
    write_if_requested("simulator", "bad_values.errors", &found);
    assert_matches_recording("errors", &found, &read_recording("simulator", "bad_values.errors"));
}

#[test]
fn module_events_give_the_recorded_traces() {
    let traces = [replaced_site(), replaced_large_site()].map(|s| (s.name, module::record(s)));
    for (name, trace) in &traces {
        write_if_requested("decisions", &format!("{name}.trace"), trace);
    }
    for (name, trace) in &traces {
        assert_matches_recording(name, trace, &read_recording("decisions", &format!("{name}.trace")));
    }
}

/// Parsing a floating-point number may change its last digit, so the result of parsing and writing the state again
/// was recorded separately.
#[test]
fn recorded_handover_states_round_trip_as_recorded() {
    let trace = read_recording("decisions", "replaced_site.trace");
    let states: Vec<&str> =
        trace.lines().filter_map(|line| line.split_once(" state ")).map(|p| p.1).collect();
    assert_eq!(states.len(), 2, "the trace must hold the states of two hand-overs");
    let mut written = String::new();
    for state in states {
        let read: quota_gateway::decision::HandoverState =
            serde_json::from_str(state).expect("the recorded state is readable");
        written.push_str(&serde_json::to_string(&read).expect("the state is serializable"));
        written.push('\n');
    }
    write_if_requested("decisions", "replaced_site.states", &written);
    assert_matches_recording("states", &written, &read_recording("decisions", "replaced_site.states"));
}
