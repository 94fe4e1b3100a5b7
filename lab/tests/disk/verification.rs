//! Checks the guarantees for accepted writes against the writes observed by clients and backends.

use crate::simulation::Simulation;
use quota_gateway::cluster::write_queue::{WriteOutcome, WriteState, WriteStatus};

impl Simulation {
    /// Checks the guarantees of the write queue against the observed writes. Returns the number of ordered pairs.
    pub fn check(&self) -> Result<usize, String> {
        let mut ordered_pairs = 0;
        for (dot, observed) in &self.writes {
            if observed.rejected && !observed.executions.is_empty() {
                return Err(format!("{dot} was rejected and ran"));
            }
            if observed.executions.len() > 1 {
                return Err(format!("{dot} ran {} times", observed.executions.len()));
            }
            let Some(accepted) = observed.accepted else { continue };
            let known_states =
                self.nodes.iter().filter_map(|node| node.cluster_node.as_ref()?.write_status(*dot));
            let known_states = known_states.filter_map(|status| match status {
                WriteStatus::Known(state) => Some(state),
                WriteStatus::Lost => None,
            });
            match known_states.max_by_key(|state| state.rank()) {
                Some(WriteState::Ended(WriteOutcome::Completed(_))) if !observed.executions.is_empty() => {}
                Some(WriteState::Ended(WriteOutcome::Unknown)) if self.may_be_repeated.contains(dot) => {}
                Some(WriteState::Ended(WriteOutcome::Superseded(by))) => {
                    let rival = self.writes.get(&by).ok_or("superseded by an unknown write")?;
                    if rival.object != observed.object
                        || rival.requested_at > accepted
                        || !observed.executions.is_empty()
                    {
                        return Err(format!(
                            "{dot} was superseded by {by} but ran, or is not concurrent with it"
                        ));
                    }
                }
                state => {
                    return Err(format!(
                        "{dot} was accepted but is {state:?}, ran at {:?}",
                        observed.executions
                    ))
                }
            }
            for (later_dot, later_write) in &self.writes {
                let related =
                    later_write.customer == observed.customer || later_write.object == observed.object;
                if let (true, Some(first), Some(then)) = (
                    related && later_write.requested_at > accepted,
                    observed.executions.first(),
                    later_write.executions.first(),
                ) {
                    ordered_pairs += 1;
                    if first > then {
                        return Err(format!(
                            "{later_dot} ran before {dot}, although the former depends on the latter"
                        ));
                    }
                }
            }
        }
        Ok(ordered_pairs)
    }
}
