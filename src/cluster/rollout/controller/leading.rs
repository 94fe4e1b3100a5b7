//! Leading a rollout under the lease of its record: when a stage is passed, when the rollout is halted, and who takes the
//! lead next.

use super::{ControllerEffect, LedStage, RolloutController};
use crate::cluster::rollout::command::{HaltReason, Pause, RolloutCommand, RolloutEnd, RolloutKey};
use crate::cluster::rollout::plan::RolloutRequest;
use crate::cluster::rollout::sequential_test::{halt_reason, is_in_force, may_pass, StageStart};
use crate::decision::Micros;

/// A leader of which nothing was received for so long is replaced.
const LEADER_TIMEOUT: Micros = Micros(2_500_000);
/// Candidates claim within this, in microseconds, not all at once.
const CANDIDACY_JITTER_US: u64 = 1_500_000;
/// Nobody claims for so long after another was found to lead.
const CLAIM_INTERVAL: Micros = Micros(1_000_000);

impl RolloutController {
    /// The record is not this one's: another leads, or its replicas can't be had. Returns whether an operator had asked for
    /// a rollout here, which does not begin.
    pub fn on_claim_failed(&mut self, now: Micros) -> bool {
        self.claim = None;
        // Whoever led goes on at once where only the record's life is over.
        let wait = match self.is_leading {
            true => Micros(0),
            false => CLAIM_INTERVAL + Micros(self.rng.u64(0..CANDIDACY_JITTER_US)),
        };
        self.next_claim = now + wait;
        self.requested.take().is_some()
    }

    /// The record is this one's: what was asked for begins.
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
        let baseline = before.map_or(&self.base_rules, RolloutCommand::settled_rules).clone();
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

    /// The leader, if something was received of it lately.
    pub(super) fn live_leader(&self, now: Micros) -> Option<u16> {
        self.leader.filter(|leader| now - leader.at < LEADER_TIMEOUT).map(|leader| leader.seat)
    }

    /// Claims the record where nobody leads.
    pub(super) fn claim_if_leaderless(
        &mut self,
        now: Micros,
        collectors: &[u16],
        out: &mut Vec<ControllerEffect>,
    ) {
        let has_leader = self.is_leading || self.live_leader(now).is_some();
        if self.claim.is_some() || has_leader || !collectors.contains(&self.own_seat) {
            return;
        }
        if now >= self.next_claim {
            self.next_claim = now + CLAIM_INTERVAL + Micros(self.rng.u64(0..CANDIDACY_JITTER_US));
            out.push(ControllerEffect::Claim);
        }
    }

    /// Halts where there is a reason; leads on where that is this one's to do.
    pub(super) fn halt_or_advance(
        &mut self,
        now: Micros,
        command: &RolloutCommand,
        present: &[u16],
        out: &mut Vec<ControllerEffect>,
    ) {
        if (self.is_collector || self.is_leading) && command.stage > 0 {
            if let Some(reason) = halt_reason(&self.collected, &command.settings) {
                let halted = self.halted(command, reason);
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

    fn halted(&self, command: &RolloutCommand, reason: HaltReason) -> RolloutCommand {
        let end = RolloutEnd::Halted { seat: self.own_seat, reason };
        RolloutCommand { end: Some(end), ..command.clone() }
    }

    /// What the leader puts in force next, if anything.
    fn next_command(&mut self, now: Micros, command: &RolloutCommand) -> Option<RolloutCommand> {
        let seats = self.seats;
        let new_stage = LedStage { stage: command.stage, since: now, start: None };
        let led = match &mut self.led_stage {
            Some(led) if led.stage == command.stage => led,
            other => other.insert(new_stage),
        };
        // Nothing is concluded from a pause.
        if command.pause.is_paused {
            led.since = now;
            led.start = None;
            return None;
        }
        let in_force = is_in_force(now, &self.collected, command.stage, seats);
        if in_force && led.start.is_none() {
            led.start = Some(StageStart::new(now, &self.collected));
        }
        if command.stage == 0 && in_force {
            let key = RolloutKey { confirmed: true, ..command.key };
            return Some(RolloutCommand { key, stage: 1, ..command.clone() });
        }
        let settings = &command.settings;
        let is_baked = |start: &&StageStart| in_force && now - start.at >= seconds(settings.bake_s);
        if let Some(start) = led.start.as_ref().filter(is_baked) {
            if settings.is_last(command.stage) {
                return Some(RolloutCommand { end: Some(RolloutEnd::Completed), ..command.clone() });
            }
            if may_pass(now, &self.collected, start, settings) {
                return Some(RolloutCommand { stage: command.stage + 1, ..command.clone() });
            }
        }
        let is_overdue = now - led.since >= seconds(settings.max_stage_s);
        is_overdue.then(|| self.halted(command, HaltReason::Undecided))
    }
}

fn seconds(span: u32) -> Micros {
    Micros(u64::from(span) * 1_000_000)
}
