//! Connects the rollout controller to the cluster node: sends its messages to the seats present, and claims its record
//! at the ledger.

use super::datagram::{DatagramError, Payload};
use super::event::{ActiveRouting, Effect};
use super::ledger::{ClaimId, ClaimOutcome};
use super::ledger_node::{LeaseProgress, OwnSeat};
use super::membership::identity::CAPABILITY_ROLLOUT;
use super::node::ClusterNode;
use super::rollout::{
    Arm, CommandResult, ControllerEffect, RequestOutcome, RolloutController, RolloutKey, RolloutMessage,
    RolloutReport, RolloutRequest, RolloutState, RuleSet, ROLLOUT_RECORD, TICK_INTERVAL,
};
use crate::decision::Micros;

impl ClusterNode {
    /// Starts a rollout requested by an operator. `Effect::RolloutStarted` reports later whether it has started.
    pub fn start_rollout(
        &mut self,
        now: Micros,
        request: RolloutRequest,
        out: &mut Vec<Effect>,
    ) -> CommandResult {
        let accepted = self
            .with_controller(now, out, |controller, _, effects| controller.request(now, request, effects));
        CommandResult::from_outcome(accepted)
    }

    /// Pauses or resumes the rollout on an operator's command.
    pub fn pause_rollout(&mut self, now: Micros, is_paused: bool, out: &mut Vec<Effect>) -> CommandResult {
        let done = self.with_controller(now, out, |controller, present, effects| {
            controller.pause(now, is_paused, present, effects)
        });
        CommandResult::from_outcome(done)
    }

    /// Aborts the rollout on an operator's command.
    pub fn abort_rollout(&mut self, now: Micros, out: &mut Vec<Effect>) -> CommandResult {
        let done = self.with_controller(now, out, |controller, present, effects| {
            controller.abort(now, present, effects)
        });
        CommandResult::from_outcome(done)
    }

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
        if let Some(controller) = self.rollout.as_mut() {
            controller.record_outcome(now, key, class, arm, outcome, fraction_of_objective);
        }
    }

    /// Returns the rollout's report for operators.
    pub fn rollout_report(&self, now: Micros) -> Option<RolloutReport> {
        self.rollout.as_ref()?.report(now)
    }

    /// Returns the routing rules in force.
    pub fn routing_in_force(&self) -> Option<ActiveRouting> {
        let controller = self.rollout.as_ref()?;
        Some(match controller.state() {
            Some(state) => ActiveRouting {
                key: Some(state.key),
                is_counting_outcomes: state.is_running() && state.stage > 0,
                baseline: state.baseline.clone(),
                canary: state.canary.clone(),
                canary_share: state.canary_share(),
            },
            None => ActiveRouting {
                key: None,
                is_counting_outcomes: false,
                baseline: controller.base_rules().clone(),
                canary: RuleSet::default(),
                canary_share: 0,
            },
        })
    }

    /// Handles a rollout message from a seat.
    pub(super) fn on_rollout_message(
        &mut self,
        seat_list: u64,
        seat: u16,
        message: RolloutMessage,
        out: &mut Vec<Effect>,
    ) -> Result<(), DatagramError> {
        if !self.is_own_seat_list(seat_list) {
            return Err(DatagramError::Rejected);
        }
        let now = self.now;
        self.with_controller(now, out, |controller, present, effects| {
            controller.on_message(now, seat, message, present, effects);
        })
        .ok_or(DatagramError::Rejected)
    }

    /// Handles the outcome of a claim at the ledger. Returns whether the claim belongs to the rollout's
    /// record.
    pub(super) fn on_rollout_claim_resolved(
        &mut self,
        claim: ClaimId,
        outcome: &ClaimOutcome,
        out: &mut Vec<Effect>,
    ) -> bool {
        if self.rollout.as_ref().is_none_or(|controller| controller.claim() != Some(claim)) {
            return false;
        }
        let now = self.now;
        match self.advance_lease(claim, outcome, out) {
            LeaseProgress::Pending | LeaseProgress::Confirmed { is_first: false } => {}
            LeaseProgress::Confirmed { is_first: true } => self.begin_requested_rollout(out),
            LeaseProgress::Failed => {
                self.on_rollout_claim_failed(out);
                self.release_claim(now, claim, None, out);
            }
        }
        true
    }

    fn begin_requested_rollout(&mut self, out: &mut Vec<Effect>) {
        let present = self.rollout_participants();
        let mut effects = Vec::new();
        let Some(controller) = self.rollout.as_mut() else { return };
        let started = controller.on_claim_confirmed(self.now, &present, &mut effects);
        out.extend(started.map(|key| Effect::RolloutStarted { key: Some(key) }));
        self.emit_controller_effects(self.now, effects, out);
    }

    fn on_rollout_claim_failed(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        let was_requested = self.rollout.as_mut().is_some_and(|controller| controller.on_claim_failed(now));
        if was_requested {
            out.push(Effect::RolloutStarted { key: None });
        }
    }

    /// Called as time passes; runs the controller every `TICK_INTERVAL`.
    pub(super) fn tick_rollout(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(controller) = self.rollout.as_ref().filter(|_| now >= self.next_rollout_tick) else {
            return;
        };
        self.next_rollout_tick = now + TICK_INTERVAL;
        let claim = controller.claim();
        if self.is_leaving {
            // Releasing the claim lets another gateway become the leader at once.
            self.rollout = None;
            if let Some(claim) = claim {
                self.release_claim(now, claim, None, out);
            }
            return;
        }
        let lease = self.lease_status(claim);
        // A record has a limited lifetime, after which the lease ends or the ledger drops the claim. This
        // gateway or another gateway then claims the record again.
        if lease.lapsed_claim.is_some() || lease.is_claim_missing {
            self.on_rollout_claim_failed(out);
            if let Some(claim) = lease.lapsed_claim {
                self.release_claim(now, claim, None, out);
            }
        }
        self.with_controller(now, out, |controller, present, effects| {
            controller.tick(now, lease.is_held, present, effects);
        });
    }

    /// Applies the rollout's stored state, unless a newer one has been received.
    pub(super) fn restore_rollout(&mut self, state: Option<RolloutState>, out: &mut Vec<Effect>) {
        let Some(state) = state.filter(RolloutState::is_valid) else { return };
        let now = self.now;
        self.with_controller(now, out, |controller, present, effects| {
            controller.apply(now, &state, present, effects);
        });
    }

    /// The seats that take part in rollouts and are present, including this gateway's own.
    fn rollout_participants(&self) -> Vec<u16> {
        let records = self.swim.records();
        let is_participant = |name: &String| {
            *name == self.settings.name
                || records.get(name.as_str()).is_some_and(|record| {
                    record.state.is_present()
                        && record.identity.metadata.capabilities & CAPABILITY_ROLLOUT != 0
                })
        };
        let seats = self.settings.seats.iter().enumerate().filter(|(_, name)| is_participant(name));
        seats.map(|(seat, _)| seat as u16).collect()
    }

    /// Runs an operation on the controller with the seats that are present, and emits the resulting effects.
    fn with_controller<T>(
        &mut self,
        now: Micros,
        out: &mut Vec<Effect>,
        operation: impl FnOnce(&mut RolloutController, &[u16], &mut Vec<ControllerEffect>) -> T,
    ) -> Option<T> {
        let present = self.rollout_participants();
        let mut effects = Vec::new();
        let result = operation(self.rollout.as_mut()?, &present, &mut effects);
        self.emit_controller_effects(now, effects, out);
        Some(result)
    }

    fn emit_controller_effects(
        &mut self,
        now: Micros,
        effects: Vec<ControllerEffect>,
        out: &mut Vec<Effect>,
    ) {
        for effect in effects {
            match effect {
                ControllerEffect::Send { to, message } => {
                    let Some(OwnSeat { seat_list, seat }) = self.own_seat() else { continue };
                    self.send_to_seat(to, &Payload::Rollout { seat_list, seat, message }, out);
                }
                ControllerEffect::Claim => {
                    let claim = self.open_claim(now, ROLLOUT_RECORD, 0, out);
                    // The reply of this gateway's own replica may already have resolved the claim. The next
                    // tick then finds that the ledger no longer has the claim.
                    if let Some(controller) = self.rollout.as_mut() {
                        controller.set_claim(claim);
                    }
                }
                ControllerEffect::Release(claim) => self.release_claim(now, claim, None, out),
                ControllerEffect::RoutingChanged => {
                    out.extend(self.routing_in_force().map(|rules| Effect::RoutingChanged(Box::new(rules))));
                }
                ControllerEffect::Notify(notice) => out.push(Effect::RolloutNotice(notice)),
            }
        }
    }
}
