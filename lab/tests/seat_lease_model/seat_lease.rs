//! Invariant 7: a seat's share is never both its own gateway's and the others'.

use crate::dated::{age_all, Dated, Known, Reply};
use crate::{OPPOSITE_WAIT_TICKS, VALIDITY_TICKS};
use stateright::{Checker, Model, Property};

const ONE_USER: &str = "a seat is never both its own gateway's and the others'";
const OWN_GATEWAY_HAS_IT: &str = "its own gateway has it";
const OTHERS_HAVE_IT: &str = "the others have it";
/// The seat that the model is about, and the member whose seat it is.
const SEAT: usize = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Statement {
    Held,
    Free,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    is_up: bool,
    /// Membership makes it take the seat's gateway for present.
    takes_for_present: bool,
    /// Its last statement, and ticks since, up to `OPPOSITE_WAIT_TICKS`.
    last: Option<Dated<Statement>>,
    /// Ticks since its start, up to `OPPOSITE_WAIT_TICKS`.
    age: u8,
    known: Known<Statement>,
}

impl Member {
    fn new(members: usize, is_up: bool) -> Member {
        Member { is_up, takes_for_present: true, last: None, age: 0, known: vec![None; members] }
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
    /// Membership changes what it makes a member believe.
    ToggleBelief(usize),
    Reply {
        to: usize,
        from: usize,
    },
    Deliver,
    Lose,
    Die(usize),
    Start(usize),
}

/// One seat of a cluster.
struct SeatLeaseModel {
    members: usize,
    /// The wait before the opposite statement, and after a start.
    wait: u8,
    /// How many members have to state the same for it to hold.
    majority: usize,
}

impl SeatLeaseModel {
    fn has_majority(&self, member: &Member, statement: Statement) -> bool {
        let same = member.known.iter().flatten().filter(|dated| dated.value == statement);
        member.is_up && same.count() >= self.majority
    }

    fn own_gateway_has_it(&self, state: &SeatState) -> bool {
        self.has_majority(&state.members[SEAT], Statement::Held)
    }

    fn others_have_it(&self, state: &SeatState) -> bool {
        state.members.iter().skip(1).any(|member| self.has_majority(member, Statement::Free))
    }

    /// The member brings its statement to what it believes, as far as it may.
    fn update_statement(&self, member: &mut Member, own: usize) {
        if !member.is_up || member.age < self.wait {
            return;
        }
        let is_present = member.takes_for_present || own == SEAT;
        let wanted = if is_present { Statement::Held } else { Statement::Free };
        if member.last.is_none_or(|last| last.value == wanted || last.age >= self.wait) {
            member.last = Some(Dated::new(wanted));
            member.known[own] = member.last;
        } else {
            member.known[own] = None;
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

/// A reply arrives; at a member that is not up it is lost.
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
            actions.push(SeatAction::Die(i));
            if i != SEAT {
                actions.push(SeatAction::ToggleBelief(i));
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
            SeatAction::ToggleBelief(i) => {
                let member = &mut next.members[i];
                member.takes_for_present = !member.takes_for_present;
                self.update_statement(member, i);
            }
            // The request and the making of the reply fall together: what counts is that no statement seems younger
            // than it is.
            SeatAction::Reply { to, from } => {
                next.reply = Some(Reply { to, known: state.members[from].known.clone() });
            }
            SeatAction::Deliver => deliver(next.reply.take()?, &mut next.members),
            SeatAction::Lose => next.reply = None,
            SeatAction::Die(i) => next.members[i] = Member::new(self.members, false),
            SeatAction::Start(i) => next.members[i].is_up = true,
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_USER, |model: &SeatLeaseModel, state: &SeatState| {
                !(model.own_gateway_has_it(state) && model.others_have_it(state))
            }),
            Property::sometimes(OWN_GATEWAY_HAS_IT, SeatLeaseModel::own_gateway_has_it),
            Property::sometimes(OTHERS_HAVE_IT, SeatLeaseModel::others_have_it),
        ]
    }
}

/// What a check of all states found.
struct Verdict {
    states: usize,
    is_violated: bool,
    both_can_have_it: bool,
}

fn check(model: SeatLeaseModel) -> Verdict {
    let checker = model.checker().threads(4).spawn_bfs().join();
    Verdict {
        states: checker.unique_state_count(),
        is_violated: checker.discovery(ONE_USER).is_some(),
        both_can_have_it: checker.discovery(OWN_GATEWAY_HAS_IT).is_some()
            && checker.discovery(OTHERS_HAVE_IT).is_some(),
    }
}

#[test]
fn a_seat_has_one_user_whatever_happens_and_each_can_have_it() {
    let verdict = check(SeatLeaseModel { members: 3, wait: OPPOSITE_WAIT_TICKS, majority: 2 });
    println!("{} states", verdict.states);
    assert!(!verdict.is_violated, "two users at once");
    assert!(verdict.both_can_have_it && verdict.states > 10_000, "{} states", verdict.states);
}

#[test]
fn without_the_wait_or_the_majority_a_seat_has_two_users() {
    let without_wait = check(SeatLeaseModel { members: 3, wait: VALIDITY_TICKS, majority: 2 });
    assert!(without_wait.is_violated, "statements that are out of date by then still count");
    let without_majority = check(SeatLeaseModel { members: 3, wait: OPPOSITE_WAIT_TICKS, majority: 1 });
    assert!(without_majority.is_violated, "one statement is no majority");
}
