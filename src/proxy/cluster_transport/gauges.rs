//! What operators read of the fleet: a report as JSON, and gauges for `/stats`.

use crate::proxy::cluster_transport::*;

impl ClusterTransport {
    /// What operators read, as JSON; none while another process stands for the gateway.
    pub fn report(&self) -> Option<String> {
        let report: ClusterReport = self.fleet.borrow().as_ref()?.report();
        serde_json::to_string_pretty(&report).ok()
    }

    /// Gauges for `/stats`, one a line.
    pub fn gauges(&self) -> String {
        let mut text = String::new();
        let fleet = self.fleet.borrow();
        let Some(report) = fleet.as_ref().map(ClusterNode::report) else { return text };
        let standing = |s: MemberState| report.members.iter().filter(|m| m.state == s).count() as u64;
        let mut line = |name: &str, value: u64| {
            // Writing to a string never fails.
            let _ = writeln!(text, "edge_node.fleet.{name}={value}");
        };
        line("present", report.present as u64);
        line("suspect", standing(MemberState::Suspect));
        line("down", standing(MemberState::Down));
        line("left", standing(MemberState::Left));
        line("yielded", u64::from(report.yielded_to.is_some()));
        if let Some(view) = &report.view {
            line("view.number", view.number);
            line("view.holding", view.support.stating as u64);
            line("view.heard", view.support.reporting as u64);
            line("view.agreed", u64::from(view.agreement == Agreement::Agreed));
            line("share.for_ms", view.share_for_ms);
            line("share.away", view.free_seats.len() as u64);
        }
        if let Some(ledger) = fleet.as_ref().and_then(ClusterNode::ledger) {
            let (t, replica) = (&ledger.counts, ledger.replica());
            line("ledger.votes", u64::from(replica.has_vote(self.clock.now())));
            line("ledger.records", replica.len() as u64);
            line("ledger.open", ledger.open_claims() as u64);
            line("ledger.claims", t.claims);
            line("ledger.clear", t.acquired);
            line("ledger.taken_over", t.taken_over);
            line("ledger.running", t.in_progress);
            line("ledger.answered", t.completed);
            line("ledger.mistakes", t.key_reused);
            line("ledger.unheld", t.unavailable);
            line("ledger.lost", t.lost);
            line("ledger.unprotected", t.unprotected);
            line("ledger.orphans", t.abandoned);
            line("ledger.finished", self.finished.0.get());
            line("ledger.not_finished", self.finished.1.get());
            line("ledger.refused.mute", replica.rejections.not_voting);
            line("ledger.refused.full", replica.rejections.at_capacity);
            line("ledger.refused.late", replica.rejections.late);
            line("ledger.refused.unfit", replica.rejections.invalid);
        }
        if let Some(queue) = fleet.as_ref().and_then(ClusterNode::write_queue).map(|queue| queue.replica()) {
            line("branch.cut", u64::from(queue.is_isolated()));
            line("branch.votes", u64::from(queue.has_vote()));
            line("branch.waiting", queue.log().pending_count() as u64);
            line("branch.out", queue.in_flight() as u64);
            line("branch.accepted", queue.counts.accepted);
            line("branch.refused", queue.counts.rejected);
            line("branch.sent", queue.counts.forwarded);
            line("branch.done", queue.counts.completed);
            line("branch.not_done", queue.counts.not_completed);
        }
        if self.keeps_rules() {
            let rollout = fleet.as_ref().and_then(|fleet| fleet.rollout_report(self.clock.now()));
            let of = |figure: fn(&crate::cluster::rollout::RolloutReport) -> u64| {
                rollout.as_ref().map_or(0, figure)
            };
            line("rollout.number", of(|r| r.number));
            line("rollout.stage", of(|r| r.stage.stage.into()));
            line(
                "rollout.running",
                of(|r| u64::from(r.state == crate::cluster::rollout::RolloutState::Running)),
            );
            line(
                "rollout.halted",
                of(|r| u64::from(r.state == crate::cluster::rollout::RolloutState::Halted)),
            );
            line("rollout.leads", of(|r| r.leads.into()));
            line("rollout.refused", of(|r| r.rejected));
            line("rollout.uncounted", self.arms.dropped());
        }
        if let Some(storage) = fleet.as_ref().and_then(ClusterNode::storage_status) {
            line("disk.works", u64::from(storage.is_working));
            line("disk.waits", storage.waiting as u64);
        }
        line("rivals", report.duplicate_names.len() as u64);
        line("health", u64::from(report.health));
        line("late", report.late_calls.count);
        line("heard", report.received.datagrams);
        line("sent", report.sent.datagrams);
        line("unsent", self.unsent.get());
        for (why, count) in &report.dropped {
            line(&format!("strangers.{why}"), *count);
        }
        text
    }
}
