//! Metrics of a run: the priority weight served within quotas, and the cost of serving it.

use super::earned_weight::{earned_weights, served_by_name, served_fraction, EarnedWeight, ServedByName};
use super::histogram::histogram;
use super::quota_replay::{quota_use, QuotaUse};
use super::timeline::{timeline, worst, Timeline};
use crate::plan::{us, Microseconds, Plan};
use crate::record::{Attempt, End, Record, Try};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Metrics of a run. Fractions are from 0 to 1. The field names are the keys of `[expect]` and of reports.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Metrics {
    /// Requests, without retries of clients.
    pub requests: usize,
    /// Attempts of clients: requests and their retries.
    pub tries: usize,
    /// Priority weight answered in time within quotas, over the weight offered within quotas.
    pub served: f64,
    /// `served` of the worst 10 s.
    pub worst_10s: f64,
    /// `served` of the worst plan.
    pub worst_plan: f64,
    /// Fraction of the clients' attempts that were rejected.
    pub refused: f64,
    /// Fraction of the clients' attempts that were rejected while half of the customer's quota or more was unused.
    pub refused_with_room: f64,
    /// Units forwarded beyond quotas, over all forwarded units.
    pub beyond: f64,
    /// Cost of the units forwarded beyond quotas by their plans' prices, over the weight offered within quotas.
    pub over_cost: f64,
    /// The goal of the published site: 0.55 served + 0.2 worst_10s + 0.25 worst_plan - over_cost - 0.01 counter_calls
    /// - 0.01 attempts that crossed zones per request. Prices of waste and of late failures are not in it.
    pub goal: f64,
    /// Attempts at backends per request.
    pub attempts: f64,
    /// Fraction of the attempts at backends that crossed zones.
    pub cross_zone: f64,
    /// Calls to the counter per request.
    pub counter_calls: f64,
    /// Fraction of the calls to the counter that were rejected.
    pub counter_full: f64,
    /// New connections at backends per request.
    pub connections: f64,
    /// Processor time of gateways per attempt of a client, in microseconds.
    pub cpu_us: f64,
    /// Processor time of the lab itself per attempt of a client, in microseconds.
    pub lab_cpu_us: f64,
    /// Median time to an answer 200, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time to an answer 200, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the time to an answer 200, in milliseconds.
    pub p999_ms: f64,
    /// Backends that failed from overload while warming up, whichever gateways sent the load.
    pub cold_fallen: f64,
    /// The highest resident memory of a gateway, in millions of bytes.
    pub memory_mb: f64,
    /// The highest number of open descriptors of a gateway.
    pub descriptors: usize,
    /// Fraction of the gateways running at the end whose view contained exactly these gateways; 0 without gossip.
    pub fleet_one: f64,
    /// Seconds from the last fault's end or process start until the last poll that saw a wrong view.
    pub fleet_wrong_s: f64,
    /// Fraction of the gateways running at the end that reported agreement of all.
    pub fleet_agreed: f64,
    /// Reports, well after every fault, that a working gateway was down.
    pub fleet_false_downs: f64,
    /// Pairs of overlapping polls that saw two different agreed views under one number.
    pub fleet_two_views: f64,
    /// Abandoned requests: requests with an idempotency key, and requests that are not idempotent, that a gateway had
    /// received completely when it was killed, stopped or cut off.
    pub orphans: f64,
    /// Fraction of the abandoned requests whose client got an answer 200 in time.
    pub orphans_served: f64,
    /// Fraction of the abandoned requests that a backend served, whether or not their clients retried.
    pub orphans_ran: f64,
    /// Median time from the loss of the gateway to the client's answer, in milliseconds.
    pub orphan_p50_ms: f64,
    /// 99th percentile of the time from the loss of the gateway to the client's answer, in milliseconds.
    pub orphan_p99_ms: f64,
    /// Claims of the gateways at the ledger.
    pub ledger_claims: f64,
    /// Fraction of the claims whose request continued without a ledger record.
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
    /// Accepted writes that did not run and whose clients were notified of no other outcome.
    pub accepted_lost: f64,
    /// Accepted writes that did not run because another write replaced them.
    pub accepted_superseded: f64,
    /// Accepted writes that did not run and were reported as failed, given up or unknown.
    pub accepted_not_done: f64,
    /// Accepted writes that did not run and were reported as still pending.
    pub accepted_open: f64,
    /// Accepted writes whose reported status contradicts what the backends ran.
    pub accepted_untrue: f64,
    /// Pairs of accepted writes of one customer that ran in the reverse order.
    pub accepted_disorder: f64,
    /// Seconds from the last fault's end to the last accepted write that ran.
    pub drained_s: f64,
    /// The highest stage of the last rollout that a gateway applied.
    pub rollout_stage: f64,
    /// Fraction of the gateways' last reports on the rollout that said done.
    pub rollout_done: f64,
    /// Fraction of the gateways' last reports on the rollout that said halted.
    pub rollout_halted: f64,
    /// Seconds from the rollout's first stage to the first report that it was halted.
    pub halt_after_s: f64,
    /// Seconds from the first report of the halt to the last poll of a gateway that still applied the rollout.
    pub halt_spread_s: f64,
    /// Number of gateway processes that led the rollout.
    pub rollout_leaders: f64,
    /// Requests with an idempotency key, and requests that are not idempotent, that backends ran more than once.
    /// Repeats that a backend dropped within the deduplication window don't count.
    pub doubled: f64,
    /// Median delay of the load generator in starting first attempts, in milliseconds.
    pub late_p50_ms: f64,
    /// 99th percentile of the load generator's delay in starting first attempts, in milliseconds.
    pub late_p99_ms: f64,
    /// `served` by plan.
    pub plans: Vec<ServedByName>,
    /// `served` by class.
    pub classes: Vec<ServedByName>,
    /// `served` by the zone of the gateway that was asked first.
    pub zones: Vec<ServedByName>,
}

impl Metrics {
    /// Returns the metric of a name; `[expect]` may bound any of them.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.named().into_iter().find(|(metric, _)| *metric == name).map(|(_, value)| value)
    }

    /// Returns the metrics that can be compared and bounded, with their names.
    pub fn named(&self) -> Vec<(&'static str, f64)> {
        let groups = [
            self.service_metrics(),
            self.membership_metrics(),
            self.accepted_write_metrics(),
            self.rollout_metrics(),
            self.ledger_metrics(),
        ];
        groups.concat()
    }

    /// Metrics of requests, quotas and cost.
    fn service_metrics(&self) -> Vec<(&'static str, f64)> {
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

    /// Metrics of the gateways' membership views and of abandoned requests.
    fn membership_metrics(&self) -> Vec<(&'static str, f64)> {
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

    /// Metrics of the writes that a branch accepted with 202.
    fn accepted_write_metrics(&self) -> Vec<(&'static str, f64)> {
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

    /// Metrics of the last rollout.
    fn rollout_metrics(&self) -> Vec<(&'static str, f64)> {
        vec![
            ("rollout_stage", self.rollout_stage),
            ("rollout_done", self.rollout_done),
            ("rollout_halted", self.rollout_halted),
            ("halt_after_s", self.halt_after_s),
            ("halt_spread_s", self.halt_spread_s),
            ("rollout_leaders", self.rollout_leaders),
        ]
    }

    /// Metrics of the claims at the ledger.
    fn ledger_metrics(&self) -> Vec<(&'static str, f64)> {
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

/// Measures a run. Metrics count from the end of the warm-up, except those of whole processes.
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
        self.tries = record.tries.iter().filter(|client_attempt| client_attempt.due >= from).count();
    }

    fn set_served(&mut self, plan: &Plan, weights: &[EarnedWeight], from: Microseconds) {
        let scenario = &plan.scenario;
        let zone_count = scenario.zones();
        let counted = |number: usize| plan.arrivals[number].at >= from;
        let earned = counted_sum(plan, weights, from, |weight| weight.earned);
        let offered = counted_sum(plan, weights, from, |weight| weight.offered);
        self.served = served_fraction(earned, offered);
        let plan_names: Vec<String> = scenario.plans.iter().map(|plan| plan.name.clone()).collect();
        self.plans = served_by_name(weights, &plan_names, |number| {
            counted(number).then(|| plan.customers[plan.arrivals[number].customer].plan)
        });
        self.worst_plan = self.plans.iter().map(|row| row.served).fold(1.0, f64::min);
        let class_names: Vec<String> = scenario.classes.iter().map(|class| class.name.clone()).collect();
        self.classes = served_by_name(weights, &class_names, |number| {
            counted(number).then(|| plan.arrivals[number].class)
        });
        self.zones = served_by_name(weights, &scenario.net.zones, |number| {
            counted(number).then(|| plan.arrivals[number].gateways[0] % zone_count)
        });
    }

    /// Requires that `tries` is set.
    fn set_quotas(&mut self, plan: &Plan, quotas: &QuotaUse, weights: &[EarnedWeight], from: Microseconds) {
        let tries = self.tries.max(1) as f64;
        let offered = counted_sum(plan, weights, from, |weight| weight.offered);
        self.refused = quotas.rejected as f64 / tries;
        self.refused_with_room = quotas.rejected_with_quota_left as f64 / tries;
        self.beyond = quotas.over_quota_units / quotas.forwarded_units.max(1.0);
        self.over_cost = quotas.over_quota_cost / offered.max(1e-9);
    }

    /// Requires that `requests` is set.
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
        let counted = || record.tries.iter().filter(|client_attempt| client_attempt.due >= from);
        let is_success =
            |client_attempt: &&Try| matches!(client_attempt.end, End::Answer { status: 200, .. });
        let answers = histogram(
            counted().filter(is_success).map(|client_attempt| client_attempt.ended - client_attempt.due),
        );
        let first_tries = counted().filter(|client_attempt| client_attempt.nth == 0);
        let lateness = histogram(
            first_tries.map(|client_attempt| client_attempt.began.saturating_sub(client_attempt.due)),
        );
        self.p50_ms = quantile_ms(&answers, 0.5);
        self.p99_ms = quantile_ms(&answers, 0.99);
        self.p999_ms = quantile_ms(&answers, 0.999);
        self.late_p50_ms = quantile_ms(&lateness, 0.5);
        self.late_p99_ms = quantile_ms(&lateness, 0.99);
    }

    fn set_membership(&mut self, plan: &Plan, record: &Record) {
        let views = super::cluster::measure(plan, record);
        self.fleet_one = views.exact_views;
        self.fleet_wrong_s = views.wrong_view_s;
        self.fleet_agreed = views.agreed;
        self.fleet_false_downs = views.false_downs as f64;
        self.fleet_two_views = views.conflicting_views as f64;
    }

    fn set_lost_requests(&mut self, plan: &Plan, record: &Record) {
        let abandoned = super::abandoned_requests::measure(plan, record);
        self.orphans = abandoned.count as f64;
        self.orphans_served = abandoned.served;
        self.orphans_ran = abandoned.ran;
        self.orphan_p50_ms = abandoned.p50_ms;
        self.orphan_p99_ms = abandoned.p99_ms;
        self.doubled = abandoned.ran_too_often as f64;
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
        self.accepted_untrue = accepted.misreported as f64;
        self.accepted_disorder = accepted.reordered_pairs as f64;
        self.drained_s = accepted.drained_s;
    }

    fn set_rollout(&mut self, record: &Record) {
        let rollout = super::rollout::measure(record);
        self.rollout_stage = rollout.stage;
        self.rollout_done = rollout.done;
        self.rollout_halted = rollout.halted;
        self.halt_after_s = rollout.after_s;
        self.halt_spread_s = rollout.spread_s;
        self.rollout_leaders = rollout.leaders;
    }

    /// Requires that all other metrics in the sum of `goal` are set.
    fn set_goal(&mut self) {
        let crossings = self.cross_zone * self.attempts;
        let prices = self.over_cost + 0.01 * self.counter_calls + 0.01 * crossings;
        self.goal = 0.55 * self.served + 0.2 * self.worst_10s + 0.25 * self.worst_plan - prices;
    }
}

/// Returns when the first attempt of each request id reached a backend.
fn first_attempts(record: &Record) -> HashMap<u64, Microseconds> {
    let mut first: HashMap<u64, Microseconds> = HashMap::new();
    for attempt in &record.attempts {
        let at = first.entry(attempt.id).or_insert(attempt.first);
        *at = (*at).min(attempt.first);
    }
    first
}

/// Sums one part of the weights over the arrivals from the time `from` on.
fn counted_sum(
    plan: &Plan,
    weights: &[EarnedWeight],
    from: Microseconds,
    part: impl Fn(&EarnedWeight) -> f64,
) -> f64 {
    let arrivals = plan.arrivals.iter().zip(weights);
    arrivals.filter(|(arrival, _)| arrival.at >= from).map(|(_, weight)| part(weight)).sum()
}

/// Returns a quantile in milliseconds of times in microseconds.
fn quantile_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1000.0
}

/// Returns the processor time of all gateway processes in microseconds, each by its last sample.
fn cpu_us(record: &Record) -> u64 {
    let mut last: BTreeMap<(usize, usize), u64> = BTreeMap::new();
    for usage in &record.usage {
        last.insert((usage.gateway, usage.life), usage.cpu_us);
    }
    last.values().sum()
}
