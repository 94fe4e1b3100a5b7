//! Leadership of a rollout under the lease of its record: entering the next stage, halting the rollout, and replacing a
//! leader.

use super::{ControllerEffect, LedStage, RolloutController};
use crate::cluster::rollout::command::{HaltReason, Pause, RolloutCommand, RolloutEnd, RolloutKey};
use crate::cluster::rollout::plan::RolloutRequest;
use crate::cluster::rollout::sequential_test::{halt_reason, is_stage_in_force, may_pass_stage, StageStart};
use crate::decision::Micros;

/// Time without an announcement from the leader after which it is replaced.
const LEADER_TIMEOUT: Micros = Micros(2_500_000);
/// Range of the random delay added between claims, in microseconds, so that candidates do not claim all at once.
const CLAIM_JITTER_US: u64 = 1_500_000;
/// Minimum time between a failed claim, or the start of one, and the next claim.
const CLAIM_INTERVAL: Micros = Micros(1_000_000);

impl RolloutController {
    /// Called when the claim has failed or lapsed: another gateway leads, or the record's replicas are unavailable.
    /// Returns whether an operator's request was pending here, which is dropped.
    pub fn on_claim_failed(&mut self, now: Micros) -> bool {
        self.claim = None;
        // A leader whose record has merely expired claims it again at once.
        let wait = match self.is_leading {
            true => Micros(0),
            false => CLAIM_INTERVAL + Micros(self.rng.u64(0..CLAIM_JITTER_US)),
        };
        self.next_claim_at = now + wait;
        self.requested.take().is_some()
    }

    /// Called when this gateway owns the record: starts the requested rollout, if any, and returns its key.
    pub fn on_claim_confirmed(
        &mut self,
        now: Micros,
        present: &[u16],
        out: &mut Vec<ControllerEffect>,
    ) -> Option<RolloutKey> {
        let RolloutRequest { rules, settings } = self.requested.take()?;
        if self.is_running() {
            return None;
        }
        let before = self.command.as_ref();
        let number = before.map_or(0, |command| command.key.number).saturating_add(1);
        let baseline = before.map_or(&self.base_rules, RolloutCommand::next_baseline).clone();
        let key = RolloutKey { number, confirmed: false, id: self.rng.u64(..) };
        let command = RolloutCommand {
            key,
            stage: 0,
            pause: Pause::default(),
            end: None,
            settings,
            baseline,
            canary: rules,
        };
        self.apply(now, &command, present, out);
        Some(key)
    }

    /// The leader, if it announced itself within `LEADER_TIMEOUT`.
    pub(super) fn current_leader(&self, now: Micros) -> Option<u16> {
        self.leader.filter(|leader| now - leader.received_at < LEADER_TIMEOUT).map(|leader| leader.seat)
    }

    /// Claims the record if no gateway leads and this one collects counts.
    pub(super) fn claim_if_leaderless(
        &mut self,
        now: Micros,
        collectors: &[u16],
        out: &mut Vec<ControllerEffect>,
    ) {
        let has_leader = self.is_leading || self.current_leader(now).is_some();
        if self.claim.is_some() || has_leader || !collectors.contains(&self.own_seat) {
            return;
        }
        if now >= self.next_claim_at {
            self.next_claim_at = now + CLAIM_INTERVAL + Micros(self.rng.u64(0..CLAIM_JITTER_US));
            out.push(ControllerEffect::Claim);
        }
    }

    /// Halts the rollout if there is a reason; otherwise advances it if this gateway leads.
    pub(super) fn halt_or_advance(
        &mut self,
        now: Micros,
        command: &RolloutCommand,
        present: &[u16],
        out: &mut Vec<ControllerEffect>,
    ) {
        if (self.is_collector || self.is_leading) && command.stage > 0 {
            if let Some(reason) = halt_reason(&self.collected, &command.settings) {
                let halted = self.halt_command(command, reason);
                return self.apply(now, &halted, present, out);
            }
        }
        if !self.is_leading {
            self.led_stage = None;
            return;
        }
        if let Some(next) = self.next_command(now, command) {
            self.apply(now, &next, present, out);
        }
    }

    fn halt_command(&self, command: &RolloutCommand, reason: HaltReason) -> RolloutCommand {
        let end = RolloutEnd::Halted { seat: self.own_seat, reason };
        RolloutCommand { end: Some(end), ..command.clone() }
    }

    /// Returns the leader's next state of the rollout, if it changes.
    fn next_command(&mut self, now: Micros, command: &RolloutCommand) -> Option<RolloutCommand> {
        let seats = self.seats;
        let new_stage = LedStage { stage: command.stage, since: now, start: None };
        let led = match &mut self.led_stage {
            Some(led) if led.stage == command.stage => led,
            other => other.insert(new_stage),
        };
        // Time spent paused neither passes a stage nor makes it overdue.
        if command.pause.is_paused {
            led.since = now;
            led.start = None;
            return None;
        }
        let in_force = is_stage_in_force(now, &self.collected, command.stage, seats);
        if in_force && led.start.is_none() {
            led.start = Some(StageStart::new(now, &self.collected));
        }
        if command.stage == 0 && in_force {
            let key = RolloutKey { confirmed: true, ..command.key };
            return Some(RolloutCommand { key, stage: 1, ..command.clone() });
        }
        let settings = &command.settings;
        let bake_time_elapsed =
            |start: &&StageStart| in_force && now - start.started_at >= seconds(settings.bake_s);
        if let Some(start) = led.start.as_ref().filter(bake_time_elapsed) {
            if settings.is_last(command.stage) {
                return Some(RolloutCommand { end: Some(RolloutEnd::Completed), ..command.clone() });
            }
            if may_pass_stage(now, &self.collected, start, settings) {
                return Some(RolloutCommand { stage: command.stage + 1, ..command.clone() });
            }
        }
        let is_overdue = now - led.since >= seconds(settings.max_stage_s);
        is_overdue.then(|| self.halt_command(command, HaltReason::Undecided))
    }
}

fn seconds(span: u32) -> Micros {
    Micros(u64::from(span) * 1_000_000)
}
