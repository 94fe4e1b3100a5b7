//! Processes of the gateway under a soak: started, signalled, and killed over their limits.

use super::judge::ProcessWatch;
use super::plan::{SoakPlan, Step};
use super::services::Services;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Earliest SIGKILL after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s.
const KILL_AFTER_TERM: Duration = Duration::from_millis(3_700);
/// Longest time until a process serves.
const READY_TIME: Duration = Duration::from_secs(10);
/// How often memory and descriptors are looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

const SETTINGS: &str = r#"{"balancers":1,"my_number":0,"tick":4000,"zone":"a","zones":["a"],
    "bounds":{"max_attempts":3,"may_cancel":true,"retry_after":true,"max_retry_after":1000000,
        "dial_timeout":250000,"conn_idle":30000000,"second_copies":false},
    "classes":[
        {"name":"look","effect":"pure","deadline":4000000,"on_time":1000000,"credit":1.0},
        {"name":"buy","effect":"token","key_scope":"all","window":8000000,"deadline":8000000,"on_time":2500000},
        {"name":"once","effect":"side_effect","deadline":4000000,"on_time":1000000}],
    "plans":[{"name":"team","per_second":1000.0,"peak_units":1000.0,"price":1.0}],
    "specifics":{"counter":true,"count_limit":80000,"units_top":4},
    "rules":{"answer_slack":16000,"cold":14000000,"cold_from":0.17,"fall_multiple":4.0,"tip_after":2000000}}"#;

/// One process.
struct Process {
    child: Child,
    pid: Pid,
    operators: SocketAddr,
    /// Whether a step has signalled its end.
    is_ending: bool,
}

/// The processes of a play, and what was seen of them.
#[derive(Default)]
struct State {
    processes: Vec<Process>,
    watch: ProcessWatch,
}

/// A gateway whose listening socket outlives its processes.
pub struct GatewayRun {
    listener: TcpListener,
    program: PathBuf,
    folder: PathBuf,
    start: Instant,
    memory_limit: u64,
    state: Arc<Mutex<State>>,
}

impl GatewayRun {
    /// Starts the first process, and returns once it serves.
    ///
    /// # Errors
    /// Returns an error if the process could not be started or does not serve.
    pub async fn start(
        program: &Path,
        folder: &Path,
        plan: &SoakPlan,
        services: &Services,
        start: Instant,
    ) -> anyhow::Result<GatewayRun> {
        std::fs::create_dir_all(folder.join("tmp"))?;
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","counter":"{}","seed":"{:016x}",
            "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"settings":{SETTINGS}}}"#,
            services.discovery, services.counter, plan.seed, plan.memory_mb, plan.sockets
        );
        std::fs::write(folder.join("config.json"), config)?;
        let run = GatewayRun {
            listener: TcpListener::bind("127.0.0.1:0")?,
            program: program.to_path_buf(),
            folder: folder.to_path_buf(),
            start,
            memory_limit: plan.memory_mb * 1_000_000,
            state: Arc::default(),
        };
        run.spawn()?;
        run.wait_until_serving().await?;
        tokio::spawn(watch(run.state.clone(), run.folder.join("tmp"), run.memory_limit, start));
        Ok(run)
    }

    /// Address for clients.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a process with the listening socket as descriptor 7.
    fn spawn(&self) -> anyhow::Result<()> {
        let operators = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"))?;
        let child = Command::new("/bin/sh")
            .args(["-c", "exec \"$GATEWAY\" 7<&0 0</dev/null"])
            .env("GATEWAY", &self.program)
            .env("NODE_CONFIG", self.folder.join("config.json"))
            .env("NODE_OPS", operators.to_string())
            .env("NODE_ACCEPT_FD", "7")
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::from(OwnedFd::from(self.listener.try_clone()?)))
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let pid = Pid::from_raw(i32::try_from(child.id().unwrap_or(0))?);
        self.lock().processes.push(Process { child, pid, operators, is_ending: false });
        Ok(())
    }

    /// Waits until the newest process serves.
    async fn wait_until_serving(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + READY_TIME;
        let newest = self.lock().processes.last().map(|process| process.operators);
        let Some(operators) = newest else { return Ok(()) };
        while !timeout(Duration::from_secs(1), is_serving(operators)).await.is_ok_and(|serving| serving) {
            anyhow::ensure!(Instant::now() < deadline, "the gateway does not serve within {READY_TIME:?}");
            sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    /// Signals the process that has served for longest, and returns its id.
    fn signal_oldest(&self, signal: Signal) -> Option<Pid> {
        let mut state = self.lock();
        let process = state.processes.iter_mut().find(|process| !process.is_ending)?;
        process.is_ending = signal != Signal::SIGHUP;
        // The process may have ended meanwhile.
        let _ = kill(process.pid, signal);
        Some(process.pid)
    }

    /// Waits for the end of a process until SIGKILL may come, and then sends that.
    async fn kill_after_term(&self, pid: Pid) {
        let terminated_at = self.start.elapsed();
        let deadline = Instant::now() + KILL_AFTER_TERM;
        while Instant::now() < deadline && self.lock().processes.iter().any(|process| process.pid == pid) {
            sleep(WATCH_INTERVAL).await;
        }
        if self.lock().processes.iter().any(|process| process.pid == pid) {
            let killed_at = self.start.elapsed();
            let _ = kill(pid, Signal::SIGKILL);
            self.lock().watch.killed.push((terminated_at, killed_at));
        }
    }

    /// Carries out the steps at their times.
    ///
    /// # Errors
    /// Returns an error if a process does not start.
    pub async fn play_steps(&self, steps: &[(Duration, Step)]) -> anyhow::Result<()> {
        for (at, step) in steps {
            sleep_until(self.start + *at).await;
            let down_from = self.start.elapsed();
            match step {
                Step::Reload => drop(self.signal_oldest(Signal::SIGHUP)),
                Step::Kill => {
                    self.signal_oldest(Signal::SIGKILL);
                    self.spawn()?;
                    self.wait_until_serving().await?;
                    self.add_down_time(down_from);
                }
                Step::Restart => {
                    if let Some(pid) = self.signal_oldest(Signal::SIGTERM) {
                        self.kill_after_term(pid).await;
                    }
                    self.spawn()?;
                    self.wait_until_serving().await?;
                    self.add_down_time(down_from);
                }
                Step::HandOver => {
                    self.spawn()?;
                    self.wait_until_serving().await?;
                    if let Some(pid) = self.signal_oldest(Signal::SIGTERM) {
                        self.kill_after_term(pid).await;
                    }
                }
            }
        }
        Ok(())
    }

    fn add_down_time(&self, from: Duration) {
        let until = self.start.elapsed();
        self.lock().watch.down.push((from, until));
    }

    /// Ends all processes, and returns what was seen of them.
    pub async fn stop(&self) -> ProcessWatch {
        while self.signal_oldest(Signal::SIGKILL).is_some() {}
        sleep(Duration::from_millis(100)).await;
        std::mem::take(&mut self.lock().watch)
    }
}

async fn is_serving(operators: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(operators).await else { return false };
    if stream.write_all(b"GET /healthcheck HTTP/1.1\r\nHost: h\r\n\r\n").await.is_err() {
        return false;
    }
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.is_ok() && status.ends_with(b"200")
}

/// Looks at the processes until all have ended, and kills them over the memory limit.
async fn watch(state: Arc<Mutex<State>>, folder: PathBuf, memory_limit: u64, start: Instant) {
    loop {
        sleep(WATCH_INTERVAL).await;
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        let State { processes, watch } = &mut *state;
        processes.retain_mut(|process| match process.child.try_wait() {
            Ok(None) => true,
            ended => {
                if !process.is_ending {
                    watch.crashes.push(format!("at {:?}: {ended:?}", start.elapsed()));
                }
                false
            }
        });
        if processes.is_empty() {
            continue;
        }
        let pids: Vec<Pid> = processes.iter().map(|process| process.pid).collect();
        let memory = memory_of(&pids) + files_in(&folder);
        let descriptors = pids.iter().map(|pid| descriptors_of(*pid)).sum();
        watch.peak_memory = watch.peak_memory.max(memory);
        watch.peak_descriptors = watch.peak_descriptors.max(descriptors);
        if memory > memory_limit {
            for pid in pids {
                // The process may have ended meanwhile.
                let _ = kill(pid, Signal::SIGKILL);
            }
        }
    }
}

/// Memory of the processes, whose code is in memory once, in bytes.
fn memory_of(pids: &[Pid]) -> u64 {
    let figures = |name: &str| pids.iter().map(|pid| status_bytes(*pid, name)).collect::<Vec<u64>>();
    figures("RssAnon:").iter().sum::<u64>() + figures("RssFile:").into_iter().max().unwrap_or(0)
}

fn status_bytes(pid: Pid, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap_or("0 kB");
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap_or(0) * 1024
}

fn files_in(folder: &Path) -> u64 {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    entries
        .filter_map(|entry| entry.metadata().ok())
        .filter(|file| file.is_file())
        .map(|file| file.len())
        .sum()
}

/// Sockets and other descriptors of a process.
fn descriptors_of(pid: Pid) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}
