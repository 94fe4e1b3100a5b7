//! The plan of a run: every random choice, drawn from the seed before anything starts. The same scenario and seed give
//! the same plan on every machine, which the plan's digest makes comparable.

mod arrivals;
mod draw;
mod fault_expansion;
mod faults;

pub use arrivals::{Arrival, Customer};
pub use draw::Draw;
pub use faults::{Action, BackendFault, Band, LinkChange, Step};

use crate::scenario::{Effect, Scenario};
use sha2::{Digest, Sha256};

/// Microseconds since the start of the run.
pub type Microseconds = u64;

/// Converts seconds to whole microseconds; negative values become 0.
pub fn us(seconds: f64) -> Microseconds {
    (seconds * 1e6).round().max(0.0) as Microseconds
}

/// All random choices of one run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Scenario from which the plan was drawn.
    pub scenario: Scenario,
    /// Seed of all draws.
    pub seed: u64,
    /// Customers that send requests.
    pub customers: Vec<Customer>,
    /// First attempts of all requests, in time order.
    pub arrivals: Vec<Arrival>,
    /// Actions on the system under test, in time order.
    pub steps: Vec<Step>,
    /// Faults as the report shows them.
    pub bands: Vec<Band>,
    /// Backends: the initial ones, followed by those that start during the run.
    pub backends: Vec<BackendPlan>,
    /// Work of one quota unit by class, in microseconds: a request costs its work divided by this, rounded up.
    pub unit_work_us: Vec<f64>,
    /// Whether a request id that no client of the plan sent is accepted too, for requests sent by hand.
    pub open_ids: bool,
    /// SHA-256 over arrivals, steps and the speeds of the backends, in hexadecimal.
    pub digest: String,
}

/// Drawn properties of a backend.
#[derive(Debug, Clone)]
pub struct BackendPlan {
    /// Number of the zone.
    pub zone: usize,
    /// Speed of the cores, relative to 1.
    pub speed: f64,
    /// Release label.
    pub label: String,
}

/// Maximum quota units of one request.
pub const MOST_UNITS: u32 = 6;

impl Plan {
    /// Draws the plan of a scenario.
    pub fn draw(scenario: &Scenario, seed: u64) -> Plan {
        // Each part has a separate random stream, so that a change to one part leaves the others unchanged.
        let (steps, bands) = faults::draw(scenario, seed);
        let backends = backends(scenario, &steps, &mut Draw::new(seed, 1));
        let unit_work_us: Vec<f64> =
            scenario.classes.iter().map(|class| class.work_ms * 1000.0 / 2.0).collect();
        let (customers, arrivals) = arrivals::draw(scenario, seed, &unit_work_us);
        let digest = digest(&arrivals, &steps, &backends);
        Plan {
            scenario: scenario.clone(),
            seed,
            customers,
            arrivals,
            steps,
            bands,
            backends,
            unit_work_us,
            open_ids: false,
            digest,
        }
    }

    /// Returns the hard limit of a customer of `plan` as rate, burst and slack in units; `None` if the plan has none.
    pub fn ceiling(&self, plan: usize) -> Option<(f64, f64, f64)> {
        let plan = &self.scenario.plans[plan];
        let burst = self.burst(plan) * plan.ceiling;
        let slack = (0.1 * burst).max(f64::from(MOST_UNITS));
        (plan.ceiling > 0.0).then_some((plan.rate * plan.ceiling, burst, slack))
    }

    /// Returns the units that a customer of a plan may use at once.
    pub fn burst(&self, plan: &crate::scenario::Plan) -> f64 {
        (plan.rate * plan.burst_s).round()
    }

    /// Whether the requests of a class carry an idempotency key.
    pub fn keyed(&self, class: usize) -> bool {
        self.scenario.classes[class].effect == Effect::Keyed
    }

    /// Returns the id on the wire of attempt number `attempt` of an arrival, unique within a run.
    pub fn id(&self, arrival: usize, attempt: u32) -> u64 {
        // The mixing step of splitmix64 is a bijection, so that different inputs give different ids.
        let mut x = self.seed.rotate_left(40) ^ ((arrival as u64) << 8 | u64::from(attempt & 0xff));
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }
}

fn backends(scenario: &Scenario, steps: &[Step], draw: &mut Draw) -> Vec<BackendPlan> {
    let mut draw_backend = |zone, label: &str| BackendPlan {
        zone,
        speed: draw.between(scenario.backends.speed),
        label: label.to_string(),
    };
    let label = scenario.backends.label.as_str();
    let mut plans: Vec<BackendPlan> =
        (0..scenario.backends.count).map(|number| draw_backend(number % scenario.zones(), label)).collect();
    // Sorted by number, not by time, as a backend's number is its index here.
    let mut replacements: Vec<(usize, usize, &str)> = steps
        .iter()
        .filter_map(|step| match &step.action {
            Action::Drain { old, new, label } => Some((*new, *old, label.as_str())),
            _ => None,
        })
        .collect();
    replacements.sort_unstable();
    for (_, old, label) in replacements {
        let zone = plans[old].zone;
        plans.push(draw_backend(zone, label));
    }
    plans
}

fn digest(arrivals: &[Arrival], steps: &[Step], backends: &[BackendPlan]) -> String {
    let mut hash = Sha256::new();
    for arrival in arrivals {
        hash.update(arrival.at.to_le_bytes());
        hash.update((arrival.customer as u64).to_le_bytes());
        hash.update((arrival.class as u64).to_le_bytes());
        hash.update(arrival.work_us.to_le_bytes());
        hash.update(arrival.patience_us.to_le_bytes());
        arrival.gateways.iter().for_each(|gateway| hash.update((*gateway as u64).to_le_bytes()));
    }
    steps.iter().for_each(|step| hash.update(format!("{step:?}")));
    backends.iter().for_each(|backend| hash.update(backend.speed.to_le_bytes()));
    hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}
