//! `.ci/known-red`: which failed tests a run may have, and which failures end it all the same.

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

/// Two files of one case, removed at its end.
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

    /// Whether the run passes, and what is printed of it.
    fn judge(&self, status: u8) -> (bool, String) {
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
        // A folder that stays hurts no other case.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn passes_over_listed_failure_and_prints_it() {
    let (passes, printed) = Case::new("listed", FAILED, ENTRY).judge(101);
    assert!(passes, "{printed}");
    assert!(printed.contains("known red, fails: rules::retries_once"), "{printed}");
}

#[test]
fn takes_any_number_of_entries() {
    let mut log = String::from("     Running tests/rules.rs (target/debug/deps/rules-0123456789abcdef)\n");
    let mut list = String::from("# tests that fail for a fault that is known\n\n");
    for number in 0..9 {
        log.push_str(&format!("test case_{number} ... FAILED\n"));
        list.push_str(&format!("rules::case_{number} | cargo test, seed {number} | late | 31\n"));
    }
    log.push_str("test result: FAILED. 0 passed; 9 failed\nerror: 1 target failed:\n");
    let (passes, printed) = Case::new("many", &log, &list).judge(101);
    assert!(passes, "{printed}");
    assert_eq!(printed.matches("known red, fails").count(), 9);
}

#[test]
fn says_where_listed_test_passes() {
    let (passes, printed) = Case::new("passes", PASSED, ENTRY).judge(0);
    assert!(passes, "{printed}");
    assert!(printed.contains("but it passes"), "{printed}");
}

#[test]
fn fails_on_listed_test_that_did_not_run() {
    let entry = "rules::gone | cargo test | hangs | 31\n";
    let (passes, printed) = Case::new("gone", PASSED, entry).judge(0);
    assert!(!passes);
    assert!(printed.contains("no such test ran: rules::gone"), "{printed}");
}

#[test]
fn fails_on_failure_that_is_not_listed() {
    let log = FAILED.replace("test result", "test drains ... FAILED\ntest result");
    let (passes, printed) = Case::new("unlisted", &log, ENTRY).judge(101);
    assert!(!passes);
    assert!(printed.contains("not known: rules::drains"), "{printed}");
}

#[test]
fn fails_on_target_that_ended_without_summary() {
    let log = FAILED.replace("test result: FAILED. 0 passed; 1 failed\n", "");
    let (passes, printed) = Case::new("crashed", &log, ENTRY).judge(101);
    assert!(!passes);
    assert!(printed.contains("no listed test explains"), "{printed}");
}

#[test]
fn fails_on_entry_of_another_form() {
    let (passes, printed) = Case::new("form", FAILED, "rules::retries_once | late | 31\n").judge(101);
    assert!(!passes);
    assert!(printed.contains("expected 'TEST | COMMAND AND SEED"), "{printed}");
}
