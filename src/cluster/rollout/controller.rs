//! One gateway's part in a rollout: it passes on what is in force, sends its counts to those that collect them, halts
//! where it collects and finds a reason and, while it owns the rollout's record, leads from stage to stage.

mod counting;
mod leading;
pub(super) mod report;

use super::command::{Pause, RolloutCommand, RolloutEnd, RolloutKey};
use super::count_rows::{CollectedCounts, FRESHNESS};
use super::message::RolloutMessage;
use super::outcome_counts::OutcomeCounts;
use super::plan::{RolloutRequest, RuleSet};
use super::sequential_test::StageStart;
use crate::cluster::ledger::ClaimId;
use crate::decision::Micros;

/// How often a controller is to be called.
pub const TICK_INTERVAL: Micros = Micros(500_000);
/// So many others, drawn at random, are sent what is in force at each tick.
const GOSSIP_FANOUT: usize = 2;
/// A process that is younger may not know yet of a rollout that runs, and begins none.
const MIN_AGE_TO_BEGIN: Micros = Micros(3_000_000);

/// What a controller wants done.
#[derive(Debug)]
pub enum ControllerEffect {
    /// Send this to a seat.
    Send {
        /// The seat.
        to: u16,
        /// The message.
        message: RolloutMessage,
    },
    /// Claim the rollout's record.
    Claim,
    /// Release it.
    Release(ClaimId),
    /// Other rules, or another share of the customers, are in force from now on.
    RoutingChanged,
    /// Something for the log.
    Notify(RolloutNotice),
}

/// Something for the log about a rollout.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutNotice {
    /// Another stage, or pause, is in force here.
    StageChanged {
        /// Of which rollout.
        key: RolloutKey,
        /// The stage.
        stage: u8,
        /// Whether it is paused.
        paused: bool,
    },
    /// It ended.
    Ended {
        /// Which rollout.
        key: RolloutKey,
        /// How.
        end: RolloutEnd,
    },
    /// This gateway leads it from now on.
    Leading {
        /// Which rollout.
        key: RolloutKey,
    },
}

impl RolloutNotice {
    /// Of which rollout.
    pub fn number(&self) -> u64 {
        match self {
            RolloutNotice::StageChanged { key, .. }
            | RolloutNotice::Ended { key, .. }
            | RolloutNotice::Leading { key } => key.number,
        }
    }
}

/// Another gateway that announced that it leads.
#[derive(Debug, Clone, Copy)]
struct LeaderSighting {
    seat: u16,
    at: Micros,
}

/// The stage that this gateway leads.
#[derive(Debug, Clone)]
struct LedStage {
    stage: u8,
    /// Since when it leads in this stage, without a pause.
    since: Micros,
    /// What was counted when the stage came into force; none: it is not yet.
    start: Option<StageStart>,
}

/// One gateway's part in a rollout.
pub struct RolloutController {
    own_seat: u16,
    seats: usize,
    zone: String,
    base_rules: RuleSet,
    started_at: Micros,
    process: u64,
    sequence: u64,
    rng: fastrand::Rng,
    command: Option<RolloutCommand>,
    ended_at: Option<Micros>,
    outcomes: OutcomeCounts,
    collected: CollectedCounts,
    is_collector: bool,
    last_tick: Micros,
    /// Messages that come before this may have been delayed while this process stood still.
    prompt_from: Micros,
    leader: Option<LeaderSighting>,
    claim: Option<ClaimId>,
    next_claim: Micros,
    is_leading: bool,
    /// What an operator asked for here, until its record is owned.
    requested: Option<RolloutRequest>,
    led_stage: Option<LedStage>,
}

impl RolloutController {
    /// For the gateway in this seat of so many, where these rules were in force before any rollout. `process` is drawn at
    /// random.
    pub fn new(
        own_seat: u16,
        seats: usize,
        zone: String,
        base_rules: RuleSet,
        process: u64,
        now: Micros,
    ) -> RolloutController {
        RolloutController {
            own_seat,
            seats,
            zone,
            base_rules,
            started_at: now,
            process,
            sequence: 0,
            rng: fastrand::Rng::with_seed(process),
            command: None,
            ended_at: None,
            outcomes: OutcomeCounts::default(),
            collected: CollectedCounts::default(),
            is_collector: false,
            last_tick: now,
            prompt_from: now,
            leader: None,
            claim: None,
            next_claim: now,
            is_leading: false,
            requested: None,
            led_stage: None,
        }
    }

    /// What is in force here; none before the first rollout.
    pub fn command(&self) -> Option<&RolloutCommand> {
        self.command.as_ref()
    }

    /// The rules that were in force before any rollout.
    pub fn base_rules(&self) -> &RuleSet {
        &self.base_rules
    }

    /// The claim on the rollout's record.
    pub fn claim(&self) -> Option<ClaimId> {
        self.claim
    }

    /// Whether a rollout runs, as far as is known here.
    fn is_running(&self) -> bool {
        self.command.as_ref().is_some_and(RolloutCommand::is_running)
    }

    fn running_command(&self) -> Option<&RolloutCommand> {
        self.command.as_ref().filter(|command| command.is_running())
    }

    /// An operator wants a rollout. Returns whether its record is to be claimed now: two never run at one time.
    pub fn request(&mut self, now: Micros, request: RolloutRequest, out: &mut Vec<ControllerEffect>) -> bool {
        let is_young = now - self.started_at < MIN_AGE_TO_BEGIN;
        if is_young || self.is_running() || self.requested.is_some() || self.claim.is_some() {
            return false;
        }
        self.requested = Some(request);
        out.push(ControllerEffect::Claim);
        true
    }

    /// The record is claimed under this number; none: it could not be.
    pub fn set_claim(&mut self, claim: Option<ClaimId>) {
        self.claim = claim;
    }

    /// An operator pauses the rollout, or lets it go on. Returns whether there was anything to do.
    pub fn pause(
        &mut self,
        now: Micros,
        is_paused: bool,
        present: &[u16],
        out: &mut Vec<ControllerEffect>,
    ) -> bool {
        let running = self.running_command().filter(|command| command.pause.is_paused != is_paused);
        let Some(mut command) = running.cloned() else { return false };
        command.pause = Pause { changes: command.pause.changes.saturating_add(1), is_paused };
        self.apply(now, &command, present, out);
        true
    }

    /// An operator aborts the rollout. Returns whether there was anything to do.
    pub fn abort(&mut self, now: Micros, present: &[u16], out: &mut Vec<ControllerEffect>) -> bool {
        let Some(mut command) = self.running_command().cloned() else { return false };
        command.end = Some(RolloutEnd::Aborted);
        self.apply(now, &command, present, out);
        true
    }

    /// Merges a command, and passes on what is new at once: what is in force elsewhere, or was when this gateway's last
    /// process stored it.
    pub fn apply(
        &mut self,
        now: Micros,
        command: &RolloutCommand,
        present: &[u16],
        out: &mut Vec<ControllerEffect>,
    ) {
        let before = self.command.clone();
        let is_new = match &mut self.command {
            Some(own) => own.merge(command),
            None => {
                self.command = Some(command.clone());
                true
            }
        };
        let Some(own) = self.command.clone().filter(|_| is_new) else { return };
        let same_rollout = before.filter(|before| before.is_of(own.key));
        if same_rollout.is_none() {
            self.forget_counts();
        }
        self.notify_change(now, &own, same_rollout.and_then(|before| before.end), out);
        out.push(ControllerEffect::RoutingChanged);
        let message = RolloutMessage::Command { command: Box::new(own), is_leader: false };
        for to in present.iter().copied().filter(|seat| *seat != self.own_seat) {
            out.push(ControllerEffect::Send { to, message: message.clone() });
        }
    }

    /// Counts of an earlier rollout say nothing of this one.
    fn forget_counts(&mut self) {
        self.outcomes = OutcomeCounts::default();
        self.collected = CollectedCounts::default();
        self.led_stage = None;
        self.ended_at = None;
        self.leader = None;
    }

    fn notify_change(
        &mut self,
        now: Micros,
        command: &RolloutCommand,
        known_end: Option<RolloutEnd>,
        out: &mut Vec<ControllerEffect>,
    ) {
        let RolloutCommand { key, stage, pause, end, .. } = command;
        let Some(end) = end else {
            let notice = RolloutNotice::StageChanged { key: *key, stage: *stage, paused: pause.is_paused };
            out.push(ControllerEffect::Notify(notice));
            return;
        };
        if known_end.as_ref() != Some(end) {
            self.ended_at = Some(now);
            out.push(ControllerEffect::Notify(RolloutNotice::Ended { key: *key, end: end.clone() }));
            out.extend(self.claim.take().map(ControllerEffect::Release));
        }
    }

    /// Handles a message of another gateway.
    pub fn on_message(
        &mut self,
        now: Micros,
        from: u16,
        message: RolloutMessage,
        present: &[u16],
        out: &mut Vec<ControllerEffect>,
    ) {
        if usize::from(from) >= self.seats {
            return;
        }
        self.detect_standstill(now);
        match message {
            RolloutMessage::Command { command, is_leader } => {
                if !command.is_valid() {
                    self.collected.rejected += 1;
                    return;
                }
                let was_known = self.is_of_command(command.key);
                self.apply(now, &command, present, out);
                if is_leader && (was_known || self.is_of_command(command.key)) {
                    self.leader = Some(LeaderSighting { seat: from, at: now });
                }
            }
            RolloutMessage::Counts(row) => {
                if self.is_of_command(row.key) {
                    self.collected.record(now, from, *row, now >= self.prompt_from);
                }
            }
        }
    }

    fn is_of_command(&self, key: RolloutKey) -> bool {
        self.command.as_ref().is_some_and(|command| command.is_of(key))
    }

    /// After a standstill messages may have waited in a buffer: for some time none counts as prompt.
    fn detect_standstill(&mut self, now: Micros) {
        if now - self.last_tick > TICK_INTERVAL + TICK_INTERVAL {
            self.prompt_from = now + FRESHNESS;
        }
    }

    /// To be called every `TICK_INTERVAL`. `has_lease`: the rollout's record is surely this one's now. `present`: seats
    /// that take part.
    pub fn tick(&mut self, now: Micros, has_lease: bool, present: &[u16], out: &mut Vec<ControllerEffect>) {
        self.detect_standstill(now);
        self.last_tick = now;
        let Some(command) = self.command.clone() else { return };
        let collectors = self.update_collectors(command.key.id, present);
        self.send_counts(now, &command, &collectors, out);
        if has_lease && !self.is_leading {
            out.push(ControllerEffect::Notify(RolloutNotice::Leading { key: command.key }));
        }
        self.is_leading = has_lease;
        if command.is_running() {
            self.halt_or_advance(now, &command, present, out);
            self.claim_if_leaderless(now, &collectors, out);
        } else {
            out.extend(self.claim.take().map(ControllerEffect::Release));
        }
        self.gossip(present, out);
    }

    /// What is in force goes to some at each tick; from the leader to all, which then know that it leads.
    fn gossip(&mut self, present: &[u16], out: &mut Vec<ControllerEffect>) {
        let Some(command) = &self.command else { return };
        let others = present.iter().copied().filter(|seat| *seat != self.own_seat);
        let receivers = match self.is_leading {
            true => others.collect(),
            false => self.rng.choose_multiple(others.collect::<Vec<u16>>(), GOSSIP_FANOUT),
        };
        let command = Box::new(command.clone());
        let message = RolloutMessage::Command { command, is_leader: self.is_leading };
        for to in receivers {
            out.push(ControllerEffect::Send { to, message: message.clone() });
        }
    }
}
