//! Computes when faults kept clients from reaching gateways, whatever the gateways did.

use crate::fault_targets::Party;
use crate::plan::{us, Action, Plan};
use crate::record::FaultWindow;

/// Returns the time windows of a plan in which clients cannot reach gateways.
pub(super) fn fault_windows(plan: &Plan) -> Vec<FaultWindow> {
    let gateway = |party: &Party| if let Party::Gateway(number) = party { Some(*number) } else { None };
    let mut windows = Vec::new();
    for (index, step) in plan.steps.iter().enumerate() {
        let (one, other, until) = match &step.action {
            Action::Link { from, to, change, on: true } => {
                // Equal changes may overlap: the window ends when none of them is active any more.
                let mut depth = 0;
                let mut ends = |action: &Action| match action {
                    Action::Link { from: f, to: t, change: c, on } if f == from && t == to && c == change => {
                        depth += if *on { 1 } else { -1 };
                        depth == 0
                    }
                    _ => false,
                };
                let end = plan.steps[index..].iter().find(|later| ends(&later.action)).map(|later| later.at);
                (from, to, end.unwrap_or(u64::MAX))
            }
            Action::Reset { one, other } => (one, other, step.at),
            _ => continue,
        };
        let has_clients = |list: &[Party]| list.contains(&Party::Clients);
        if has_clients(one) || has_clients(other) {
            let affected = one.iter().chain(other).filter_map(gateway);
            // Delayed traffic arrives up to 0.6 s after the end.
            windows.extend(affected.map(|gateway| FaultWindow {
                gateway,
                from: step.at,
                to: until.saturating_add(us(0.6)),
            }));
        }
    }
    windows
}
