//! The operators' calls as `tests/fixtures/admin-*.txt` hold them: each call's status, headers and body on real
//! processes. What a run decides (numbers, addresses) stands there as `N`; keys, their order and all words are fixed.

use crate::before;
use crate::takeover::{files_with, keeper};
use crate::world::*;
use std::path::Path;

/// Compares with a fixture of this name.
fn hold(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    if std::env::var_os("WRITE_NEW_FIXTURES").is_some() && !path.exists() {
        std::fs::write(&path, text).expect("written");
    }
    assert_eq!(text, std::fs::read_to_string(path).expect("the fixture"), "{name}");
}

/// One call and its answer, as the fixtures have it.
fn told(method: &str, path: &str, sent: &str, answer: &Message) -> String {
    let mut text = format!("> {method} {path}\n");
    for line in sent.lines() {
        text.push_str(&format!("> | {line}\n"));
    }
    text.push_str(&format!("{}\n", answer.line));
    for (name, value) in answer.headers.iter().filter(|(name, _)| name != "date" && name != "content-length")
    {
        text.push_str(&format!("{name}: {value}\n"));
    }
    for line in answer.body.lines() {
        text.push_str(&format!("| {line}\n"));
    }
    text + "\n"
}

fn call(node: &Node, method: &str, path: &str) -> String {
    told(method, path, "", &node.operate(method, path))
}

fn call_with(node: &Node, path: &str, body: &str) -> String {
    told("POST", path, body, &node.operate_with("POST", path, body))
}

/// A report with what a run decides left out: numbers, digests, who leads a rollout, how members came.
fn report(node: &Node, path: &str) -> String {
    let line = |line: &str| match line.split_once(": ") {
        Some((key, _))
            if ["digest", "leads", "collects", "why"].iter().any(|k| key.ends_with(&format!("\"{k}\""))) =>
        {
            format!("{key}: ...\n")
        }
        _ if line.starts_with('|') => without_numbers(line) + "\n",
        _ => format!("{line}\n"),
    };
    call(node, "GET", path).lines().map(line).collect()
}

/// Every number that no key or word holds becomes `N`.
fn without_numbers(text: &str) -> String {
    let mut out = String::new();
    let mut word = false;
    let mut number = false;
    for c in text.chars() {
        let digit = c.is_ascii_digit() || (number && c == '.');
        match digit && !word {
            true if !number => out.push('N'),
            true => {}
            false => out.push(c),
        }
        number = digit && !word;
        word = !number && (c.is_ascii_alphanumeric() || c == '_');
    }
    out
}

/// Keys and their order; values as `N`.
fn keys_of_stats(node: &Node) -> String {
    let stats = node.operate("GET", "/stats");
    assert_eq!((stats.status(), stats.header("content-type")), (200, Some("text/plain")));
    let key = |line: &str| {
        let (key, value) = line.split_once('=').expect("a key and a value");
        value.parse::<u64>().expect("a number");
        format!("{key}=N\n")
    };
    stats.body.lines().map(key).collect()
}

#[test]
fn operators_calls_of_a_single_gateway_answer_as_before() {
    let (_backend, _discovery, _counter, node) = before(|_| http("200 OK", "ok"));
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
    // The answer to HEAD has a length and no body.
    let text: String = calls
        .iter()
        .filter(|(method, _)| *method != "HEAD")
        .map(|(method, path)| call(&node, method, path))
        .collect();
    hold("admin-calls-single.txt", &text);
    hold("admin-stats-single.txt", &keys_of_stats(&node));
}

const EVERYTHING: &str =
    "[branch]\nseats = [\"a\", \"b\", \"c\"]\nclasses = [\"buy\"]\ncut_after_ms = 200\nper_s = 50\n[rollout]\n";
const RULES: &str =
    "stages = [50, 100]\nbake_s = 60\nlongest_s = 600\nleast = 1000\nmargin = 0.2\n[[rule]]\nattempts = 1\n";

/// Bad texts of a rollout, each refused in its own words.
const BAD_ROLLOUTS: &[&str] = &[
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
fn operators_calls_of_a_fleet_answer_as_before() {
    let backend = Stub::start(|_| http("200 OK", "done"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let folder = std::env::temp_dir().join(format!("admin-fixtures-{}", std::process::id()));
    let (counter, files) = (counter(), files_with(EVERYTHING));
    let nodes: Vec<Node> = (0..3)
        .map(|n| {
            let disk = folder.join(n.to_string());
            std::fs::create_dir_all(&disk).expect("a folder");
            let text = std::fs::read_to_string(&files[n]).expect("written");
            std::fs::write(&files[n], text.replace("life_ms", &format!("dir = {disk:?}\nlife_ms")))
                .expect("written");
            keeper(n, &discovery, &counter, &files[n])
        })
        .collect();
    for node in &nodes {
        node.wait_ready();
        node.wait_for_figure("fleet.present", 3);
        node.wait_for_figure("fleet.ledger.votes", 1);
        node.wait_for_figure("fleet.branch.votes", 1);
        node.wait_for_figure("fleet.disk.works", 1);
    }
    assert_eq!(nodes[0].client().ask(&request("buy", 4000)).status(), 200);
    let node = &nodes[0];
    let mut text = String::new();
    for path in ["/rollout", "/rollout/abort", "/rollout/else"] {
        text += &call(node, "GET", path);
    }
    for path in ["/rollout/pause", "/rollout/resume", "/rollout/abort", "/rollout/else", "/fleet"] {
        text += &call(node, "POST", path);
    }
    text += &call(node, "DELETE", "/rollout");
    for rollout in BAD_ROLLOUTS {
        text += &call_with(node, "/rollout", rollout);
    }
    text += &call_with(node, "/rollout", &"#".repeat(9000)).replace(&"#".repeat(9000), "(9000 bytes)");
    text += &call_with(node, "/rollout", RULES);
    nodes.iter().for_each(|node| node.wait_for_figure("fleet.rollout.stage", 1));
    text += &call_with(node, "/rollout", RULES);
    for path in ["/rollout/pause", "/rollout/pause", "/rollout/resume", "/rollout/abort"] {
        text += &call(node, "POST", path);
    }
    nodes.iter().for_each(|node| node.wait_for_figure("fleet.rollout.running", 0));
    text += &call(node, "POST", "/rollout/abort");
    text += &call(node, "POST", "/rollout/pause");
    hold("admin-calls-fleet.txt", &text);
    nodes.iter().for_each(|node| node.wait_for_figure("fleet.view.agreed", 1));
    hold("admin-stats-fleet.txt", &keys_of_stats(node));
    hold("admin-rollout-report.txt", &report(node, "/rollout"));
    hold("admin-fleet-report.txt", &report(node, "/fleet"));
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
        assert_eq!(node.figure(&format!("fleet.{key}")), value, "{key}");
    }
    let _ = std::fs::remove_dir_all(folder);
}
