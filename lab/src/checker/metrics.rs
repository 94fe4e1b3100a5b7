//! The figures of a run: the priority weight served inside quotas, and what it cost.

use super::earned_weight::{earned_weights, rows, served_fraction, EarnedWeight, Row};
use super::histogram::histogram;
use super::quota_replay::{quota_use, QuotaUse};
use super::timeline::{timeline, worst, Timeline};
use crate::plan::{us, Microseconds, Plan};
use crate::record::{Attempt, End, Record, Try};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// The figures of a run. Fractions are from 0 to 1. Their names are the keys of `[expect]` and of reports.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Metrics {
    /// Requests, without retries of clients.
    pub requests: usize,
    /// Attempts of clients: requests and their retries.
    pub tries: usize,
    /// Priority weight answered in time inside quotas, over the weight asked for inside quotas.
    pub served: f64,
    /// `served` over the worst 10 s.
    pub worst_10s: f64,
    /// `served` of the worst plan.
    pub worst_plan: f64,
    /// Fraction of the clients' attempts that were rejected.
    pub refused: f64,
    /// Fraction of the clients' attempts that were rejected while half of the customer's quota or more was unused.
    pub refused_with_room: f64,
    /// Units forwarded beyond quotas, over all forwarded units.
    pub beyond: f64,
    /// What the units beyond quotas cost by their plans' prices, over the weight asked for inside quotas.
    pub over_cost: f64,
    /// The goal of the published site: 0.55 served + 0.2 worst_10s + 0.25 worst_plan - over_cost - 0.01 counter_calls
    /// - 0.01 attempts that crossed zones a request. Prices of waste and of late failures are not in it.
    pub goal: f64,
    /// Attempts at backends per request.
    pub attempts: f64,
    /// Fraction of the attempts at backends that crossed zones.
    pub cross_zone: f64,
    /// Calls to the counter per request.
    pub counter_calls: f64,
    /// Fraction of the calls to the counter that it rejected.
    pub counter_full: f64,
    /// New connections at backends per request.
    pub connections: f64,
    /// Processor time of gateways per attempt of a client, in microseconds.
    pub cpu_us: f64,
    /// Processor time of the lab itself per attempt of a client, in microseconds.
    pub lab_cpu_us: f64,
    /// Median time to an answer 200.
    pub p50_ms: f64,
    /// 99th percentile of the time to an answer 200.
    pub p99_ms: f64,
    /// 99.9th percentile of the time to an answer 200.
    pub p999_ms: f64,
    /// Backends that failed under load while warming up, whichever gateway sent it.
    pub cold_fallen: f64,
    /// The highest resident memory of a gateway, in millions of bytes.
    pub memory_mb: f64,
    /// The highest number of open descriptors of a gateway.
    pub descriptors: usize,
    /// Fraction of the gateways running at the end whose view held exactly each other (0: nobody gossips).
    pub fleet_one: f64,
    /// Seconds from the last fault's end or process start until the last poll that saw a wrong view.
    pub fleet_wrong_s: f64,
    /// Fraction of the gateways running at the end that reported agreement of all.
    pub fleet_agreed: f64,
    /// Polls at which a working gateway was held to be down, well after every fault.
    pub fleet_false_downs: f64,
    /// Pairs of polls at one time that saw two different agreed views under one number.
    pub fleet_two_views: f64,
    /// Orphans: requests with an idempotency key, or such that must not run twice, that a gateway had received
    /// completely when it was killed, stopped or cut off.
    pub orphans: f64,
    /// Fraction of the orphans whose client got an answer 200 in time.
    pub orphans_served: f64,
    /// Fraction of the orphans that a backend served, whether or not their clients retried.
    pub orphans_ran: f64,
    /// Median time from the loss to the answer of an orphan.
    pub orphan_p50_ms: f64,
    /// 99th percentile of that time.
    pub orphan_p99_ms: f64,
    /// Claims of the gateways at their ledger.
    pub ledger_claims: f64,
    /// Fraction of the claims whose request went on without a record.
    pub ledger_alone: f64,
    /// Claims that took a request over from another gateway.
    pub ledger_taken: f64,
    /// Claims that found the request running at another gateway.
    pub ledger_joined: f64,
    /// Claims that found the request answered.
    pub ledger_told: f64,
    /// Claims lost to another owner.
    pub ledger_lost: f64,
    /// Writes that a branch accepted with 202.
    pub accepted: f64,
    /// Accepted writes that did not run and have no other end that their clients were notified of.
    pub accepted_lost: f64,
    /// Accepted writes that did not run as a newer one replaced them.
    pub accepted_superseded: f64,
    /// Accepted writes that were given up or may have run.
    pub accepted_not_done: f64,
    /// Accepted writes that still wait.
    pub accepted_open: f64,
    /// Accepted writes whose reported status was not true.
    pub accepted_untrue: f64,
    /// Pairs of accepted writes of one customer that ran in the reverse order.
    pub accepted_disorder: f64,
    /// Seconds from the last fault's end to the last accepted write that ran.
    pub drained_s: f64,
    /// The highest stage of the last rollout that a gateway applied.
    pub rollout_stage: f64,
    /// Fraction of the gateways' last reports on the rollout that said done.
    pub rollout_done: f64,
    /// Fraction of those reports that said halted.
    pub rollout_halted: f64,
    /// Seconds from the rollout's first stage until the first report that it was halted.
    pub halt_after_s: f64,
    /// Seconds from that report until the last gateway that still applied it.
    pub halt_spread_s: f64,
    /// How many processes led the rollout.
    pub rollout_leaders: f64,
    /// Requests with a key that ran more than once within the time in which repeats are dropped, or that must not run
    /// twice and did.
    pub doubled: f64,
    /// Median delay of the load generator with first attempts.
    pub late_p50_ms: f64,
    /// 99th percentile of the load generator's delay.
    pub late_p99_ms: f64,
    /// `served` by plan.
    pub plans: Vec<Row>,
    /// `served` by class.
    pub classes: Vec<Row>,
    /// `served` by the zone of the gateway that was asked first.
    pub zones: Vec<Row>,
}

impl Metrics {
    /// The figure of a name that `[expect]` may bound.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.named().into_iter().find(|(known, _)| *known == name).map(|(_, value)| value)
    }

    /// The figures that can be compared and bounded, by name.
    pub fn named(&self) -> Vec<(&'static str, f64)> {
        let groups = [
            self.service_figures(),
            self.membership_figures(),
            self.accepted_write_figures(),
            self.rollout_figures(),
            self.ledger_figures(),
        ];
        groups.concat()
    }

    /// Figures of requests, quotas and cost.
    fn service_figures(&self) -> Vec<(&'static str, f64)> {
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
        ]
    }

    /// Figures of the gateways' membership views and of requests that a gateway lost.
    fn membership_figures(&self) -> Vec<(&'static str, f64)> {
        vec![
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
        ]
    }

    /// Figures of writes that a branch accepted with 202.
    fn accepted_write_figures(&self) -> Vec<(&'static str, f64)> {
        vec![
            ("accepted", self.accepted),
            ("accepted_lost", self.accepted_lost),
            ("accepted_superseded", self.accepted_superseded),
            ("accepted_not_done", self.accepted_not_done),
            ("accepted_open", self.accepted_open),
            ("accepted_untrue", self.accepted_untrue),
            ("accepted_disorder", self.accepted_disorder),
            ("drained_s", self.drained_s),
        ]
    }

    /// Figures of the last rollout.
    fn rollout_figures(&self) -> Vec<(&'static str, f64)> {
        vec![
            ("rollout_stage", self.rollout_stage),
            ("rollout_done", self.rollout_done),
            ("rollout_halted", self.rollout_halted),
            ("halt_after_s", self.halt_after_s),
            ("halt_spread_s", self.halt_spread_s),
            ("rollout_leaders", self.rollout_leaders),
        ]
    }

    /// Figures of the ledger's claims.
    fn ledger_figures(&self) -> Vec<(&'static str, f64)> {
        vec![
            ("ledger_claims", self.ledger_claims),
            ("ledger_alone", self.ledger_alone),
            ("ledger_taken", self.ledger_taken),
            ("ledger_joined", self.ledger_joined),
            ("ledger_told", self.ledger_told),
            ("ledger_lost", self.ledger_lost),
        ]
    }
}

/// Measures a run. Figures count from the end of the warm-up, but for those of whole processes.
pub(super) fn measure(plan: &Plan, record: &Record) -> (Metrics, Timeline) {
    let from = us(plan.scenario.warm_up_s);
    let quotas = quota_use(plan, record, &first_attempts(record), from);
    let weights = earned_weights(plan, record, &quotas);
    let timeline = timeline(plan, record, &weights);
    let mut metrics = Metrics::default();
    metrics.set_counts(plan, record, from);
    metrics.set_served(plan, &weights, from);
    metrics.worst_10s = worst(&timeline, from);
    metrics.set_quotas(plan, &quotas, &weights, from);
    metrics.set_backend_and_counter_use(plan, record, from);
    metrics.set_process_use(record);
    metrics.set_latencies(record, from);
    metrics.set_membership(plan, record);
    metrics.set_lost_requests(plan, record);
    metrics.set_ledger(record);
    metrics.set_accepted_writes(plan, record);
    metrics.set_rollout(record);
    metrics.set_goal();
    (metrics, timeline)
}

impl Metrics {
    fn set_counts(&mut self, plan: &Plan, record: &Record, from: Microseconds) {
        self.requests = plan.arrivals.iter().filter(|arrival| arrival.at >= from).count();
        self.tries = record.tries.iter().filter(|one| one.due >= from).count();
    }

    fn set_served(&mut self, plan: &Plan, weights: &[EarnedWeight], from: Microseconds) {
        let scenario = &plan.scenario;
        let zone_count = scenario.zones();
        let counted = |number: usize| plan.arrivals[number].at >= from;
        let earned = counted_sum(plan, weights, from, |weight| weight.earned);
        let offered = counted_sum(plan, weights, from, |weight| weight.offered);
        self.served = served_fraction(earned, offered);
        let plan_names: Vec<String> = scenario.plans.iter().map(|plan| plan.name.clone()).collect();
        self.plans = rows(weights, &plan_names, |number| {
            counted(number).then(|| plan.customers[plan.arrivals[number].customer].plan)
        });
        self.worst_plan = self.plans.iter().map(|row| row.served).fold(1.0, f64::min);
        let class_names: Vec<String> = scenario.classes.iter().map(|class| class.name.clone()).collect();
        self.classes =
            rows(weights, &class_names, |number| counted(number).then(|| plan.arrivals[number].class));
        self.zones = rows(weights, &scenario.net.zones, |number| {
            counted(number).then(|| plan.arrivals[number].gateways[0] % zone_count)
        });
    }

    /// Needs `tries`.
    fn set_quotas(&mut self, plan: &Plan, quotas: &QuotaUse, weights: &[EarnedWeight], from: Microseconds) {
        let tries = self.tries.max(1) as f64;
        let offered = counted_sum(plan, weights, from, |weight| weight.offered);
        self.refused = quotas.refused as f64 / tries;
        self.refused_with_room = quotas.refused_with_room as f64 / tries;
        self.beyond = quotas.beyond_units / quotas.sent_units.max(1.0);
        self.over_cost = quotas.beyond_cost / offered.max(1e-9);
    }

    /// Needs `requests`.
    fn set_backend_and_counter_use(&mut self, plan: &Plan, record: &Record, from: Microseconds) {
        let zone_count = plan.scenario.zones();
        let requests = self.requests.max(1) as f64;
        let attempts: Vec<&Attempt> =
            record.attempts.iter().filter(|attempt| attempt.first >= from).collect();
        let crossed_zones = |attempt: &&&Attempt| {
            let backend = plan.backends.get(attempt.backend);
            backend.is_some_and(|backend| backend.zone != attempt.gateway % zone_count)
        };
        let crossings = attempts.iter().filter(crossed_zones).count();
        let counted_calls = record.calls.iter().filter(|call| call.at >= from).count();
        let rejected_calls = record.calls.iter().filter(|call| call.status != 200).count();
        self.attempts = attempts.len() as f64 / requests;
        self.cross_zone = crossings as f64 / attempts.len().max(1) as f64;
        self.counter_calls = counted_calls as f64 / requests;
        self.counter_full = rejected_calls as f64 / record.calls.len().max(1) as f64;
        self.connections = record.connections as f64 / plan.arrivals.len().max(1) as f64;
        self.cold_fallen = record.falls.len() as f64;
    }

    fn set_process_use(&mut self, record: &Record) {
        let tries = record.tries.len().max(1) as f64;
        let most_memory = record.usage.iter().map(|usage| usage.memory).max().unwrap_or(0);
        self.cpu_us = cpu_us(record) as f64 / tries;
        self.lab_cpu_us = record.lab_cpu_us as f64 / tries;
        self.memory_mb = most_memory as f64 / 1e6;
        self.descriptors = record.usage.iter().map(|usage| usage.descriptors).max().unwrap_or(0);
    }

    fn set_latencies(&mut self, record: &Record, from: Microseconds) {
        let counted = || record.tries.iter().filter(|one| one.due >= from);
        let is_success = |one: &&Try| matches!(one.end, End::Answer { status: 200, .. });
        let answers = histogram(counted().filter(is_success).map(|one| one.ended - one.due));
        let first_tries = counted().filter(|one| one.nth == 0);
        let lateness = histogram(first_tries.map(|one| one.began.saturating_sub(one.due)));
        self.p50_ms = quantile_ms(&answers, 0.5);
        self.p99_ms = quantile_ms(&answers, 0.99);
        self.p999_ms = quantile_ms(&answers, 0.999);
        self.late_p50_ms = quantile_ms(&lateness, 0.5);
        self.late_p99_ms = quantile_ms(&lateness, 0.99);
    }

    fn set_membership(&mut self, plan: &Plan, record: &Record) {
        let views = super::cluster::words(plan, record);
        self.fleet_one = views.one;
        self.fleet_wrong_s = views.wrong_for_s;
        self.fleet_agreed = views.agreed;
        self.fleet_false_downs = views.false_downs as f64;
        self.fleet_two_views = views.two_views as f64;
    }

    fn set_lost_requests(&mut self, plan: &Plan, record: &Record) {
        let orphans = super::abandoned_requests::measure(plan, record);
        self.orphans = orphans.count as f64;
        self.orphans_served = orphans.served;
        self.orphans_ran = orphans.ran;
        self.orphan_p50_ms = orphans.p50_ms;
        self.orphan_p99_ms = orphans.p99_ms;
        self.doubled = orphans.doubled as f64;
    }

    fn set_ledger(&mut self, record: &Record) {
        let ledger = super::abandoned_requests::ledger(record);
        let claims = ledger.claims as f64;
        self.ledger_claims = claims;
        self.ledger_alone = ledger.unprotected as f64 / claims.max(1.0);
        self.ledger_taken = ledger.taken_over as f64;
        self.ledger_joined = ledger.running as f64;
        self.ledger_told = ledger.answered as f64;
        self.ledger_lost = ledger.lost as f64;
    }

    fn set_accepted_writes(&mut self, plan: &Plan, record: &Record) {
        let accepted = super::accepted_writes::measure(plan, record);
        self.accepted = accepted.count as f64;
        self.accepted_lost = accepted.lost.len() as f64;
        self.accepted_superseded = accepted.superseded as f64;
        self.accepted_not_done = accepted.not_done as f64;
        self.accepted_open = accepted.open as f64;
        self.accepted_untrue = accepted.untrue as f64;
        self.accepted_disorder = accepted.disorder as f64;
        self.drained_s = accepted.drained_s;
    }

    fn set_rollout(&mut self, record: &Record) {
        let rollout = super::rollout::staged(record);
        self.rollout_stage = rollout.stage;
        self.rollout_done = rollout.done;
        self.rollout_halted = rollout.halted;
        self.halt_after_s = rollout.after_s;
        self.halt_spread_s = rollout.spread_s;
        self.rollout_leaders = rollout.leaders;
    }

    /// Needs all other figures of `goal`'s sum.
    fn set_goal(&mut self) {
        let crossings = self.cross_zone * self.attempts;
        let prices = self.over_cost + 0.01 * self.counter_calls + 0.01 * crossings;
        self.goal = 0.55 * self.served + 0.2 * self.worst_10s + 0.25 * self.worst_plan - prices;
    }
}

/// When the first attempt of each request id reached a backend.
fn first_attempts(record: &Record) -> HashMap<u64, Microseconds> {
    let mut first: HashMap<u64, Microseconds> = HashMap::new();
    for attempt in &record.attempts {
        let at = first.entry(attempt.id).or_insert(attempt.first);
        *at = (*at).min(attempt.first);
    }
    first
}

/// The sum of a part of the weights over the arrivals after the warm-up.
fn counted_sum(
    plan: &Plan,
    weights: &[EarnedWeight],
    from: Microseconds,
    part: impl Fn(&EarnedWeight) -> f64,
) -> f64 {
    let arrivals = plan.arrivals.iter().zip(weights);
    arrivals.filter(|(arrival, _)| arrival.at >= from).map(|(_, weight)| part(weight)).sum()
}

/// A quantile of times in microseconds, in milliseconds.
fn quantile_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1000.0
}

/// Processor time of all gateway processes in microseconds, each by its last sample.
fn cpu_us(record: &Record) -> u64 {
    let mut last: BTreeMap<(usize, usize), u64> = BTreeMap::new();
    for usage in &record.usage {
        last.insert((usage.gateway, usage.life), usage.cpu_us);
    }
    last.values().sum()
}
