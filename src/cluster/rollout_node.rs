//! The fleet's rollout: its messages go out to the seats present, and its record is claimed at the ledger.

use crate::cluster::datagram::{DatagramError, Payload};
use crate::cluster::ledger::{Change, ClaimId, Finding};
use crate::cluster::ledger_node::own_seat;
use crate::cluster::membership::identity::CAPABILITY_ROLLOUT;
use crate::cluster::rollout::{
    Arm, Ended, Key, Message, Order, Report, Rules, Start, Steward, Telling, Told, RECORD, TICK,
};
use crate::cluster::{ClusterNode, Effect, Micros};

/// What is in force, for whoever routes.
#[derive(Debug, Clone, PartialEq)]
pub struct InForce {
    /// Of which rollout; none where there was none yet.
    pub key: Option<Key>,
    /// Outcomes are counted.
    pub counts: bool,
    /// The rules of those customers that do not have the new ones.
    pub old: Rules,
    /// The new rules.
    pub new: Rules,
    /// The part of the customers, of 10,000, that have the new ones.
    pub share: u16,
}

/// How an order of an operator's was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It is done, or begun.
    Done,
    /// It can't be: another rollout runs, or none does.
    Conflict,
    /// There is no rollout without a ledger.
    Off,
}

impl ClusterNode {
    /// Somebody wants a rollout. What becomes of it is told by `Effect::RolloutStarted`.
    pub fn start_rollout(&mut self, now: Micros, start: Start, out: &mut Vec<Effect>) -> Taken {
        let mut tellings = Vec::new();
        let Some(steward) = self.steward.as_mut() else { return Taken::Off };
        let begun = steward.start(now, start, &mut tellings);
        self.do_all(now, tellings, out);
        if begun {
            Taken::Done
        } else {
            Taken::Conflict
        }
    }

    /// People pause the rollout, or let it go on.
    pub fn pause_rollout(&mut self, now: Micros, on: bool, out: &mut Vec<Effect>) -> Taken {
        self.order(now, out, |steward, present, tellings| steward.pause(now, on, present, tellings))
    }

    /// People call the rollout off.
    pub fn abort_rollout(&mut self, now: Micros, out: &mut Vec<Effect>) -> Taken {
        self.order(now, out, |steward, present, tellings| steward.abort(now, present, tellings))
    }

    fn order(
        &mut self,
        now: Micros,
        out: &mut Vec<Effect>,
        give: impl FnOnce(&mut Steward, &[u16], &mut Vec<Telling>) -> bool,
    ) -> Taken {
        let (present, mut tellings) = (self.present_seats(), Vec::new());
        let Some(steward) = self.steward.as_mut() else { return Taken::Off };
        let done = give(steward, &present, &mut tellings);
        self.do_all(now, tellings, out);
        if done {
            Taken::Done
        } else {
            Taken::Conflict
        }
    }

    /// A request that went by the rules of this rollout ended.
    pub fn count(&mut self, now: Micros, key: Key, class: u16, arm: Arm, ended: Ended, part_of_aim: f64) {
        let steward = self.steward.iter_mut();
        steward.for_each(|steward| steward.count(now, key, class, arm, ended, part_of_aim));
    }

    /// What operators read of the rollout.
    pub fn rollout(&self, now: Micros) -> Option<Report> {
        self.steward.as_ref()?.report(now)
    }

    /// What is in force.
    pub fn in_force(&self) -> Option<InForce> {
        let steward = self.steward.as_ref()?;
        Some(match steward.order() {
            Some(order) => InForce {
                key: Some(order.key),
                counts: order.end.is_none() && order.stage > 0,
                old: order.old.clone(),
                new: order.new.clone(),
                share: order.share(),
            },
            None => InForce {
                key: None,
                counts: false,
                old: steward.base().clone(),
                new: Rules::default(),
                share: 0,
            },
        })
    }

    /// A message of the rollout from a seat.
    pub(super) fn rolling_hear(
        &mut self,
        list: u64,
        seat: u16,
        message: Message,
        out: &mut Vec<Effect>,
    ) -> Result<(), DatagramError> {
        let (now, present, mut tellings) = (self.now, self.present_seats(), Vec::new());
        let same = self.quota_leases.as_ref().is_some_and(|leases| leases.seat_list() == list);
        let steward = self.steward.as_mut().filter(|_| same).ok_or(DatagramError::Rejected)?;
        steward.hear(now, seat, message, &present, &mut tellings);
        self.do_all(now, tellings, out);
        Ok(())
    }

    /// A claim at the ledger found out; whether it was the rollout's.
    pub(super) fn rolling_found(&mut self, of: ClaimId, finding: &Finding, out: &mut Vec<Effect>) -> bool {
        if self.steward.as_ref().is_none_or(|steward| steward.claim() != Some(of)) {
            return false;
        }
        let (now, mut tellings) = (self.now, Vec::new());
        match finding {
            // The record says no more than that it is owned.
            Finding::Clear { .. } if self.change(now, of, Change::Send(0), out).is_some() => {}
            Finding::Confirmed(1) => {
                let present = self.present_seats();
                let begun = self.steward.as_mut().and_then(|s| s.owns(now, &present, &mut tellings));
                out.extend(begun.map(|key| Effect::RolloutStarted { key: Some(key) }));
            }
            Finding::Confirmed(_) => {}
            _ => {
                let wanted = self.steward.as_mut().is_some_and(|steward| steward.give_up(now));
                out.extend(wanted.then_some(Effect::RolloutStarted { key: None }));
                self.let_go(now, of, None, out);
            }
        }
        self.do_all(now, tellings, out);
        true
    }

    /// Time went by for the rollout.
    pub(super) fn roll(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(steward) = self.steward.as_ref().filter(|_| now >= self.rolls_at) else { return };
        self.rolls_at = now + TICK;
        if self.left {
            // Another leads on at once.
            let claim = steward.claim();
            self.steward = None;
            return claim.into_iter().for_each(|of| self.let_go(now, of, None, out));
        }
        let claim = steward.claim().and_then(|of| self.desk.as_ref()?.claim(of).map(|claim| (of, claim)));
        let leads = claim.as_ref().is_some_and(|(_, claim)| claim.is_held(now));
        // A record lives for a while only: its owner takes it anew, or another does.
        let lapsed = claim.as_ref().filter(|(_, c)| c.owns() && !c.may_act(now)).map(|(of, _)| *of);
        if lapsed.is_some() || steward.claim().is_some() && claim.is_none() {
            let wanted = self.steward.as_mut().is_some_and(|steward| steward.give_up(now));
            out.extend(wanted.then_some(Effect::RolloutStarted { key: None }));
            lapsed.into_iter().for_each(|of| self.let_go(now, of, None, out));
        }
        let (present, mut tellings) = (self.present_seats(), Vec::new());
        self.steward.iter_mut().for_each(|steward| steward.tick(now, leads, &present, &mut tellings));
        self.do_all(now, tellings, out);
    }

    /// What the disk held of a rollout is in force again, as far as nothing newer was heard.
    pub(super) fn take_up_rollout(&mut self, order: Option<Order>, out: &mut Vec<Effect>) {
        let (now, present, mut tellings) = (self.now, self.present_seats(), Vec::new());
        for (steward, order) in self.steward.iter_mut().zip(order.filter(Order::is_sound)) {
            steward.take(now, &order, &present, &mut tellings);
        }
        self.do_all(now, tellings, out);
    }

    /// The seats that take part in rollouts and are there, this one among them.
    fn present_seats(&self) -> Vec<u16> {
        let records = self.swim.records();
        let there = |name: &String| {
            *name == self.settings.name
                || records.get(name.as_str()).is_some_and(|r| {
                    r.state.is_present() && r.identity.metadata.capabilities & CAPABILITY_ROLLOUT != 0
                })
        };
        let seats = self.settings.seats.iter().enumerate().filter(|(_, name)| there(name));
        seats.map(|(seat, _)| seat as u16).collect()
    }

    fn do_all(&mut self, now: Micros, tellings: Vec<Telling>, out: &mut Vec<Effect>) {
        for telling in tellings {
            match telling {
                Telling::To(seat, message) => {
                    let Some((list, own)) = own_seat(self) else { continue };
                    self.send_to_seat(seat, &Payload::Rollout { seat_list: list, seat: own, message }, out);
                }
                Telling::Claim => {
                    let claimed = self.claim(now, RECORD, 0, out);
                    // A claim may have found out all by itself already, with this one's own word.
                    self.steward.iter_mut().for_each(|steward| steward.claimed(claimed));
                }
                Telling::LetGo(claim) => self.let_go(now, claim, None, out),
                Telling::Routing => out.extend(self.in_force().map(|f| Effect::RoutingChanged(Box::new(f)))),
                Telling::Log(told) => out.push(Effect::RolloutNotice(told)),
            }
        }
    }
}

impl Told {
    /// Of which rollout.
    pub fn number(&self) -> u64 {
        match self {
            Told::Stage(key, ..) | Told::Ended(key, _) | Told::Leads(key) => key.number,
        }
    }
}
