//! Invariants that hold in every run, checked against the record of the stand-ins.

use crate::plan::{Microseconds, Plan};
use crate::record::{Attempt, End, Life, Outcome, Record, Try};
use crate::scenario::Effect;
use crate::settings::MOST_ATTEMPTS;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Invariant of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each request that a gateway received gets exactly one final answer, in time.
    Answered,
    /// No request is repeated beyond what its class permits, and each forwarded request was sent by a client.
    Effect,
    /// A gateway sends a backend no new request from 1 s after the notice that it is draining or gone.
    Drain,
    /// No backend that is warming up is overloaded by gateways that knew of its start.
    Cold,
    /// No customer exceeds its plan's ceiling over all gateways.
    Ceiling,
    /// No gateway process ends by itself.
    Crash,
    /// Each gateway stays within its limits of memory and descriptors.
    Limits,
    /// No reachable gateway applies a rollout later than 3 s after its end.
    Halt,
}

/// Rule that was broken, with the number of cases and the first of them.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RuleViolation {
    /// The broken rule.
    pub rule: Rule,
    /// Number of cases.
    pub count: usize,
    /// Descriptions of the first five cases.
    pub cases: Vec<String>,
}

/// Tolerance added to time limits for delays of sockets and scheduling.
const SLACK_US: Microseconds = 50_000;
/// Time within which a gateway has to act on the notice that a backend is draining.
const DRAIN_NOTICE_US: Microseconds = 1_000_000;
/// Tolerance of a ceiling beyond its slack, as the units that its rate gives in this time, in seconds.
const CEILING_SLACK_S: f64 = 0.15;
/// A request that arrives later than this after SIGTERM may be lost.
const TERM_ACCEPT_US: Microseconds = 700_000;
/// Overload of a backend that is warming up breaks the rule if at least this fraction of its load came from gateways
/// that knew of its start.
const MIN_INFORMED_FRACTION: f64 = 2.0 / 3.0;
/// Maximum number of case descriptions for each rule.
const MAX_CASES: usize = 5;

struct Violations(BTreeMap<Rule, RuleViolation>);

impl Violations {
    fn add(&mut self, rule: Rule, at: Microseconds, case: String) {
        let violation = self.0.entry(rule).or_insert(RuleViolation { rule, count: 0, cases: Vec::new() });
        violation.count += 1;
        if violation.cases.len() < MAX_CASES {
            violation.cases.push(format!("{:.3} s: {case}", at as f64 / 1e6));
        }
    }
}

/// Times at which gateways could not act: killed, paused, or cut off from the clients.
pub(super) struct Outages {
    /// Start and end of each outage by kill, SIGTERM or lost connection to clients, by gateway.
    unreachable: HashMap<usize, Vec<(Microseconds, Microseconds)>>,
    /// Start and end of each pause, by gateway.
    pauses: HashMap<usize, Vec<(Microseconds, Microseconds)>>,
}

impl Outages {
    pub(super) fn from_record(record: &Record) -> Outages {
        let mut unreachable: HashMap<usize, Vec<(Microseconds, Microseconds)>> = HashMap::new();
        let mut pauses: HashMap<usize, Vec<(Microseconds, Microseconds)>> = HashMap::new();
        let mut since: HashMap<usize, Microseconds> = HashMap::new();
        let mut paused_since: HashMap<usize, Microseconds> = HashMap::new();
        for event in &record.lives {
            match event.what {
                // The record's time is slightly later than the signal.
                Life::Killed => drop(since.entry(event.gateway).or_insert(event.at.saturating_sub(SLACK_US))),
                Life::Terminated => drop(since.entry(event.gateway).or_insert(event.at + TERM_ACCEPT_US)),
                Life::Paused => {
                    paused_since.insert(event.gateway, event.at);
                }
                Life::Continued => {
                    if let Some(from) = paused_since.remove(&event.gateway) {
                        pauses.entry(event.gateway).or_default().push((from, event.at));
                    }
                }
                Life::Ready => {
                    if let Some(from) = since.remove(&event.gateway) {
                        unreachable.entry(event.gateway).or_default().push((from, event.at));
                    }
                }
                Life::Started | Life::Ended { .. } => {}
            }
        }
        since.into_iter().for_each(|(gateway, from)| {
            unreachable.entry(gateway).or_default().push((from, Microseconds::MAX))
        });
        paused_since
            .into_iter()
            .for_each(|(gateway, from)| pauses.entry(gateway).or_default().push((from, Microseconds::MAX)));
        for window in &record.excuses {
            unreachable.entry(window.gateway).or_default().push((window.from, window.to));
        }
        Outages { unreachable, pauses }
    }

    fn overlaps(
        periods: Option<&Vec<(Microseconds, Microseconds)>>,
        from: Microseconds,
        to: Microseconds,
    ) -> bool {
        periods.is_some_and(|periods| periods.iter().any(|(a, b)| *a <= to && from <= *b))
    }

    /// Whether an outage or pause of the gateway overlaps the times, so that a request in them may go unanswered.
    pub(super) fn any_during(&self, gateway: usize, from: Microseconds, to: Microseconds) -> bool {
        Outages::overlaps(self.unreachable.get(&gateway), from, to)
            || Outages::overlaps(self.pauses.get(&gateway), from, to)
    }

    /// Returns when a gateway could first act on a notice of the time `at`: the end of a pause if it was paused between
    /// `at` and `by`.
    fn first_active(&self, gateway: usize, at: Microseconds, by: Microseconds) -> Microseconds {
        let periods = self.pauses.get(&gateway).into_iter().flatten();
        periods.filter(|(from, to)| *from <= by && at <= *to).map(|(_, to)| *to).fold(at, Microseconds::max)
    }
}

/// Returns all rules that were broken.
pub(super) fn violations(plan: &Plan, record: &Record) -> Vec<RuleViolation> {
    let mut violations = Violations(BTreeMap::new());
    let outages = Outages::from_record(record);
    let mut by_id: HashMap<u64, Vec<&Attempt>> = HashMap::new();
    for attempt in &record.attempts {
        by_id.entry(attempt.id).or_default().push(attempt);
    }
    by_id.values_mut().for_each(|attempts| attempts.sort_by_key(|a| a.first));
    // Marks of the answers made for any client attempt of a request with an idempotency key: all are the same request.
    let mut marks: HashMap<usize, HashSet<u64>> = HashMap::new();
    for client_attempt in
        record.tries.iter().filter(|client_attempt| plan.keyed(plan.arrivals[client_attempt.arrival].class))
    {
        let new_marks =
            by_id.get(&client_attempt.id).into_iter().flatten().filter(|a| a.mark != 0).map(|a| a.mark);
        marks.entry(client_attempt.arrival).or_default().extend(new_marks);
    }
    for client_attempt in &record.tries {
        let attempts = by_id.get(&client_attempt.id).map_or(&[][..], Vec::as_slice);
        check_answered(
            client_attempt,
            attempts,
            marks.get(&client_attempt.arrival),
            &outages,
            &mut violations,
        );
        check_effect(plan, client_attempt, attempts, &mut violations);
    }
    for made_up in by_id.get(&0).into_iter().flatten() {
        let case = format!("g{} sent b{} a request that no client sent", made_up.gateway, made_up.backend);
        violations.add(Rule::Effect, made_up.first, case);
    }
    check_drained(record, &outages, &mut violations);
    for fall in record.falls.iter().filter(|fall| fall.knowing >= MIN_INFORMED_FRACTION) {
        let case = format!(
            "b{} was overloaded while warming up; {:.0}% of its load came from gateways that knew of its start",
            fall.backend,
            fall.knowing * 100.0
        );
        violations.add(Rule::Cold, fall.at, case);
    }
    check_ceilings(plan, record, &by_id, &mut violations);
    check_processes(plan, record, &mut violations);
    for (at, case) in super::rollout::applied_after_end(plan, record, &outages) {
        violations.add(Rule::Halt, at, case);
    }
    violations.0.into_values().collect()
}

fn check_answered(
    client_attempt: &Try,
    attempts: &[&Attempt],
    marks: Option<&HashSet<u64>>,
    outages: &Outages,
    violations: &mut Violations,
) {
    let Some(written) = client_attempt.written else { return };
    let sent = written as f64 / 1e6;
    let request = format!(
        "g{}, id {:016x}, client attempt {}, written at {sent:.3} s",
        client_attempt.gateway, client_attempt.id, client_attempt.nth
    );
    if client_attempt.twice {
        violations.add(Rule::Answered, client_attempt.ended, format!("{request}: more than one answer"));
    }
    let is_excused = outages.any_during(client_attempt.gateway, written, client_attempt.ended);
    match client_attempt.end {
        End::Broken if !is_excused => {
            violations.add(
                Rule::Answered,
                client_attempt.ended,
                format!("{request}: the connection ended before a complete answer"),
            );
        }
        End::GaveUp if !is_excused => {
            violations.add(
                Rule::Answered,
                client_attempt.ended,
                format!("{request}: no answer within 0.5 s after the client's time-out"),
            );
        }
        End::Answer { status: 200, mark } => {
            let is_genuine = attempts.iter().any(|a| a.mark != 0 && Some(a.mark) == mark)
                || mark.is_some_and(|mark| marks.is_some_and(|marks| marks.contains(&mark)));
            if !is_genuine {
                violations.add(
                    Rule::Answered,
                    client_attempt.ended,
                    format!("{request}: answered 200 with a body that no backend made for it"),
                );
            }
        }
        _ => {}
    }
}

fn check_effect(plan: &Plan, client_attempt: &Try, attempts: &[&Attempt], violations: &mut Violations) {
    let class = &plan.scenario.classes[plan.arrivals[client_attempt.arrival].class];
    let request = format!("g{}, id {:016x}, class {}", client_attempt.gateway, client_attempt.id, class.name);
    if attempts.len() > MOST_ATTEMPTS {
        violations.add(
            Rule::Effect,
            attempts[MOST_ATTEMPTS].first,
            format!("{request}: {} attempts", attempts.len()),
        );
    }
    let may_have_run = |a: &&&Attempt| a.outcome != Outcome::TurnedAway;
    let Some(first) = attempts.iter().find(may_have_run) else { return };
    let later = attempts.iter().filter(|a| a.first > first.first);
    let window = (class.window_ms * 1000.0) as Microseconds;
    for attempt in later {
        let is_violation = match class.effect {
            Effect::Safe => false,
            Effect::Keyed => attempt.first > first.first + window + SLACK_US,
            Effect::Unsafe => true,
        };
        if is_violation {
            let after_ms = (attempt.first - first.first) / 1000;
            let case = format!(
                "{request}: sent again to b{} after {after_ms} ms, though it may have run",
                attempt.backend
            );
            violations.add(Rule::Effect, attempt.first, case);
        }
    }
    if class.effect == Effect::Unsafe && matches!(client_attempt.end, End::Answer { status: 429 | 503, .. }) {
        violations.add(
            Rule::Effect,
            client_attempt.ended,
            format!("{request}: rejected, though it may have run"),
        );
    }
}

/// Notice of discovery on a backend: its time, whether the backend is ready, and the gateway process that received it.
type EndpointNotice = (Microseconds, bool, usize);

fn check_drained(record: &Record, outages: &Outages, violations: &mut Violations) {
    let mut notices: HashMap<(usize, usize), Vec<EndpointNotice>> = HashMap::new();
    for notice in &record.told {
        notices.entry((notice.gateway, notice.backend)).or_default().push((
            notice.at,
            notice.ready,
            notice.life,
        ));
    }
    let mut starts: HashMap<usize, Vec<(Microseconds, usize)>> = HashMap::new();
    for event in record.lives.iter().filter(|event| event.what == Life::Started) {
        starts.entry(event.gateway).or_default().push((event.at, event.life));
    }
    for attempt in &record.attempts {
        let Some(notices_of_backend) = notices.get(&(attempt.gateway, attempt.backend)) else { continue };
        let lives = starts.get(&attempt.gateway).into_iter().flatten();
        let life = lives.filter(|(at, _)| *at <= attempt.first).map(|(_, life)| *life).max().unwrap_or(0);
        let last = notices_of_backend
            .iter()
            .filter(|(at, _, l)| *l == life && *at <= attempt.first)
            .max_by_key(|(at, ..)| *at);
        let Some((at, false, _)) = last else { continue };
        let noticed_at = outages.first_active(attempt.gateway, *at, attempt.first);
        if attempt.first > noticed_at + DRAIN_NOTICE_US + SLACK_US {
            let after_ms = (attempt.first - noticed_at) / 1000;
            let case = format!(
                "g{} sent to b{} {after_ms} ms after the notice that it is draining or gone",
                attempt.gateway, attempt.backend
            );
            violations.add(Rule::Drain, attempt.first, case);
        }
    }
}

fn check_ceilings(
    plan: &Plan,
    record: &Record,
    by_id: &HashMap<u64, Vec<&Attempt>>,
    violations: &mut Violations,
) {
    let mut spent: HashMap<usize, Vec<(Microseconds, f64)>> = HashMap::new();
    let (mut seen_ids, mut used_arrivals) = (HashSet::new(), HashSet::new());
    for client_attempt in record.tries.iter().filter(|client_attempt| seen_ids.insert(client_attempt.id)) {
        let arrival = &plan.arrivals[client_attempt.arrival];
        let Some(first) = by_id.get(&client_attempt.id).and_then(|attempts| attempts.first()) else {
            continue;
        };
        // Repeats of a request with an idempotency key are dropped and use no further quota.
        if plan.keyed(arrival.class) && !used_arrivals.insert(client_attempt.arrival) {
            continue;
        }
        spent.entry(arrival.customer).or_default().push((first.first, f64::from(arrival.units)));
    }
    for (customer, mut spending) in spent {
        let spec = &plan.customers[customer];
        let Some((rate, burst, slack)) = plan.ceiling(spec.plan) else { continue };
        spending.sort_by_key(|(at, _)| *at);
        let (mut level, mut last) = (burst, 0);
        for (at, units) in spending {
            level = (level + rate * (at - last) as f64 / 1e6).min(burst) - units;
            last = at;
            let min_level = -(slack + rate * CEILING_SLACK_S);
            if level < min_level - 1e-6 {
                let case = format!(
                    "customer {:016x} is {:.1} units over its ceiling; the tolerance is {:.1} units",
                    spec.number, -level, -min_level
                );
                violations.add(Rule::Ceiling, at, case);
                // Starts again from empty, so that each excess counts once.
                level = 0.0;
            }
        }
    }
}

fn check_processes(plan: &Plan, record: &Record, violations: &mut Violations) {
    let mut ready = HashSet::new();
    for event in &record.lives {
        match &event.what {
            Life::Ready => drop(ready.insert((event.gateway, event.life))),
            Life::Ended { asked: false, how } => {
                violations.add(Rule::Crash, event.at, format!("g{} ended: {how}", event.gateway));
            }
            _ => {}
        }
    }
    let limits = &plan.scenario.gateways;
    let mut peaks: BTreeMap<usize, (u64, usize, Microseconds)> = BTreeMap::new();
    for usage in &record.usage {
        let peak = peaks.entry(usage.gateway).or_insert((0, 0, usage.at));
        if usage.memory > peak.0 || usage.descriptors > peak.1 {
            peak.2 = usage.at;
        }
        peak.0 = peak.0.max(usage.memory);
        peak.1 = peak.1.max(usage.descriptors);
    }
    for (gateway, (memory, descriptors, at)) in peaks {
        if memory as f64 > limits.memory_mb * 1e6 {
            violations.add(
                Rule::Limits,
                at,
                format!(
                    "g{gateway} used {:.1} MB; the limit is {} MB",
                    memory as f64 / 1e6,
                    limits.memory_mb
                ),
            );
        }
        if descriptors > limits.sockets {
            violations.add(
                Rule::Limits,
                at,
                format!("g{gateway} used {descriptors} descriptors; the limit is {}", limits.sockets),
            );
        }
    }
}
