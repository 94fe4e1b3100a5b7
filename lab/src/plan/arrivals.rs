//! Draws customers and their requests ahead of the run, as an open-loop load: arrivals do not wait for answers.

use super::{us, Draw, Microseconds, MOST_UNITS};
use crate::scenario::{Kind, Scenario};

/// A customer that sends requests.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Number on the wire, below 2^33.
    pub number: u64,
    /// Number of the customer's plan.
    pub plan: usize,
    /// First gateway of the set that the customer uses.
    pub first: usize,
    /// Number of consecutive gateways in the set.
    pub spread: usize,
    /// Demand over time.
    demand: Demand,
}

/// Demand of a customer, as multiples of the rate of its plan.
#[derive(Debug, Clone)]
struct Demand {
    /// Multiple outside of peaks.
    usual: f64,
    /// Multiple in peaks.
    peak: f64,
    /// Begin and end of each peak.
    peaks: Vec<(Microseconds, Microseconds)>,
}

/// The first attempt of one request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time at which the client sends the request.
    pub at: Microseconds,
    /// Number of the customer.
    pub customer: usize,
    /// Number of the class.
    pub class: usize,
    /// Work in microseconds on a core of speed 1.
    pub work_us: f64,
    /// Cost in quota units.
    pub units: u32,
    /// Time-out of one attempt at the client, in microseconds.
    pub patience_us: Microseconds,
    /// Gateways of the customer's set, in the order in which the attempts use them.
    pub gateways: Vec<usize>,
}

/// A fault that changes the load for a limited time.
struct LoadChange {
    kind: Kind,
    from: Microseconds,
    to: Microseconds,
    amount: f64,
    plans: Vec<usize>,
}

impl LoadChange {
    fn is_active(&self, now: Microseconds) -> bool {
        (self.from..self.to).contains(&now)
    }
}

/// Fraction of the quota that a customer with nearly full use consumes.
const FULL_USE: f64 = 0.95;
/// Mean fraction of the quota that a customer with peaks consumes.
const SPIKY_MEAN_USE: f64 = 0.6;
/// Random stream of the customers.
const CUSTOMERS_STREAM: u64 = 2;
/// Random stream of the sample for the mean units of a request.
const MEAN_UNITS_STREAM: u64 = 3;
/// Random stream for the choice of the hot customers.
const HOT_CUSTOMERS_STREAM: u64 = 4;
/// Random stream of the first customer's arrivals; each further customer uses the next number.
const FIRST_ARRIVALS_STREAM: u64 = 1000;
/// Requests in the sample for the mean units of a request.
const MEAN_UNITS_SAMPLE: i32 = 4000;
/// Number of customers that a `hot-customer` fault affects.
const HOT_CUSTOMERS: usize = 3;
/// Bits of a customer number on the wire.
const CUSTOMER_NUMBER_BITS: u32 = 33;
/// Minimum time-out of one attempt at the client, in microseconds.
const MIN_ATTEMPT_TIMEOUT_US: Microseconds = 1000;
/// Gateways at the head of the order that are drawn by weight; the rest keep the order of the ranks.
const MAX_DRAWN_GATEWAYS: usize = 4;

/// Draws the customers and their requests; the requests are in time order.
pub(super) fn draw(scenario: &Scenario, seed: u64, unit_work_us: &[f64]) -> (Vec<Customer>, Vec<Arrival>) {
    let class_shares: Vec<f64> = scenario.classes.iter().map(|class| class.share).collect();
    let mean_units = mean_units(scenario, seed, unit_work_us, &class_shares);
    let customers = customers(scenario, &mut Draw::new(seed, CUSTOMERS_STREAM), mean_units);
    let load = LoadModel {
        scenario,
        changes: load_changes(scenario),
        class_shares,
        unit_work_us,
        mean_units,
        hot: hot_customers(&customers, seed),
    };
    let mut arrivals = Vec::new();
    for (number, customer) in customers.iter().enumerate() {
        let draw = Draw::new(seed, FIRST_ARRIVALS_STREAM + number as u64);
        let stream = CustomerStream::new(&load, number, customer, draw);
        arrivals.extend(stream.arrivals());
    }
    arrivals.sort_by_key(|arrival| (arrival.at, arrival.customer));
    (customers, arrivals)
}

/// Parameters from which the arrivals of all customers are drawn.
struct LoadModel<'a> {
    scenario: &'a Scenario,
    changes: Vec<LoadChange>,
    /// Weights of the classes.
    class_shares: Vec<f64>,
    /// Work of one unit by class, in microseconds.
    unit_work_us: &'a [f64],
    /// Mean units of a request.
    mean_units: f64,
    /// Customers that a `hot-customer` fault affects.
    hot: Vec<usize>,
}

impl LoadModel<'_> {
    /// Returns the first active change of a kind.
    fn active_change(&self, kind: Kind, now: Microseconds) -> Option<&LoadChange> {
        self.changes.iter().find(|change| change.kind == kind && change.is_active(now))
    }
}

/// Generates the arrivals of one customer: a Poisson process, drawn at its maximum rate and thinned to the current rate
/// (Lewis and Shedler, 1979).
struct CustomerStream<'a> {
    load: &'a LoadModel<'a>,
    number: usize,
    customer: &'a Customer,
    draw: Draw,
    /// Gateways of the customer's set, the most used first.
    ranks: Vec<usize>,
    /// Weights of the ranks.
    weights: Vec<f64>,
    /// Time of the next change of the ranks.
    next_reorder: Microseconds,
    /// Requests per second that use the customer's full quota.
    base_per_s: f64,
    /// Requests per second that a `hot-customer` fault adds; `None` for customers that it does not affect.
    extra_per_s: Option<f64>,
    /// Upper bound of the rate at any time.
    max_rate_per_s: f64,
}

impl<'a> CustomerStream<'a> {
    fn new(load: &'a LoadModel<'a>, number: usize, customer: &'a Customer, mut draw: Draw) -> Self {
        let scenario = load.scenario;
        let mut ranks: Vec<usize> = (0..customer.spread).collect();
        draw.shuffle(&mut ranks);
        let next_reorder = us(draw.between(scenario.load.shift_s));
        let weight = |rank: usize| ((rank + 1) as f64).powf(-scenario.load.skew);
        let base_per_s = scenario.plans[customer.plan].rate / load.mean_units;
        let is_hot = load.hot.contains(&number);
        let extra_per_s = is_hot.then(|| scenario.load.per_s / load.hot.len() as f64);
        CustomerStream {
            load,
            number,
            customer,
            draw,
            ranks,
            weights: (0..customer.spread).map(weight).collect(),
            next_reorder,
            base_per_s,
            extra_per_s,
            max_rate_per_s: max_rate(customer, &load.changes, base_per_s, extra_per_s),
        }
    }

    fn arrivals(mut self) -> Vec<Arrival> {
        let end = us(self.load.scenario.length_s);
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at += self.draw.exp(1e6 / self.max_rate_per_s);
            let now = at as Microseconds;
            if now >= end {
                return arrivals;
            }
            self.reorder_ranks(now);
            if let Some(arrival) = self.draw_arrival(now) {
                arrivals.push(arrival);
            }
        }
    }

    /// Reorders the gateways at each change of the customer's preference.
    fn reorder_ranks(&mut self, now: Microseconds) {
        while now >= self.next_reorder {
            self.draw.shuffle(&mut self.ranks);
            self.next_reorder += us(self.draw.between(self.load.scenario.load.shift_s)).max(1);
        }
    }

    /// Draws the candidate arrival at a time; `None` if the thinning drops it. Each candidate, dropped or not, draws the
    /// same count of random numbers, so that a load change leaves all other draws unchanged.
    fn draw_arrival(&mut self, now: Microseconds) -> Option<Arrival> {
        let scenario = self.load.scenario;
        let rate = rate(self.customer, &self.load.changes, self.base_per_s, self.extra_per_s, now);
        let is_kept = self.draw.unit() * self.max_rate_per_s < rate;
        let class = self.draw.weighted(&self.load.class_shares);
        let spec = &scenario.classes[class];
        let work_us = self.draw.lognormal(spec.work_ms * 1000.0, spec.work_cv);
        let deadline_fraction = self.draw.between(scenario.load.try_share);
        let mut order = gateway_order(&self.ranks, &self.weights, &mut self.draw);
        if !is_kept {
            return None;
        }
        self.prefer_hot_gateway(&mut order, work_us, now);
        let gateway = |rank: usize| (self.customer.first + rank) % scenario.gateways.count;
        Some(Arrival {
            at: now,
            customer: self.number,
            class,
            work_us,
            units: units(work_us, self.load.unit_work_us[class]),
            patience_us: self.attempt_timeout(spec.deadline_ms, deadline_fraction, now),
            gateways: order.into_iter().map(gateway).collect(),
        })
    }

    /// Moves the customer's most used gateway to the front for a fraction of the requests while a `hot-gateway` fault is
    /// active. The digits of the work select the requests, because another draw would change all later draws.
    fn prefer_hot_gateway(&self, order: &mut Vec<usize>, work_us: f64, now: Microseconds) {
        let Some(change) = self.load.active_change(Kind::HotGateway, now) else { return };
        if (work_us * 1009.0).fract() < change.amount {
            order.retain(|rank| *rank != self.ranks[0]);
            order.insert(0, self.ranks[0]);
        }
    }

    /// Returns the time-out of one attempt at the client.
    fn attempt_timeout(&self, deadline_ms: f64, fraction: f64, now: Microseconds) -> Microseconds {
        let timeout_factor =
            self.load.active_change(Kind::Impatient, now).map_or(1.0, |change| change.amount);
        let patience_us = (us(deadline_ms / 1000.0) as f64 * fraction * timeout_factor) as Microseconds;
        patience_us.max(MIN_ATTEMPT_TIMEOUT_US)
    }
}

/// Returns the quota units of a request with a given work.
fn units(work_us: f64, unit_work_us: f64) -> u32 {
    ((work_us / unit_work_us).ceil() as u32).clamp(1, MOST_UNITS)
}

/// Estimates the mean units of a request from a sample, because units are rounded up and limited.
fn mean_units(scenario: &Scenario, seed: u64, unit_work_us: &[f64], shares: &[f64]) -> f64 {
    let mut draw = Draw::new(seed, MEAN_UNITS_STREAM);
    let sampled_units = |_| {
        let class = draw.weighted(shares);
        let spec = &scenario.classes[class];
        f64::from(units(draw.lognormal(spec.work_ms * 1000.0, spec.work_cv), unit_work_us[class]))
    };
    (0..MEAN_UNITS_SAMPLE).map(sampled_units).sum::<f64>() / f64::from(MEAN_UNITS_SAMPLE)
}

/// Draws the customers of each plan, as many as produce the load of the scenario.
fn customers(scenario: &Scenario, draw: &mut Draw, mean_units: f64) -> Vec<Customer> {
    let load = &scenario.load;
    let calm = 1.0 - load.full - load.heavy - load.spiky;
    let mean_use = calm * (load.calm_use[0] + load.calm_use[1]) / 2.0
        + load.full * FULL_USE
        + load.heavy
        + load.spiky * SPIKY_MEAN_USE;
    let shares: f64 = scenario.plans.iter().map(|plan| plan.share).sum();
    let mut customers: Vec<Customer> = Vec::new();
    for (number, plan) in scenario.plans.iter().enumerate() {
        let count = plan.share / shares * load.per_s * mean_units / (plan.rate * mean_use);
        for _ in 0..(count.round() as usize).max(1) {
            let customer = customer(scenario, number, &customers, draw);
            customers.push(customer);
        }
    }
    customers
}

/// Draws a customer of a plan, with a number that differs from those of `others`.
fn customer(scenario: &Scenario, plan: usize, others: &[Customer], draw: &mut Draw) -> Customer {
    let load = &scenario.load;
    let number = loop {
        let number = draw.bits() & ((1 << CUSTOMER_NUMBER_BITS) - 1);
        if !others.iter().any(|other| other.number == number) {
            break number;
        }
    };
    let spread_count = load.spread[1] - load.spread[0] + 1;
    Customer {
        number,
        plan,
        first: draw.below(scenario.gateways.count),
        spread: (load.spread[0] + draw.below(spread_count)).min(scenario.gateways.count),
        demand: demand(scenario, draw),
    }
}

/// Draws the demand of a customer, by one of the four patterns of the scenario's load.
fn demand(scenario: &Scenario, draw: &mut Draw) -> Demand {
    let load = &scenario.load;
    let calm_use = draw.between(load.calm_use);
    let calm = 1.0 - load.full - load.heavy - load.spiky;
    match draw.weighted(&[load.full, load.heavy, load.spiky, calm]) {
        0 => Demand { usual: FULL_USE, peak: FULL_USE, peaks: Vec::new() },
        1 => Demand { usual: draw.between(load.heavy_x), peak: 0.0, peaks: Vec::new() },
        2 => {
            let peak = draw.between(load.spike_x);
            Demand { usual: calm_use, peak, peaks: peaks(scenario, draw) }
        }
        _ => Demand { usual: calm_use, peak: calm_use, peaks: Vec::new() },
    }
}

/// Draws the begin and end of each peak of a customer.
fn peaks(scenario: &Scenario, draw: &mut Draw) -> Vec<(Microseconds, Microseconds)> {
    let load = &scenario.load;
    let mut peaks = Vec::new();
    let mut at = us(draw.between([0.0, load.spike_every_s[1]]));
    while at < us(scenario.length_s) {
        let length = us(draw.between(load.spike_s));
        peaks.push((at, at + length));
        at += length + us(draw.between(load.spike_every_s)).max(1);
    }
    peaks
}

/// Returns the faults of a scenario that change the load.
fn load_changes(scenario: &Scenario) -> Vec<LoadChange> {
    let mut changes = Vec::new();
    for fault in &scenario.faults {
        let amount = match fault.kind {
            Kind::Surge => fault.factor,
            Kind::HotCustomer | Kind::HotGateway | Kind::Impatient => fault.rate,
            _ => continue,
        };
        let plan_number = |name: &String| scenario.plans.iter().position(|plan| &plan.name == name);
        changes.push(LoadChange {
            kind: fault.kind,
            from: us(fault.at_s),
            to: us(fault.at_s + fault.for_s.unwrap_or(0.0)),
            amount: amount.unwrap_or(1.0),
            plans: fault.plans.iter().filter_map(plan_number).collect(),
        });
    }
    changes
}

/// Draws the customers that a `hot-customer` fault affects.
fn hot_customers(customers: &[Customer], seed: u64) -> Vec<usize> {
    let mut draw = Draw::new(seed, HOT_CUSTOMERS_STREAM);
    let mut all: Vec<usize> = (0..customers.len()).collect();
    draw.shuffle(&mut all);
    all.truncate(HOT_CUSTOMERS);
    all
}

/// Returns the factor by which a change multiplies a customer's rate.
fn rate_factor(change: &LoadChange, customer: &Customer) -> f64 {
    match change.kind {
        Kind::Surge if change.plans.is_empty() || change.plans.contains(&customer.plan) => change.amount,
        _ => 1.0,
    }
}

/// Returns the requests per second of a customer at a time.
fn rate(
    customer: &Customer,
    changes: &[LoadChange],
    base_per_s: f64,
    extra_per_s: Option<f64>,
    now: Microseconds,
) -> f64 {
    let demand = &customer.demand;
    let in_peak = demand.peaks.iter().any(|(from, to)| (*from..*to).contains(&now));
    let mut rate = base_per_s * if in_peak { demand.peak } else { demand.usual };
    for change in changes.iter().filter(|change| change.is_active(now)) {
        rate *= rate_factor(change, customer);
        if let (Kind::HotCustomer, Some(extra)) = (change.kind, extra_per_s) {
            rate += change.amount * extra;
        }
    }
    rate
}

/// Returns an upper bound of `rate` at any time.
fn max_rate(customer: &Customer, changes: &[LoadChange], base_per_s: f64, extra_per_s: Option<f64>) -> f64 {
    let demand = &customer.demand;
    let surge: f64 = changes.iter().map(|change| rate_factor(change, customer).max(1.0)).product();
    let hot = changes.iter().filter(|change| change.kind == Kind::HotCustomer);
    let hot_amount: f64 = hot.map(|change| change.amount).sum();
    let highest = base_per_s * demand.usual.max(demand.peak) * surge;
    // A surge after a hot customer in the list of faults multiplies the extra load as well.
    highest + hot_amount * surge * extra_per_s.unwrap_or(0.0)
}

/// Draws an order of the gateways of a set, each position by the weights of the remaining gateways.
fn gateway_order(ranks: &[usize], weights: &[f64], draw: &mut Draw) -> Vec<usize> {
    let mut remaining: Vec<(usize, f64)> = ranks.iter().copied().zip(weights.iter().copied()).collect();
    let mut order = Vec::with_capacity(remaining.len());
    while remaining.len() > 1 && order.len() < MAX_DRAWN_GATEWAYS {
        let weights: Vec<f64> = remaining.iter().map(|(_, weight)| *weight).collect();
        order.push(remaining.remove(draw.weighted(&weights)).0);
    }
    order.extend(remaining.into_iter().map(|(rank, _)| rank));
    order
}
