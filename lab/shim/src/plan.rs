//! Which calls fail, how and when, as the environment says.

use std::fs::File;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::LazyLock;

/// A call that can be made to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    Accept,
    Connect,
    Recv,
    /// `send` and `writev`.
    Send,
    /// `epoll_wait`.
    Wait,
}

/// How it fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// With this number.
    Error(i32),
    /// It takes one byte, or one piece, alone.
    Short,
}

struct Rule {
    call: Call,
    fault: Fault,
    name: String,
    share: f64,
}

struct Step {
    seconds: i64,
    after: f64,
    /// The bits of the time of the first reading; 0 before it.
    first: AtomicU64,
}

/// All that the environment asks for.
pub struct Plan {
    rules: Vec<Rule>,
    seed: u64,
    calls: AtomicU64,
    step: Option<Step>,
    report: Option<File>,
}

/// The plan of this process.
pub static PLAN: LazyLock<Plan> = LazyLock::new(Plan::read);

fn call_of(name: &str) -> Option<Call> {
    Some(match name {
        "accept4" => Call::Accept,
        "connect" => Call::Connect,
        "recv" => Call::Recv,
        "send" => Call::Send,
        "epoll_wait" => Call::Wait,
        _ => return None,
    })
}

fn fault_of(name: &str) -> Option<Fault> {
    Some(Fault::Error(match name {
        "short" => return Some(Fault::Short),
        "ECONNABORTED" => libc::ECONNABORTED,
        "EMFILE" => libc::EMFILE,
        "ENFILE" => libc::ENFILE,
        "ENOBUFS" => libc::ENOBUFS,
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "ENETUNREACH" => libc::ENETUNREACH,
        "EHOSTUNREACH" => libc::EHOSTUNREACH,
        "ETIMEDOUT" => libc::ETIMEDOUT,
        "EINTR" => libc::EINTR,
        _ => return None,
    }))
}

fn rule_of(text: &str) -> Option<Rule> {
    let (call, rest) = text.split_once('=')?;
    let (fault, share) = rest.split_once('@')?;
    let name = format!("{call} {fault}\n");
    Some(Rule { call: call_of(call)?, fault: fault_of(fault)?, name, share: share.parse().ok()? })
}

fn step_of(text: &str) -> Option<Step> {
    let (seconds, after) = text.split_once('@')?;
    Some(Step { seconds: seconds.parse().ok()?, after: after.parse().ok()?, first: AtomicU64::new(0) })
}

impl Plan {
    /// A plan that can't be read ends the process: a test must not pass without its faults.
    fn read() -> Plan {
        let text = |name| std::env::var(name).unwrap_or_default();
        let whole = text("SHIM_PLAN");
        let parts: Vec<&str> = whole.split(';').filter(|part| !part.is_empty()).collect();
        let rules: Vec<Rule> = parts.iter().filter_map(|part| rule_of(part)).collect();
        let clock = text("SHIM_CLOCK");
        let step = step_of(&clock);
        if rules.len() != parts.len() || step.is_none() != clock.is_empty() {
            eprintln!("shim: can't read SHIM_PLAN '{whole}' or SHIM_CLOCK '{clock}'");
            std::process::abort();
        }
        let report = File::options().append(true).create(true).open(text("SHIM_REPORT")).ok();
        let seed = text("SHIM_SEED").parse().unwrap_or(1);
        Plan { rules, seed, calls: AtomicU64::new(0), step, report }
    }

    /// Whether any rule is about this call.
    pub fn concerns(&self, call: Call) -> bool {
        self.rules.iter().any(|rule| rule.call == call)
    }

    /// What befalls the next call, if anything; noted in the report.
    pub fn draw(&self, call: Call) -> Option<Fault> {
        let number = self.calls.fetch_add(1, Ordering::Relaxed);
        let mut chance = (mix(self.seed ^ mix(number)) >> 11) as f64 / (1_u64 << 53) as f64;
        for rule in self.rules.iter().filter(|rule| rule.call == call) {
            if chance < rule.share {
                // Lines of a few bytes that are appended stay whole.
                let _ = self.report.as_ref().map(|mut report| report.write_all(rule.name.as_bytes()));
                return Some(rule.fault);
            }
            chance -= rule.share;
        }
        None
    }

    /// Whether the wall clock steps at some time.
    pub fn steps(&self) -> bool {
        self.step.is_some()
    }

    /// By how much the wall clock is off at this time of the monotonic one, in seconds.
    pub fn step_at(&self, now: f64) -> i64 {
        let Some(step) = &self.step else { return 0 };
        let first = step.first.compare_exchange(0, now.to_bits(), Ordering::Relaxed, Ordering::Relaxed);
        let first = f64::from_bits(first.unwrap_or_else(|first| first));
        if first > 0.0 && now - first >= step.after {
            step.seconds
        } else {
            0
        }
    }
}

/// The finaliser of SplitMix64.
fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
