//! Counting of this gateway's outcomes, and selection of the gateways that collect all counts.

use super::{ControllerEffect, RolloutController};
use crate::cluster::rollout::command::{RolloutCommand, RolloutKey};
use crate::cluster::rollout::count_rows::{ClassRow, CountRow, MAX_CLASSES_PER_ROW};
use crate::cluster::rollout::message::RolloutMessage;
use crate::cluster::rollout::outcome_counts::{Arm, RequestOutcome};
use crate::decision::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of gateways that collect all counts. They are selected among those present, so that each side of a partition
/// has its own.
const COLLECTOR_COUNT: usize = 3;
/// Time after the rollout's end during which counts are still sent, so that operators see which gateways know of the
/// end.
const COUNTS_AFTER_END: Micros = Micros(30_000_000);

impl RolloutController {
    /// Counts a request that was routed by the rules of this rollout and has ended. `fraction_of_objective` is its
    /// duration as a fraction of its latency objective.
    pub fn record_outcome(
        &mut self,
        now: Micros,
        key: RolloutKey,
        class: u16,
        arm: Arm,
        outcome: RequestOutcome,
        fraction_of_objective: f64,
    ) {
        if self.running_command().is_some_and(|command| command.is_same_rollout(key)) {
            self.outcomes.record(now, class, arm, outcome, fraction_of_objective);
        }
    }

    /// Selects the collectors of this rollout among the seats present.
    pub(super) fn update_collectors(&mut self, rollout_id: u64, present: &[u16]) -> Vec<u16> {
        let collectors = select_collectors(rollout_id, present);
        self.is_collector = collectors.contains(&self.own_seat);
        collectors
    }

    /// Sends this gateway's counts to the collectors and to the leader.
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
        let empty_row = classes.is_empty().then_some(&classes[..]);
        for chunk in classes.chunks(MAX_CLASSES_PER_ROW).chain(empty_row) {
            self.sequence += 1;
            let row = CountRow {
                key: command.key,
                process: self.process,
                sequence: self.sequence,
                zone: self.zone.clone(),
                stage: command.stage,
                has_ended: !command.is_running(),
                classes: chunk.to_vec(),
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

    /// Returns the seats that receive this gateway's counts; its own seat is always among them.
    fn count_receivers(&self, now: Micros, collectors: &[u16]) -> Vec<u16> {
        let mut receivers = collectors.to_vec();
        receivers.extend(self.current_leader(now));
        receivers.push(self.own_seat);
        receivers.sort_unstable();
        receivers.dedup();
        receivers
    }
}

/// Selects the collectors by rendezvous hashing: gateways that see the same seats select the same collectors.
fn select_collectors(rollout_id: u64, present: &[u16]) -> Vec<u16> {
    let score = |seat: u16| xxh3_64_with_seed(&seat.to_le_bytes(), rollout_id);
    let mut ranked: Vec<(u64, u16)> = present.iter().map(|seat| (score(*seat), *seat)).collect();
    ranked.sort_unstable();
    ranked.into_iter().take(COLLECTOR_COUNT).map(|(_, seat)| seat).collect()
}
