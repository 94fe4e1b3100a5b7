//! Invariant 7: the share of a seat is never used by its own gateway and by the others at the same time.

use crate::dated::{age_all, Dated, Known, Reply};
use crate::{OPPOSITE_WAIT_TICKS, VALIDITY_TICKS};
use stateright::{Checker, Model, Property};

const NEVER_SHARED: &str = "its own gateway and the others never use a seat at the same time";
const USED_BY_OWN_GATEWAY: &str = "its own gateway uses the seat";
const USED_BY_OTHERS: &str = "the others use the seat";
/// Index of the modelled seat and of the member that it belongs to.
const SEAT: usize = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Statement {
    Held,
    Free,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    is_up: bool,
    /// Whether the member's membership state has the seat's gateway as present.
    sees_gateway_present: bool,
    /// Last statement, with the ticks since then, up to `OPPOSITE_WAIT_TICKS`.
    last: Option<Dated<Statement>>,
    /// Ticks since the member's start, up to `OPPOSITE_WAIT_TICKS`.
    age: u8,
    known: Known<Statement>,
}

impl Member {
    fn new(members: usize, is_up: bool) -> Member {
        Member { is_up, sees_gateway_present: true, last: None, age: 0, known: vec![None; members] }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SeatState {
    members: Vec<Member>,
    reply: Option<Reply<Statement>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum SeatAction {
    Tick,
    /// Changes whether a member's membership state has the seat's gateway as present.
    ToggleGatewayPresence(usize),
    Reply {
        to: usize,
        from: usize,
    },
    Deliver,
    Lose,
    Kill(usize),
    Start(usize),
}

/// Model of one seat of a cluster.
struct SeatLeaseModel {
    members: usize,
    /// Wait before the opposite statement and after a start, in ticks.
    wait: u8,
    /// Number of members that have to make the same statement for it to take effect.
    majority: usize,
}

impl SeatLeaseModel {
    fn has_majority(&self, member: &Member, statement: Statement) -> bool {
        let same = member.known.iter().flatten().filter(|known| known.value == statement);
        member.is_up && same.count() >= self.majority
    }

    fn is_used_by_own_gateway(&self, state: &SeatState) -> bool {
        self.has_majority(&state.members[SEAT], Statement::Held)
    }

    fn is_used_by_others(&self, state: &SeatState) -> bool {
        state.members.iter().skip(1).any(|member| self.has_majority(member, Statement::Free))
    }

    /// Updates a member's statement from its membership state, if the waits permit a statement.
    fn update_statement(&self, member: &mut Member, own_index: usize) {
        if !member.is_up || member.age < self.wait {
            return;
        }
        let is_present = member.sees_gateway_present || own_index == SEAT;
        let wanted = if is_present { Statement::Held } else { Statement::Free };
        if member.last.is_none_or(|last| last.value == wanted || last.age >= self.wait) {
            member.last = Some(Dated::new(wanted));
            member.known[own_index] = member.last;
        } else {
            member.known[own_index] = None;
        }
    }

    fn tick(&self, state: &mut SeatState) {
        for (i, member) in state.members.iter_mut().enumerate() {
            member.age = (member.age + 1).min(self.wait);
            if let Some(last) = member.last.as_mut() {
                last.age = (last.age + 1).min(self.wait);
            }
            age_all(&mut member.known);
            self.update_statement(member, i);
        }
        if let Some(reply) = state.reply.as_mut() {
            age_all(&mut reply.known);
        }
    }
}

/// Delivers a reply; a member that isn't up loses it.
fn deliver(reply: Reply<Statement>, members: &mut [Member]) {
    let member = &mut members[reply.to];
    if member.is_up {
        reply.merge_into(&mut member.known);
    }
}

impl Model for SeatLeaseModel {
    type State = SeatState;
    type Action = SeatAction;

    fn init_states(&self) -> Vec<SeatState> {
        vec![SeatState { members: vec![Member::new(self.members, true); self.members], reply: None }]
    }

    fn actions(&self, state: &SeatState, actions: &mut Vec<SeatAction>) {
        actions.push(SeatAction::Tick);
        for (i, member) in state.members.iter().enumerate() {
            if !member.is_up {
                actions.push(SeatAction::Start(i));
                continue;
            }
            actions.push(SeatAction::Kill(i));
            if i != SEAT {
                actions.push(SeatAction::ToggleGatewayPresence(i));
            }
            if state.reply.is_none() {
                let others = (0..self.members).filter(|j| *j != i && state.members[*j].is_up);
                actions.extend(others.map(|from| SeatAction::Reply { to: i, from }));
            }
        }
        if state.reply.is_some() {
            actions.extend([SeatAction::Deliver, SeatAction::Lose]);
        }
    }

    fn next_state(&self, state: &SeatState, action: SeatAction) -> Option<SeatState> {
        let mut next = state.clone();
        match action {
            SeatAction::Tick => self.tick(&mut next),
            SeatAction::ToggleGatewayPresence(i) => {
                let member = &mut next.members[i];
                member.sees_gateway_present = !member.sees_gateway_present;
                self.update_statement(member, i);
            }
            // The request and the creation of the reply are one step: it suffices that no statement appears
            // more recent than it is.
            SeatAction::Reply { to, from } => {
                next.reply = Some(Reply { to, known: state.members[from].known.clone() });
            }
            SeatAction::Deliver => deliver(next.reply.take()?, &mut next.members),
            SeatAction::Lose => next.reply = None,
            SeatAction::Kill(i) => next.members[i] = Member::new(self.members, false),
            SeatAction::Start(i) => next.members[i].is_up = true,
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NEVER_SHARED, |model: &SeatLeaseModel, state: &SeatState| {
                !(model.is_used_by_own_gateway(state) && model.is_used_by_others(state))
            }),
            Property::sometimes(USED_BY_OWN_GATEWAY, SeatLeaseModel::is_used_by_own_gateway),
            Property::sometimes(USED_BY_OTHERS, SeatLeaseModel::is_used_by_others),
        ]
    }
}

/// Result of checking all states.
struct CheckResult {
    states: usize,
    is_violated: bool,
    is_usable_by_both: bool,
}

fn check(model: SeatLeaseModel) -> CheckResult {
    let checker = model.checker().threads(4).spawn_bfs().join();
    CheckResult {
        states: checker.unique_state_count(),
        is_violated: checker.discovery(NEVER_SHARED).is_some(),
        is_usable_by_both: checker.discovery(USED_BY_OWN_GATEWAY).is_some()
            && checker.discovery(USED_BY_OTHERS).is_some(),
    }
}

/// A seat that its own gateway and the others use at the same time would count its quota share twice;
/// each of them must be able to use it at some time.
#[test]
fn a_seat_is_never_used_by_its_gateway_and_the_others_at_the_same_time() {
    let result = check(SeatLeaseModel { members: 3, wait: OPPOSITE_WAIT_TICKS, majority: 2 });
    println!("{} states", result.states);
    assert!(!result.is_violated, "the gateway and the others use the seat at the same time");
    assert!(result.is_usable_by_both && result.states > 10_000, "{} states", result.states);
}

/// The model must find a violation without the wait before an opposite statement, or without the majority;
/// otherwise the check above proves nothing.
#[test]
fn seat_model_is_violated_without_the_wait_or_the_majority() {
    let without_wait = check(SeatLeaseModel { members: 3, wait: VALIDITY_TICKS, majority: 2 });
    assert!(
        without_wait.is_violated,
        "without the wait, an outdated statement is still valid beside its opposite"
    );
    let without_majority = check(SeatLeaseModel { members: 3, wait: OPPOSITE_WAIT_TICKS, majority: 1 });
    assert!(without_majority.is_violated, "without a majority, members can act on opposite statements");
}
