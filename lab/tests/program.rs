//! The lab's command line program: usage errors, gateways that do not start, result files, and a shutdown by signal that
//! leaves no process behind.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

const LAB: &str = env!("CARGO_BIN_EXE_quota-gateway-lab");
const GATEWAY: &str = env!("CARGO_BIN_EXE_lab-faulty-gateway");

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path
}

fn lab(arguments: &[&str]) -> (Option<i32>, String) {
    let Output { status, stdout, stderr } = Command::new(LAB).args(arguments).output().expect("it runs");
    (status.code(), String::from_utf8_lossy(&stdout).into_owned() + &String::from_utf8_lossy(&stderr))
}

const SMALL: &str = "name = \"small\"\nabout = \"Small.\"\nlength_s = 2\nwarm_up_s = 0\nload.per_s = 20\n\
                     load.spread = [1, 2]\ngateways.count = 2\nbackends.count = 2\n";

#[test]
fn usage_errors_exit_with_2_and_without_a_panic() {
    let (invalid, valid) = (file("wrong.toml", &format!("{SMALL}speed = 3\n")), file("good.toml", SMALL));
    let (invalid, valid) = (invalid.to_str().expect("text"), valid.to_str().expect("text"));
    for arguments in [
        &["run", invalid][..],
        &["check", valid, invalid],
        &["run", "nowhere.toml"],
        &["run", valid, "--gateway", "/nowhere"],
        &["run", valid, "--set", "gateways"],
        &["run", valid, "--set", "gateways.count=0"],
        &["sweep", valid, "--seeds", "9..1"],
        &["compare", valid, "--a", "nothing", "--b", "load.per_s=10"],
        &["fly"],
    ] {
        let (code, text) = lab(arguments);
        assert_eq!(code, Some(2), "{arguments:?}: {text}");
        assert!(!text.contains("panicked"), "{text}");
    }
    assert!(lab(&["check", invalid]).1.contains("wrong.toml:9: speed: unknown field"));
}

#[test]
fn a_gateway_that_exits_at_its_start_is_reported_with_the_end_of_its_log() {
    let path = file("stillborn.toml", &format!("{SMALL}gateways.env.FAULT = \"stillborn\"\n"));
    let (code, text) = lab(&["run", path.to_str().expect("text"), "--gateway", GATEWAY]);
    assert_eq!(code, Some(1));
    assert!(
        text.contains("g0 ended before it was ready") && text.contains("made to end at its start"),
        "{text}"
    );
}

#[test]
fn a_run_writes_its_result_and_a_self_contained_page() {
    let path = file(
        "page.toml",
        &format!("{SMALL}[[fault]]\nkind = \"slow\"\nat_s = 0.5\nfor_s = 1\nwho = [\"b1\"]\nfactor = 2\n"),
    );
    let (json, folder) = (path.with_extension("json"), path.with_extension("report"));
    let text = |path: &PathBuf| path.to_str().expect("text").to_string();
    let arguments =
        ["run", &text(&path), "--gateway", GATEWAY, "--json", &text(&json), "--report", &text(&folder)];
    let (code, output) = lab(&[&arguments[..], &["--rules-only", "--seed", "3"]].concat());
    assert_eq!(code, Some(0), "{output}");
    let result: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(&json).expect("written")).expect("JSON");
    assert_eq!((result["seed"].as_u64(), result["digest"].as_str().map(str::len)), (Some(3), Some(64)));
    let page = std::fs::read_to_string(folder.join("small-3.html")).expect("written");
    assert!(page.matches("<svg").count() >= 4 && page.contains("slow b1"));
    assert!(!page.contains("src=") && !page.contains("href="), "the page must not load external resources");
}

#[test]
fn each_stop_signal_ends_the_cluster_and_leaves_no_process_behind() {
    for signal in [Signal::SIGINT, Signal::SIGTERM, Signal::SIGHUP] {
        stops_on(signal);
    }
}

fn stops_on(signal: Signal) {
    let mut child = Command::new(LAB)
        .args(["up", "--gateways", "2", "--backends", "2", "--gateway", GATEWAY])
        .stdout(Stdio::piped())
        .spawn()
        .expect("it runs");
    let mut output = BufReader::new(child.stdout.take().expect("piped"));
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let mut line = String::new();
    while !line.starts_with("curl http") {
        line.clear();
        assert!(output.read_line(&mut line).expect("text") > 0, "the lab ended before the cluster was ready");
        if line.starts_with('g') && !line.starts_with("gateway") {
            addresses.extend(line.split_whitespace().nth(1).and_then(|a| a.parse::<SocketAddr>().ok()));
        }
    }
    assert_eq!(addresses.len(), 2);
    assert!(addresses.iter().all(|a| TcpStream::connect(a).is_ok()));
    kill(Pid::from_raw(child.id() as i32), signal).expect("sent");
    let until = Instant::now() + Duration::from_secs(20);
    let status = loop {
        match child.try_wait().expect("a child") {
            Some(status) => break status,
            None if Instant::now() > until => panic!("the lab did not end within 20 s of the signal"),
            None => std::thread::sleep(Duration::from_millis(10)),
        }
    };
    assert_eq!(status.code(), Some(0));
    assert!(addresses.iter().all(|a| TcpStream::connect(a).is_err()), "no gateway may be left running");
}
