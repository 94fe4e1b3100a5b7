//! Targets of faults: parties by name, by zone, or some of a kind drawn by the seed.

use crate::plan::Draw;
use crate::scenario::Scenario;
use std::collections::BTreeSet;

/// A party of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    /// All clients and the front.
    Clients,
    /// A gateway by its number.
    Gateway(usize),
    /// A backend by its number.
    Backend(usize),
    /// The counter.
    Counter,
    /// Where the agents have their lists from.
    Discovery,
}

impl Party {
    /// Its name in scenarios, logs and reports.
    pub fn name(self) -> String {
        match self {
            Party::Clients => "clients".into(),
            Party::Gateway(n) => format!("g{n}"),
            Party::Backend(n) => format!("b{n}"),
            Party::Counter => "counter".into(),
            Party::Discovery => "discovery".into(),
        }
    }

    /// The number of the zone where it stands. Gateways and backends are dealt out in turn; counter and
    /// discovery stand in the first; clients in none.
    pub fn zone(self, zones: usize) -> Option<usize> {
        match self {
            Party::Clients => None,
            Party::Gateway(n) | Party::Backend(n) => Some(n % zones),
            Party::Counter | Party::Discovery => Some(0),
        }
    }
}

/// How many of a kind.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Some_ {
    All,
    Count(usize),
    Part(f64),
}

/// A target as a scenario names it: `clients`, `counter`, `discovery`, `zone:NAME` (all that stand there),
/// `g3`, `b12`, or `gateways`/`backends` with `@ZONE` and `:COUNT` or `:PERCENT%` behind it, in this order.
#[derive(Debug, Clone, PartialEq)]
pub struct Target(Form);

#[derive(Debug, Clone, PartialEq)]
enum Form {
    One(Party),
    Zone(usize),
    Some { backends: bool, zone: Option<usize>, some: Some_ },
}

impl Target {
    /// Reads a target; the error says what was expected.
    pub fn read(text: &str, scenario: &Scenario) -> Result<Target, String> {
        let zone = |name: &str| {
            let place = scenario.net.zones.iter().position(|z| z == name);
            place.ok_or_else(|| format!("'{text}': there is no zone '{name}'"))
        };
        let form = match text {
            "clients" => Form::One(Party::Clients),
            "counter" => Form::One(Party::Counter),
            "discovery" => Form::One(Party::Discovery),
            _ => match text.strip_prefix("zone:") {
                Some(name) => Form::Zone(zone(name)?),
                None => match one(text) {
                    Some(party) => {
                        let there = match party {
                            Party::Gateway(n) => n < scenario.gateways.count,
                            Party::Backend(n) => n < scenario.backends.count,
                            _ => true,
                        };
                        if !there {
                            return Err(format!("there is no '{text}'"));
                        }
                        Form::One(party)
                    }
                    None => some(text, zone)?,
                },
            },
        };
        Ok(Target(form))
    }

    /// The parties meant; those that are drawn are drawn here.
    pub fn resolve(&self, scenario: &Scenario, draw: &mut Draw) -> BTreeSet<Party> {
        let zones = scenario.zones();
        let gateways = (0..scenario.gateways.count).map(Party::Gateway);
        let backends = (0..scenario.backends.count).map(Party::Backend);
        match &self.0 {
            Form::One(party) => BTreeSet::from([*party]),
            Form::Zone(zone) => gateways
                .chain(backends)
                .chain([Party::Counter, Party::Discovery])
                .filter(|party| party.zone(zones) == Some(*zone))
                .collect(),
            Form::Some { backends: of_backends, zone, some } => {
                let all: Vec<Party> = match of_backends {
                    true => backends.collect(),
                    false => gateways.collect(),
                };
                let mut all: Vec<Party> =
                    all.into_iter().filter(|p| zone.is_none() || p.zone(zones) == *zone).collect();
                let count = match some {
                    Some_::All => all.len(),
                    Some_::Count(count) => *count,
                    // At least one, or the fault would be none.
                    Some_::Part(part) => ((all.len() as f64 * part).round() as usize).max(1),
                };
                draw.shuffle(&mut all);
                all.into_iter().take(count).collect()
            }
        }
    }
}

fn one(text: &str) -> Option<Party> {
    let (kind, number) = text.split_at_checked(1)?;
    let number = number.parse().ok()?;
    match kind {
        "g" => Some(Party::Gateway(number)),
        "b" => Some(Party::Backend(number)),
        _ => None,
    }
}

fn some(text: &str, zone: impl Fn(&str) -> Result<usize, String>) -> Result<Form, String> {
    let expected = || {
        format!(
            "'{text}': expected clients, counter, discovery, zone:NAME, g0, b0, or gateways or backends, \
             as in gateways, backends@ZONE, gateways:3, backends:25%"
        )
    };
    let (head, amount) = text.split_once(':').map_or((text, None), |(head, amount)| (head, Some(amount)));
    let (kind, at) = head.split_once('@').map_or((head, None), |(kind, at)| (kind, Some(at)));
    let backends = match kind {
        "gateways" => false,
        "backends" => true,
        _ => return Err(expected()),
    };
    let some = match amount {
        None => Some_::All,
        Some(amount) => match amount.strip_suffix('%') {
            Some(part) => {
                let part: f64 = part.parse().map_err(|_| expected())?;
                if !(part > 0.0 && part <= 100.0) {
                    return Err(format!("'{text}': expected a part over 0% and up to 100%"));
                }
                Some_::Part(part / 100.0)
            }
            None => Some_::Count(amount.parse().map_err(|_| expected())?),
        },
    };
    Ok(Form::Some { backends, zone: at.map(zone).transpose()?, some })
}
