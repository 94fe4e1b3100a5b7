//! Compares the responses of the admin server of real processes (status, headers, body) with
//! `tests/fixtures/admin-*.txt`. Values that vary between runs, such as numbers and addresses, appear there as `N`; keys,
//! their order and all texts are fixed.

use crate::gateway_with_backend;
use crate::takeover::{cluster_files_with, start_ledger_gateway};
use crate::world::*;
use std::path::Path;

/// Asserts that `text` equals the fixture of this name. Writes a missing fixture if `WRITE_NEW_FIXTURES` is set.
fn assert_matches_fixture(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    if std::env::var_os("WRITE_NEW_FIXTURES").is_some() && !path.exists() {
        std::fs::write(&path, text).expect("the file is written");
    }
    assert_eq!(text, std::fs::read_to_string(path).expect("the fixture"), "{name}");
}

/// Formats one request and its response as in the fixtures.
fn transcript_entry(method: &str, path: &str, request_body: &str, response: &Message) -> String {
    let mut text = format!("> {method} {path}\n");
    for line in request_body.lines() {
        text.push_str(&format!("> | {line}\n"));
    }
    text.push_str(&format!("{}\n", response.line));
    for (name, value) in
        response.headers.iter().filter(|(name, _)| name != "date" && name != "content-length")
    {
        text.push_str(&format!("{name}: {value}\n"));
    }
    for line in response.body.lines() {
        text.push_str(&format!("| {line}\n"));
    }
    text + "\n"
}

fn transcript_of_call(gateway: &Gateway, method: &str, path: &str) -> String {
    transcript_entry(method, path, "", &gateway.admin_call(method, path))
}

fn transcript_of_post(gateway: &Gateway, path: &str, body: &str) -> String {
    transcript_entry("POST", path, body, &gateway.admin_call_with_body("POST", path, body))
}

/// Returns a JSON report without the values that vary between runs: numbers, digests, the leader of the rollout, and
/// why members joined.
fn report_without_varying_values(gateway: &Gateway, path: &str) -> String {
    let line = |line: &str| match line.split_once(": ") {
        Some((key, _))
            if ["digest", "leads", "collects", "why"]
                .iter()
                .any(|varying_key| key.ends_with(&format!("\"{varying_key}\""))) =>
        {
            format!("{key}: ...\n")
        }
        _ if line.starts_with('|') => replace_numbers(line) + "\n",
        _ => format!("{line}\n"),
    };
    transcript_of_call(gateway, "GET", path).lines().map(line).collect()
}

/// Replaces each number that is not part of a word by `N`.
fn replace_numbers(text: &str) -> String {
    let mut replaced = String::new();
    let mut in_word = false;
    let mut in_number = false;
    for character in text.chars() {
        let digit = character.is_ascii_digit() || (in_number && character == '.');
        match digit && !in_word {
            true if !in_number => replaced.push('N'),
            true => {}
            false => replaced.push(character),
        }
        in_number = digit && !in_word;
        in_word = !in_number && (character.is_ascii_alphanumeric() || character == '_');
    }
    replaced
}

/// Returns the keys of `/stats` in their order, with values replaced by `N`.
fn keys_of_stats(gateway: &Gateway) -> String {
    let stats = gateway.admin_call("GET", "/stats");
    assert_eq!((stats.status(), stats.header("content-type")), (200, Some("text/plain")));
    let key = |line: &str| {
        let (key, value) = line.split_once('=').expect("a key and a value");
        value.parse::<u64>().expect("a number");
        format!("{key}=N\n")
    };
    stats.body.lines().map(key).collect()
}

#[test]
fn admin_responses_of_a_single_gateway_match_the_fixture() {
    let (_backend, _discovery, _counter, gateway) = gateway_with_backend(|_| http("200 OK", "ok"));
    let calls = [
        ("GET", "/healthcheck"),
        ("HEAD", "/healthcheck"),
        ("POST", "/healthcheck"),
        ("DELETE", "/healthcheck"),
        ("POST", "/healthcheck/fail"),
        ("GET", "/healthcheck"),
        ("POST", "/healthcheck/ok"),
        ("GET", "/healthcheck"),
        ("GET", "/healthcheck/fail"),
        ("GET", "/healthcheck/ok"),
        ("POST", "/healthcheck/maybe"),
        ("POST", "/stats"),
        ("GET", "/stats/more"),
        ("POST", "/backends/s-1/maint"),
        ("POST", "/backends/s-1/maint"),
        ("POST", "/backends/s-1/ready"),
        ("POST", "/backends/s-9/maint"),
        ("POST", "/backends/s-9/ready"),
        ("GET", "/backends/s-1/maint"),
        ("GET", "/backends/s-1/ready"),
        ("POST", "/backends/s-1/away"),
        ("POST", "/backends/s-1"),
        ("GET", "/fleet"),
        ("GET", "/rollout"),
        ("POST", "/rollout"),
        ("GET", "/"),
    ];
    // HEAD is left out: its response has a length but no body, which the client would wait for.
    let text: String = calls
        .iter()
        .filter(|(method, _)| *method != "HEAD")
        .map(|(method, path)| transcript_of_call(&gateway, method, path))
        .collect();
    assert_matches_fixture("admin-calls-single.txt", &text);
    assert_matches_fixture("admin-stats-single.txt", &keys_of_stats(&gateway));
}

const CLUSTER_SECTIONS: &str =
    "[branch]\nseats = [\"a\", \"b\", \"c\"]\nclasses = [\"buy\"]\ncut_after_ms = 200\nper_s = 50\n[rollout]\n";
const ROLLOUT: &str =
    "stages = [50, 100]\nbake_s = 60\nlongest_s = 600\nleast = 1000\nmargin = 0.2\n[[rule]]\nattempts = 1\n";

/// Invalid rollout definitions, each rejected with a message of its own.
const INVALID_ROLLOUTS: &[&str] = &[
    "",
    "stages = ",
    "[[rule]]\nattempt = 1\n",
    "[[rule]]\nattempts = 9\n",
    "[[rule]]\ngive_up = 29\n",
    "[[rule]]\ncold = 101\n",
    "[[rule]]\n\n[[rule]]\nzones = { a = 900 }\n",
    "[[rule]]\nlabels = { m1 = 4 }\n",
    "[[rule]]\nclass = \"nobody\"\n",
    "[[rule]]\nplan = \"nobody\"\n",
    "stages = [50, 20, 100]\n[[rule]]\n",
    "stages = [50, 120]\n[[rule]]\n",
    "stages = []\n[[rule]]\n",
    "bake_s = 0\n[[rule]]\n",
    "longest_s = 10\n[[rule]]\n",
    "false_halts = 0.5\n[[rule]]\n",
    "margin = 0.5\n[[rule]]\n",
    "least = 0\n[[rule]]\n",
    "bake_s = 1\n",
    "[[rule]]\n[[rule]]\n[[rule]]\n[[rule]]\n[[rule]]\n[[rule]]\n[[rule]]\n[[rule]]\n[[rule]]\n",
];

#[test]
fn admin_responses_of_a_cluster_match_the_fixture() {
    let backend = Stub::start(|_| http("200 OK", "done"));
    let discovery = Discovery::start(&backend_entry("s-1", backend.address, "ready"));
    let folder = std::env::temp_dir().join(format!("admin-fixtures-{}", std::process::id()));
    let (counter, files) = (counter_stub(), cluster_files_with(CLUSTER_SECTIONS));
    let gateways: Vec<Gateway> = (0..3)
        .map(|number| {
            let disk = folder.join(number.to_string());
            std::fs::create_dir_all(&disk).expect("a folder");
            let text = std::fs::read_to_string(&files[number]).expect("the file is written");
            std::fs::write(&files[number], text.replace("life_ms", &format!("dir = {disk:?}\nlife_ms")))
                .expect("the file is written");
            start_ledger_gateway(number, &discovery, &counter, &files[number])
        })
        .collect();
    for gateway in &gateways {
        gateway.wait_ready();
        gateway.wait_for_metric("fleet.present", 3);
        gateway.wait_for_metric("fleet.ledger.votes", 1);
        gateway.wait_for_metric("fleet.branch.votes", 1);
        gateway.wait_for_metric("fleet.disk.works", 1);
    }
    assert_eq!(gateways[0].client().round_trip(&request("buy", 4000)).status(), 200);
    let gateway = &gateways[0];
    let mut text = String::new();
    for path in ["/rollout", "/rollout/abort", "/rollout/else"] {
        text += &transcript_of_call(gateway, "GET", path);
    }
    for path in ["/rollout/pause", "/rollout/resume", "/rollout/abort", "/rollout/else", "/fleet"] {
        text += &transcript_of_call(gateway, "POST", path);
    }
    text += &transcript_of_call(gateway, "DELETE", "/rollout");
    for rollout in INVALID_ROLLOUTS {
        text += &transcript_of_post(gateway, "/rollout", rollout);
    }
    text += &transcript_of_post(gateway, "/rollout", &"#".repeat(9000))
        .replace(&"#".repeat(9000), "(9000 bytes)");
    text += &transcript_of_post(gateway, "/rollout", ROLLOUT);
    gateways.iter().for_each(|gateway| gateway.wait_for_metric("fleet.rollout.stage", 1));
    text += &transcript_of_post(gateway, "/rollout", ROLLOUT);
    for path in ["/rollout/pause", "/rollout/pause", "/rollout/resume", "/rollout/abort"] {
        text += &transcript_of_call(gateway, "POST", path);
    }
    gateways.iter().for_each(|gateway| gateway.wait_for_metric("fleet.rollout.running", 0));
    text += &transcript_of_call(gateway, "POST", "/rollout/abort");
    text += &transcript_of_call(gateway, "POST", "/rollout/pause");
    assert_matches_fixture("admin-calls-fleet.txt", &text);
    gateways.iter().for_each(|gateway| gateway.wait_for_metric("fleet.view.agreed", 1));
    assert_matches_fixture("admin-stats-fleet.txt", &keys_of_stats(gateway));
    assert_matches_fixture("admin-rollout-report.txt", &report_without_varying_values(gateway, "/rollout"));
    assert_matches_fixture("admin-fleet-report.txt", &report_without_varying_values(gateway, "/fleet"));
    for (key, value) in [
        ("present", 3),
        ("suspect", 0),
        ("down", 0),
        ("left", 0),
        ("yielded", 0),
        ("view.agreed", 1),
        ("ledger.votes", 1),
        ("ledger.lost", 0),
        ("branch.cut", 0),
        ("branch.votes", 1),
        ("rollout.number", 1),
        ("rollout.stage", 1),
        ("rollout.running", 0),
        ("rollout.halted", 0),
        ("disk.works", 1),
        ("rivals", 0),
    ] {
        assert_eq!(gateway.metric(&format!("fleet.{key}")), value, "{key}");
    }
    let _ = std::fs::remove_dir_all(folder);
}
