//! Compares the responses of the admin server to rollout calls with `tests/fixtures/rollout/calls.txt`, which an earlier
//! build wrote.

use crate::rollout::start_cluster;
use crate::takeover::cluster_files_with;
use crate::world::*;
use std::path::{Path, PathBuf};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/rollout").join(name)
}

/// Formats one call and the parts of its response that do not depend on time.
fn transcript_line(method: &str, path: &str, body: &str, response: &Message) -> String {
    let header = |name| response.header(name).unwrap_or("-");
    let body = body.replace('\n', "\\n");
    // Only the keys of JSON: its values depend on when messages of other gateways arrived.
    let content: Vec<&str> = match header("content-type") {
        "application/json" => {
            response.body.lines().filter_map(|l| Some(l.split_once(':')?.0.trim())).collect()
        }
        _ => vec![response.body.trim_end()],
    };
    let (allow, content_type) = (header("allow"), header("content-type"));
    format!("{method} {path} {body:?}: {} {content_type} {allow} {}\n", response.status(), content.join(" "))
}

/// Makes valid and invalid calls of every form before, during and after a rollout, and returns the transcript.
fn transcript_of_rollout_calls() -> String {
    let backend = Stub::start(|_| http("200 OK", "done"));
    let discovery = Discovery::start(&backend_entry("s-1", backend.address, "ready"));
    let (counter, files) = (counter_stub(), cluster_files_with("[rollout]\n"));
    let gateways = start_cluster(&discovery, &counter, &files);
    let mut lines = String::new();
    let mut call = |gateway: &Gateway, method: &str, path: &str, body: &str| {
        let response = match method {
            "POST" => gateway.admin_call_with_body(method, path, body),
            _ => gateway.admin_call(method, path),
        };
        lines.push_str(&transcript_line(method, path, body, &response));
    };
    let orders = ["pause", "resume", "abort"];
    for order in orders {
        call(&gateways[0], "POST", &format!("/rollout/{order}"), "");
        call(&gateways[0], "GET", &format!("/rollout/{order}"), "");
    }
    for (method, path) in [("GET", "/rollout"), ("DELETE", "/rollout"), ("GET", "/rollout/nonsense")] {
        call(&gateways[0], method, path, "");
    }
    for text in [
        "",
        "bake_s = 1\n",
        "[[rule]]\nattempt = 1\n",
        "[[rule]]\n[[rule]]\nzones = { a = 900 }\n",
        "[[rule]]\nlabels = { a = 4 }\n",
        "[[rule]]\nattempts = 9\n",
        "[[rule]]\ngive_up = 71\n",
        "[[rule]]\ncold = 101\n",
        "[[rule]]\nclass = \"nobody\"\n",
        "[[rule]]\nplan = \"nobody\"\n",
        "stages = [50, 20, 100]\n[[rule]]\n",
        "stages = [50, 101]\n[[rule]]\n",
        "stages = []\n[[rule]]\n",
        "bake_s = 0\n[[rule]]\n",
        "bake_s = 60\nlongest_s = 60\n[[rule]]\n",
        "false_halts = 0.2\n[[rule]]\n",
        "margin = 0.3\n[[rule]]\n",
        "least = 0\n[[rule]]\n",
        "[[rule]]\n[[rule]]\n[[rule]]\n[[rule]]\n[[rule]]\n[[rule]]\n[[rule]]\n[[rule]]\n[[rule]]\n",
    ] {
        call(&gateways[0], "POST", "/rollout", text);
    }
    let all_keys = std::fs::read_to_string(fixture("start-all-keys.toml")).expect("a fixture");
    call(&gateways[1], "POST", "/rollout", &all_keys);
    for gateway in &gateways {
        gateway.wait_for_metric("fleet.rollout.stage", 1);
    }
    call(&gateways[0], "POST", "/rollout", "[[rule]]\n");
    for order in ["pause", "pause", "resume", "resume"] {
        call(&gateways[0], "POST", &format!("/rollout/{order}"), "");
    }
    call(&gateways[0], "GET", "/rollout", "");
    for order in ["abort", "abort", "pause"] {
        call(&gateways[0], "POST", &format!("/rollout/{order}"), "");
    }
    lines
}

/// Writes the fixture; run by the command in `tests/fixtures/README.md` on the build whose responses are to be recorded.
/// An existing fixture is never overwritten.
#[test]
#[ignore = "makes the fixture"]
fn make_the_fixture_of_rollout_calls() {
    assert!(!fixture("calls.txt").exists(), "fixtures are never rewritten");
    std::fs::write(fixture("calls.txt"), transcript_of_rollout_calls()).expect("the file is written");
}

#[test]
fn rollout_calls_are_answered_as_in_the_fixture() {
    assert_eq!(
        transcript_of_rollout_calls(),
        std::fs::read_to_string(fixture("calls.txt")).expect("a fixture")
    );
}
