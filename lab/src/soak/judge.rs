//! Holds the records of a play against the rules.

use super::plan::SoakPlan;
use std::collections::HashMap;
use std::time::Duration;

/// How long after its budget a request may have its answer.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Allowance for the stand-ins' own clocks and scheduling.
const MEASUREMENT_SLACK: Duration = Duration::from_millis(100);
/// Longest time after a client's close at which its request may begin at a backend.
const BEGIN_SLACK: Duration = Duration::from_millis(100);

/// A request that comes this long after SIGTERM has to be answered before SIGKILL.
const TAKEN_AFTER_TERM: Duration = Duration::from_millis(700);

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// The record that shows it.
    pub evidence: String,
}

/// A request as its client saw it. Times are since the start of the play.
#[derive(Clone, Debug, Default)]
pub struct RequestRecord {
    /// The client's id of the request.
    pub id: String,
    /// What was sent.
    pub kind: String,
    /// When the system had taken the last byte, if it had.
    pub sent_at: Option<Duration>,
    /// Time that the client waits from then on.
    pub budget: Duration,
    /// When the request ended: its answer, the end of its connection, or the client's own end.
    pub ended_at: Duration,
    /// Status of the answer.
    pub status: Option<u16>,
    /// Whether the answer ended before its last byte.
    pub is_cut: bool,
    /// When the client left, if it did.
    pub left_at: Option<Duration>,
    /// Whether the class must not run twice.
    pub must_run_once: bool,
}

/// A request as a backend saw it.
#[derive(Clone, Debug)]
pub struct BackendRecord {
    /// The client's id of the request.
    pub id: String,
    /// When its head had come, or when it ran.
    pub at: Duration,
    /// Whether it ran: its last byte had come.
    pub ran: bool,
}

/// What was seen of the gateway's processes.
#[derive(Clone, Debug, Default)]
pub struct ProcessWatch {
    /// Largest memory of all processes together, in bytes.
    pub peak_memory: u64,
    /// Largest number of descriptors of all processes together.
    pub peak_descriptors: usize,
    /// Times from a planned signal until a process serves again.
    pub down: Vec<(Duration, Duration)>,
    /// Times of SIGTERM and of the SIGKILL that followed.
    pub killed: Vec<(Duration, Duration)>,
    /// Ends of processes that no step had planned.
    pub crashes: Vec<String>,
}

impl ProcessWatch {
    /// Returns whether a planned signal excuses a request that was open from `from` to `to`.
    fn excuses(&self, from: Duration, to: Duration) -> bool {
        let is_down = self.down.iter().any(|(down, up)| from <= *up && *down <= to);
        // What SIGKILL finds unanswered is lost only if it came long after SIGTERM.
        let is_killed = self.killed.iter().any(|(term, kill)| {
            from <= *term + TAKEN_AFTER_TERM && *kill <= to && to <= *kill + MEASUREMENT_SLACK
        });
        is_down || is_killed
    }
}

/// Returns the rules that were broken.
pub fn judge(
    plan: &SoakPlan,
    requests: &[RequestRecord],
    backend_records: &[BackendRecord],
    watch: &ProcessWatch,
) -> Vec<Violation> {
    let mut violations: Vec<Violation> =
        watch.crashes.iter().map(|text| Violation { rule: "crash", evidence: text.clone() }).collect();
    if watch.peak_memory > plan.memory_mb * 1_000_000 {
        violations.push(Violation { rule: "memory", evidence: format!("{} bytes", watch.peak_memory) });
    }
    if watch.peak_descriptors as u64 > plan.sockets {
        violations.push(Violation { rule: "descriptors", evidence: watch.peak_descriptors.to_string() });
    }
    let mut seen: HashMap<&str, Vec<&BackendRecord>> = HashMap::new();
    for record in backend_records {
        seen.entry(&record.id).or_default().push(record);
    }
    for request in requests {
        let at_backends = seen.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        let broken = broken_rule(request, at_backends, watch);
        violations.extend(broken.map(|rule| Violation { rule, evidence: format!("{request:?}") }));
    }
    violations
}

fn broken_rule(
    request: &RequestRecord,
    at_backends: &[&BackendRecord],
    watch: &ProcessWatch,
) -> Option<&'static str> {
    if request.must_run_once && at_backends.iter().filter(|record| record.ran).count() > 1 {
        return Some("twice");
    }
    if let Some(left_at) = request.left_at {
        let begun_late = |record: &&&BackendRecord| record.at > left_at + BEGIN_SLACK + MEASUREMENT_SLACK;
        return at_backends.iter().find(begun_late).map(|_| "begun after the close");
    }
    let sent_at = request.sent_at?;
    if watch.excuses(sent_at, request.ended_at) {
        return None;
    }
    if request.is_cut {
        return Some("cut");
    }
    let due = sent_at + request.budget + ANSWER_SLACK + MEASUREMENT_SLACK;
    match request.status {
        Some(200) if request.kind == "slow answer" => None,
        Some(_) if request.ended_at > due => Some("late"),
        Some(_) => None,
        // A connection that is closed unread is no loss.
        None if at_backends.is_empty() && request.ended_at <= due => None,
        None => Some("lost"),
    }
}
