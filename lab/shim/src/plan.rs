//! Plan of the system call faults and the clock step, read from the environment.

use std::fs::File;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::LazyLock;

/// System call that can be made to fail.
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

/// Kind of failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this errno.
    Error(i32),
    /// The call transfers only one byte, or one buffer of `writev`.
    Short,
}

struct Rule {
    call: Call,
    fault: Fault,
    name: String,
    share: f64,
}

struct ClockStep {
    seconds: i64,
    /// Seconds between the first reading and the step.
    after: f64,
    /// Bits of the monotonic time, as `f64`, at which the wall clock was first read; 0 before that.
    first: AtomicU64,
}

/// Faults that the environment configures.
pub struct Plan {
    rules: Vec<Rule>,
    seed: u64,
    calls: AtomicU64,
    step: Option<ClockStep>,
    report: Option<File>,
}

/// Plan of this process.
pub static PLAN: LazyLock<Plan> = LazyLock::new(Plan::read);

fn parse_call(name: &str) -> Option<Call> {
    Some(match name {
        "accept4" => Call::Accept,
        "connect" => Call::Connect,
        "recv" => Call::Recv,
        "send" => Call::Send,
        "epoll_wait" => Call::Wait,
        _ => return None,
    })
}

fn parse_fault(name: &str) -> Option<Fault> {
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

fn parse_rule(text: &str) -> Option<Rule> {
    let (call, rest) = text.split_once('=')?;
    let (fault, share) = rest.split_once('@')?;
    let name = format!("{call} {fault}\n");
    Some(Rule { call: parse_call(call)?, fault: parse_fault(fault)?, name, share: share.parse().ok()? })
}

fn parse_clock_step(text: &str) -> Option<ClockStep> {
    let (seconds, after) = text.split_once('@')?;
    Some(ClockStep { seconds: seconds.parse().ok()?, after: after.parse().ok()?, first: AtomicU64::new(0) })
}

impl Plan {
    /// Reads the plan from the environment. Aborts the process if it is invalid, because a test must not pass without its
    /// faults.
    fn read() -> Plan {
        let text = |name| std::env::var(name).unwrap_or_default();
        let plan = text("SHIM_PLAN");
        let parts: Vec<&str> = plan.split(';').filter(|part| !part.is_empty()).collect();
        let rules: Vec<Rule> = parts.iter().filter_map(|part| parse_rule(part)).collect();
        let clock = text("SHIM_CLOCK");
        let step = parse_clock_step(&clock);
        if rules.len() != parts.len() || step.is_none() != clock.is_empty() {
            eprintln!("shim: invalid SHIM_PLAN '{plan}' or SHIM_CLOCK '{clock}'");
            std::process::abort();
        }
        let report = File::options().append(true).create(true).open(text("SHIM_REPORT")).ok();
        let seed = text("SHIM_SEED").parse().unwrap_or(1);
        Plan { rules, seed, calls: AtomicU64::new(0), step, report }
    }

    /// Returns whether any rule applies to a call.
    pub fn has_rule(&self, call: Call) -> bool {
        self.rules.iter().any(|rule| rule.call == call)
    }

    /// Draws the fault of the next call, if any, and appends it to the report.
    pub fn draw(&self, call: Call) -> Option<Fault> {
        let number = self.calls.fetch_add(1, Ordering::Relaxed);
        let mut chance = (mix(self.seed ^ mix(number)) >> 11) as f64 / (1_u64 << 53) as f64;
        for rule in self.rules.iter().filter(|rule| rule.call == call) {
            if chance < rule.share {
                // Appending a few bytes is a single write, so that lines of several threads are not mixed.
                let _ = self.report.as_ref().map(|mut report| report.write_all(rule.name.as_bytes()));
                return Some(rule.fault);
            }
            chance -= rule.share;
        }
        None
    }

    /// Returns whether a step of the wall clock is configured.
    pub fn has_clock_step(&self) -> bool {
        self.step.is_some()
    }

    /// Returns the offset of the wall clock in seconds at a time of the monotonic clock.
    pub fn clock_offset(&self, now: f64) -> i64 {
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

/// SplitMix64: increment and finalizer.
fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
