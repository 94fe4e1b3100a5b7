//! Processes of the program: started with a configuration of their own, watched, signalled, started again.

use crate::client::Clients;
use crate::link::lock;
use crate::plan::{us, Draw, Microseconds};
use crate::record::{Life, LifeEvent, Usage};
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

/// A gateway has to be ready within this.
pub const READY_TIME: Duration = Duration::from_secs(15);
/// Between two looks at what processes use.
const SAMPLE: Duration = Duration::from_millis(250);
/// After SIGTERM a process has the longest deadline (or 3 s, if that is longer), and so much more.
const AFTER_TERM: Microseconds = 700_000;

/// Where one gateway finds the others, and what it is told.
pub struct Place {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call.
    pub ops: SocketAddr,
    /// Its agent.
    pub discovery: SocketAddr,
    /// The counter, as it reaches it.
    pub counter: SocketAddr,
    /// Further environment.
    pub env: Vec<(String, String)>,
    /// The program.
    pub binary: PathBuf,
}

struct Process {
    pid: Option<i32>,
    /// The lab ended it, or asked it to end.
    asked: Option<Signal>,
    paused: bool,
}

/// One gateway over all of its processes.
pub struct Gateway {
    /// Its number.
    pub number: usize,
    context: Arc<RunContext>,
    /// Where it stands; a reload moves its services.
    pub place: Mutex<Place>,
    process: Mutex<Process>,
    running: watch::Sender<bool>,
}

/// A gateway did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The program could not be run.
    #[error("{0}: can't be run: {1}")]
    Run(PathBuf, io::Error),
    /// Its files could not be written.
    #[error("{0}: {1}")]
    Files(PathBuf, io::Error),
    /// It was not ready in time, or ended first.
    #[error("gateway g{0} {1}; the last lines of its log:\n{2}")]
    NotReady(usize, &'static str, String),
}

impl Gateway {
    /// A gateway that is not started yet.
    pub fn new(context: Arc<RunContext>, number: usize, place: Place) -> Arc<Gateway> {
        let process = Mutex::new(Process { pid: None, asked: None, paused: false });
        let running = watch::Sender::new(false);
        Arc::new(Gateway { number, context, place: Mutex::new(place), process, running })
    }

    fn event(&self, what: Life) {
        let event = LifeEvent {
            gateway: self.number,
            life: self.context.life(self.number),
            at: self.context.clock.now(),
            what,
        };
        self.context.note(|record| record.lives.push(event));
    }

    /// Its log so far.
    pub fn log(&self) -> PathBuf {
        self.context.folder.join(format!("g{}.log", self.number))
    }

    /// Writes its configuration, with the list of backends that it had last.
    pub fn configure(&self, known: &Value) -> Result<PathBuf, StartError> {
        let path = self.context.folder.join(format!("g{}.json", self.number));
        let place = lock(&self.place);
        let life = self.context.life(self.number) as u64;
        let scenario = &self.context.plan.scenario;
        let seed = Draw::new(self.context.plan.seed, 9 << 32 | life << 16 | self.number as u64).bits();
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
        // In one step, so that no reader finds half of it.
        let fresh = path.with_extension("new");
        let written =
            std::fs::write(&fresh, config.to_string()).and_then(|()| std::fs::rename(&fresh, &path));
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
        // Not in the lab's group: a Ctrl-C at the terminal is for the lab alone, which then ends its gateways.
        command.process_group(0).kill_on_drop(true);
        let child = command.spawn().map_err(|e| StartError::Run(place.binary.clone(), e))?;
        drop(place);
        let pid = child.id().map(|id| id as i32);
        *lock(&self.process) = Process { pid, asked: None, paused: false };
        self.running.send_replace(true);
        self.event(Life::Started);
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
        let well = status.is_ok_and(|status| status.success());
        let asked = match asked {
            Some(Signal::SIGTERM) => well,
            Some(_) => true,
            None => false,
        };
        self.event(Life::Ended { asked, how });
        self.running.send_replace(false);
    }

    /// Waits until its first `/_health` with 200.
    pub async fn ready(&self) -> Result<(), StartError> {
        let listen = lock(&self.place).listen;
        let mut running = self.running.subscribe();
        let ready = async {
            while !health(listen).await {
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
                self.event(Life::Ready);
                Ok(())
            }
            Some(how) => Err(StartError::NotReady(self.number, how, self.last_lines())),
        }
    }

    fn last_lines(&self) -> String {
        let text = std::fs::read(self.log()).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(8)..].join("\n")
    }

    /// Sends a signal to its process, if it has one.
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
        // The process has not been waited for, so that its number names no other one.
        kill(Pid::from_raw(pid), signal).is_ok()
    }

    /// SIGKILL; returns when the process is gone.
    pub async fn kill(&self) {
        if self.signal(Signal::SIGKILL) {
            self.event(Life::Killed);
        }
        let _ = timeout(READY_TIME, self.running.subscribe().wait_for(|running| !running)).await;
    }

    /// SIGKILL, without waiting.
    pub fn end_now(&self) {
        self.signal(Signal::SIGKILL);
    }

    /// SIGTERM, and SIGKILL for a process that goes on past its time.
    pub async fn terminate(&self) {
        if self.signal(Signal::SIGTERM) {
            self.event(Life::Terminated);
        }
        let longest = self.context.plan.scenario.classes.iter().map(|c| us(c.deadline_ms / 1000.0)).max();
        let time = longest.unwrap_or(0).max(3_000_000) + AFTER_TERM;
        let mut running = self.running.subscribe();
        if timeout(Duration::from_micros(time), running.wait_for(|running| !running)).await.is_err() {
            self.kill().await;
        }
    }

    /// SIGSTOP, or SIGCONT.
    pub fn pause(&self, on: bool) {
        if self.signal(if on { Signal::SIGSTOP } else { Signal::SIGCONT }) {
            self.event(if on { Life::Paused } else { Life::Continued });
        }
    }

    /// SIGHUP.
    pub fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Whether a process of it runs.
    pub fn runs(&self) -> bool {
        *self.running.borrow()
    }

    fn sample(&self) -> Option<Usage> {
        let pid = lock(&self.process).pid?;
        let (cpu_us, memory) = used(&pid.to_string())?;
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |list| list.count());
        Some(Usage {
            gateway: self.number,
            life: self.context.life(self.number),
            at: self.context.clock.now(),
            cpu_us,
            memory,
            descriptors,
        })
    }
}

/// What a process has used, by its number or `self`: processor time in microseconds, resident memory in bytes.
pub fn used(process: &str) -> Option<(u64, u64)> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The name in brackets may hold anything; the fields after it are counted from the state, field 3.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let pages: u64 = fields.get(21)?.parse().ok()?;
    // Linux counts in hundredths of a second, and in pages of 4 KiB on this platform.
    Some((ticks * 10_000, pages * 4096))
}

/// Looks at what all gateways use, again and again.
pub async fn watch_usage(context: Arc<RunContext>, gateways: Vec<Arc<Gateway>>) {
    loop {
        let samples: Vec<Usage> = gateways.iter().filter_map(|gateway| gateway.sample()).collect();
        context.note(|record| record.usage.extend(samples));
        sleep(SAMPLE).await;
    }
}

/// Whether `/_health` answers with 200.
async fn health(address: SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let ask = async {
        let mut stream = tokio::net::TcpStream::connect(address).await?;
        stream.write_all(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n").await?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await?;
        Ok::<bool, io::Error>(head == *b"HTTP/1.1 200")
    };
    matches!(timeout(Duration::from_millis(500), ask).await, Ok(Ok(true)))
}

/// The front notices a gateway's end after some seconds, drawn by the seed.
pub fn notice(context: &RunContext, clients: &Arc<Clients>, gateway: &Arc<Gateway>) {
    let life = context.life(gateway.number);
    let stream = 8 << 32 | (life as u64) << 16 | gateway.number as u64;
    let after = Draw::new(context.plan.seed, stream).between(context.plan.scenario.load.notice_s);
    let (clients, gateway) = (clients.clone(), gateway.clone());
    tokio::spawn(async move {
        sleep(Duration::from_secs_f64(after)).await;
        let paused = lock(&gateway.process).paused;
        if !gateway.runs() || paused {
            clients.front(gateway.number, true);
        }
    });
}
