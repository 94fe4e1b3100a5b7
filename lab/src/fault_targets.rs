//! Targets of faults: parties by name or by zone, or a random selection of gateways or backends.

use crate::plan::Draw;
use crate::scenario::Scenario;
use std::collections::BTreeSet;

/// Participant of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    /// All clients, and the front end that distributes their requests over the gateways.
    Clients,
    /// Gateway with a number.
    Gateway(usize),
    /// Backend with a number.
    Backend(usize),
    /// Shared counter.
    Counter,
    /// Source of the discovery agents' lists.
    Discovery,
}

impl Party {
    /// Returns the name used in scenarios, logs and reports.
    pub fn name(self) -> String {
        match self {
            Party::Clients => "clients".into(),
            Party::Gateway(n) => format!("g{n}"),
            Party::Backend(n) => format!("b{n}"),
            Party::Counter => "counter".into(),
            Party::Discovery => "discovery".into(),
        }
    }

    /// Returns the number of the party's zone. Gateways and backends are distributed round-robin; counter and discovery are
    /// in the first zone; clients have none.
    pub fn zone(self, zones: usize) -> Option<usize> {
        match self {
            Party::Clients => None,
            Party::Gateway(n) | Party::Backend(n) => Some(n % zones),
            Party::Counter | Party::Discovery => Some(0),
        }
    }
}

/// Size of a selection.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Selection {
    All,
    Count(usize),
    Fraction(f64),
}

/// Target of a fault in a scenario: `clients`, `counter`, `discovery`, `zone:NAME` (all parties of a zone), `g3`, `b12`,
/// or `gateways`/`backends`, optionally followed by `@ZONE` and by `:COUNT` or `:PERCENT%`, in this order.
#[derive(Debug, Clone, PartialEq)]
pub struct Target(TargetForm);

#[derive(Debug, Clone, PartialEq)]
enum TargetForm {
    One(Party),
    Zone(usize),
    Group { backends: bool, zone: Option<usize>, selection: Selection },
}

impl Target {
    /// Parses a target. The error describes the problem.
    pub fn read(text: &str, scenario: &Scenario) -> Result<Target, String> {
        let zone = |name: &str| {
            let index = scenario.net.zones.iter().position(|z| z == name);
            index.ok_or_else(|| format!("'{text}': there is no zone '{name}'"))
        };
        let form = match text {
            "clients" => TargetForm::One(Party::Clients),
            "counter" => TargetForm::One(Party::Counter),
            "discovery" => TargetForm::One(Party::Discovery),
            _ => match text.strip_prefix("zone:") {
                Some(name) => TargetForm::Zone(zone(name)?),
                None => match parse_party(text) {
                    Some(party) => {
                        let exists = match party {
                            Party::Gateway(n) => n < scenario.gateways.count,
                            Party::Backend(n) => n < scenario.backends.count,
                            _ => true,
                        };
                        if !exists {
                            return Err(format!("there is no '{text}'"));
                        }
                        TargetForm::One(party)
                    }
                    None => parse_group(text, zone)?,
                },
            },
        };
        Ok(Target(form))
    }

    /// Returns the target's parties, drawing the members of a random selection.
    pub fn resolve(&self, scenario: &Scenario, draw: &mut Draw) -> BTreeSet<Party> {
        let zones = scenario.zones();
        let gateways = (0..scenario.gateways.count).map(Party::Gateway);
        let backends = (0..scenario.backends.count).map(Party::Backend);
        match &self.0 {
            TargetForm::One(party) => BTreeSet::from([*party]),
            TargetForm::Zone(zone) => gateways
                .chain(backends)
                .chain([Party::Counter, Party::Discovery])
                .filter(|party| party.zone(zones) == Some(*zone))
                .collect(),
            TargetForm::Group { backends: of_backends, zone, selection } => {
                let all: Vec<Party> = match of_backends {
                    true => backends.collect(),
                    false => gateways.collect(),
                };
                let mut all: Vec<Party> =
                    all.into_iter().filter(|p| zone.is_none() || p.zone(zones) == *zone).collect();
                let count = match selection {
                    Selection::All => all.len(),
                    Selection::Count(count) => *count,
                    // At least one, otherwise the fault would have no effect.
                    Selection::Fraction(fraction) => ((all.len() as f64 * fraction).round() as usize).max(1),
                };
                draw.shuffle(&mut all);
                all.into_iter().take(count).collect()
            }
        }
    }
}

fn parse_party(text: &str) -> Option<Party> {
    let (kind, number) = text.split_at_checked(1)?;
    let number = number.parse().ok()?;
    match kind {
        "g" => Some(Party::Gateway(number)),
        "b" => Some(Party::Backend(number)),
        _ => None,
    }
}

fn parse_group(text: &str, zone: impl Fn(&str) -> Result<usize, String>) -> Result<TargetForm, String> {
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
    let selection = match amount {
        None => Selection::All,
        Some(amount) => match amount.strip_suffix('%') {
            Some(fraction) => {
                let fraction: f64 = fraction.parse().map_err(|_| expected())?;
                if !(fraction > 0.0 && fraction <= 100.0) {
                    return Err(format!("'{text}': expected a percentage above 0% and up to 100%"));
                }
                Selection::Fraction(fraction / 100.0)
            }
            None => Selection::Count(amount.parse().map_err(|_| expected())?),
        },
    };
    Ok(TargetForm::Group { backends, zone: at.map(zone).transpose()?, selection })
}
