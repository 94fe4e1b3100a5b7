//! When clients could not reach gateways, whatever the gateways did.

use crate::fault_targets::Party;
use crate::plan::{us, Action, Plan};
use crate::record::FaultWindow;

/// When clients could not reach gateways, by the plan.
pub(super) fn fault_windows(plan: &Plan) -> Vec<FaultWindow> {
    let gateway = |party: &Party| if let Party::Gateway(g) = party { Some(*g) } else { None };
    let mut all = Vec::new();
    for (place, step) in plan.steps.iter().enumerate() {
        let (one, other, until) = match &step.action {
            Action::Link { from, to, change, on: true } => {
                // The end at which none that is alike goes on.
                let mut depth = 0;
                let mut ends = |action: &Action| match action {
                    Action::Link { from: f, to: t, change: c, on } if f == from && t == to && c == change => {
                        depth += if *on { 1 } else { -1 };
                        depth == 0
                    }
                    _ => false,
                };
                let end = plan.steps[place..].iter().find(|later| ends(&later.action)).map(|later| later.at);
                (from, to, end.unwrap_or(u64::MAX))
            }
            Action::Reset { one, other } => (one, other, step.at),
            _ => continue,
        };
        let clients = |list: &[Party]| list.contains(&Party::Clients);
        if clients(one) || clients(other) {
            let hit = one.iter().chain(other).filter_map(gateway);
            // What was held up meanwhile arrives a little later.
            all.extend(hit.map(|gateway| FaultWindow {
                gateway,
                from: step.at,
                to: until.saturating_add(us(0.6)),
            }));
        }
    }
    all
}
