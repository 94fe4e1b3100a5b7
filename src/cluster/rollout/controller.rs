//! The rollout controller of one gateway: it gossips the rollout's state, sends its outcome counts to the collectors,
//! halts the rollout when it collects counts and finds a reason, and leads it from stage to stage while it owns the
//! rollout's record.

mod counting;
mod leading;
pub(super) mod report;

use super::command::{Pause, RolloutCommand, RolloutEnd, RolloutKey};
use super::count_rows::{CollectedCounts, MAX_COUNTS_AGE};
use super::message::RolloutMessage;
use super::outcome_counts::OutcomeCounts;
use super::plan::{RolloutRequest, RuleSet};
use super::sequential_test::StageStart;
use crate::cluster::ledger::ClaimId;
use crate::decision::Micros;

/// Interval between calls of `RolloutController::tick`.
pub const TICK_INTERVAL: Micros = Micros(500_000);
/// Number of random other gateways that receive the rollout's state at each tick.
const GOSSIP_FANOUT: usize = 2;
/// A process with a shorter uptime may not yet know of a running rollout, so it starts none.
const MIN_UPTIME_TO_START: Micros = Micros(3_000_000);

/// An action requested by the controller.
#[derive(Debug)]
pub enum ControllerEffect {
    /// Send a message to a seat.
    Send {
        /// The recipient's seat.
        to: u16,
        /// The message to send.
        message: RolloutMessage,
    },
    /// Claim the rollout's record.
    Claim,
    /// Release the claim on the rollout's record.
    Release(ClaimId),
    /// The rules in force, or the customers that have the new ones, may have changed.
    RoutingChanged,
    /// Log an event.
    Notify(RolloutNotice),
}

/// An event of a rollout, to be logged.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutNotice {
    /// The stage or the pause state has changed at this gateway.
    StageChanged {
        /// Identity of the rollout.
        key: RolloutKey,
        /// The stage in force.
        stage: u8,
        /// Whether the rollout is paused.
        paused: bool,
    },
    /// The rollout has ended.
    Ended {
        /// Identity of the rollout.
        key: RolloutKey,
        /// How the rollout ended.
        end: RolloutEnd,
    },
    /// This gateway has become the leader.
    Leading {
        /// Identity of the rollout.
        key: RolloutKey,
    },
}

impl RolloutNotice {
    /// Number of the rollout.
    pub fn number(&self) -> u64 {
        match self {
            RolloutNotice::StageChanged { key, .. }
            | RolloutNotice::Ended { key, .. }
            | RolloutNotice::Leading { key } => key.number,
        }
    }
}

/// The latest announcement of another gateway that it leads.
#[derive(Debug, Clone, Copy)]
struct LeaderHeartbeat {
    seat: u16,
    received_at: Micros,
}

/// The current stage as seen by the leader.
#[derive(Debug, Clone)]
struct LedStage {
    stage: u8,
    /// Since when this gateway has led the stage without a pause.
    since: Micros,
    /// Counts at the time when the stage came into force; none before that.
    start: Option<StageStart>,
}

/// The rollout controller of one gateway.
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
    /// Messages that arrive before this time may have been delayed while this process was stalled.
    prompt_from: Micros,
    leader: Option<LeaderHeartbeat>,
    claim: Option<ClaimId>,
    next_claim_at: Micros,
    is_leading: bool,
    /// An operator's request at this gateway, until the rollout's record is owned.
    requested: Option<RolloutRequest>,
    led_stage: Option<LedStage>,
}

impl RolloutController {
    /// Creates the controller of a gateway. `base_rules` are in force until the first rollout; `process` is a random
    /// id.
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
            next_claim_at: now,
            is_leading: false,
            requested: None,
            led_stage: None,
        }
    }

    /// The rollout's state at this gateway; none before the first rollout.
    pub fn command(&self) -> Option<&RolloutCommand> {
        self.command.as_ref()
    }

    /// The rules that were in force before any rollout.
    pub fn base_rules(&self) -> &RuleSet {
        &self.base_rules
    }

    /// The open claim on the rollout's record.
    pub fn claim(&self) -> Option<ClaimId> {
        self.claim
    }

    /// Whether a rollout runs, as far as this gateway knows.
    fn is_running(&self) -> bool {
        self.command.as_ref().is_some_and(RolloutCommand::is_running)
    }

    fn running_command(&self) -> Option<&RolloutCommand> {
        self.command.as_ref().filter(|command| command.is_running())
    }

    /// Accepts an operator's request for a rollout, and claims the record if no rollout runs or is being started here.
    /// Returns whether the request was accepted.
    pub fn request(&mut self, now: Micros, request: RolloutRequest, out: &mut Vec<ControllerEffect>) -> bool {
        let is_recently_started = now - self.started_at < MIN_UPTIME_TO_START;
        if is_recently_started || self.is_running() || self.requested.is_some() || self.claim.is_some() {
            return false;
        }
        self.requested = Some(request);
        out.push(ControllerEffect::Claim);
        true
    }

    /// Sets the claim on the rollout's record; none if the record could not be claimed.
    pub fn set_claim(&mut self, claim: Option<ClaimId>) {
        self.claim = claim;
    }

    /// Pauses or resumes the rollout. Returns whether that changed anything.
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

    /// Aborts the rollout. Returns whether one was running.
    pub fn abort(&mut self, now: Micros, present: &[u16], out: &mut Vec<ControllerEffect>) -> bool {
        let Some(mut command) = self.running_command().cloned() else { return false };
        command.end = Some(RolloutEnd::Aborted);
        self.apply(now, &command, present, out);
        true
    }

    /// Merges a state received from another gateway, changed here, or stored by this gateway's previous process, and
    /// sends it to all participants at once if it is new.
    pub fn apply(
        &mut self,
        now: Micros,
        command: &RolloutCommand,
        present: &[u16],
        out: &mut Vec<ControllerEffect>,
    ) {
        let before = self.command.clone();
        let is_new = match &mut self.command {
            Some(current) => current.merge(command),
            None => {
                self.command = Some(command.clone());
                true
            }
        };
        let Some(current) = self.command.clone().filter(|_| is_new) else { return };
        let same_rollout = before.filter(|before| before.is_same_rollout(current.key));
        if same_rollout.is_none() {
            self.reset_counts();
        }
        self.notify_change(now, &current, same_rollout.and_then(|before| before.end), out);
        out.push(ControllerEffect::RoutingChanged);
        let message = RolloutMessage::Command { command: Box::new(current), is_leader: false };
        for to in present.iter().copied().filter(|seat| *seat != self.own_seat) {
            out.push(ControllerEffect::Send { to, message: message.clone() });
        }
    }

    /// Drops all counts, as those of an earlier rollout are no evidence about this one.
    fn reset_counts(&mut self) {
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

    /// Handles a message from another gateway's controller.
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
        self.detect_stall(now);
        match message {
            RolloutMessage::Command { command, is_leader } => {
                if !command.is_valid() {
                    self.collected.rejected += 1;
                    return;
                }
                let was_known = self.is_current_rollout(command.key);
                self.apply(now, &command, present, out);
                if is_leader && (was_known || self.is_current_rollout(command.key)) {
                    self.leader = Some(LeaderHeartbeat { seat: from, received_at: now });
                }
            }
            RolloutMessage::Counts(row) => {
                if self.is_current_rollout(row.key) {
                    self.collected.record(now, from, *row, now >= self.prompt_from);
                }
            }
        }
    }

    fn is_current_rollout(&self, key: RolloutKey) -> bool {
        self.command.as_ref().is_some_and(|command| command.is_same_rollout(key))
    }

    /// Detects that this process was stalled. Messages may then have waited in a buffer, so for some time none counts
    /// as prompt.
    fn detect_stall(&mut self, now: Micros) {
        if now - self.last_tick > TICK_INTERVAL + TICK_INTERVAL {
            self.prompt_from = now + MAX_COUNTS_AGE;
        }
    }

    /// Called every `TICK_INTERVAL`. `has_lease` says that this gateway certainly owns the rollout's record now,
    /// `present` which seats take part.
    pub fn tick(&mut self, now: Micros, has_lease: bool, present: &[u16], out: &mut Vec<ControllerEffect>) {
        self.detect_stall(now);
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

    /// Sends the rollout's state to a few random gateways, or from the leader to all, so that they know who leads.
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
