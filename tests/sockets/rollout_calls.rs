//! The operators' calls for rollouts answer as those of the build did that wrote `tests/fixtures/rollout/calls.txt`.

use crate::rollout::fleet;
use crate::takeover::files_with;
use crate::world::*;
use std::path::{Path, PathBuf};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/rollout").join(name)
}

/// One call and all of its answer that does not depend on the time.
fn line(method: &str, path: &str, body: &str, answer: &Message) -> String {
    let header = |name| answer.header(name).unwrap_or("-");
    let body = body.replace('\n', "\\n");
    // Of JSON the keys alone: values depend on who was heard when.
    let said: Vec<&str> = match header("content-type") {
        "application/json" => answer.body.lines().filter_map(|l| Some(l.split_once(':')?.0.trim())).collect(),
        _ => vec![answer.body.trim_end()],
    };
    let (allow, kind) = (header("allow"), header("content-type"));
    format!("{method} {path} {body:?}: {} {kind} {allow} {}\n", answer.status(), said.join(" "))
}

/// Calls in every form, with all that may be wrong with them, before, while and after a rollout runs.
fn transcript() -> String {
    let backend = Stub::start(|_| http("200 OK", "done"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let (counter, files) = (counter(), files_with("[rollout]\n"));
    let nodes = fleet(&discovery, &counter, &files);
    let mut lines = String::new();
    let mut call = |node: &Node, method: &str, path: &str, body: &str| {
        let answer = match method {
            "POST" => node.operate_with(method, path, body),
            _ => node.operate(method, path),
        };
        lines.push_str(&line(method, path, body, &answer));
    };
    let others = ["pause", "resume", "abort"];
    for order in others {
        call(&nodes[0], "POST", &format!("/rollout/{order}"), "");
        call(&nodes[0], "GET", &format!("/rollout/{order}"), "");
    }
    for (method, path) in [("GET", "/rollout"), ("DELETE", "/rollout"), ("GET", "/rollout/nonsense")] {
        call(&nodes[0], method, path, "");
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
        call(&nodes[0], "POST", "/rollout", text);
    }
    let all_keys = std::fs::read_to_string(fixture("start-all-keys.toml")).expect("a fixture");
    call(&nodes[1], "POST", "/rollout", &all_keys);
    for node in &nodes {
        node.wait_for_figure("fleet.rollout.stage", 1);
    }
    call(&nodes[0], "POST", "/rollout", "[[rule]]\n");
    for order in ["pause", "pause", "resume", "resume"] {
        call(&nodes[0], "POST", &format!("/rollout/{order}"), "");
    }
    call(&nodes[0], "GET", "/rollout", "");
    for order in ["abort", "abort", "pause"] {
        call(&nodes[0], "POST", &format!("/rollout/{order}"), "");
    }
    lines
}

/// The command in `tests/fixtures/README.md` runs this on the build whose answers are wanted; it writes over none.
#[test]
#[ignore = "makes the fixture"]
fn make_the_fixture_of_rollout_calls() {
    assert!(!fixture("calls.txt").exists(), "fixtures are never rewritten");
    std::fs::write(fixture("calls.txt"), transcript()).expect("written");
}

#[test]
fn rollout_calls_are_answered_as_by_the_build_before() {
    assert_eq!(transcript(), std::fs::read_to_string(fixture("calls.txt")).expect("a fixture"));
}
