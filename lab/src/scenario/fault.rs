//! Faults of a scenario: their kinds, targets and times.

use serde::Deserialize;

/// One fault of a scenario. Each kind takes `at_s` and some of the other keys, as listed by `Kind::keys`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of fault.
    pub kind: Kind,
    /// Begin, in seconds from the start of the run.
    pub at_s: f64,
    /// Duration in seconds.
    pub for_s: Option<f64>,
    /// Seconds on and seconds off, alternating for the duration of the fault.
    pub flap_s: Option<[f64; 2]>,
    /// Targets, in the form that `Target` reads.
    #[serde(default)]
    pub who: Vec<String>,
    /// Parties at the other end of affected links; by default all parties except the clients and the targets.
    #[serde(default)]
    pub with: Vec<String>,
    /// Whether only traffic from `who` to `with` is affected.
    pub one_way: Option<bool>,
    /// Additional delay in milliseconds.
    pub delay_ms: Option<f64>,
    /// Maximum additional random delay in milliseconds, drawn for each chunk or datagram.
    pub jitter_ms: Option<f64>,
    /// Fraction of datagrams lost; on a connection, a lost chunk arrives 200 ms late.
    pub loss: Option<f64>,
    /// Fraction of datagrams that arrive twice.
    pub duplicate: Option<f64>,
    /// Fraction of datagrams that are overtaken by later ones.
    pub reorder: Option<f64>,
    /// Factor by which backend work time, counter capacity or load is multiplied.
    pub factor: Option<f64>,
    /// Fraction of the requests, calls, answers, load or time that is affected.
    pub rate: Option<f64>,
    /// Range of the seconds until a stopped process is started again; if absent, the process stays stopped.
    pub back_s: Option<[f64; 2]>,
    /// Fraction of `who` in one batch.
    pub batch: Option<f64>,
    /// Seconds from one batch to the next.
    pub every_s: Option<f64>,
    /// Seconds that a backend drains before its process ends.
    pub drain_s: Option<f64>,
    /// Release label of the new backends.
    pub label: Option<String>,
    /// Fraction of the new backends' answers that are errors.
    pub errors: Option<f64>,
    /// Text of a rollout, as operators send it.
    pub rules: Option<String>,
    /// Plans whose customers are affected; empty means all.
    #[serde(default)]
    pub plans: Vec<String>,
}

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Blocks all traffic between `who` and `with` without an error to either side; new connections are never established.
    Cut,
    /// Resets the connections between `who` and `with`, even in the middle of a request.
    Reset,
    /// Applies `delay_ms`, `jitter_ms`, `loss`, `duplicate` and `reorder` between `who` and `with`.
    Impair,
    /// Kills gateways or backends. After `back_s` they start again; gateways then have an outdated endpoint
    /// list.
    Kill,
    /// Stops gateway processes and continues them after `for_s`.
    Pause,
    /// Sends SIGTERM to gateways, one `batch` every `every_s`, and starts them again.
    Restart,
    /// Sends SIGHUP to gateways, with a configuration that moves discovery to another address.
    Reload,
    /// Makes backends `factor` times slower.
    Slow,
    /// Makes backends answer a fraction `rate` of the requests with 500.
    Errors,
    /// Makes backends accept requests and never answer.
    Silent,
    /// Makes backends truncate a fraction `rate` of their answers halfway.
    Half,
    /// Replaces backends by cold ones of `label`, one `batch` every `every_s`; the old ones end after `drain_s`.
    Replace,
    /// Makes the counter accept no calls.
    CounterDown,
    /// Makes the counter take `delay_ms` longer for each call.
    CounterSlow,
    /// Deletes the state of the counter.
    CounterEmpty,
    /// Makes the counter answer a fraction `rate` of the calls without a number.
    CounterGarble,
    /// Multiplies the call limit of the counter by `factor`.
    CounterLimit,
    /// Delays watch events of the endpoint list by `delay_ms`, at all gateways.
    ListLate,
    /// Makes the discovery agents of `who` send nothing; without `who`, those of all gateways.
    ListSilent,
    /// Keeps backends that have ended in the endpoint list as ready.
    ListGhost,
    /// Moves the backends `who` to another address.
    ListMove,
    /// Multiplies the requests of the customers of `plans` by `factor`.
    Surge,
    /// Makes three customers add a fraction `rate` of the total load.
    HotCustomer,
    /// Sends a fraction `rate` of the requests through the most used gateway of each customer's set.
    HotGateway,
    /// Makes clients give up after a fraction `rate` of their time-out.
    Impatient,
    /// Sends a rollout of `rules` to the first gateway of `who`, as an operator does.
    Rollout,
    /// Kills the current leader of the rollout, and starts it again after `back_s`.
    KillLeader,
}

impl Kind {
    /// Returns the required and the optional keys of this kind, besides `kind` and `at_s`.
    pub(crate) fn keys(self) -> (&'static [&'static str], &'static [&'static str]) {
        match self {
            Kind::Cut => (&["for_s", "who"], &["with", "one_way", "flap_s"]),
            Kind::Reset => (&["who"], &["for_s", "with", "flap_s"]),
            Kind::Impair => (
                &["for_s", "who"],
                &["with", "one_way", "flap_s", "delay_ms", "jitter_ms", "loss", "duplicate", "reorder"],
            ),
            Kind::Kill => (&["who"], &["back_s"]),
            Kind::Pause => (&["for_s", "who"], &["flap_s"]),
            Kind::Restart => (&["who", "batch", "every_s"], &[]),
            Kind::Reload => (&["who"], &[]),
            Kind::Slow => (&["for_s", "who", "factor"], &["flap_s"]),
            Kind::Errors | Kind::Half => (&["for_s", "who", "rate"], &["flap_s"]),
            Kind::Silent => (&["for_s", "who"], &["flap_s"]),
            Kind::Replace => (&["who", "batch", "every_s", "drain_s"], &["label", "errors", "factor"]),
            Kind::CounterDown => (&["for_s"], &["flap_s"]),
            Kind::CounterSlow => (&["for_s", "delay_ms"], &["flap_s"]),
            Kind::CounterEmpty => (&[], &["for_s", "flap_s"]),
            Kind::CounterGarble => (&["for_s", "rate"], &["flap_s"]),
            Kind::CounterLimit => (&["for_s", "factor"], &["flap_s"]),
            Kind::ListLate => (&["for_s", "delay_ms"], &["who"]),
            Kind::ListSilent => (&["for_s"], &["who", "flap_s"]),
            Kind::ListGhost => (&["for_s"], &[]),
            Kind::ListMove => (&["who"], &[]),
            Kind::Surge => (&["for_s", "factor"], &["plans"]),
            Kind::HotCustomer | Kind::HotGateway | Kind::Impatient => (&["for_s", "rate"], &[]),
            Kind::Rollout => (&["who", "rules"], &[]),
            Kind::KillLeader => (&["back_s"], &[]),
        }
    }

    /// Returns the name in scenario files.
    pub fn name(self) -> String {
        let text = format!("{self:?}");
        let mut name = String::new();
        for (i, c) in text.chars().enumerate() {
            if c.is_ascii_uppercase() && i > 0 {
                name.push('-');
            }
            name.push(c.to_ascii_lowercase());
        }
        name
    }
}

impl Fault {
    /// Returns the names of the optional keys that are set.
    pub(crate) fn set_keys(&self) -> Vec<&'static str> {
        let set = [
            ("for_s", self.for_s.is_some()),
            ("flap_s", self.flap_s.is_some()),
            ("who", !self.who.is_empty()),
            ("with", !self.with.is_empty()),
            ("one_way", self.one_way.is_some()),
            ("delay_ms", self.delay_ms.is_some()),
            ("jitter_ms", self.jitter_ms.is_some()),
            ("loss", self.loss.is_some()),
            ("duplicate", self.duplicate.is_some()),
            ("reorder", self.reorder.is_some()),
            ("factor", self.factor.is_some()),
            ("rate", self.rate.is_some()),
            ("back_s", self.back_s.is_some()),
            ("batch", self.batch.is_some()),
            ("every_s", self.every_s.is_some()),
            ("drain_s", self.drain_s.is_some()),
            ("label", self.label.is_some()),
            ("errors", self.errors.is_some()),
            ("plans", !self.plans.is_empty()),
            ("rules", self.rules.is_some()),
        ];
        set.into_iter().filter(|(_, set)| *set).map(|(name, _)| name).collect()
    }
}
