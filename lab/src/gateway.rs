//! Gateway processes: each is configured, started, monitored and signalled, and can be restarted.

use crate::client::Clients;
use crate::link::lock;
use crate::plan::{us, Draw, Microseconds};
use crate::record::{Life, ProcessEvent, Usage};
use crate::run_context::RunContext;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Time within which a process must become ready, or exit after SIGKILL.
pub const READY_TIME: Duration = Duration::from_secs(15);
/// Interval between samples of the processes' resource usage.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// After SIGTERM a process may run for the longest deadline of a class, but at least 3 s, plus this many microseconds.
const TERM_ALLOWANCE_US: Microseconds = 700_000;

/// Addresses, environment and program of a gateway.
pub struct Place {
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of the admin server.
    pub ops: SocketAddr,
    /// Address of the gateway's discovery agent.
    pub discovery: SocketAddr,
    /// Address at which the gateway reaches the counter.
    pub counter: SocketAddr,
    /// Additional environment variables.
    pub env: Vec<(String, String)>,
    /// Path of the gateway program.
    pub binary: PathBuf,
}

struct Process {
    pid: Option<i32>,
    /// Last SIGKILL or SIGTERM that the lab sent.
    asked: Option<Signal>,
    paused: bool,
}

/// One gateway, across restarts of its process.
pub struct Gateway {
    /// Number of the gateway.
    pub number: usize,
    context: Arc<RunContext>,
    /// Addresses and environment; a reload changes the addresses of discovery and counter.
    pub place: Mutex<Place>,
    process: Mutex<Process>,
    running: watch::Sender<bool>,
}

/// Error on starting a gateway.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The program could not be executed.
    #[error("{0}: cannot execute the gateway program: {1}")]
    Run(PathBuf, io::Error),
    /// Configuration, folder or log could not be written.
    #[error("{0}: cannot write: {1}")]
    Files(PathBuf, io::Error),
    /// The process was not ready in time, or ended before.
    #[error("gateway g{0} {1}; the last lines of its log:\n{2}")]
    NotReady(usize, &'static str, String),
}

impl Gateway {
    /// Creates a gateway without a process.
    pub fn new(context: Arc<RunContext>, number: usize, place: Place) -> Arc<Gateway> {
        let process = Mutex::new(Process { pid: None, asked: None, paused: false });
        let running = watch::Sender::new(false);
        Arc::new(Gateway { number, context, place: Mutex::new(place), process, running })
    }

    fn record_event(&self, what: Life) {
        let event = ProcessEvent {
            gateway: self.number,
            process_number: self.context.process_number(self.number),
            at: self.context.clock.now(),
            what,
        };
        self.context.note(|record| record.process_events.push(event));
    }

    /// Returns the path of the log, to which all of the gateway's processes append.
    pub fn log(&self) -> PathBuf {
        self.context.folder.join(format!("g{}.log", self.number))
    }

    /// Writes the configuration file, with the endpoint list that the gateway last had.
    pub fn configure(&self, known: &Value) -> Result<PathBuf, StartError> {
        let path = self.context.folder.join(format!("g{}.json", self.number));
        let place = lock(&self.place);
        let process_number = self.context.process_number(self.number) as u64;
        let scenario = &self.context.plan.scenario;
        let seed =
            Draw::new(self.context.plan.seed, 9 << 32 | process_number << 16 | self.number as u64).bits();
        let config = json!({
            "name": format!("g{}", self.number),
            "listen": place.listen.to_string(),
            "ops": place.ops.to_string(),
            "discovery": place.discovery.to_string(),
            "counter": place.counter.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": scenario.gateways.memory_mb, "sockets": scenario.gateways.sockets},
            "known": known,
            "settings": crate::settings::settings(&self.context.plan, self.number),
        });
        // Renamed into place, so that a reader never finds an incomplete file.
        let temporary = path.with_extension("new");
        let written =
            std::fs::write(&temporary, config.to_string()).and_then(|()| std::fs::rename(&temporary, &path));
        written.map_err(|e| StartError::Files(path.clone(), e))?;
        Ok(path)
    }

    /// Starts a process.
    pub fn start(self: &Arc<Gateway>, known: &Value) -> Result<(), StartError> {
        let config = self.configure(known)?;
        let folder = self.context.folder.join(format!("g{}", self.number));
        let failed = |path: &PathBuf, e| StartError::Files(path.clone(), e);
        std::fs::create_dir_all(&folder).map_err(|e| failed(&folder, e))?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.log());
        let log = log.map_err(|e| failed(&self.log(), e))?;
        let place = lock(&self.place);
        let mut command = Command::new(&place.binary);
        command.env_clear().env("NODE_NAME", format!("g{}", self.number));
        command.env("NODE_LISTEN", place.listen.to_string()).env("NODE_CONFIG", &config);
        command.env("NODE_DISCOVERY", place.discovery.to_string()).env("TMPDIR", &folder);
        command.envs(place.env.iter().cloned());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::from(log));
        // In a process group of its own: Ctrl-C at the terminal must reach the lab alone, which then stops its gateways.
        command.process_group(0).kill_on_drop(true);
        let child = command.spawn().map_err(|e| StartError::Run(place.binary.clone(), e))?;
        drop(place);
        let pid = child.id().map(|id| id as i32);
        *lock(&self.process) = Process { pid, asked: None, paused: false };
        self.running.send_replace(true);
        self.record_event(Life::Started);
        let gateway = self.clone();
        tokio::spawn(async move { gateway.wait(child).await });
        Ok(())
    }

    async fn wait(&self, mut child: Child) {
        let status = child.wait().await;
        let asked = {
            let mut process = lock(&self.process);
            process.pid = None;
            process.asked
        };
        let how = match &status {
            Ok(status) => status.to_string(),
            Err(error) => error.to_string(),
        };
        let succeeded = status.is_ok_and(|status| status.success());
        let asked = match asked {
            Some(Signal::SIGTERM) => succeeded,
            Some(_) => true,
            None => false,
        };
        self.record_event(Life::Ended { asked, how });
        self.running.send_replace(false);
    }

    /// Waits until `/_health` answers 200 for the first time.
    pub async fn ready(&self) -> Result<(), StartError> {
        let listen = lock(&self.place).listen;
        let mut running = self.running.subscribe();
        let ready = async {
            while !is_healthy(listen).await {
                sleep(Duration::from_millis(20)).await;
            }
        };
        let failed = tokio::select! {
            () = ready => None,
            _ = running.wait_for(|running| !running) => Some("ended before it was ready"),
            () = sleep(READY_TIME) => Some("was not ready in time"),
        };
        match failed {
            None => {
                self.record_event(Life::Ready);
                Ok(())
            }
            Some(reason) => Err(StartError::NotReady(self.number, reason, self.last_lines())),
        }
    }

    fn last_lines(&self) -> String {
        let text = std::fs::read(self.log()).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(8)..].join("\n")
    }

    /// Sends a signal to the process. Returns false if there is none, or if the signal could not be sent.
    fn signal(&self, signal: Signal) -> bool {
        let mut process = lock(&self.process);
        let Some(pid) = process.pid else { return false };
        if matches!(signal, Signal::SIGKILL | Signal::SIGTERM) {
            process.asked = Some(signal);
        }
        match signal {
            Signal::SIGSTOP => process.paused = true,
            Signal::SIGCONT => process.paused = false,
            _ => {}
        }
        // The process has not been reaped, so that its pid cannot have been reused.
        kill(Pid::from_raw(pid), signal).is_ok()
    }

    /// Sends SIGKILL and waits until the process has ended, for `READY_TIME` at most.
    pub async fn kill(&self) {
        if self.signal(Signal::SIGKILL) {
            self.record_event(Life::Killed);
        }
        let _ = timeout(READY_TIME, self.running.subscribe().wait_for(|running| !running)).await;
    }

    /// Sends SIGKILL without waiting.
    pub fn end_now(&self) {
        self.signal(Signal::SIGKILL);
    }

    /// Sends SIGTERM, and SIGKILL if the process has not ended within its time-out.
    pub async fn terminate(&self) {
        if self.signal(Signal::SIGTERM) {
            self.record_event(Life::Terminated);
        }
        let longest = self.context.plan.scenario.classes.iter().map(|c| us(c.deadline_ms / 1000.0)).max();
        let time_out_us = longest.unwrap_or(0).max(3_000_000) + TERM_ALLOWANCE_US;
        let mut running = self.running.subscribe();
        if timeout(Duration::from_micros(time_out_us), running.wait_for(|running| !running)).await.is_err() {
            self.kill().await;
        }
    }

    /// Pauses the process with SIGSTOP, or continues it with SIGCONT.
    pub fn pause(&self, on: bool) {
        if self.signal(if on { Signal::SIGSTOP } else { Signal::SIGCONT }) {
            self.record_event(if on { Life::Paused } else { Life::Continued });
        }
    }

    /// Requests a reload of the configuration with SIGHUP.
    pub fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Returns whether a process is running.
    pub fn runs(&self) -> bool {
        *self.running.borrow()
    }

    fn sample(&self) -> Option<Usage> {
        let pid = lock(&self.process).pid?;
        let (cpu_us, memory) = used(&pid.to_string())?;
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |list| list.count());
        Some(Usage {
            gateway: self.number,
            process_number: self.context.process_number(self.number),
            at: self.context.clock.now(),
            cpu_us,
            memory,
            descriptors,
        })
    }
}

/// Returns the resource usage of a process, given by its pid or as `self`: processor time in microseconds and resident
/// memory in bytes.
pub fn used(process: &str) -> Option<(u64, u64)> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The command name in parentheses may contain any character; after it the fields start with the state, field 3.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let pages: u64 = fields.get(21)?.parse().ok()?;
    // Linux reports ticks of 10 ms, and pages of 4 KiB on this platform.
    Some((ticks * 10_000, pages * 4096))
}

/// Samples the resource usage of all gateways until it is cancelled.
pub async fn watch_usage(context: Arc<RunContext>, gateways: Vec<Arc<Gateway>>) {
    loop {
        let samples: Vec<Usage> = gateways.iter().filter_map(|gateway| gateway.sample()).collect();
        context.note(|record| record.usage.extend(samples));
        sleep(SAMPLE_INTERVAL).await;
    }
}

/// Returns whether `/_health` answers 200 within 500 ms.
async fn is_healthy(address: SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let check = async {
        let mut stream = tokio::net::TcpStream::connect(address).await?;
        stream.write_all(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n").await?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await?;
        Ok::<bool, io::Error>(head == *b"HTTP/1.1 200")
    };
    matches!(timeout(Duration::from_millis(500), check).await, Ok(Ok(true)))
}

/// Lets the front end notice that a gateway has stopped or paused, after a delay drawn from the seed.
pub fn notice(context: &RunContext, clients: &Arc<Clients>, gateway: &Arc<Gateway>) {
    let process_number = context.process_number(gateway.number);
    let stream = 8 << 32 | (process_number as u64) << 16 | gateway.number as u64;
    let delay_s = Draw::new(context.plan.seed, stream).between(context.plan.scenario.load.notice_s);
    let (clients, gateway) = (clients.clone(), gateway.clone());
    tokio::spawn(async move {
        sleep(Duration::from_secs_f64(delay_s)).await;
        let paused = lock(&gateway.process).paused;
        if !gateway.runs() || paused {
            clients.front(gateway.number, true);
        }
    });
}
