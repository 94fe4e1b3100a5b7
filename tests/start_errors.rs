//! What the program says where its environment or its files make no sense: one line, and an end with an error.

#[path = "common/fixture.rs"]
mod fixture;

use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_quota-gateway");
/// A program that still runs then has found nothing wrong.
const LONGEST_START: Duration = Duration::from_secs(10);

/// A folder with a gateway's configuration and a fleet's file that fit together.
struct Files {
    folder: PathBuf,
}

impl Files {
    fn new() -> Files {
        let folder = std::env::temp_dir().join(format!("start-errors-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let files = Files { folder };
        files.write("gateway.json", &fixture::text("control/gateway.json"));
        let fleet = fixture::text("control/fleet.toml").replace("dir = \"/var/lib/gate-2\"\n", "");
        files.write("fleet.toml", &fleet);
        files
    }

    fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.folder.join(name), text).expect("a file");
    }

    /// Starts the program with this environment; the line that it ends with, without its own name and the folder's.
    fn start(&self, environment: &[(&str, &str)]) -> String {
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("NODE_LOG", "error");
        for (name, value) in environment {
            command.env(name, value.replace('@', &format!("{}/", self.folder.display())));
        }
        let mut program = command.stderr(Stdio::piped()).spawn().expect("the program starts");
        let begun = Instant::now();
        let status = loop {
            match program.try_wait().expect("its status") {
                Some(status) => break Some(status),
                None if begun.elapsed() > LONGEST_START => break None,
                None => sleep(Duration::from_millis(2)),
            }
        };
        if status.is_none() {
            program.kill().expect("it is ended");
        }
        let output = program.wait_with_output().expect("what it said");
        assert_eq!(status.map(|status| status.success()), Some(false), "{environment:?}: it ends by itself");
        let said = String::from_utf8(output.stderr).expect("a text");
        assert_eq!(said.lines().count(), 1, "{said}");
        let (_, problem) = said.split_once(": ").expect("the program's name first");
        problem.replace(&format!("{}/", self.folder.display()), "@").trim_end().to_string()
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        // What stays is in the folder for temporary files.
        let _ = std::fs::remove_dir_all(Path::new(&self.folder));
    }
}

const CONFIGURED: (&str, &str) = ("NODE_CONFIG", "@gateway.json");

#[test]
fn a_wrong_environment_ends_the_program_with_one_line() {
    let files = Files::new();
    files.write("no_listen.json", r#"{"discovery":"127.0.0.1:1","seed":"1","settings":{}}"#);
    files.write("no_seat.toml", &fixture::text("control/fleet_fewest.toml"));
    let fleet = std::fs::read_to_string(files.path("fleet.toml")).expect("the file");
    let changes = [
        ("two_seats.toml", "\"gate-1\", \"gate-2\", \"gate-3\", ", "\"gate-2\", "),
        ("folder.toml", "wait_ms = 25", "dir = \"/nowhere\""),
        ("key.toml", "wait_ms = 25", "wait = 25"),
    ];
    for (name, part, other) in changes {
        assert!(fleet.contains(part), "{part}");
        files.write(name, &fleet.replacen(part, other, 1));
    }
    let seats = "seats = [\"gate-1\", \"gate-2\", \"gate-3\", \"gate-4\", \"gate-5\"]";
    let seven =
        "seats = [\"gate-1\", \"gate-3\", \"gate-4\", \"gate-2\", \"gate-5\", \"gate-6\", \"gate-7\"]";
    assert!(fleet.contains(seats));
    let fleet = fleet.replacen(seats, seven, 1);
    let classes = [
        ("branch_class.toml", "classes = [\"order\", \"pay\"]", "classes = [\"order\", \"none\"]"),
        ("branch_stop.toml", "pay = \"go on\"", "none = \"stop\""),
        ("finish.toml", "finish = [\"order\"]", "finish = [\"none\"]"),
        ("rule_class.toml", "class = \"look\"", "class = \"none\""),
        ("rule_plan.toml", "plan = \"team\"", "plan = \"none\""),
    ];
    for (name, part, other) in classes {
        assert!(fleet.contains(part), "{part}");
        files.write(name, &fleet.replacen(part, other, 1));
    }
    let cases: &[&[(&str, &str)]] = &[
        &[],
        &[("NODE_CONFIG", "@none.json")],
        &[("NODE_CONFIG", "@no_listen.json")],
        &[CONFIGURED, ("NODE_LISTEN", "here")],
        &[CONFIGURED, ("NODE_DISCOVERY", "")],
        &[CONFIGURED, ("NODE_OPS", "7004")],
        &[CONFIGURED, ("NODE_ACCEPT_FD", "2")],
        &[CONFIGURED, ("NODE_ACCEPT_FD", "-3")],
        &[CONFIGURED, ("NODE_ACCEPT_FD", "three")],
        &[CONFIGURED, ("NODE_ACCEPT_FD", "77")],
        &[CONFIGURED, ("NODE_LOG", "loud")],
        &[CONFIGURED, ("NODE_FLEET", "@none.toml")],
        &[CONFIGURED, ("NODE_FLEET", "@no_seat.toml")],
        &[CONFIGURED, ("NODE_FLEET", "@key.toml")],
        &[CONFIGURED, ("NODE_FLEET", "@folder.toml")],
        &[CONFIGURED, ("NODE_FLEET", "@two_seats.toml")],
        &[CONFIGURED, ("NODE_FLEET", "@fleet.toml")],
        &[CONFIGURED, ("NODE_FLEET", "@branch_class.toml")],
        &[CONFIGURED, ("NODE_FLEET", "@branch_stop.toml")],
        &[CONFIGURED, ("NODE_FLEET", "@finish.toml")],
        &[CONFIGURED, ("NODE_FLEET", "@rule_class.toml")],
        &[CONFIGURED, ("NODE_FLEET", "@rule_plan.toml")],
    ];
    let mut out = String::new();
    for environment in cases {
        let named: Vec<String> = environment.iter().map(|(name, value)| format!("{name}={value}")).collect();
        writeln!(out, "{}\n    {}", named.join(" "), files.start(environment)).expect("a text grows");
    }
    fixture::assert_same("control/start_errors.txt", &out);
}
