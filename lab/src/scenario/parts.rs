//! The tables of a scenario except the faults, with their units and defaults.

use serde::Deserialize;
use std::collections::BTreeMap;

/// Load from clients, as an open loop: arrivals are drawn before the run and do not wait for answers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Mean requests per second within the quotas, over all customers.
    pub per_s: f64,
    /// Range of the fraction of the quota that most customers use.
    pub calm_use: [f64; 2],
    /// Fraction of the customers that use 0.95 of their quota.
    pub full: f64,
    /// Fraction of the customers that request a multiple of their quota all the time.
    pub heavy: f64,
    /// Range of the multiple of the quota for `heavy` customers.
    pub heavy_x: [f64; 2],
    /// Fraction of the customers that request a multiple of their quota in peaks.
    pub spiky: f64,
    /// Range of the multiple of the quota for `spiky` customers.
    pub spike_x: [f64; 2],
    /// Range of the duration of a peak in seconds.
    pub spike_s: [f64; 2],
    /// Range of the seconds from the end of a peak to the next one.
    pub spike_every_s: [f64; 2],
    /// Range of the number of gateways that a customer's requests use.
    pub spread: [usize; 2],
    /// Skew of the use of the gateways: a gateway's weight is its rank in the set to the power of minus this.
    pub skew: f64,
    /// Range of the seconds between changes of the ranks.
    pub shift_s: [f64; 2],
    /// Maximum retries of a client after a rejection or a failure that allows a retry.
    pub retries: u32,
    /// Backoff before the first retry in milliseconds, doubled for each further one.
    pub backoff_ms: f64,
    /// Fraction of the clients that honour Retry-After.
    pub honour: f64,
    /// Range of the time-out of one attempt, as a fraction of the deadline of its class.
    pub try_share: [f64; 2],
    /// Range of the seconds until the load balancer stops sending to a gateway that was killed or paused.
    pub notice_s: [f64; 2],
    /// Maximum client connections at one gateway.
    pub connections: usize,
    /// Body size of a keyed request in bytes.
    pub body_bytes: usize,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            per_s: 300.0,
            calm_use: [0.17, 0.49],
            full: 0.14,
            heavy: 0.1,
            heavy_x: [2.1, 4.0],
            spiky: 0.15,
            spike_x: [3.6, 7.0],
            spike_s: [1.5, 4.8],
            spike_every_s: [13.0, 24.0],
            spread: [2, 4],
            skew: 0.8,
            shift_s: [7.3, 22.0],
            retries: 2,
            backoff_ms: 100.0,
            honour: 0.7,
            try_share: [0.5, 1.0],
            notice_s: [1.0, 3.7],
            connections: 128,
            body_bytes: 212,
        }
    }
}

/// A plan that customers subscribe to.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name in the header `X-Plan`.
    pub name: String,
    /// Fraction of the load within quotas that this plan contributes.
    pub share: f64,
    /// Units per second for each customer.
    pub rate: f64,
    /// Burst size, in seconds of `rate`.
    pub burst_s: f64,
    /// Factor on the value of a request.
    pub price: f64,
    /// Cost of an attempt that is forwarded beyond the quota, as a fraction of its value.
    pub over_cost: f64,
    /// Hard limit as a multiple of rate and burst; 0 means none.
    #[serde(default)]
    pub ceiling: f64,
}

/// Returns the plans of `norte-medios`, at the middle of their ranges.
pub(super) fn default_plans() -> Vec<Plan> {
    let plan = |name: &str, share, rate, burst_s, price, over_cost, ceiling| Plan {
        name: name.into(),
        share,
        rate,
        burst_s,
        price,
        over_cost,
        ceiling,
    };
    vec![
        plan("basico", 0.27, 2.0, 6.0, 0.72, 1.0, 0.0),
        plan("estandar", 0.46, 4.5, 5.0, 1.1, 0.5, 2.1),
        plan("ampliado", 0.27, 18.0, 2.2, 1.6, 1.2, 0.0),
    ]
}

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Idempotent: any number of times.
    Safe,
    /// Idempotent with an idempotency key: within the window of the class, in which all backends drop repeats.
    Keyed,
    /// Not idempotent: only after an attempt that certainly was not executed.
    Unsafe,
}

/// A class of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name in the header `X-Call-Class`.
    pub name: String,
    /// Fraction of the requests.
    pub share: f64,
    /// Mean work on a backend core of speed 1, in milliseconds.
    pub work_ms: f64,
    /// Coefficient of variation (standard deviation / mean) of the work, which is lognormal.
    #[serde(default = "work_cv")]
    pub work_cv: f64,
    /// Latency objective in milliseconds; an answer within it earns the full value.
    pub aim_ms: f64,
    /// Maximum time that a client waits over all attempts, in milliseconds.
    pub deadline_ms: f64,
    /// Value of a request.
    pub worth: f64,
    /// Fraction of the value that an answer after the latency objective still earns.
    #[serde(default)]
    pub late_worth: f64,
    /// Whether a request may be executed more than once.
    pub effect: Effect,
    /// Deduplication window of keyed requests, in milliseconds.
    #[serde(default)]
    pub window_ms: f64,
}

fn work_cv() -> f64 {
    0.8
}

/// Returns the classes of `norte-medios`, five times as fast, so that a few backends can serve many requests.
pub(super) fn default_classes() -> Vec<Class> {
    let class =
        |name: &str, share, work_ms, aim_ms, deadline_ms, worth, late_worth, effect, window_ms| Class {
            name: name.into(),
            share,
            work_ms,
            work_cv: work_cv(),
            aim_ms,
            deadline_ms,
            worth,
            late_worth,
            effect,
            window_ms,
        };
    vec![
        class("batch-thumbs", 0.46, 46.0, 500.0, 1500.0, 1.0, 0.0, Effect::Safe, 0.0),
        class("preview", 0.39, 19.0, 200.0, 600.0, 3.0, 0.2, Effect::Safe, 0.0),
        class("publish-cover", 0.15, 46.0, 450.0, 1500.0, 3.0, 0.2, Effect::Keyed, 1000.0),
    ]
}

/// Gateway processes.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Gateways {
    /// Number of gateways.
    pub count: usize,
    /// Limit on the resident memory of each gateway, in millions of bytes.
    pub memory_mb: f64,
    /// Limit on the file descriptors of each gateway.
    pub sockets: usize,
    /// Whether gateways reach each other over UDP; each then gets separate relay addresses for all others.
    pub peers: bool,
    /// Fraction of each gateway's quota share that may be leased, 0 to 1, as set in the cluster file.
    pub lend: f64,
    /// Entries of `[ledger]` in the cluster file; without any, no ledger is kept.
    pub ledger: BTreeMap<String, toml::Value>,
    /// Whether each gateway has a separate folder on disk that persists across restarts; needs a ledger.
    pub disks: bool,
    /// Whether routing rules may be rolled out; needs a ledger.
    pub rollout: bool,
    /// Entries of `[branch]` in the cluster file of every gateway; without any, there are no branches.
    pub branch: BTreeMap<String, toml::Value>,
    /// Number of branches; gateways are assigned round-robin by number.
    pub branches: usize,
    /// Additional environment variables. `{name}`, `{zone}`, `{folder}`, `{peers}` (path of the cluster file, for
    /// `NODE_FLEET`) and `{peer_listen}` are replaced by the values of each gateway.
    pub env: BTreeMap<String, String>,
    /// Numbers of the gateways that run the second binary, if the command line gives one.
    pub second: Vec<usize>,
}

impl Default for Gateways {
    fn default() -> Gateways {
        Gateways {
            count: 5,
            memory_mb: 192.0,
            sockets: 1024,
            peers: false,
            lend: 0.0,
            ledger: BTreeMap::new(),
            disks: false,
            rollout: false,
            branch: BTreeMap::new(),
            branches: 1,
            env: BTreeMap::new(),
            second: Vec::new(),
        }
    }
}

/// Backends behind the gateways.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Backends {
    /// Number of backends.
    pub count: usize,
    /// Cores of each backend.
    pub cores: f64,
    /// Range of the speed of a core, drawn once for each backend.
    pub speed: [f64; 2],
    /// Concurrent requests for each core.
    pub slots_per_core: f64,
    /// Queue length for each core; requests beyond it are rejected.
    pub queue_per_core: f64,
    /// Fraction of its capacity that a cold backend starts with.
    pub cold_from: f64,
    /// Seconds from the start until a backend has its full capacity.
    pub cold_s: f64,
    /// Overload at which a cold backend crashes, as a multiple of its current capacity, sustained for `fall_s`.
    pub fall_multiple: f64,
    /// Seconds of overload by `fall_multiple` after which a cold backend crashes.
    pub fall_s: f64,
    /// Fraction of the requests answered with an error.
    pub error_rate: f64,
    /// Maximum connections of a backend for each core.
    pub connections_per_core: usize,
    /// Work of establishing a connection, in microseconds.
    pub handshake_us: f64,
    /// Seconds after which idle connections are closed.
    pub idle_s: f64,
    /// Interval of load reports in milliseconds.
    pub report_ms: f64,
    /// Whether queued work is dropped when its client gives up; running work continues in any case.
    pub drops_cancelled: bool,
    /// Release label that discovery announces (`flavor`).
    pub label: String,
}

impl Default for Backends {
    fn default() -> Backends {
        Backends {
            count: 8,
            cores: 2.0,
            speed: [0.85, 1.1],
            slots_per_core: 4.0,
            queue_per_core: 16.0,
            cold_from: 0.28,
            cold_s: 8.0,
            fall_multiple: 3.0,
            fall_s: 2.0,
            error_rate: 0.0,
            connections_per_core: 600,
            handshake_us: 300.0,
            idle_s: 15.0,
            report_ms: 200.0,
            drops_cancelled: true,
            label: "m2".into(),
        }
    }
}

/// Shared counter.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Counter {
    /// Maximum calls per second; 0 means 2.5 times the requests within quotas.
    pub per_s: f64,
    /// Processing time of a call, in milliseconds.
    pub latency_ms: f64,
    /// Maximum queueing time in milliseconds; calls that would wait longer are rejected.
    pub queue_ms: f64,
    /// Time-out of calls that the gateways are configured with, in milliseconds.
    pub timeout_ms: f64,
}

impl Default for Counter {
    fn default() -> Counter {
        Counter { per_s: 0.0, latency_ms: 0.7, queue_ms: 60.0, timeout_ms: 30.0 }
    }
}

/// Delays with which discovery announces changes of backends.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Range of the seconds until an agent learns that a backend drains or has ended.
    pub notice_s: [f64; 2],
    /// Range of the seconds until an agent learns of a new backend.
    pub add_s: [f64; 2],
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { notice_s: [0.3, 1.2], add_s: [0.3, 1.0] }
    }
}

/// Zones and the network between them.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Names of the zones. Gateways and backends are assigned to them round-robin.
    pub zones: Vec<String>,
    /// One-way delay within a zone, in milliseconds.
    pub same_ms: f64,
    /// One-way delay between zones, in milliseconds.
    pub cross_ms: f64,
    /// One-way delay between a client and a gateway, in milliseconds.
    pub client_ms: f64,
    /// Maximum additional delay as a fraction of the delay, drawn for each chunk or datagram.
    pub jitter: f64,
}

impl Default for Network {
    fn default() -> Network {
        let zones = ["hall-a", "hall-b"].map(String::from).to_vec();
        Network { zones, same_ms: 0.2, cross_ms: 1.0, client_ms: 0.6, jitter: 0.2 }
    }
}

/// Figures that `[expect]` may bound, each by `FIGURE_min` or `FIGURE_max`.
pub const FIGURES_WITH_BOUNDS: [&str; 40] = [
    "served",
    "worst_10s",
    "worst_plan",
    "refused_with_room",
    "beyond",
    "over_cost",
    "goal",
    "attempts",
    "cross_zone",
    "counter_calls",
    "cpu_us",
    "connections",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "cold_fallen",
    "fleet_one",
    "fleet_wrong_s",
    "fleet_agreed",
    "fleet_false_downs",
    "fleet_two_views",
    "orphans",
    "orphans_served",
    "orphans_ran",
    "orphan_p99_ms",
    "doubled",
    "accepted",
    "accepted_lost",
    "accepted_superseded",
    "accepted_not_done",
    "accepted_open",
    "accepted_untrue",
    "accepted_disorder",
    "drained_s",
    "rollout_stage",
    "rollout_done",
    "rollout_halted",
    "halt_after_s",
    "halt_spread_s",
    "rollout_leaders",
];

/// Bounds on the figures; if one is violated, the run exits with status 1.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(transparent)]
pub struct Expect(pub BTreeMap<String, f64>);
