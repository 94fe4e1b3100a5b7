//! The rules that hold always, each from the documents' words and the record of the stand-ins.

use crate::plan::{Microseconds, Plan};
use crate::record::{Attempt, End, Life, Outcome, Record, Try};
use crate::scenario::Effect;
use crate::settings::MOST_ATTEMPTS;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Exactly one final answer for each request taken, in time.
    Answered,
    /// No repeat beyond the class, and no request that no client sent.
    Effect,
    /// Nothing new to a backend 1 s after hearing that it drains or is gone.
    Drain,
    /// No cold backend pushed over.
    Cold,
    /// The ceiling of a plan over all gateways.
    Ceiling,
    /// No process ends unasked.
    Crash,
    /// Memory and descriptors within the limits.
    Limits,
    /// Nobody that can be reached goes by a rollout 3 s after its end.
    Halt,
}

/// A rule that was broken: how often, and the first cases.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Broken {
    /// Which.
    pub rule: Rule,
    /// How often.
    pub count: usize,
    /// Up to five cases.
    pub cases: Vec<String>,
}

/// Time limits are so much longer on sockets.
const SLACK: Microseconds = 50_000;
/// Nothing new this long after word of a drain.
const DRAIN: Microseconds = 1_000_000;
/// The ceiling's slack holds what its rate gives in this time, in seconds.
const CEILING_SLACK_S: f64 = 0.15;
/// After SIGTERM what comes later than this may be lost.
const AFTER_TERM: Microseconds = 700_000;
/// The part of a cold backend's load that has to come from gateways that knew of its start.
const KNOWING: f64 = 2.0 / 3.0;
/// Cases kept of each rule.
const CASES: usize = 5;

struct Book(BTreeMap<Rule, Broken>);

impl Book {
    fn note(&mut self, rule: Rule, at: Microseconds, case: String) {
        let broken = self.0.entry(rule).or_insert(Broken { rule, count: 0, cases: Vec::new() });
        broken.count += 1;
        if broken.cases.len() < CASES {
            broken.cases.push(format!("{:.3} s: {case}", at as f64 / 1e6));
        }
    }
}

/// When a gateway could not act: killed, paused, cut off from the clients.
pub(super) struct Absences {
    /// From and to, by gateway.
    out: HashMap<usize, Vec<(Microseconds, Microseconds)>>,
    pauses: HashMap<usize, Vec<(Microseconds, Microseconds)>>,
}

impl Absences {
    pub(super) fn of(record: &Record) -> Absences {
        let mut out: HashMap<usize, Vec<(Microseconds, Microseconds)>> = HashMap::new();
        let mut pauses: HashMap<usize, Vec<(Microseconds, Microseconds)>> = HashMap::new();
        let mut since: HashMap<usize, Microseconds> = HashMap::new();
        let mut paused: HashMap<usize, Microseconds> = HashMap::new();
        for event in &record.lives {
            match event.what {
                // The signal was sent a moment before it was noted.
                Life::Killed => drop(since.entry(event.gateway).or_insert(event.at.saturating_sub(SLACK))),
                Life::Terminated => drop(since.entry(event.gateway).or_insert(event.at + AFTER_TERM)),
                Life::Paused => {
                    paused.insert(event.gateway, event.at);
                }
                Life::Continued => {
                    if let Some(from) = paused.remove(&event.gateway) {
                        pauses.entry(event.gateway).or_default().push((from, event.at));
                    }
                }
                Life::Ready => {
                    if let Some(from) = since.remove(&event.gateway) {
                        out.entry(event.gateway).or_default().push((from, event.at));
                    }
                }
                Life::Started | Life::Ended { .. } => {}
            }
        }
        since
            .into_iter()
            .for_each(|(gateway, from)| out.entry(gateway).or_default().push((from, Microseconds::MAX)));
        paused
            .into_iter()
            .for_each(|(gateway, from)| pauses.entry(gateway).or_default().push((from, Microseconds::MAX)));
        for excuse in &record.excuses {
            out.entry(excuse.gateway).or_default().push((excuse.from, excuse.to));
        }
        Absences { out, pauses }
    }

    fn overlaps(
        spans: Option<&Vec<(Microseconds, Microseconds)>>,
        from: Microseconds,
        to: Microseconds,
    ) -> bool {
        spans.is_some_and(|spans| spans.iter().any(|(a, b)| *a <= to && from <= *b))
    }

    /// Whether nothing is owed for a request of this time.
    pub(super) fn excuses(&self, gateway: usize, from: Microseconds, to: Microseconds) -> bool {
        Absences::overlaps(self.out.get(&gateway), from, to)
            || Absences::overlaps(self.pauses.get(&gateway), from, to)
    }

    /// When a gateway that was told something at a time could first act on it.
    fn awake(&self, gateway: usize, at: Microseconds, by: Microseconds) -> Microseconds {
        let spans = self.pauses.get(&gateway).into_iter().flatten();
        spans.filter(|(from, to)| *from <= by && at <= *to).map(|(_, to)| *to).fold(at, Microseconds::max)
    }
}

/// All rules that were broken.
pub(super) fn broken(plan: &Plan, record: &Record) -> Vec<Broken> {
    let mut book = Book(BTreeMap::new());
    let absences = Absences::of(record);
    let mut by_id: HashMap<u64, Vec<&Attempt>> = HashMap::new();
    for attempt in &record.attempts {
        by_id.entry(attempt.id).or_default().push(attempt);
    }
    by_id.values_mut().for_each(|attempts| attempts.sort_by_key(|a| a.first));
    // The marks of answers that were made for any try of a request with a key: all of them are the same request.
    let mut marks: HashMap<usize, HashSet<u64>> = HashMap::new();
    for one in record.tries.iter().filter(|one| plan.keyed(plan.arrivals[one.arrival].class)) {
        let made = by_id.get(&one.id).into_iter().flatten().filter(|a| a.mark != 0).map(|a| a.mark);
        marks.entry(one.arrival).or_default().extend(made);
    }
    for one in &record.tries {
        let attempts = by_id.get(&one.id).map_or(&[][..], Vec::as_slice);
        answered(one, attempts, marks.get(&one.arrival), &absences, &mut book);
        effect(plan, one, attempts, &mut book);
    }
    for made_up in by_id.get(&0).into_iter().flatten() {
        let case = format!("g{} sent b{} a request that no client sent", made_up.gateway, made_up.backend);
        book.note(Rule::Effect, made_up.first, case);
    }
    drained(record, &absences, &mut book);
    for fall in record.falls.iter().filter(|fall| fall.knowing >= KNOWING) {
        let case = format!(
            "b{} was cold and fell over; {:.0}% of its load came from gateways that knew",
            fall.backend,
            fall.knowing * 100.0
        );
        book.note(Rule::Cold, fall.at, case);
    }
    ceilings(plan, record, &by_id, &mut book);
    processes(plan, record, &mut book);
    for (at, case) in super::rollout::went_on(plan, record, &absences) {
        book.note(Rule::Halt, at, case);
    }
    book.0.into_values().collect()
}

fn answered(
    one: &Try,
    attempts: &[&Attempt],
    marks: Option<&HashSet<u64>>,
    absences: &Absences,
    book: &mut Book,
) {
    let Some(written) = one.written else { return };
    let sent = written as f64 / 1e6;
    let who = format!("g{}, id {:016x}, try {}, written at {sent:.3} s", one.gateway, one.id, one.nth);
    if one.twice {
        book.note(Rule::Answered, one.ended, format!("{who}: more than one answer"));
    }
    let excused = absences.excuses(one.gateway, written, one.ended);
    match one.end {
        End::Broken if !excused => {
            book.note(Rule::Answered, one.ended, format!("{who}: its connection ended with no whole answer"));
        }
        End::GaveUp if !excused => {
            book.note(Rule::Answered, one.ended, format!("{who}: no answer half a second after its time"));
        }
        End::Answer { status: 200, mark } => {
            let made = attempts.iter().any(|a| a.mark != 0 && Some(a.mark) == mark)
                || mark.is_some_and(|mark| marks.is_some_and(|marks| marks.contains(&mark)));
            if !made {
                book.note(
                    Rule::Answered,
                    one.ended,
                    format!("{who}: served with what no backend made for it"),
                );
            }
        }
        _ => {}
    }
}

fn effect(plan: &Plan, one: &Try, attempts: &[&Attempt], book: &mut Book) {
    let class = &plan.scenario.classes[plan.arrivals[one.arrival].class];
    let who = format!("g{}, id {:016x}, class {}", one.gateway, one.id, class.name);
    if attempts.len() > MOST_ATTEMPTS {
        book.note(Rule::Effect, attempts[MOST_ATTEMPTS].first, format!("{who}: {} attempts", attempts.len()));
    }
    let may_have_run = |a: &&&Attempt| a.outcome != Outcome::TurnedAway;
    let Some(first) = attempts.iter().find(may_have_run) else { return };
    let later = attempts.iter().filter(|a| a.first > first.first);
    let window = (class.window_ms * 1000.0) as Microseconds;
    for attempt in later {
        let late = match class.effect {
            Effect::Safe => false,
            Effect::Keyed => attempt.first > first.first + window + SLACK,
            Effect::Unsafe => true,
        };
        if late {
            let after = (attempt.first - first.first) / 1000;
            let case =
                format!("{who}: sent again to b{} after {after} ms, though it may have run", attempt.backend);
            book.note(Rule::Effect, attempt.first, case);
        }
    }
    if class.effect == Effect::Unsafe && matches!(one.end, End::Answer { status: 429 | 503, .. }) {
        book.note(Rule::Effect, one.ended, format!("{who}: refused, though it may have run"));
    }
}

/// Word of a backend: when, whether it is ready, from which process.
type Word = (Microseconds, bool, usize);

fn drained(record: &Record, absences: &Absences, book: &mut Book) {
    let mut told: HashMap<(usize, usize), Vec<Word>> = HashMap::new();
    for word in &record.told {
        told.entry((word.gateway, word.backend)).or_default().push((word.at, word.ready, word.life));
    }
    let mut starts: HashMap<usize, Vec<(Microseconds, usize)>> = HashMap::new();
    for event in record.lives.iter().filter(|event| event.what == Life::Started) {
        starts.entry(event.gateway).or_default().push((event.at, event.life));
    }
    for attempt in &record.attempts {
        let Some(words) = told.get(&(attempt.gateway, attempt.backend)) else { continue };
        let lives = starts.get(&attempt.gateway).into_iter().flatten();
        let life = lives.filter(|(at, _)| *at <= attempt.first).map(|(_, life)| *life).max().unwrap_or(0);
        let last =
            words.iter().filter(|(at, _, l)| *l == life && *at <= attempt.first).max_by_key(|(at, ..)| *at);
        let Some((at, false, _)) = last else { continue };
        let heard = absences.awake(attempt.gateway, *at, attempt.first);
        if attempt.first > heard + DRAIN + SLACK {
            let after = (attempt.first - heard) / 1000;
            let case = format!(
                "g{} sent to b{} {after} ms after hearing that it goes",
                attempt.gateway, attempt.backend
            );
            book.note(Rule::Drain, attempt.first, case);
        }
    }
}

fn ceilings(plan: &Plan, record: &Record, by_id: &HashMap<u64, Vec<&Attempt>>, book: &mut Book) {
    let mut spent: HashMap<usize, Vec<(Microseconds, f64)>> = HashMap::new();
    let (mut seen, mut used) = (HashSet::new(), HashSet::new());
    for one in record.tries.iter().filter(|one| seen.insert(one.id)) {
        let arrival = &plan.arrivals[one.arrival];
        let Some(first) = by_id.get(&one.id).and_then(|attempts| attempts.first()) else { continue };
        // The repeats of a request with a key are dropped, and are no further use.
        if plan.keyed(arrival.class) && !used.insert(one.arrival) {
            continue;
        }
        spent.entry(arrival.customer).or_default().push((first.first, f64::from(arrival.units)));
    }
    for (customer, mut taken) in spent {
        let spec = &plan.customers[customer];
        let Some((rate, burst, slack)) = plan.ceiling(spec.plan) else { continue };
        taken.sort_by_key(|(at, _)| *at);
        let (mut store, mut last) = (burst, 0);
        for (at, units) in taken {
            store = (store + rate * (at - last) as f64 / 1e6).min(burst) - units;
            last = at;
            let least = -(slack + rate * CEILING_SLACK_S);
            if store < least - 1e-6 {
                let case = format!(
                    "customer {:016x} is {:.1} units under its ceiling's store, {:.1} at most",
                    spec.number, -store, -least
                );
                book.note(Rule::Ceiling, at, case);
                // Each passing counts once.
                store = 0.0;
            }
        }
    }
}

fn processes(plan: &Plan, record: &Record, book: &mut Book) {
    let mut ready = HashSet::new();
    for event in &record.lives {
        match &event.what {
            Life::Ready => drop(ready.insert((event.gateway, event.life))),
            Life::Ended { asked: false, how } => {
                book.note(Rule::Crash, event.at, format!("g{} ended: {how}", event.gateway));
            }
            _ => {}
        }
    }
    let limits = &plan.scenario.gateways;
    let mut worst: BTreeMap<usize, (u64, usize, Microseconds)> = BTreeMap::new();
    for usage in &record.usage {
        let entry = worst.entry(usage.gateway).or_insert((0, 0, usage.at));
        if usage.memory > entry.0 || usage.descriptors > entry.1 {
            entry.2 = usage.at;
        }
        entry.0 = entry.0.max(usage.memory);
        entry.1 = entry.1.max(usage.descriptors);
    }
    for (gateway, (memory, descriptors, at)) in worst {
        if memory as f64 > limits.memory_mb * 1e6 {
            book.note(
                Rule::Limits,
                at,
                format!("g{gateway} held {:.1} MB, {} at most", memory as f64 / 1e6, limits.memory_mb),
            );
        }
        if descriptors > limits.sockets {
            book.note(
                Rule::Limits,
                at,
                format!("g{gateway} held {descriptors} descriptors, {} at most", limits.sockets),
            );
        }
    }
}
