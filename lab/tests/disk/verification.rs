//! What is promised of accepted writes, checked from what clients and backends saw.

use crate::simulation::Simulation;
use quota_gateway::cluster::write_queue::{WriteOutcome, WriteState, WriteStatus};

impl Simulation {
    /// What was promised, from what clients and backends saw. Returns how many pairs stood in an order.
    pub fn check(&self) -> Result<usize, String> {
        let mut order = 0;
        for (dot, observed) in &self.writes {
            if observed.rejected && !observed.ran.is_empty() {
                return Err(format!("{dot} was rejected and ran"));
            }
            if observed.ran.len() > 1 {
                return Err(format!("{dot} ran {} times", observed.ran.len()));
            }
            let Some(accepted) = observed.accepted else { continue };
            let known = self.nodes.iter().filter_map(|n| n.fleet.as_ref()?.write_status(*dot));
            let known = known.filter_map(|status| match status {
                WriteStatus::Known(state) => Some(state),
                WriteStatus::Lost => None,
            });
            match known.max_by_key(|state| state.rank()) {
                Some(WriteState::Ended(WriteOutcome::Completed(_))) if !observed.ran.is_empty() => {}
                Some(WriteState::Ended(WriteOutcome::Unknown)) if self.maybe_repeated.contains(dot) => {}
                Some(WriteState::Ended(WriteOutcome::Superseded(by))) => {
                    let rival = self.writes.get(&by).ok_or("superseded by nobody")?;
                    if rival.object != observed.object || rival.asked > accepted || !observed.ran.is_empty() {
                        return Err(format!("{dot} was superseded by {by}, which came after it, or ran"));
                    }
                }
                state => return Err(format!("{dot} was accepted and is {state:?}, ran {:?}", observed.ran)),
            }
            for (other, later) in &self.writes {
                let related = later.customer == observed.customer || later.object == observed.object;
                if let (true, Some(first), Some(then)) =
                    (related && later.asked > accepted, observed.ran.first(), later.ran.first())
                {
                    order += 1;
                    if first > then {
                        return Err(format!("{other} ran before {dot}, which it came after"));
                    }
                }
            }
        }
        Ok(order)
    }
}
