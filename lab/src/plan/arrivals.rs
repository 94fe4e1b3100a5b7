//! Customers and their requests, drawn ahead: an open-loop load, which does not wait for answers.

use super::{us, Draw, Microseconds, MOST_UNITS};
use crate::scenario::{Kind, Scenario};

/// A customer that sends requests.
#[derive(Debug, Clone)]
pub struct Customer {
    /// The number on the wire, below 2^33.
    pub number: u64,
    /// The number of its plan.
    pub plan: usize,
    /// The first gateway of the set that it uses.
    pub first: usize,
    /// How many gateways in a row the set has.
    pub spread: usize,
    /// What it asks for over time.
    demand: Demand,
}

/// What a customer asks for, as a multiple of its plan's rate.
#[derive(Debug, Clone)]
struct Demand {
    /// Outside of peaks.
    usual: f64,
    /// In peaks.
    peak: f64,
    /// Beginnings and ends of peaks.
    peaks: Vec<(Microseconds, Microseconds)>,
}

/// One request, as its client sends it first.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When its client sends it.
    pub at: Microseconds,
    /// The number of its customer.
    pub customer: usize,
    /// The number of its class.
    pub class: usize,
    /// Work in microseconds of a core of speed 1.
    pub work_us: f64,
    /// Quota units that it costs.
    pub units: u32,
    /// How long the client waits for one attempt.
    pub patience_us: Microseconds,
    /// The gateways of the set in the order in which its attempts go to them.
    pub gateways: Vec<usize>,
}

/// A fault that changes the load for some time.
struct LoadChange {
    kind: Kind,
    from: Microseconds,
    to: Microseconds,
    amount: f64,
    plans: Vec<usize>,
}

impl LoadChange {
    fn is_on(&self, now: Microseconds) -> bool {
        (self.from..self.to).contains(&now)
    }
}

/// The fraction of its quota that a customer uses that asks for nearly all of it.
const FULL: f64 = 0.95;
/// The mean fraction of its quota that a customer with peaks uses.
const SPIKY_MEAN: f64 = 0.6;
/// The random stream of the customers.
const CUSTOMERS_STREAM: u64 = 2;
/// The random stream of the sample that gives the mean units.
const MEAN_UNITS_STREAM: u64 = 3;
/// The random stream that chooses the hot customers.
const HOT_CUSTOMERS_STREAM: u64 = 4;
/// The random stream of the first customer's arrivals; each further customer has the next one.
const FIRST_ARRIVALS_STREAM: u64 = 1000;
/// Requests in the sample that gives the mean units.
const MEAN_UNITS_SAMPLE: i32 = 4000;
/// Customers that a `hot_customer` fault makes hot.
const HOT_CUSTOMERS: usize = 3;
/// Customers' numbers have this many bits on the wire.
const CUSTOMER_NUMBER_BITS: u32 = 33;
/// The shortest time that a client waits for an answer, in microseconds.
const LEAST_PATIENCE_US: Microseconds = 1000;
/// Gateways of its set that a client may ask; the rest of the order is not drawn.
const MOST_GATEWAYS_ASKED: usize = 4;

/// Draws the customers and their requests, these in the order of their times.
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

/// What all customers' arrivals are drawn from.
struct LoadModel<'a> {
    scenario: &'a Scenario,
    changes: Vec<LoadChange>,
    /// The weights of the classes.
    class_shares: Vec<f64>,
    /// The work of one unit, by class.
    unit_work_us: &'a [f64],
    /// Mean units of a request.
    mean_units: f64,
    /// The customers that a `hot_customer` fault makes hot.
    hot: Vec<usize>,
}

impl LoadModel<'_> {
    /// The first change of a kind that is on.
    fn change_on(&self, kind: Kind, now: Microseconds) -> Option<&LoadChange> {
        self.changes.iter().find(|change| change.kind == kind && change.is_on(now))
    }
}

/// The arrivals of one customer: a Poisson process, drawn at its highest rate and thinned to the rate of the moment
/// (Lewis and Shedler, 1979).
struct CustomerStream<'a> {
    load: &'a LoadModel<'a>,
    number: usize,
    customer: &'a Customer,
    draw: Draw,
    /// The gateways of the customer's set, the most used first.
    ranks: Vec<usize>,
    /// The weights of the ranks.
    weights: Vec<f64>,
    /// When the ranks change next.
    next_shift: Microseconds,
    /// Requests a second at the customer's whole quota.
    base_per_s: f64,
    /// Requests a second that a `hot_customer` fault adds; `None` for a customer that is not hot.
    extra_per_s: Option<f64>,
    /// A bound on the rate at any moment.
    highest_per_s: f64,
}

impl<'a> CustomerStream<'a> {
    fn new(load: &'a LoadModel<'a>, number: usize, customer: &'a Customer, mut draw: Draw) -> Self {
        let scenario = load.scenario;
        let mut ranks: Vec<usize> = (0..customer.spread).collect();
        draw.shuffle(&mut ranks);
        let next_shift = us(draw.between(scenario.load.shift_s));
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
            next_shift,
            base_per_s,
            extra_per_s,
            highest_per_s: highest_rate(customer, &load.changes, base_per_s, extra_per_s),
        }
    }

    fn arrivals(mut self) -> Vec<Arrival> {
        let end = us(self.load.scenario.length_s);
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at += self.draw.exp(1e6 / self.highest_per_s);
            let now = at as Microseconds;
            if now >= end {
                return arrivals;
            }
            self.shift_ranks(now);
            if let Some(arrival) = self.draw_arrival(now) {
                arrivals.push(arrival);
            }
        }
    }

    /// Reorders the gateways at the times at which the customer's preference changes.
    fn shift_ranks(&mut self, now: Microseconds) {
        while now >= self.next_shift {
            self.draw.shuffle(&mut self.ranks);
            self.next_shift += us(self.draw.between(self.load.scenario.load.shift_s)).max(1);
        }
    }

    /// The candidate at a time, or `None` where the thinning drops it. The same count of random numbers is drawn for
    /// each candidate, dropped or not, so that a load change leaves all other draws as they were.
    fn draw_arrival(&mut self, now: Microseconds) -> Option<Arrival> {
        let scenario = self.load.scenario;
        let rate = rate(self.customer, &self.load.changes, self.base_per_s, self.extra_per_s, now);
        let is_kept = self.draw.unit() * self.highest_per_s < rate;
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
            patience_us: self.patience(spec.deadline_ms, deadline_fraction, now),
            gateways: order.into_iter().map(gateway).collect(),
        })
    }

    /// Puts the customer's first gateway first for a part of the requests while a `hot_gateway` fault is on. The digits
    /// of the work decide which, as a further draw would move all later ones.
    fn prefer_hot_gateway(&self, order: &mut Vec<usize>, work_us: f64, now: Microseconds) {
        let Some(change) = self.load.change_on(Kind::HotGateway, now) else { return };
        if (work_us * 1009.0).fract() < change.amount {
            order.retain(|rank| *rank != self.ranks[0]);
            order.insert(0, self.ranks[0]);
        }
    }

    /// How long the client waits for one attempt.
    fn patience(&self, deadline_ms: f64, fraction: f64, now: Microseconds) -> Microseconds {
        let impatience = self.load.change_on(Kind::Impatient, now).map_or(1.0, |change| change.amount);
        let patience_us = (us(deadline_ms / 1000.0) as f64 * fraction * impatience) as Microseconds;
        patience_us.max(LEAST_PATIENCE_US)
    }
}

/// The units of a request by its work.
fn units(work_us: f64, unit_work_us: f64) -> u32 {
    ((work_us / unit_work_us).ceil() as u32).clamp(1, MOST_UNITS)
}

/// The mean units of a request, by a sample: work is cut off at the most units.
fn mean_units(scenario: &Scenario, seed: u64, unit_work_us: &[f64], shares: &[f64]) -> f64 {
    let mut draw = Draw::new(seed, MEAN_UNITS_STREAM);
    let sampled_units = |_| {
        let class = draw.weighted(shares);
        let spec = &scenario.classes[class];
        f64::from(units(draw.lognormal(spec.work_ms * 1000.0, spec.work_cv), unit_work_us[class]))
    };
    (0..MEAN_UNITS_SAMPLE).map(sampled_units).sum::<f64>() / f64::from(MEAN_UNITS_SAMPLE)
}

/// Customers of each plan, as many as give the load that the scenario asks for.
fn customers(scenario: &Scenario, draw: &mut Draw, mean_units: f64) -> Vec<Customer> {
    let load = &scenario.load;
    let calm = 1.0 - load.full - load.heavy - load.spiky;
    let mean_use = calm * (load.calm_use[0] + load.calm_use[1]) / 2.0
        + load.full * FULL
        + load.heavy
        + load.spiky * SPIKY_MEAN;
    let shares: f64 = scenario.plans.iter().map(|plan| plan.share).sum();
    let mut customers: Vec<Customer> = Vec::new();
    for (number, plan) in scenario.plans.iter().enumerate() {
        let wanted = plan.share / shares * load.per_s * mean_units / (plan.rate * mean_use);
        for _ in 0..(wanted.round() as usize).max(1) {
            let customer = customer(scenario, number, &customers, draw);
            customers.push(customer);
        }
    }
    customers
}

/// One customer of a plan, with a number that none of `others` has.
fn customer(scenario: &Scenario, plan: usize, others: &[Customer], draw: &mut Draw) -> Customer {
    let load = &scenario.load;
    let number = loop {
        let number = draw.bits() & ((1 << CUSTOMER_NUMBER_BITS) - 1);
        if !others.iter().any(|other| other.number == number) {
            break number;
        }
    };
    let spreads = load.spread[1] - load.spread[0] + 1;
    Customer {
        number,
        plan,
        first: draw.below(scenario.gateways.count),
        spread: (load.spread[0] + draw.below(spreads)).min(scenario.gateways.count),
        demand: demand(scenario, draw),
    }
}

/// Draws what a customer asks for over time, by one of the four patterns of the scenario's load.
fn demand(scenario: &Scenario, draw: &mut Draw) -> Demand {
    let load = &scenario.load;
    let calm_use = draw.between(load.calm_use);
    let calm = 1.0 - load.full - load.heavy - load.spiky;
    match draw.weighted(&[load.full, load.heavy, load.spiky, calm]) {
        0 => Demand { usual: FULL, peak: FULL, peaks: Vec::new() },
        1 => Demand { usual: draw.between(load.heavy_x), peak: 0.0, peaks: Vec::new() },
        2 => {
            let peak = draw.between(load.spike_x);
            Demand { usual: calm_use, peak, peaks: peaks(scenario, draw) }
        }
        _ => Demand { usual: calm_use, peak: calm_use, peaks: Vec::new() },
    }
}

/// Beginnings and ends of the peaks of a customer that has them.
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

/// The faults of a scenario that change the load.
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

/// The customers that a `hot_customer` fault makes hot.
fn hot_customers(customers: &[Customer], seed: u64) -> Vec<usize> {
    let mut draw = Draw::new(seed, HOT_CUSTOMERS_STREAM);
    let mut all: Vec<usize> = (0..customers.len()).collect();
    draw.shuffle(&mut all);
    all.truncate(HOT_CUSTOMERS);
    all
}

/// By how much a change multiplies a customer's rate.
fn rate_factor(change: &LoadChange, customer: &Customer) -> f64 {
    match change.kind {
        Kind::Surge if change.plans.is_empty() || change.plans.contains(&customer.plan) => change.amount,
        _ => 1.0,
    }
}

/// Requests a second of a customer at a moment.
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
    for change in changes.iter().filter(|change| change.is_on(now)) {
        rate *= rate_factor(change, customer);
        if let (Kind::HotCustomer, Some(extra)) = (change.kind, extra_per_s) {
            rate += change.amount * extra;
        }
    }
    rate
}

/// A bound on `rate` at any moment.
fn highest_rate(
    customer: &Customer,
    changes: &[LoadChange],
    base_per_s: f64,
    extra_per_s: Option<f64>,
) -> f64 {
    let demand = &customer.demand;
    let surge: f64 = changes.iter().map(|change| rate_factor(change, customer).max(1.0)).product();
    let hot = changes.iter().filter(|change| change.kind == Kind::HotCustomer);
    let hot_amount: f64 = hot.map(|change| change.amount).sum();
    let highest = base_per_s * demand.usual.max(demand.peak) * surge;
    // A surge that follows a hot customer in the list multiplies the extra load as well.
    highest + hot_amount * surge * extra_per_s.unwrap_or(0.0)
}

/// The gateways of a set by rank, each place drawn by the weights of those left.
fn gateway_order(ranks: &[usize], weights: &[f64], draw: &mut Draw) -> Vec<usize> {
    let mut left: Vec<(usize, f64)> = ranks.iter().copied().zip(weights.iter().copied()).collect();
    let mut order = Vec::with_capacity(left.len());
    while left.len() > 1 && order.len() < MOST_GATEWAYS_ASKED {
        let weights: Vec<f64> = left.iter().map(|(_, weight)| *weight).collect();
        order.push(left.remove(draw.weighted(&weights)).0);
    }
    order.extend(left.into_iter().map(|(rank, _)| rank));
    order
}
