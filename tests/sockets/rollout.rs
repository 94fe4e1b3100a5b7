//! Rollouts of rules at the operators' address: what is refused, begun, judged and called off on real processes.

use crate::takeover::{files_with, keeper};
use crate::world::*;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

const RULES: &str = "stages = [50, 100]\nbake_s = 1\nleast = 1\nmargin = 0.2\n[[rule]]\nattempts = 1\n";

pub fn fleet(discovery: &Discovery, counter: &Stub, files: &[PathBuf]) -> Vec<Node> {
    let nodes: Vec<Node> = (0..3).map(|n| keeper(n, discovery, counter, &files[n])).collect();
    for node in &nodes {
        node.wait_ready();
        node.wait_for_figure("fleet.present", 3);
        node.wait_for_figure("fleet.ledger.votes", 1);
    }
    nodes
}

#[test]
fn without_rollouts_the_call_is_not_there() {
    let backend = Stub::start(|_| http("200 OK", "done"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let (counter, files) = (counter(), files_with(""));
    let node = keeper(0, &discovery, &counter, &files[0]);
    node.wait_ready();
    let (rollout, nonsense) = (node.operate("GET", "/rollout"), node.operate("GET", "/nonsense"));
    assert_eq!((rollout.status(), &rollout.body), (404, &nonsense.body));
    assert!(!node.operate("GET", "/stats").body.contains("rollout"));
}

#[test]
fn a_rollout_is_checked_begun_at_all_refused_twice_and_called_off_everywhere() {
    let backend = Stub::start(|_| http("200 OK", "done"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let (counter, files) = (counter(), files_with("[rollout]\n"));
    let nodes = fleet(&discovery, &counter, &files);
    let post = |node: &Node, text: &str| node.operate_with("POST", "/rollout", text);
    for (text, words) in [
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
        let said = post(&nodes[0], text);
        assert_eq!(said.status(), 400, "{text}: {}", said.body);
        assert!(said.body.contains(words), "{text}: {}", said.body);
    }
    assert_eq!(nodes[0].operate("GET", "/rollout").status(), 404, "none yet");
    assert_eq!(nodes[0].operate("POST", "/rollout/abort").status(), 409);
    assert_eq!(nodes[0].operate("GET", "/rollout/abort").status(), 405);
    let begun = post(&nodes[1], RULES);
    assert_eq!(begun.status(), 202, "{}", begun.body);
    for node in &nodes {
        node.wait_for_figure("fleet.rollout.stage", 1);
        assert_eq!(post(node, RULES).status(), 409, "one at a time");
    }
    assert_eq!(nodes[2].client().ask(&request("look", 3000)).status(), 200);
    assert_eq!(nodes[0].operate("POST", "/rollout/pause").status(), 200);
    assert_eq!(nodes[2].operate("POST", "/rollout/abort").status(), 200);
    for node in &nodes {
        node.wait_for_figure("fleet.rollout.running", 0);
        let report = node.operate("GET", "/rollout").body;
        assert!(report.contains("\"state\": \"aborted\"") && report.contains("\"percent\": 0.0"), "{report}");
    }
    // The next one may begin, once the record of the last is let go.
    let until = Instant::now() + LIMIT;
    while post(&nodes[0], RULES).status() != 202 {
        assert!(Instant::now() < until, "no other rollout begins");
        thread::sleep(Duration::from_millis(50));
    }
    nodes.iter().for_each(|node| node.wait_for_figure("fleet.rollout.number", 2));
}
