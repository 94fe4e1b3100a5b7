//! Errors at start: an invalid environment or file ends the program with one line and a failure status.

#[path = "common/fixture.rs"]
mod fixture;

use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_quota-gateway");
/// A program that still runs after this time has accepted its configuration.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A folder with a gateway's configuration and a matching cluster file.
struct ConfigurationFolder {
    folder: PathBuf,
}

impl ConfigurationFolder {
    fn new() -> ConfigurationFolder {
        let folder = std::env::temp_dir().join(format!("start-errors-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let files = ConfigurationFolder { folder };
        files.write("gateway.json", &fixture::text("control/gateway.json"));
        let cluster_file = fixture::text("control/fleet.toml").replace("dir = \"/var/lib/gate-2\"\n", "");
        files.write("fleet.toml", &cluster_file);
        files
    }

    fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.folder.join(name), text).expect("a file");
    }

    /// Starts the program with this environment. Returns the line that the program ends with, without the
    /// program's name and the folder.
    fn start(&self, environment: &[(&str, &str)]) -> String {
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("NODE_LOG", "error");
        for (name, value) in environment {
            command.env(name, value.replace('@', &format!("{}/", self.folder.display())));
        }
        let mut program = command.stderr(Stdio::piped()).spawn().expect("the program starts");
        let started_at = Instant::now();
        let status = loop {
            match program.try_wait().expect("the program's status") {
                Some(status) => break Some(status),
                None if started_at.elapsed() > START_TIMEOUT => break None,
                None => sleep(Duration::from_millis(2)),
            }
        };
        if status.is_none() {
            program.kill().expect("the program can be killed");
        }
        let output = program.wait_with_output().expect("the program's output");
        assert_eq!(
            status.map(|status| status.success()),
            Some(false),
            "{environment:?}: the program must end with an error within the time limit"
        );
        let error_output = String::from_utf8(output.stderr).expect("UTF-8 output");
        assert_eq!(error_output.lines().count(), 1, "{error_output}");
        let (_, problem) = error_output.split_once(": ").expect("the program's name before the message");
        problem.replace(&format!("{}/", self.folder.display()), "@").trim_end().to_string()
    }
}

impl Drop for ConfigurationFolder {
    fn drop(&mut self) {
        // The folder is in the directory for temporary files, so it may remain.
        let _ = std::fs::remove_dir_all(Path::new(&self.folder));
    }
}

const CONFIGURED: (&str, &str) = ("NODE_CONFIG", "@gateway.json");

#[test]
fn invalid_environment_ends_the_program_with_one_error_line() {
    let files = ConfigurationFolder::new();
    files.write("no_listen.json", r#"{"discovery":"127.0.0.1:1","seed":"1","settings":{}}"#);
    files.write("no_seat.toml", &fixture::text("control/fleet_fewest.toml"));
    let cluster_file = std::fs::read_to_string(files.path("fleet.toml")).expect("the file");
    let changes = [
        ("two_seats.toml", "\"gate-1\", \"gate-2\", \"gate-3\", ", "\"gate-2\", "),
        ("folder.toml", "wait_ms = 25", "dir = \"/nowhere\""),
        ("key.toml", "wait_ms = 25", "wait = 25"),
    ];
    for (name, part, replacement) in changes {
        assert!(cluster_file.contains(part), "{part}");
        files.write(name, &cluster_file.replacen(part, replacement, 1));
    }
    let seats = "seats = [\"gate-1\", \"gate-2\", \"gate-3\", \"gate-4\", \"gate-5\"]";
    let seven_seats =
        "seats = [\"gate-1\", \"gate-3\", \"gate-4\", \"gate-2\", \"gate-5\", \"gate-6\", \"gate-7\"]";
    assert!(cluster_file.contains(seats));
    let cluster_file = cluster_file.replacen(seats, seven_seats, 1);
    let classes = [
        ("branch_class.toml", "classes = [\"order\", \"pay\"]", "classes = [\"order\", \"none\"]"),
        ("branch_stop.toml", "pay = \"go on\"", "none = \"stop\""),
        ("finish.toml", "finish = [\"order\"]", "finish = [\"none\"]"),
        ("rule_class.toml", "class = \"look\"", "class = \"none\""),
        ("rule_plan.toml", "plan = \"team\"", "plan = \"none\""),
    ];
    for (name, part, replacement) in classes {
        assert!(cluster_file.contains(part), "{part}");
        files.write(name, &cluster_file.replacen(part, replacement, 1));
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
        writeln!(out, "{}\n    {}", named.join(" "), files.start(environment))
            .expect("writing to a string succeeds");
    }
    fixture::assert_same("control/start_errors.txt", &out);
}
