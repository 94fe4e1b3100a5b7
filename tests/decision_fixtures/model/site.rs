//! Classes and plans of the recorded sites, and units of time. The recorded files depend on these values, so they
//! must not change.

/// Length of one step of the model, in microseconds.
pub const TICK: u64 = 2_000;
/// One millisecond and one second in microseconds.
pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;
/// Lengths of `CLASSES` and `PLANS`.
pub const CLASS_COUNT: usize = 6;
pub const PLAN_COUNT: usize = 5;
/// Time-out of a call to the counter.
pub const COUNTER_TIMEOUT: u64 = 80 * MS;

/// A class of requests, with the setting keys of the simulator's protocol as field names.
pub struct ClassLine {
    pub name: &'static str,
    /// `pure`, `token` or `side_effect`.
    pub effect: &'static str,
    /// `all`, `zone` or `cell`.
    pub key_scope: &'static str,
    pub deadline: u64,
    pub on_time: u64,
    pub credit: f64,
    pub late_share: f64,
    pub window: u64,
    pub streaming: bool,
}

const fn class(name: &'static str, effect: &'static str, key_scope: &'static str) -> ClassLine {
    ClassLine {
        name,
        effect,
        key_scope,
        deadline: 3 * S,
        on_time: 800 * MS,
        credit: 1.0,
        late_share: 0.25,
        window: 0,
        streaming: false,
    }
}

pub const CLASSES: [ClassLine; CLASS_COUNT] = [
    class("view", "pure", "all"),
    ClassLine { window: S, ..class("edit", "token", "cell") },
    ClassLine { credit: 5.0, deadline: 2 * S, on_time: 300 * MS, ..class("pay", "side_effect", "all") },
    ClassLine { window: 1_500 * MS, late_share: 0.0, ..class("sync", "token", "all") },
    ClassLine { streaming: true, ..class("feed", "pure", "all") },
    ClassLine { window: 4 * S, credit: 0.2, ..class("tag", "token", "zone") },
];

/// A plan, with the setting keys of the simulator's protocol as field names.
pub struct PlanLine {
    pub name: &'static str,
    pub per_second: f64,
    pub peak_units: f64,
    pub open: f64,
    pub price: f64,
    pub extra_worth: f64,
    pub excess_cost: f64,
    pub ceiling_rate: f64,
    pub cap_depth: f64,
    pub tolerance: f64,
}

const fn plan(name: &'static str, per_second: f64, peak_units: f64) -> PlanLine {
    PlanLine {
        name,
        per_second,
        peak_units,
        open: 0.0,
        price: 1.0,
        extra_worth: 0.0,
        excess_cost: 0.0,
        ceiling_rate: 0.0,
        cap_depth: 0.0,
        tolerance: 0.0,
    }
}

pub const PLANS: [PlanLine; PLAN_COUNT] = [
    plan("basic", 10.0, 20.0),
    PlanLine { ceiling_rate: 20.0, cap_depth: 40.0, tolerance: 4.0, ..plan("ceiled", 10.0, 20.0) },
    PlanLine { open: 3.0, ..plan("narrow", 0.0, 0.0) },
    plan("free", 0.0, 0.0),
    PlanLine { open: 4.0, price: 2.0, extra_worth: 0.5, excess_cost: 0.2, ..plan("both", 30.0, 30.0) },
];
