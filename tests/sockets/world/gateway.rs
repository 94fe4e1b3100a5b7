//! The gateway as a process: its configuration, signals and admin server.

use super::{connect, Client, Discovery, Message, Stub, WAIT_TIMEOUT};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

pub const SETTINGS: &str = r#"{"balancers":2,"my_number":0,"tick":4000,"zone":"a","zones":["a","b"],
    "bounds":{"max_attempts":3,"may_cancel":true,"retry_after":true,"max_retry_after":1000000,
        "dial_timeout":250000,"conn_idle":30000000,"second_copies":false},
    "classes":[
        {"name":"look","effect":"pure","deadline":4000000,"on_time":1000000,"credit":1.0},
        {"name":"buy","effect":"token","key_scope":"all","window":8000000,"deadline":8000000,"on_time":2500000},
        {"name":"once","effect":"side_effect","deadline":4000000,"on_time":1000000}],
    "plans":[{"name":"team","per_second":1000.0,"peak_units":1000.0,"price":1.0},
        {"name":"small","per_second":1.0,"peak_units":4.0,"price":1.0}],
    "specifics":{"counter":true,"count_limit":80000,"units_top":4},
    "rules":{"answer_slack":16000,"cold":14000000,"cold_from":0.17,"fall_multiple":4.0,"tip_after":2000000}}"#;

/// A running gateway process, killed on drop.
pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    /// Address of the admin server.
    pub admin_address: SocketAddr,
}

pub fn config(discovery: SocketAddr, counter: SocketAddr) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"counter":"{counter}","settings":{SETTINGS}}}"#
    )
}

/// Returns the command that starts the gateway with this configuration.
pub fn gateway_command(config: &str) -> Command {
    use std::sync::atomic::{AtomicUsize, Ordering};
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("config-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).expect("the file is written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_quota-gateway"));
    command.env("NODE_CONFIG", path).env_remove("NODE_LISTEN").env_remove("NODE_DISCOVERY");
    command.env("NODE_OPS", "127.0.0.1:0").env_remove("NODE_ACCEPT_FD");
    command.stderr(Stdio::piped());
    command
}

/// Returns the path of the configuration file of a command made by `gateway_command`.
pub fn config_path(command: &Command) -> PathBuf {
    let path = command.get_envs().find_map(|(name, value)| value.filter(|_| name == "NODE_CONFIG"));
    PathBuf::from(path.expect("NODE_CONFIG is set"))
}

impl Gateway {
    pub fn spawn(mut command: Command) -> Gateway {
        let mut child = command.spawn().expect("the gateway starts");
        let mut log = BufReader::new(child.stderr.take().expect("stderr is piped"));
        let mut logged = String::new();
        let address = loop {
            let mut line = String::new();
            assert!(
                log.read_line(&mut line).expect("UTF-8 text") > 0,
                "the gateway exited before it logged its address: {logged}"
            );
            logged.push_str(&line);
            if let Some(address) = line.split("address=").nth(1) {
                break address.trim().parse().expect("an address");
            }
        };
        let admin_address = logged.split("ops=").nth(1).and_then(|rest| rest.split_whitespace().next());
        let admin_address = admin_address
            .expect("the admin address is logged before the listen address")
            .parse()
            .expect("an address");
        // Drains the log: a full pipe would block the gateway.
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Gateway { child, address, admin_address }
    }
    /// Starts a gateway that uses these services, and waits until it is ready.
    pub fn start(discovery: &Discovery, counter: &Stub) -> Gateway {
        let gateway = Gateway::spawn(gateway_command(&config(discovery.stub.address, counter.address)));
        gateway.wait_ready();
        gateway
    }
    /// Starts a gateway with these limits, and waits until it is ready.
    pub fn start_with_limits(
        discovery: &Discovery,
        counter: &Stub,
        memory_mb: usize,
        sockets: usize,
    ) -> Gateway {
        let limits = format!("\"memory_mb\":{memory_mb},\"sockets\":{sockets}");
        let config = config(discovery.stub.address, counter.address);
        let gateway =
            Gateway::spawn(gateway_command(&config.replace("\"memory_mb\":192,\"sockets\":1024", &limits)));
        gateway.wait_ready();
        gateway
    }
    pub fn wait_ready(&self) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.client().round_trip("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").status() != 200 {
            assert!(Instant::now() < deadline, "the gateway did not become ready");
            thread::sleep(Duration::from_millis(5));
        }
    }
    pub fn client(&self) -> Client {
        connect(self.address)
    }
    /// Sends a request to the admin server.
    pub fn admin_call(&self, method: &str, path: &str) -> Message {
        connect(self.admin_address).round_trip(&format!("{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n"))
    }
    /// Sends a request with a body to the admin server.
    pub fn admin_call_with_body(&self, method: &str, path: &str, body: &str) -> Message {
        let head = format!("{method} {path} HTTP/1.1\r\nHost: ops\r\nContent-Length: {}\r\n\r\n", body.len());
        connect(self.admin_address).round_trip(&(head + body))
    }
    /// Returns the value of a metric of `/stats`, named without the common prefix.
    pub fn metric(&self, name: &str) -> u64 {
        let stats = self.admin_call("GET", "/stats").body;
        let line = format!("edge_node.{name}=");
        let value =
            stats.lines().find_map(|l| l.strip_prefix(&line)).unwrap_or_else(|| panic!("{name}: {stats}"));
        value.parse().expect("a number")
    }
    /// Waits until a metric has this value.
    pub fn wait_for_metric(&self, name: &str, value: u64) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.metric(name) != value {
            assert!(Instant::now() < deadline, "metric {name} is {}, expected {value}", self.metric(name));
            thread::sleep(Duration::from_millis(5));
        }
    }
    /// Returns a figure of the process's memory by its name in proc(5), in bytes, or `None` if it has exited.
    pub fn memory(&self, name: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let kib = status.lines().find_map(|line| line.strip_prefix(name))?;
        Some(kib.trim_start_matches(':').trim().trim_end_matches(" kB").parse::<u64>().ok()? * 1024)
    }
    /// Returns the largest resident memory of the process so far, in bytes.
    pub fn peak_memory(&self) -> u64 {
        self.memory("VmHWM").expect("the process runs")
    }
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }
    pub fn terminate(&self) {
        self.signal("TERM");
    }
    /// Sends SIGTERM and waits until the health check fails.
    pub fn terminate_and_wait_until_draining(&self) {
        self.terminate();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.admin_call("GET", "/healthcheck").status() == 200 {
            assert!(Instant::now() < deadline, "the health check still succeeds after SIGTERM");
            thread::sleep(Duration::from_millis(5));
        }
    }
    /// Waits until the process exits, and returns the exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("the process can be waited for") {
                return status.code();
            }
            assert!(Instant::now() < deadline, "the gateway process did not exit");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
