//! What surrounds a gateway: its process, discovery, the counter, backends, and the record of a run.

use crate::http::{answer, call, Message, Peer};
use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Why a case could not run.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;

/// The record of a run: one line for each event, with the seconds since its start.
pub struct Record {
    file: Mutex<File>,
    pub started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Result<Arc<Record>, Failure> {
        Ok(Arc::new(Record { file: Mutex::new(File::create(path)?), started: Instant::now() }))
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        // A full disk must not end the run.
        let _ = writeln!(lock(&self.file), "{at:9.4} {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.note(text);
    }
}

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

/// Folders that are not removed yet.
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

impl Folder {
    pub fn new() -> Result<Folder, Failure> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("review-2-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        lock(&FOLDERS).push(path.clone());
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn loopback() -> Result<TcpListener, Failure> {
    Ok(TcpListener::bind("127.0.0.1:0")?)
}

/// A port that was free a moment ago.
pub fn free_address() -> Result<SocketAddr, Failure> {
    Ok(loopback()?.local_addr()?)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// One backend in discovery's list.
#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub phase: &'static str,
    pub up_since_ms: u64,
    changed: u64,
}

struct Catalog {
    revision: u64,
    members: Vec<Member>,
}

/// Discovery's agent on the gateway's machine.
pub struct Discovery {
    pub address: SocketAddr,
    catalog: Mutex<Catalog>,
    news: Condvar,
    /// While set, no call is answered.
    pub silent: AtomicBool,
}

fn members_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let entry = |member: &Member| {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"a\",\"flavor\":\"m2\",\"cell\":0,\"phase\":\"{}\",\"size\":1.0,\"up_since_ms\":{}}}",
            member.id, member.address, member.phase, member.up_since_ms
        )
    };
    let members: Vec<String> = members.iter().map(entry).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

impl Discovery {
    pub fn start(backends: &[(String, SocketAddr)]) -> Result<Arc<Discovery>, Failure> {
        let listener = loopback()?;
        let members = backends
            .iter()
            .map(|(id, address)| Member {
                id: id.clone(),
                address: *address,
                phase: "ready",
                up_since_ms: 0,
                changed: 41,
            })
            .collect();
        let discovery = Arc::new(Discovery {
            address: listener.local_addr()?,
            catalog: Mutex::new(Catalog { revision: 41, members }),
            news: Condvar::new(),
            silent: AtomicBool::new(false),
        });
        let agent = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = agent.clone();
                thread::spawn(move || {
                    if let Ok(mut peer) = Peer::new(stream) {
                        while let Ok(request) = peer.read() {
                            let text = agent.reply(&request);
                            if peer
                                .write(&answer("200 OK", "Content-Type: application/json\r\n", &text))
                                .is_err()
                            {
                                return;
                            }
                        }
                    }
                });
            }
        });
        Ok(discovery)
    }

    /// The whole list, as a gateway's configuration holds it.
    pub fn known(&self) -> String {
        let catalog = lock(&self.catalog);
        members_json(catalog.revision, true, &catalog.members)
    }

    fn reply(&self, request: &Message) -> String {
        let field = |name: &str| {
            let query = request.target().split_once('?').map_or("", |(_, query)| query);
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let until = Instant::now() + Duration::from_millis(field("hold_ms").unwrap_or(0).min(60_000));
        let mut catalog = lock(&self.catalog);
        loop {
            if self.silent.load(Ordering::SeqCst) {
                catalog = self
                    .news
                    .wait_timeout(catalog, Duration::from_millis(20))
                    .map_or_else(|e| e.into_inner().0, |(c, _)| c);
                continue;
            }
            let Some(from) = field("from") else {
                return members_json(catalog.revision, true, &catalog.members);
            };
            let left = until.saturating_duration_since(Instant::now());
            if catalog.revision > from || left.is_zero() {
                let changed: Vec<Member> =
                    catalog.members.iter().filter(|member| member.changed > from).cloned().collect();
                return members_json(catalog.revision, false, &changed);
            }
            catalog = self
                .news
                .wait_timeout(catalog, left.min(Duration::from_millis(50)))
                .map_or_else(|e| e.into_inner().0, |(c, _)| c);
        }
    }
}

/// The shared counter.
pub struct Counter {
    pub address: SocketAddr,
    counts: Mutex<HashMap<String, (f64, Instant)>>,
}

impl Counter {
    pub fn start() -> Result<Arc<Counter>, Failure> {
        let listener = loopback()?;
        let counter = Arc::new(Counter { address: listener.local_addr()?, counts: Mutex::default() });
        let service = counter.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                thread::spawn(move || {
                    if let Ok(mut peer) = Peer::new(stream) {
                        while let Ok(request) = peer.read() {
                            let reply = service.reply(&request);
                            if peer.write(&reply).is_err() {
                                return;
                            }
                        }
                    }
                });
            }
        });
        Ok(counter)
    }

    fn reply(&self, request: &Message) -> Vec<u8> {
        let Some(rest) = request.target().strip_prefix("/v1/count/") else {
            return answer("404 Not Found", "", "");
        };
        let Some((name, query)) = rest.split_once('?') else { return answer("400 Bad Request", "", "") };
        let field = |key: &str| {
            query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('=')?.parse::<f64>().ok())
        };
        let (Some(add), Some(ttl)) = (field("add"), field("ttl_ms")) else {
            return answer("400 Bad Request", "", "");
        };
        let now = Instant::now();
        let mut counts = lock(&self.counts);
        let entry = counts.entry(name.to_string()).or_insert((0.0, now));
        if now >= entry.1 {
            *entry = (0.0, now + Duration::from_millis(ttl.clamp(1.0, 60_000.0) as u64));
        }
        entry.0 += add;
        answer("200 OK", "", &format!("{}", entry.0))
    }
}

/// What a backend does with a request: it gets the connection and writes the answer itself. `false` closes the
/// connection.
pub type Work = dyn Fn(&Message, &mut Peer) -> bool + Send + Sync;

/// Starts a backend, which does `work` for each request.
pub fn backend(work: Arc<Work>) -> Result<SocketAddr, Failure> {
    let listener = loopback()?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let work = work.clone();
            thread::spawn(move || {
                if let Ok(mut peer) = Peer::new(stream) {
                    while let Ok(request) = peer.read() {
                        let path = request.target();
                        let keeps = match path {
                            "/ping" | "/_load" => peer.write(&answer("200 OK", "", "")).is_ok(),
                            _ => work(&request, &mut peer),
                        };
                        if !keeps {
                            return;
                        }
                    }
                }
            });
        }
    });
    Ok(address)
}

/// What differs between the gateways of the cases.
#[derive(Clone, Copy)]
pub struct GatewaySpec<'a> {
    pub name: &'a str,
    pub number: usize,
    pub gateways: usize,
    pub listen: SocketAddr,
    /// The listening socket, where the platform holds it.
    pub inherited: Option<&'a TcpListener>,
    pub folder: &'a Path,
    pub memory_mb: usize,
    pub sockets: usize,
    /// Whether a request may have two attempts out at once.
    pub second_copies: bool,
    /// The cluster file, if the gateway belongs to a cluster.
    pub fleet: Option<&'a Path>,
}

/// A gateway's process.
pub struct Gateway {
    child: Child,
    pub listen: SocketAddr,
    pub ops: SocketAddr,
}

/// The command named `key` in the deploy file.
fn deploy_command(root: &Path, key: &str) -> Result<String, Failure> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix('='));
    let command = line.and_then(|rest| rest.split('"').nth(1));
    Ok(command.ok_or_else(|| format!("deploy/balancer.toml has no {key}"))?.to_string())
}

/// Processes that were started and not ended yet.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes a process, also for the script that started this program.
fn note_process(pid: u32) -> Result<(), Failure> {
    lock(&PROCESSES).push(pid);
    if let Some(path) = std::env::var_os("REVIEW_PIDS") {
        writeln!(std::fs::OpenOptions::new().append(true).create(true).open(path)?, "{pid}")?;
    }
    Ok(())
}

fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status();
}

/// Ends all gateways and this program if the run takes too long.
pub fn limit_run(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        println!("the case could not run: it took longer than {} s", limit.as_secs());
        for pid in lock(&PROCESSES).iter() {
            signal(*pid, "KILL");
        }
        for folder in lock(&FOLDERS).iter() {
            let _ = std::fs::remove_dir_all(folder);
        }
        std::process::exit(2);
    });
}

pub fn root() -> PathBuf {
    std::env::var_os("REVIEW_ROOT").map_or_else(|| PathBuf::from("."), PathBuf::from)
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file.
    pub fn start(spec: &GatewaySpec, discovery: &Discovery, counter: &Counter) -> Result<Gateway, Failure> {
        let (root, ops) = (root(), free_address()?);
        let settings = settings(spec.gateways, spec.number, spec.second_copies);
        let config = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be96{:x}\",\"ops\":\"{ops}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"counter\":\"{}\",\"known\":{},\"settings\":{settings}}}",
            spec.name, spec.listen, discovery.address, spec.number % 16, spec.memory_mb, spec.sockets, counter.address, discovery.known()
        );
        let path = spec.folder.join(format!("{}-{}.json", spec.name, ops.port()));
        std::fs::write(&path, config)?;
        let log = File::create(path.with_extension("log"))?;
        let run = deploy_command(&root, "run")?;
        let mut command = Command::new("/bin/sh");
        let text = match spec.inherited {
            Some(_) => format!("exec 7<&0 0</dev/null; {run}"),
            None => run,
        };
        command.args(["-c", &text]).current_dir(&root).env_remove("NODE_FLEET").env_remove("NODE_LOG");
        command.env("NODE_NAME", spec.name).env("NODE_LISTEN", spec.listen.to_string());
        command.env("NODE_DISCOVERY", discovery.address.to_string()).env("NODE_CONFIG", &path);
        command.env("NODE_OPS", ops.to_string()).env("TMPDIR", spec.folder);
        if let Some(fleet) = spec.fleet {
            command.env("NODE_FLEET", fleet);
        }
        if let Ok(level) = std::env::var("REVIEW_LOG") {
            command.env("NODE_LOG", level);
        }
        match spec.inherited {
            Some(listener) => {
                command.env("NODE_ACCEPT_FD", "7").stdin(Stdio::from(OwnedFd::from(listener.try_clone()?)));
            }
            None => {
                command.env_remove("NODE_ACCEPT_FD").stdin(Stdio::null());
            }
        }
        command.stdout(Stdio::null()).stderr(log);
        let gateway = Gateway { child: command.spawn()?, listen: spec.listen, ops };
        note_process(gateway.child.id())?;
        Ok(gateway)
    }

    /// Starts a gateway and waits until it is ready. A port that was free may have been taken since then, so that a start
    /// that fails at once is tried again with others.
    pub fn start_ready(
        spec: &GatewaySpec,
        discovery: &Discovery,
        counter: &Counter,
    ) -> Result<Gateway, Failure> {
        let mut spec = *spec;
        for _ in 0..5 {
            let mut gateway = Gateway::start(&spec, discovery, counter)?;
            let until = Instant::now() + Duration::from_secs(20);
            while Instant::now() < until {
                thread::sleep(Duration::from_millis(10));
                let says_yes = gateway.says_yes();
                if gateway.has_exited() {
                    break;
                }
                if says_yes {
                    return Ok(gateway);
                }
            }
            if spec.inherited.is_none() {
                spec.listen = free_address()?;
            }
        }
        Err("no gateway became ready".into())
    }

    /// Waits until the gateway says that it is ready to serve.
    pub fn wait_ready(&self) -> Result<(), Failure> {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.says_yes() {
            if Instant::now() > until {
                return Err("the gateway did not become ready".into());
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Whether `GET /healthcheck` at the operators' address is answered with yes.
    pub fn says_yes(&self) -> bool {
        call(self.ops, "GET", "/healthcheck", Duration::from_secs(1))
            .is_ok_and(|reply| reply.status() / 100 == 2)
    }

    pub fn stats(&self) -> String {
        call(self.ops, "GET", "/stats", Duration::from_secs(1))
            .map_or_else(|error| error.to_string(), |reply| reply.text())
    }

    pub fn signal(&self, name: &str) {
        signal(self.child.id(), name);
    }

    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        lock(&PROCESSES).retain(|pid| *pid != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Settings of a small deployment, with the classes, plans and limits of the site.
pub fn settings(gateways: usize, number: usize, second_copies: bool) -> String {
    format!(
        r#"{{"family":"gate","layer":0,"stages":"miniaturas","tick":4000,"membership_mode":"automatic","balancers":{gateways},"my_number":{number},
        "weights":"none","kinds":["m2"],"zone":"a","zones":["a","b"],"clients":{{"marks_retry":true}},
        "bounds":{{"conn_idle":15000000,"dial_timeout":250000,"max_attempts":6,"max_open":20000,"max_retry_after":500000,"max_streams":1,
            "may_cancel":true,"peer_messages":false,"probing":true,"retry_after":true,"second_copies":{second_copies}}},
        "classes":[
            {{"name":"batch-thumbs","effect":"pure","key_scope":"all","window":5000000,"deadline":6000000,"on_time":2500000,"credit":1.0,"late_share":0.0,"streaming":false}},
            {{"name":"preview","effect":"pure","key_scope":"all","window":5000000,"deadline":1500000,"on_time":600000,"credit":3.0,"late_share":0.2,"streaming":false}},
            {{"name":"publish-cover","effect":"token","key_scope":"all","window":4000000,"deadline":6000000,"on_time":2000000,"credit":3.0,"late_share":0.2,"streaming":false}}],
        "plans":[
            {{"name":"basico","per_second":2.0,"peak_units":9.0,"open":0,"price":0.72,"extra_worth":0.0,"excess_cost":1.0,"ceiling_rate":0.0,"cap_depth":0.0,"tolerance":0.0}},
            {{"name":"estandar","per_second":4.5,"peak_units":20.0,"open":0,"price":1.1,"extra_worth":0.0,"excess_cost":0.5,"ceiling_rate":9.0,"cap_depth":40.0,"tolerance":6.0}},
            {{"name":"ampliado","per_second":18.0,"peak_units":40.0,"open":0,"price":1.6,"extra_worth":0.0,"excess_cost":1.2,"ceiling_rate":0.0,"cap_depth":0.0,"tolerance":0.0}}],
        "specifics":{{"counter":true,"count_limit":30000,"count_fee":0.01,"units_top":6,"cost_after":false,"meter_period":0,"peer_in_per_s":0}},
        "report":{{"fields":["tps","concurrent","load_share"],"via":"answers"}},
        "rules":{{"answer_slack":16000,"stop_sending_within":1000000,"cold":17000000,"cold_from":0.28,"fall_multiple":3.0,"tip_after":2000000,"must_ask_in":10000000}}}}"#
    )
}

/// A request as clients write it. `extra` holds further header lines.
pub struct Request<'a> {
    pub class: &'a str,
    pub id: &'a str,
    pub customer: u64,
    pub plan: &'a str,
    pub budget_ms: u64,
    pub spread: usize,
    pub extra: &'a str,
    pub body: &'a str,
}

impl Request<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let method = if self.class == "publish-cover" { "POST" } else { "GET" };
        let length = match method {
            "POST" => format!("Content-Length: {}\r\n", self.body.len()),
            _ => String::new(),
        };
        format!(
            "{method} /api?customer={:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nX-Plan: {}\r\n\
             X-Budget-Ms: {}\r\nX-Quota: units=1,spread={},first=0\r\n{length}{}\r\n{}",
            self.customer, self.id, self.class, self.plan, self.budget_ms, self.spread, self.extra, self.body
        )
        .into_bytes()
    }
}

/// A new id, as every request has one.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed) + 1;
    format!("{:016x}", (unix_ms() << 20 ^ number).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}
