//! The figures of a run: worth served inside quotas, and what it cost.

use super::earned_weight::{earned_weights, rows, served_fraction, EarnedWeight, Row};
use super::histogram::histogram;
use super::quota_replay::quota_use;
use super::timeline::{timeline, worst, Timeline};
use crate::plan::{Microseconds, Plan};
use crate::record::{Attempt, End, Record, Try};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// The figures of a run. Shares are of 1; times in milliseconds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Metrics {
    /// Requests asked for, retries apart.
    pub requests: usize,
    /// Tries of clients.
    pub tries: usize,
    /// Worth answered in time inside quotas, over worth asked for inside quotas.
    pub served: f64,
    /// The same over the worst 10 s.
    pub worst_10s: f64,
    /// The same of the worst plan.
    pub worst_plan: f64,
    /// Tries refused, of all.
    pub refused: f64,
    /// Tries refused while half of the customer's quota or more was unused, of all.
    pub refused_with_room: f64,
    /// Units sent on beyond quotas, of all units sent on.
    pub beyond: f64,
    /// What those cost by their plans' prices, over the worth asked for inside quotas.
    pub over_cost: f64,
    /// The goal of the published site: 0.55 served + 0.2 worst_10s + 0.25 worst_plan - over_cost - 0.01 counter_calls
    /// - 0.01 attempts that crossed zones a request. Prices of waste and of late failures are not in it.
    pub goal: f64,
    /// Attempts at backends a request.
    pub attempts: f64,
    /// Attempts that crossed zones, of all.
    pub cross_zone: f64,
    /// Calls to the counter a request.
    pub counter_calls: f64,
    /// Of those calls, turned away.
    pub counter_full: f64,
    /// New connections at backends a request.
    pub connections: f64,
    /// Processor time of gateways a try, in microseconds.
    pub cpu_us: f64,
    /// Processor time of the lab itself a try, in microseconds.
    pub lab_cpu_us: f64,
    /// Answers 200: half came within this.
    pub p50_ms: f64,
    /// 99 in 100.
    pub p99_ms: f64,
    /// 999 in 1,000.
    pub p999_ms: f64,
    /// Cold backends that fell over, whoever is to blame.
    pub cold_fallen: f64,
    /// The most memory of a gateway, in millions of bytes.
    pub memory_mb: f64,
    /// The most descriptors of a gateway.
    pub descriptors: usize,
    /// Of the gateways that ran at the end, the part that held exactly each other to be present (0: nobody talks).
    pub fleet_one: f64,
    /// Seconds from the last fault's end or process's start until the last look that saw a gateway wrong.
    pub fleet_wrong_s: f64,
    /// Of the gateways that ran at the end, the part that said that all agree.
    pub fleet_agreed: f64,
    /// Looks at which a gateway in good order was held down, well after every fault.
    pub fleet_false_downs: f64,
    /// Pairs of looks at one time at two agreed views by one number.
    pub fleet_two_views: f64,
    /// Requests with a key, or such that must not run twice, that a gateway had whole when it was killed, stopped or
    /// cut off: how many ...
    pub orphans: f64,
    /// ... the part of them whose client got its answer 200 in its time ...
    pub orphans_served: f64,
    /// ... that a backend served, whether or not their clients came again ...
    pub orphans_ran: f64,
    /// ... and how long after the loss half of those answers came, and 99 in 100.
    pub orphan_p50_ms: f64,
    /// 99 in 100.
    pub orphan_p99_ms: f64,
    /// What the gateways said of their ledger: claims ...
    pub ledger_claims: f64,
    /// ... of them, work that went on without a record ...
    pub ledger_alone: f64,
    /// ... that was taken over, found in work elsewhere, found answered, and lost to another.
    pub ledger_taken: f64,
    /// Found in work elsewhere.
    pub ledger_joined: f64,
    /// Found answered.
    pub ledger_told: f64,
    /// Lost to another owner.
    pub ledger_lost: f64,
    /// Writes that a branch accepted with 202 ...
    pub accepted: f64,
    /// ... those of them that did not run and have no other end that their clients were told ...
    pub accepted_lost: f64,
    /// ... that did not run, as another stands in their place; were given up or may have run; wait still ...
    pub accepted_superseded: f64,
    /// Given up, or may have run.
    pub accepted_not_done: f64,
    /// Wait still.
    pub accepted_open: f64,
    /// ... of which what their clients were told was not true ...
    pub accepted_untrue: f64,
    /// ... pairs of one customer's that ran the other way round than they were accepted ...
    pub accepted_disorder: f64,
    /// ... and seconds from the last fault's end to the last that ran.
    pub drained_s: f64,
    /// The highest stage of the last rollout of rules that a gateway went by.
    pub rollout_stage: f64,
    /// Of the gateways' last words on it, the part that said done ...
    pub rollout_done: f64,
    /// ... and halted.
    pub rollout_halted: f64,
    /// Seconds from its first stage until somebody said that it was halted ...
    pub halt_after_s: f64,
    /// ... and from then until the last gateway that still went by it.
    pub halt_spread_s: f64,
    /// How many processes led it.
    pub rollout_leaders: f64,
    /// Requests with a key that ran more than once within the time in which repeats are dropped, or that must not run
    /// twice and did.
    pub doubled: f64,
    /// How late the generator was with first tries: at the middle ...
    pub late_p50_ms: f64,
    /// ... and at the 99th percentile.
    pub late_p99_ms: f64,
    /// Served share by plan.
    pub plans: Vec<Row>,
    /// Served share by class.
    pub classes: Vec<Row>,
    /// Served share by zone of the gateway that served or was asked first.
    pub zones: Vec<Row>,
}

impl Metrics {
    /// The figure of a name that `[expect]` may bound.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.named().into_iter().find(|(n, _)| *n == name).map(|(_, value)| value)
    }
    /// The figures that can be compared and bounded.
    pub fn named(&self) -> Vec<(&'static str, f64)> {
        vec![
            ("served", self.served),
            ("worst_10s", self.worst_10s),
            ("worst_plan", self.worst_plan),
            ("refused", self.refused),
            ("refused_with_room", self.refused_with_room),
            ("beyond", self.beyond),
            ("over_cost", self.over_cost),
            ("goal", self.goal),
            ("attempts", self.attempts),
            ("cross_zone", self.cross_zone),
            ("counter_calls", self.counter_calls),
            ("counter_full", self.counter_full),
            ("connections", self.connections),
            ("cpu_us", self.cpu_us),
            ("lab_cpu_us", self.lab_cpu_us),
            ("p50_ms", self.p50_ms),
            ("p99_ms", self.p99_ms),
            ("p999_ms", self.p999_ms),
            ("cold_fallen", self.cold_fallen),
            ("fleet_one", self.fleet_one),
            ("fleet_wrong_s", self.fleet_wrong_s),
            ("fleet_agreed", self.fleet_agreed),
            ("fleet_false_downs", self.fleet_false_downs),
            ("fleet_two_views", self.fleet_two_views),
            ("orphans", self.orphans),
            ("orphans_served", self.orphans_served),
            ("orphans_ran", self.orphans_ran),
            ("orphan_p50_ms", self.orphan_p50_ms),
            ("orphan_p99_ms", self.orphan_p99_ms),
            ("doubled", self.doubled),
            ("accepted", self.accepted),
            ("accepted_lost", self.accepted_lost),
            ("accepted_superseded", self.accepted_superseded),
            ("accepted_not_done", self.accepted_not_done),
            ("accepted_open", self.accepted_open),
            ("accepted_untrue", self.accepted_untrue),
            ("accepted_disorder", self.accepted_disorder),
            ("drained_s", self.drained_s),
            ("rollout_stage", self.rollout_stage),
            ("rollout_done", self.rollout_done),
            ("rollout_halted", self.rollout_halted),
            ("halt_after_s", self.halt_after_s),
            ("halt_spread_s", self.halt_spread_s),
            ("rollout_leaders", self.rollout_leaders),
            ("ledger_claims", self.ledger_claims),
            ("ledger_alone", self.ledger_alone),
            ("ledger_taken", self.ledger_taken),
            ("ledger_joined", self.ledger_joined),
            ("ledger_told", self.ledger_told),
            ("ledger_lost", self.ledger_lost),
        ]
    }
}

pub(super) fn measure(plan: &Plan, record: &Record) -> (Metrics, Timeline) {
    let from = crate::plan::us(plan.scenario.warm_up_s);
    let mut first: HashMap<u64, Microseconds> = HashMap::new();
    for attempt in &record.attempts {
        let at = first.entry(attempt.id).or_insert(attempt.first);
        *at = (*at).min(attempt.first);
    }
    let quotas = quota_use(plan, record, &first, from);
    let worths = earned_weights(plan, record, &quotas);
    let counted = |number: usize| plan.arrivals[number].at >= from;
    let sum = |pick: fn(&EarnedWeight) -> f64| {
        worths.iter().enumerate().filter(|(n, _)| counted(*n)).map(|(_, w)| pick(w)).sum::<f64>()
    };
    let timeline = timeline(plan, record, &worths);
    let tries: Vec<&Try> = record.tries.iter().filter(|t| t.due >= from).collect();
    let attempts: Vec<&Attempt> = record.attempts.iter().filter(|a| a.first >= from).collect();
    let requests = plan.arrivals.iter().filter(|a| a.at >= from).count();
    let each = |count: usize| count as f64 / requests.max(1) as f64;
    let zone = |gateway: usize| gateway % plan.scenario.zones();
    let crossed =
        attempts.iter().filter(|a| plan.backends.get(a.backend).is_some_and(|b| b.zone != zone(a.gateway)));
    let names = |list: Vec<&String>| list.into_iter().cloned().collect::<Vec<String>>();
    let plans = rows(&worths, &names(plan.scenario.plans.iter().map(|p| &p.name).collect()), |n| {
        counted(n).then(|| plan.customers[plan.arrivals[n].customer].plan)
    });
    let times = histogram(
        tries.iter().filter(|t| matches!(t.end, End::Answer { status: 200, .. })).map(|t| t.ended - t.due),
    );
    let late = histogram(tries.iter().filter(|t| t.nth == 0).map(|t| t.began.saturating_sub(t.due)));
    let at = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
    let fleet = super::cluster::words(plan, record);
    let orphans = super::abandoned_requests::measure(plan, record);
    let ledger = super::abandoned_requests::ledger(record);
    let staged = super::rollout::staged(record);
    let accepted = super::accepted_writes::measure(plan, record);
    let mut figures = Metrics {
        fleet_one: fleet.one,
        fleet_wrong_s: fleet.wrong_for_s,
        fleet_agreed: fleet.agreed,
        fleet_false_downs: fleet.false_downs as f64,
        fleet_two_views: fleet.two_views as f64,
        orphans: orphans.count as f64,
        orphans_served: orphans.served,
        orphans_ran: orphans.ran,
        orphan_p50_ms: orphans.p50_ms,
        orphan_p99_ms: orphans.p99_ms,
        doubled: orphans.doubled as f64,
        accepted: accepted.count as f64,
        accepted_lost: accepted.lost.len() as f64,
        accepted_superseded: accepted.superseded as f64,
        accepted_not_done: accepted.not_done as f64,
        accepted_open: accepted.open as f64,
        accepted_untrue: accepted.untrue as f64,
        accepted_disorder: accepted.disorder as f64,
        drained_s: accepted.drained_s,
        rollout_stage: staged.stage,
        rollout_done: staged.done,
        rollout_halted: staged.halted,
        halt_after_s: staged.after_s,
        halt_spread_s: staged.spread_s,
        rollout_leaders: staged.leaders,
        ledger_claims: ledger.claims as f64,
        ledger_alone: ledger.unprotected as f64 / (ledger.claims as f64).max(1.0),
        ledger_taken: ledger.taken_over as f64,
        ledger_joined: ledger.running as f64,
        ledger_told: ledger.answered as f64,
        ledger_lost: ledger.lost as f64,
        requests,
        tries: tries.len(),
        served: served_fraction(sum(|w| w.earned), sum(|w| w.offered)),
        worst_10s: worst(&timeline, from),
        worst_plan: plans.iter().map(|row| row.served).fold(1.0, f64::min),
        refused: quotas.refused as f64 / tries.len().max(1) as f64,
        refused_with_room: quotas.refused_with_room as f64 / tries.len().max(1) as f64,
        beyond: quotas.beyond_units / quotas.sent_units.max(1.0),
        over_cost: quotas.beyond_cost / sum(|w| w.offered).max(1e-9),
        goal: 0.0,
        lab_cpu_us: record.lab_cpu_us as f64 / record.tries.len().max(1) as f64,
        attempts: each(attempts.len()),
        cross_zone: crossed.count() as f64 / attempts.len().max(1) as f64,
        counter_calls: each(record.calls.iter().filter(|c| c.at >= from).count()),
        counter_full: record.calls.iter().filter(|c| c.status != 200).count() as f64
            / record.calls.len().max(1) as f64,
        connections: record.connections as f64 / plan.arrivals.len().max(1) as f64,
        cpu_us: cpu_us(record) as f64 / record.tries.len().max(1) as f64,
        p50_ms: at(&times, 0.5),
        p99_ms: at(&times, 0.99),
        p999_ms: at(&times, 0.999),
        cold_fallen: record.falls.len() as f64,
        memory_mb: record.usage.iter().map(|u| u.memory).max().unwrap_or(0) as f64 / 1e6,
        descriptors: record.usage.iter().map(|u| u.descriptors).max().unwrap_or(0),
        late_p50_ms: at(&late, 0.5),
        late_p99_ms: at(&late, 0.99),
        classes: rows(&worths, &names(plan.scenario.classes.iter().map(|c| &c.name).collect()), |n| {
            counted(n).then(|| plan.arrivals[n].class)
        }),
        zones: rows(&worths, &plan.scenario.net.zones, |n| {
            counted(n).then(|| zone(plan.arrivals[n].gateways[0]))
        }),
        plans,
    };
    let crossings = figures.cross_zone * figures.attempts;
    let prices = figures.over_cost + 0.01 * figures.counter_calls + 0.01 * crossings;
    figures.goal = 0.55 * figures.served + 0.2 * figures.worst_10s + 0.25 * figures.worst_plan - prices;
    (figures, timeline)
}

/// Processor time of all processes, each at its last sample.
fn cpu_us(record: &Record) -> u64 {
    let mut last: BTreeMap<(usize, usize), u64> = BTreeMap::new();
    for usage in &record.usage {
        last.insert((usage.gateway, usage.life), usage.cpu_us);
    }
    last.values().sum()
}
