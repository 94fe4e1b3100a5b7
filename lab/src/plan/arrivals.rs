//! Customers and their requests, drawn ahead: an open loop that waits for nobody.

use super::{us, Draw, Microseconds, MOST_UNITS};
use crate::scenario::{Kind, Scenario};

/// A customer of the fleet.
#[derive(Debug, Clone)]
pub struct Customer {
    /// The number on the wire, below 2^33.
    pub number: u64,
    /// Its plan.
    pub plan: usize,
    /// The first gateway of its set.
    pub first: usize,
    /// How many gateways in a row it comes through.
    pub spread: usize,
    /// What it asks for over time.
    habit: Habit,
}

/// What a customer asks for, as a multiple of its rate.
#[derive(Debug, Clone)]
struct Habit {
    usual: f64,
    spell: f64,
    /// Beginnings and ends of spells.
    spells: Vec<(Microseconds, Microseconds)>,
}

/// One first try.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When its client sends it.
    pub at: Microseconds,
    /// Who asks.
    pub customer: usize,
    /// Its class.
    pub class: usize,
    /// Work at a core of speed 1.
    pub work_us: f64,
    /// Units of the quota.
    pub units: u32,
    /// How long the client waits for one try.
    pub patience_us: Microseconds,
    /// The gateways of the set in the order in which its tries go to them.
    pub gateways: Vec<usize>,
}

/// A change of the load for some time.
struct Swell {
    kind: Kind,
    from: Microseconds,
    to: Microseconds,
    amount: f64,
    plans: Vec<usize>,
}

/// How much of its quota a customer uses that asks for nearly all.
const FULL: f64 = 0.95;

pub(super) fn draw(scenario: &Scenario, seed: u64, unit_work_us: &[f64]) -> (Vec<Customer>, Vec<Arrival>) {
    let swells = swells(scenario);
    let shares: Vec<f64> = scenario.classes.iter().map(|c| c.share).collect();
    let mean_units = mean_units(scenario, seed, unit_work_us, &shares);
    let customers = customers(scenario, &mut Draw::new(seed, 2), mean_units);
    let mut arrivals = Vec::new();
    let hot = hot(&customers, seed);
    let end = us(scenario.length_s);
    for (number, customer) in customers.iter().enumerate() {
        let mut draw = Draw::new(seed, 1000 + number as u64);
        let mut ranks: Vec<usize> = (0..customer.spread).collect();
        draw.shuffle(&mut ranks);
        let mut shift = us(draw.between(scenario.load.shift_s));
        let weights: Vec<f64> =
            (0..customer.spread).map(|rank| ((rank + 1) as f64).powf(-scenario.load.skew)).collect();
        let plan = &scenario.plans[customer.plan];
        let base = plan.rate / mean_units;
        // Drawn at the highest rate, and thinned to the rate of the moment.
        let extra = hot.contains(&number).then(|| scenario.load.per_s / hot.len() as f64);
        let highest = highest(customer, &swells, base, extra);
        let mut at = 0.0;
        loop {
            at += draw.exp(1e6 / highest);
            let now = at as Microseconds;
            if now >= end {
                break;
            }
            while now >= shift {
                draw.shuffle(&mut ranks);
                shift += us(draw.between(scenario.load.shift_s)).max(1);
            }
            let rate = rate(customer, &swells, base, extra, now);
            let keep = draw.unit() * highest < rate;
            // As many numbers for each candidate, kept or not, so that a swell moves no other draw.
            let class = draw.weighted(&shares);
            let spec = &scenario.classes[class];
            let work_us = draw.lognormal(spec.work_ms * 1000.0, spec.work_cv);
            let share = draw.between(scenario.load.try_share);
            let mut order = order(&ranks, &weights, &mut draw);
            if !keep {
                continue;
            }
            let now_on = |kind| swells.iter().find(|s| s.kind == kind && (s.from..s.to).contains(&now));
            if let Some(swell) = now_on(Kind::HotGateway) {
                // By the units' digits, not by a further draw.
                if (work_us * 1009.0).fract() < swell.amount {
                    order.retain(|rank| *rank != ranks[0]);
                    order.insert(0, ranks[0]);
                }
            }
            let impatient = now_on(Kind::Impatient).map_or(1.0, |swell| swell.amount);
            let patience_us = (us(spec.deadline_ms / 1000.0) as f64 * share * impatient) as Microseconds;
            let gateway = |rank: usize| (customer.first + rank) % scenario.gateways.count;
            arrivals.push(Arrival {
                at: now,
                customer: number,
                class,
                work_us,
                units: units(work_us, unit_work_us[class]),
                patience_us: patience_us.max(1000),
                gateways: order.into_iter().map(gateway).collect(),
            });
        }
    }
    arrivals.sort_by_key(|a| (a.at, a.customer));
    (customers, arrivals)
}

fn units(work_us: f64, unit_work_us: f64) -> u32 {
    ((work_us / unit_work_us).ceil() as u32).clamp(1, MOST_UNITS)
}

/// The mean units of a request, by a sample: work is cut off at the most units.
fn mean_units(scenario: &Scenario, seed: u64, unit_work_us: &[f64], shares: &[f64]) -> f64 {
    let mut draw = Draw::new(seed, 3);
    let sample = 4000;
    let one = |_| {
        let class = draw.weighted(shares);
        let spec = &scenario.classes[class];
        f64::from(units(draw.lognormal(spec.work_ms * 1000.0, spec.work_cv), unit_work_us[class]))
    };
    (0..sample).map(one).sum::<f64>() / f64::from(sample)
}

fn customers(scenario: &Scenario, draw: &mut Draw, mean_units: f64) -> Vec<Customer> {
    let load = &scenario.load;
    let calm = 1.0 - load.full - load.heavy - load.spiky;
    let inside =
        calm * (load.calm_use[0] + load.calm_use[1]) / 2.0 + load.full * FULL + load.heavy + load.spiky * 0.6;
    let shares: f64 = scenario.plans.iter().map(|p| p.share).sum();
    let mut customers: Vec<Customer> = Vec::new();
    for (number, plan) in scenario.plans.iter().enumerate() {
        let wanted = plan.share / shares * load.per_s * mean_units / (plan.rate * inside);
        for _ in 0..(wanted.round() as usize).max(1) {
            // Guards against two customers under one number.
            let id = loop {
                let id = draw.bits() & ((1 << 33) - 1);
                if !customers.iter().any(|c| c.number == id) {
                    break id;
                }
            };
            let most = load.spread[1] - load.spread[0] + 1;
            customers.push(Customer {
                number: id,
                plan: number,
                first: draw.below(scenario.gateways.count),
                spread: (load.spread[0] + draw.below(most)).min(scenario.gateways.count),
                habit: habit(scenario, draw),
            });
        }
    }
    customers
}

fn habit(scenario: &Scenario, draw: &mut Draw) -> Habit {
    let load = &scenario.load;
    let calm = draw.between(load.calm_use);
    let kind = draw.weighted(&[load.full, load.heavy, load.spiky, 1.0 - load.full - load.heavy - load.spiky]);
    let (usual, spell) = match kind {
        0 => (FULL, FULL),
        1 => (draw.between(load.heavy_x), 0.0),
        2 => (calm, draw.between(load.spike_x)),
        _ => (calm, calm),
    };
    let mut spells = Vec::new();
    if kind == 2 {
        let mut at = us(draw.between([0.0, load.spike_every_s[1]]));
        while at < us(scenario.length_s) {
            let length = us(draw.between(load.spike_s));
            spells.push((at, at + length));
            at += length + us(draw.between(load.spike_every_s)).max(1);
        }
    }
    Habit { usual, spell, spells }
}

fn swells(scenario: &Scenario) -> Vec<Swell> {
    let mut swells = Vec::new();
    for fault in &scenario.faults {
        let amount = match fault.kind {
            Kind::Surge => fault.factor,
            Kind::HotCustomer | Kind::HotGateway | Kind::Impatient => fault.rate,
            _ => continue,
        };
        let plan = |name: &String| scenario.plans.iter().position(|p| &p.name == name);
        swells.push(Swell {
            kind: fault.kind,
            from: us(fault.at_s),
            to: us(fault.at_s + fault.for_s.unwrap_or(0.0)),
            amount: amount.unwrap_or(1.0),
            plans: fault.plans.iter().filter_map(plan).collect(),
        });
    }
    swells
}

/// The three customers that a hot spell befalls.
fn hot(customers: &[Customer], seed: u64) -> Vec<usize> {
    let mut draw = Draw::new(seed, 4);
    let mut all: Vec<usize> = (0..customers.len()).collect();
    draw.shuffle(&mut all);
    all.truncate(3);
    all
}

fn factor(swell: &Swell, customer: &Customer) -> f64 {
    match swell.kind {
        Kind::Surge if swell.plans.is_empty() || swell.plans.contains(&customer.plan) => swell.amount,
        _ => 1.0,
    }
}

/// Requests a second at a moment.
fn rate(customer: &Customer, swells: &[Swell], base: f64, extra: Option<f64>, now: Microseconds) -> f64 {
    let habit = &customer.habit;
    let spell = habit.spells.iter().any(|(from, to)| (*from..*to).contains(&now));
    let mut rate = base * if spell { habit.spell } else { habit.usual };
    for swell in swells.iter().filter(|s| (s.from..s.to).contains(&now)) {
        rate *= factor(swell, customer);
        if let (Kind::HotCustomer, Some(extra)) = (swell.kind, extra) {
            rate += swell.amount * extra;
        }
    }
    rate
}

/// A bound on `rate` at any moment.
fn highest(customer: &Customer, swells: &[Swell], base: f64, extra: Option<f64>) -> f64 {
    let mut highest = base * customer.habit.usual.max(customer.habit.spell);
    highest *= swells.iter().map(|s| factor(s, customer).max(1.0)).product::<f64>();
    let hot = swells.iter().filter(|s| s.kind == Kind::HotCustomer).map(|s| s.amount).sum::<f64>();
    // A surge after a hot spell in the list multiplies that as well.
    let surge = swells.iter().map(|s| factor(s, customer).max(1.0)).product::<f64>();
    highest + hot * surge * extra.unwrap_or(0.0)
}

/// The gateways of a set by rank, each place drawn by the weights of those left.
fn order(ranks: &[usize], weights: &[f64], draw: &mut Draw) -> Vec<usize> {
    let mut left: Vec<(usize, f64)> = ranks.iter().copied().zip(weights.iter().copied()).collect();
    let mut order = Vec::with_capacity(left.len());
    // More than four are asked by no client; the rest keeps its order.
    while left.len() > 1 && order.len() < 4 {
        let weights: Vec<f64> = left.iter().map(|(_, weight)| *weight).collect();
        order.push(left.remove(draw.weighted(&weights)).0);
    }
    order.extend(left.into_iter().map(|(rank, _)| rank));
    order
}
