//! A controller's own counts, and who collects them.

use super::{ControllerEffect, RolloutController};
use crate::cluster::rollout::command::{RolloutCommand, RolloutKey};
use crate::cluster::rollout::count_rows::{ClassRow, CountRow, MAX_CLASSES_PER_ROW};
use crate::cluster::rollout::message::RolloutMessage;
use crate::cluster::rollout::outcome_counts::{Arm, RequestOutcome};
use crate::decision::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// So many of those present collect all counts: each side of a partition has its own.
const COLLECTORS: usize = 3;
/// Counts are sent for so long after the end, so that operators see who knows of it.
const COUNTS_AFTER_END: Micros = Micros(30_000_000);

impl RolloutController {
    /// A request that went by the rules of this rollout ended, so much of its latency objective after it came.
    pub fn record_outcome(
        &mut self,
        now: Micros,
        key: RolloutKey,
        class: u16,
        arm: Arm,
        outcome: RequestOutcome,
        fraction_of_objective: f64,
    ) {
        if self.running_command().is_some_and(|command| command.is_of(key)) {
            self.outcomes.record(now, class, arm, outcome, fraction_of_objective);
        }
    }

    /// Who collects the counts of this rollout, of those present.
    pub(super) fn update_collectors(&mut self, rollout_id: u64, present: &[u16]) -> Vec<u16> {
        let collectors = collectors(rollout_id, present);
        self.is_collector = collectors.contains(&self.own_seat);
        collectors
    }

    /// The own counts go to those that collect, and to the leader.
    pub(super) fn send_counts(
        &mut self,
        now: Micros,
        command: &RolloutCommand,
        collectors: &[u16],
        out: &mut Vec<ControllerEffect>,
    ) {
        if self.ended_at.is_some_and(|at| now - at >= COUNTS_AFTER_END) {
            return;
        }
        let receivers = self.count_receivers(now, collectors);
        let classes: Vec<ClassRow> = self
            .outcomes
            .classes(now)
            .map(|(class, counts)| ClassRow { class, counts: counts.clone() })
            .collect();
        let nothing = classes.is_empty().then_some(&classes[..]);
        for part in classes.chunks(MAX_CLASSES_PER_ROW).chain(nothing) {
            self.sequence += 1;
            let row = CountRow {
                key: command.key,
                process: self.process,
                sequence: self.sequence,
                zone: self.zone.clone(),
                stage: command.stage,
                has_ended: !command.is_running(),
                classes: part.to_vec(),
            };
            for to in &receivers {
                match *to == self.own_seat {
                    true => self.collected.record(now, self.own_seat, row.clone(), true),
                    false => {
                        let message = RolloutMessage::Counts(Box::new(row.clone()));
                        out.push(ControllerEffect::Send { to: *to, message });
                    }
                }
            }
        }
    }

    /// This seat is always among them.
    fn count_receivers(&self, now: Micros, collectors: &[u16]) -> Vec<u16> {
        let mut receivers = collectors.to_vec();
        receivers.extend(self.live_leader(now));
        receivers.push(self.own_seat);
        receivers.sort_unstable();
        receivers.dedup();
        receivers
    }
}

/// Rendezvous hashing, the same at all gateways that see the same present.
fn collectors(rollout_id: u64, present: &[u16]) -> Vec<u16> {
    let score = |seat: u16| xxh3_64_with_seed(&seat.to_le_bytes(), rollout_id);
    let mut ranked: Vec<(u64, u16)> = present.iter().map(|seat| (score(*seat), *seat)).collect();
    ranked.sort_unstable();
    ranked.into_iter().take(COLLECTORS).map(|(_, seat)| seat).collect()
}
