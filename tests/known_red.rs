//! `.ci/known-red`: which failed tests a run may have, and which failures make it fail regardless.

use std::path::{Path, PathBuf};
use std::process::Command;

const PASSED: &str = "     Running tests/rules.rs (target/debug/deps/rules-0123456789abcdef)\n\
    test retries_once ... ok\n\
    test result: ok. 1 passed; 0 failed\n";
const FAILED: &str = "     Running tests/rules.rs (target/debug/deps/rules-0123456789abcdef)\n\
    test retries_once ... FAILED\n\
    test result: FAILED. 0 passed; 1 failed\n\
    error: 1 target failed:\n";
const ENTRY: &str = "rules::retries_once | cargo test --test rules, seed 7 | two retries | 31\n";

/// The log and the list of one case, in a folder that is removed when the case is dropped.
struct Case {
    folder: PathBuf,
}

impl Case {
    fn new(name: &str, log: &str, list: &str) -> Case {
        let folder = std::env::temp_dir().join(format!("known-red-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("log"), log).expect("a log");
        std::fs::write(folder.join("list"), list).expect("a list");
        Case { folder }
    }

    /// Runs the script. Returns whether it passes the run, and its output.
    fn run_script(&self, status: u8) -> (bool, String) {
        let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
        let output = Command::new("bash")
            .arg(script)
            .arg(self.folder.join("log"))
            .arg(status.to_string())
            .arg(self.folder.join("list"))
            .output()
            .expect("bash runs");
        (output.status.success(), String::from_utf8_lossy(&output.stdout).into_owned())
    }
}

impl Drop for Case {
    fn drop(&mut self) {
        // A folder that remains does not affect other cases.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn accepts_listed_failure_and_prints_it() {
    let (passes, printed) = Case::new("listed", FAILED, ENTRY).run_script(101);
    assert!(passes, "{printed}");
    assert!(printed.contains("known red, fails: rules::retries_once"), "{printed}");
}

#[test]
fn accepts_several_entries() {
    let mut log = String::from("     Running tests/rules.rs (target/debug/deps/rules-0123456789abcdef)\n");
    let mut list = String::from("# tests that fail because of a known fault\n\n");
    for number in 0..9 {
        log.push_str(&format!("test case_{number} ... FAILED\n"));
        list.push_str(&format!("rules::case_{number} | cargo test, seed {number} | late | 31\n"));
    }
    log.push_str("test result: FAILED. 0 passed; 9 failed\nerror: 1 target failed:\n");
    let (passes, printed) = Case::new("many", &log, &list).run_script(101);
    assert!(passes, "{printed}");
    assert_eq!(printed.matches("known red, fails").count(), 9);
}

#[test]
fn reports_listed_test_that_passes() {
    let (passes, printed) = Case::new("passes", PASSED, ENTRY).run_script(0);
    assert!(passes, "{printed}");
    assert!(printed.contains("but it passes"), "{printed}");
}

#[test]
fn fails_on_listed_test_that_did_not_run() {
    let entry = "rules::gone | cargo test | hangs | 31\n";
    let (passes, printed) = Case::new("gone", PASSED, entry).run_script(0);
    assert!(!passes);
    assert!(printed.contains("no such test ran: rules::gone"), "{printed}");
}

#[test]
fn fails_on_unlisted_failure() {
    let log = FAILED.replace("test result", "test drains ... FAILED\ntest result");
    let (passes, printed) = Case::new("unlisted", &log, ENTRY).run_script(101);
    assert!(!passes);
    assert!(printed.contains("not known: rules::drains"), "{printed}");
}

#[test]
fn fails_on_target_that_ended_without_summary() {
    let log = FAILED.replace("test result: FAILED. 0 passed; 1 failed\n", "");
    let (passes, printed) = Case::new("crashed", &log, ENTRY).run_script(101);
    assert!(!passes);
    assert!(printed.contains("no listed test explains"), "{printed}");
}

#[test]
fn fails_on_malformed_entry() {
    let (passes, printed) = Case::new("form", FAILED, "rules::retries_once | late | 31\n").run_script(101);
    assert!(!passes);
    assert!(printed.contains("expected 'TEST | COMMAND AND SEED"), "{printed}");
}
