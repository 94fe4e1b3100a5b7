//! Rollouts of rules through the admin server of real processes: rejected, started and aborted rollouts.

use crate::takeover::{cluster_files_with, start_ledger_gateway};
use crate::world::*;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

const ROLLOUT: &str = "stages = [50, 100]\nbake_s = 1\nleast = 1\nmargin = 0.2\n[[rule]]\nattempts = 1\n";

pub fn start_cluster(discovery: &Discovery, counter: &Stub, files: &[PathBuf]) -> Vec<Gateway> {
    let gateways: Vec<Gateway> =
        (0..3).map(|number| start_ledger_gateway(number, discovery, counter, &files[number])).collect();
    for gateway in &gateways {
        gateway.wait_ready();
        gateway.wait_for_metric("fleet.present", 3);
        gateway.wait_for_metric("fleet.ledger.votes", 1);
    }
    gateways
}

#[test]
fn without_a_rollout_section_the_rollout_call_and_metrics_do_not_exist() {
    let backend = Stub::start(|_| http("200 OK", "done"));
    let discovery = Discovery::start(&backend_entry("s-1", backend.address, "ready"));
    let (counter, files) = (counter_stub(), cluster_files_with(""));
    let gateway = start_ledger_gateway(0, &discovery, &counter, &files[0]);
    gateway.wait_ready();
    let (rollout, unknown_path) =
        (gateway.admin_call("GET", "/rollout"), gateway.admin_call("GET", "/nonsense"));
    assert_eq!((rollout.status(), &rollout.body), (404, &unknown_path.body));
    assert!(!gateway.admin_call("GET", "/stats").body.contains("rollout"));
}

#[test]
fn a_rollout_is_validated_started_on_all_gateways_not_started_twice_and_aborted_on_all() {
    let backend = Stub::start(|_| http("200 OK", "done"));
    let discovery = Discovery::start(&backend_entry("s-1", backend.address, "ready"));
    let (counter, files) = (counter_stub(), cluster_files_with("[rollout]\n"));
    let gateways = start_cluster(&discovery, &counter, &files);
    let post = |gateway: &Gateway, text: &str| gateway.admin_call_with_body("POST", "/rollout", text);
    for (text, expected_text) in [
        ("[[rule]]\nattempt = 1\n", "line 2"),
        (
            "[[rule]]\n\n[[rule]]\nzones = { a = 900 }\n",
            "line 3: rule: zones.a: expected 5 to 400, found 900",
        ),
        ("[[rule]]\nclass = \"nobody\"\n", "there is no 'nobody' here"),
        ("stages = [50, 20, 100]\n[[rule]]\n", "stages"),
        ("bake_s = 1\n", "expected one at least"),
        ("\u{0}\u{1}", "line 1"),
    ] {
        let response = post(&gateways[0], text);
        assert_eq!(response.status(), 400, "{text}: {}", response.body);
        assert!(response.body.contains(expected_text), "{text}: {}", response.body);
    }
    assert_eq!(gateways[0].admin_call("GET", "/rollout").status(), 404, "no rollout has started");
    assert_eq!(gateways[0].admin_call("POST", "/rollout/abort").status(), 409);
    assert_eq!(gateways[0].admin_call("GET", "/rollout/abort").status(), 405);
    let started = post(&gateways[1], ROLLOUT);
    assert_eq!(started.status(), 202, "{}", started.body);
    for gateway in &gateways {
        gateway.wait_for_metric("fleet.rollout.stage", 1);
        assert_eq!(post(gateway, ROLLOUT).status(), 409, "a second rollout is rejected while one runs");
    }
    assert_eq!(gateways[2].client().round_trip(&request("look", 3000)).status(), 200);
    assert_eq!(gateways[0].admin_call("POST", "/rollout/pause").status(), 200);
    assert_eq!(gateways[2].admin_call("POST", "/rollout/abort").status(), 200);
    for gateway in &gateways {
        gateway.wait_for_metric("fleet.rollout.running", 0);
        let report = gateway.admin_call("GET", "/rollout").body;
        assert!(report.contains("\"state\": \"aborted\"") && report.contains("\"percent\": 0.0"), "{report}");
    }
    // The next rollout may start once the record of the last one was deleted.
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while post(&gateways[0], ROLLOUT).status() != 202 {
        assert!(Instant::now() < deadline, "no further rollout starts");
        thread::sleep(Duration::from_millis(50));
    }
    gateways.iter().for_each(|gateway| gateway.wait_for_metric("fleet.rollout.number", 2));
}
