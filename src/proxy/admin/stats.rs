//! The text of `/stats`. All its keys are defined here, except that the last part of a key by reason or outcome is the
//! name in the variant's `strum` attribute.
//!
//! Each figure is one line, `edge_node.KEY=VALUE`, with a whole number as the value. Dashboards read the keys: they
//! never change.

use super::metrics::{ClassMetrics, CounterSet, DiscoveryMetrics, Metrics};
use crate::cluster::rollout::RolloutStatus;
use crate::cluster::{Agreement, ClusterReport, MemberState, StorageStatus, ViewReport};
use crate::decision::EndpointCounts;
use crate::proxy::cluster_transport::stats::{ClusterStats, LedgerStats, RolloutStats, WriteQueueStats};
use crate::proxy::memory_budget::MemoryBudget;
use strum::VariantArray;

/// First part of every key.
const PREFIX: &str = "edge_node";

/// Text under construction, whose keys all begin with the prefix.
struct StatsText {
    text: String,
    prefix: String,
}

impl StatsText {
    fn new(prefix: String) -> StatsText {
        StatsText { text: String::new(), prefix }
    }

    fn line(&mut self, key: &str, value: u64) {
        self.text.push_str(&format!("{}.{key}={value}\n", self.prefix));
    }

    fn flag(&mut self, key: &str, on: bool) {
        self.line(key, u64::from(on));
    }

    /// Appends one line for each kind, with the kind's name after the key.
    fn counters<Kind>(&mut self, key: &str, counters: &CounterSet<Kind>)
    where
        Kind: VariantArray + PartialEq + Copy + Into<&'static str>,
    {
        for (kind, count) in counters.iter() {
            let name: &str = kind.into();
            self.line(&format!("{key}.{name}"), count);
        }
    }
}

/// Returns the lines of a process, whether or not it is part of a cluster.
pub fn process_lines(metrics: &Metrics, endpoints: EndpointCounts) -> String {
    let mut lines = StatsText::new(PREFIX.to_string());
    for class in &metrics.classes {
        class_lines(&mut lines, class);
    }
    lines.line("attempts", metrics.attempts_sent.get());
    lines.line("in_flight", metrics.in_flight());
    lines.line("backends_known", endpoints.known as u64);
    lines.line("backends_excluded", endpoints.excluded as u64);
    discovery_lines(&mut lines, &metrics.discovery);
    lines.counters("attempt_ends", &metrics.attempt_outcomes);
    lines.counters("attempts_unsent", &metrics.not_sent);
    lines.counters("refusals", &metrics.rejections);
    lines.counters("client_closes", &metrics.connection_closes);
    lines.line("unexpected_responses", metrics.unexpected_responses.get());
    lines.text
}

/// Returns the lines of the memory that is reserved by owner, in bytes, and of reservations that were refused.
pub fn memory_lines(memory: &MemoryBudget) -> String {
    let mut lines = StatsText::new(PREFIX.to_string());
    for usage in memory.usage() {
        let owner: &str = usage.owner.into();
        lines.line(&format!("memory.reserved.{owner}"), usage.reserved_bytes as u64);
        lines.line(&format!("memory.refused.{owner}"), usage.refusals);
    }
    lines.text
}

fn class_lines(lines: &mut StatsText, class: &ClassMetrics) {
    let name = &class.name;
    lines.line(&format!("requests.{name}.served"), class.served.get());
    lines.line(&format!("requests.{name}.refused"), class.rejected.get());
    lines.line(&format!("requests.{name}.failed"), class.failed.get());
}

fn discovery_lines(lines: &mut StatsText, discovery: &DiscoveryMetrics) {
    lines.line("discovery.calls", discovery.calls.get());
    lines.counters("discovery.failed", &discovery.failures);
    lines.line("discovery.lists", discovery.lists.get());
    lines.line("discovery.list_bytes", discovery.list_bytes.get());
    lines.line("discovery.revision", discovery.revision.get());
    if let Some(at) = discovery.last_list_at.get() {
        lines.line("discovery.last_list_ms_ago", at.elapsed().as_millis() as u64);
    }
}

/// Returns the lines of a gateway that is part of a cluster.
pub fn cluster_lines(stats: &ClusterStats) -> String {
    let mut lines = StatsText::new(format!("{PREFIX}.fleet"));
    member_lines(&mut lines, &stats.report);
    if let Some(view) = &stats.report.view {
        view_lines(&mut lines, view);
    }
    if let Some(ledger) = &stats.ledger {
        ledger_lines(&mut lines, ledger);
    }
    if let Some(write_queue) = &stats.write_queue {
        write_queue_lines(&mut lines, write_queue);
    }
    if let Some(rollout) = &stats.rollout {
        rollout_lines(&mut lines, rollout);
    }
    if let Some(storage) = &stats.storage {
        storage_lines(&mut lines, storage);
    }
    traffic_lines(&mut lines, stats);
    lines.text
}

fn member_lines(lines: &mut StatsText, report: &ClusterReport) {
    let members_in = |state: MemberState| report.members.iter().filter(|m| m.state == state).count() as u64;
    lines.line("present", report.present as u64);
    lines.line("suspect", members_in(MemberState::Suspect));
    lines.line("down", members_in(MemberState::Down));
    lines.line("left", members_in(MemberState::Left));
    lines.flag("yielded", report.yielded_to.is_some());
}

fn view_lines(lines: &mut StatsText, view: &ViewReport) {
    lines.line("view.number", view.number);
    lines.line("view.holding", view.support.stating as u64);
    lines.line("view.heard", view.support.reporting as u64);
    lines.flag("view.agreed", view.agreement == Agreement::Agreed);
    lines.line("share.for_ms", view.share_for_ms);
    lines.line("share.away", view.free_seats.len() as u64);
}

fn ledger_lines(lines: &mut StatsText, ledger: &LedgerStats) {
    lines.flag("ledger.votes", ledger.votes);
    lines.line("ledger.records", ledger.records as u64);
    lines.line("ledger.open", ledger.open_claims as u64);
    lines.line("ledger.claims", ledger.claims.claims);
    lines.line("ledger.clear", ledger.claims.acquired);
    lines.line("ledger.taken_over", ledger.claims.taken_over);
    lines.line("ledger.running", ledger.claims.in_progress);
    lines.line("ledger.answered", ledger.claims.completed);
    lines.line("ledger.mistakes", ledger.claims.key_reused);
    lines.line("ledger.unheld", ledger.claims.unavailable);
    lines.line("ledger.lost", ledger.claims.lost);
    lines.line("ledger.unprotected", ledger.claims.unprotected);
    lines.line("ledger.orphans", ledger.claims.abandoned);
    lines.line("ledger.finished", ledger.finished);
    lines.line("ledger.not_finished", ledger.not_finished);
    lines.line("ledger.refused.mute", ledger.rejections.not_voting);
    lines.line("ledger.refused.full", ledger.rejections.at_capacity);
    lines.line("ledger.refused.late", ledger.rejections.late);
    lines.line("ledger.refused.unfit", ledger.rejections.invalid);
}

fn write_queue_lines(lines: &mut StatsText, write_queue: &WriteQueueStats) {
    lines.flag("branch.cut", write_queue.is_isolated);
    lines.flag("branch.votes", write_queue.votes);
    lines.line("branch.waiting", write_queue.waiting as u64);
    lines.line("branch.out", write_queue.forwarding as u64);
    lines.line("branch.accepted", write_queue.totals.accepted);
    lines.line("branch.refused", write_queue.totals.rejected);
    lines.line("branch.sent", write_queue.totals.forwarded);
    lines.line("branch.done", write_queue.totals.completed);
    lines.line("branch.not_done", write_queue.totals.not_completed);
}

fn rollout_lines(lines: &mut StatsText, rollout: &RolloutStats) {
    let report = rollout.report.as_ref();
    lines.line("rollout.number", report.map_or(0, |r| r.number));
    lines.line("rollout.stage", report.map_or(0, |r| r.stage.stage.into()));
    lines.flag("rollout.running", report.is_some_and(|r| r.state == RolloutStatus::Running));
    lines.flag("rollout.halted", report.is_some_and(|r| r.state == RolloutStatus::Halted));
    lines.flag("rollout.leads", report.is_some_and(|r| r.leads));
    lines.line("rollout.refused", report.map_or(0, |r| r.rejected));
    lines.line("rollout.uncounted", rollout.outcomes_dropped);
}

fn storage_lines(lines: &mut StatsText, storage: &StorageStatus) {
    lines.flag("disk.works", storage.is_working);
    lines.line("disk.waits", storage.waiting as u64);
}

fn traffic_lines(lines: &mut StatsText, stats: &ClusterStats) {
    let report = &stats.report;
    lines.line("rivals", report.duplicate_names.len() as u64);
    lines.line("health", u64::from(report.health));
    lines.line("late", report.late_calls.count);
    lines.line("heard", report.received.datagrams);
    lines.line("sent", report.sent.datagrams);
    lines.line("unsent", stats.datagrams_not_sent);
    for (reason, count) in &report.dropped {
        lines.line(&format!("strangers.{reason}"), *count);
    }
}
