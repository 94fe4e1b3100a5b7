//! The plan of a run: all that the seed decides, drawn before anything starts. The same scenario and seed give
//! the same plan on every machine; its digest says so.

mod arrivals;
mod draw;
mod fault_expansion;
mod faults;

pub use arrivals::{Arrival, Customer};
pub use draw::Draw;
pub use faults::{Action, BackendFault, Band, LinkChange, Step};

use crate::scenario::{Effect, Scenario};
use sha2::{Digest, Sha256};

/// Microseconds since the first moment of the run.
pub type Microseconds = u64;

/// Seconds as microseconds.
pub fn us(seconds: f64) -> Microseconds {
    (seconds * 1e6).round().max(0.0) as Microseconds
}

/// All choices of one run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The scenario that it was drawn from.
    pub scenario: Scenario,
    /// The seed that it was drawn with.
    pub seed: u64,
    /// Who asks.
    pub customers: Vec<Customer>,
    /// First tries, in the order of their times.
    pub arrivals: Vec<Arrival>,
    /// What is done to the fleet, in the order of its times.
    pub steps: Vec<Step>,
    /// The faults as they show in a report.
    pub bands: Vec<Band>,
    /// Backends, with those that come in during the run behind those of the start.
    pub backends: Vec<BackendPlan>,
    /// The scales by which classes' work gives units: units are the work over this, rounded up.
    pub unit_work_us: Vec<f64>,
    /// An id that no client of the plan sent stands for a request all the same: somebody tries by hand.
    pub open_ids: bool,
    /// SHA-256 over arrivals, steps and the backends' speeds, in hexadecimal.
    pub digest: String,
}

/// What is decided about a backend.
#[derive(Debug, Clone)]
pub struct BackendPlan {
    /// The number of its zone.
    pub zone: usize,
    /// The speed of its cores.
    pub speed: f64,
    /// Its release label.
    pub label: String,
}

/// The most units of one request.
pub const MOST_UNITS: u32 = 6;

impl Plan {
    /// Draws the plan of a scenario.
    pub fn draw(scenario: &Scenario, seed: u64) -> Plan {
        // A stream of its own for each part, so that a change of one leaves the others as they were.
        let (steps, bands) = faults::draw(scenario, seed);
        let backends = backends(scenario, &steps, &mut Draw::new(seed, 1));
        let unit_work_us: Vec<f64> = scenario.classes.iter().map(|c| c.work_ms * 1000.0 / 2.0).collect();
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

    /// The customer's ceiling as rate, burst and slack in units; `None` where its plan has none.
    pub fn ceiling(&self, plan: usize) -> Option<(f64, f64, f64)> {
        let plan = &self.scenario.plans[plan];
        let burst = self.burst(plan) * plan.ceiling;
        let slack = (0.1 * burst).max(f64::from(MOST_UNITS));
        (plan.ceiling > 0.0).then_some((plan.rate * plan.ceiling, burst, slack))
    }

    /// Units that a customer of a plan may use at once.
    pub fn burst(&self, plan: &crate::scenario::Plan) -> f64 {
        (plan.rate * plan.burst_s).round()
    }

    /// Whether a class's requests carry a key.
    pub fn keyed(&self, class: usize) -> bool {
        self.scenario.classes[class].effect == Effect::Keyed
    }

    /// The id on the wire of the `nth` try of an arrival: never the same twice in a run.
    pub fn id(&self, arrival: usize, nth: u32) -> u64 {
        // The mixing step of splitmix64 is a bijection, so that ids differ as their inputs do.
        let mut x = self.seed.rotate_left(40) ^ ((arrival as u64) << 8 | u64::from(nth & 0xff));
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }
}

fn backends(scenario: &Scenario, steps: &[Step], draw: &mut Draw) -> Vec<BackendPlan> {
    let mut one = |zone, label: &str| BackendPlan {
        zone,
        speed: draw.between(scenario.backends.speed),
        label: label.to_string(),
    };
    let label = scenario.backends.label.as_str();
    let mut all: Vec<BackendPlan> =
        (0..scenario.backends.count).map(|n| one(n % scenario.zones(), label)).collect();
    // In the order of their numbers, not of their times.
    let mut coming: Vec<(usize, usize, &str)> = steps
        .iter()
        .filter_map(|step| match &step.action {
            Action::Drain { old, new, label } => Some((*new, *old, label.as_str())),
            _ => None,
        })
        .collect();
    coming.sort_unstable();
    for (_, old, label) in coming {
        let zone = all[old].zone;
        all.push(one(zone, label));
    }
    all
}

fn digest(arrivals: &[Arrival], steps: &[Step], backends: &[BackendPlan]) -> String {
    let mut hash = Sha256::new();
    for a in arrivals {
        hash.update(a.at.to_le_bytes());
        hash.update((a.customer as u64).to_le_bytes());
        hash.update((a.class as u64).to_le_bytes());
        hash.update(a.work_us.to_le_bytes());
        hash.update(a.patience_us.to_le_bytes());
        a.gateways.iter().for_each(|g| hash.update((*g as u64).to_le_bytes()));
    }
    steps.iter().for_each(|step| hash.update(format!("{step:?}")));
    backends.iter().for_each(|backend| hash.update(backend.speed.to_le_bytes()));
    hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}
