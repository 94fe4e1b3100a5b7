//! Rollouts of rules, as operators call for them, and outcomes that they are judged by.

use crate::proxy::cluster_transport::*;

impl ClusterTransport {
    /// Whether rules of routing may be rolled out.
    pub fn keeps_rules(&self) -> bool {
        self.config.settings.rules.is_some()
    }

    /// Begins a rollout; none where another runs or the ledger can't be had.
    pub async fn start_rollout(&self, start: RolloutRequest) -> Result<Option<RolloutKey>, CommandResult> {
        let (begins, begun) = oneshot::channel();
        *self.begins.borrow_mut() = Some(begins);
        let taken = self.with(self.era.get(), |fleet, now, out| fleet.start_rollout(now, start, out));
        match taken.unwrap_or(CommandResult::Disabled) {
            CommandResult::Done => Ok(begun.await.unwrap_or_default()),
            taken => Err(taken),
        }
    }

    /// An operator's `pause`, `resume` or `abort`.
    pub fn order_rollout(&self, order: &str) -> CommandResult {
        let taken = self.with(self.era.get(), |fleet, now, out| match order {
            "abort" => fleet.abort_rollout(now, out),
            order => fleet.pause_rollout(now, order == "pause", out),
        });
        taken.unwrap_or(CommandResult::Disabled)
    }

    /// What operators read of the rollout, as JSON.
    pub fn rollout(&self) -> Option<String> {
        let report = self.fleet.borrow().as_ref()?.rollout_report(self.clock.now())?;
        serde_json::to_string_pretty(&report).ok()
    }

    /// What the driver saw is counted.
    pub(super) fn count(&self) {
        for answered in self.arms.answers() {
            if let Some(fleet) = self.fleet.borrow_mut().as_mut() {
                fleet.record_backend_attempt(self.clock.now(), answered);
            }
        }
        for seen in self.arms.take() {
            let (judged, class) = (seen.judged, seen.judged.class.0.min(usize::from(u16::MAX)) as u16);
            if let Some(fleet) = self.fleet.borrow_mut().as_mut() {
                fleet.record_outcome(seen.at, judged.key, class, judged.arm, seen.ended, seen.part_of_aim);
            }
        }
    }
}
