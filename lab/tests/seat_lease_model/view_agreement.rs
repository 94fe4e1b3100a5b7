//! Invariant 8: two different agreed views never have the same number.

use crate::dated::{age_all, Dated, Known, Reply};
use crate::OPPOSITE_WAIT_TICKS;
use stateright::{Checker, Model, Property};

const UNIQUE_NUMBERS: &str = "no two agreed views with the same number";
const ALL_AGREE: &str = "all members agree on the second content";
const MEMBERS: usize = 3;
const MAJORITY: usize = 2;

/// A numbered view. Two different contents suffice for the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct View {
    number: u8,
    content: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    is_up: bool,
    /// Ticks since the member's start, up to the wait.
    age: u8,
    /// Stated view, once the member makes statements.
    stated: Option<View>,
    known: Known<View>,
}

impl Member {
    fn new(is_up: bool) -> Member {
        Member { is_up, age: 0, stated: None, known: vec![None; MEMBERS] }
    }

    /// Returns the view that the member considers agreed.
    fn agreed(&self) -> Option<View> {
        let stated = self.stated.filter(|_| self.is_up)?;
        let same = self.known.iter().flatten().filter(|known| known.value == stated);
        (same.count() >= MAJORITY).then_some(stated)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ViewState {
    members: Vec<Member>,
    reply: Option<Reply<View>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ViewAction {
    Tick,
    /// Changes the content of a member's view.
    Change(usize),
    Reply {
        to: usize,
        from: usize,
    },
    Deliver,
    Lose,
    Kill(usize),
    Start(usize),
}

/// Model of three members that number their views.
struct ViewModel {
    wait: u8,
    /// Highest view number, which keeps the number of states finite.
    highest_number: u8,
    /// Whether a changed view takes a new number; `false` models a defect.
    renumbers: bool,
}

impl ViewModel {
    /// Makes a member state its view, with the highest number known for that content.
    fn update_statement(&self, member: &mut Member, own_index: usize) {
        if !member.is_up || member.age < self.wait {
            return;
        }
        let mut view = member.stated.unwrap_or(View { number: 1, content: false });
        let known = member.known.iter().flatten().map(|known| known.value);
        let same = known.filter(|known| known.content == view.content).map(|known| known.number);
        view.number = same.max().unwrap_or(0).max(view.number);
        member.stated = Some(view);
        member.known[own_index] = Some(Dated::new(view));
    }

    fn tick(&self, state: &mut ViewState) {
        for (i, member) in state.members.iter_mut().enumerate() {
            member.age = (member.age + 1).min(self.wait);
            age_all(&mut member.known);
            self.update_statement(member, i);
        }
        if let Some(reply) = state.reply.as_mut() {
            age_all(&mut reply.known);
        }
    }

    /// Changes the content of a member's view. Returns `None` if its number would exceed the model's limit.
    fn change(&self, member: &mut Member, own_index: usize) -> Option<()> {
        let View { number, content } = member.stated?;
        let highest_known = member.known.iter().flatten().map(|known| known.value.number).max().unwrap_or(0);
        let number = if self.renumbers { number.max(highest_known) + 1 } else { number };
        if number > self.highest_number {
            return None;
        }
        let view = View { number, content: !content };
        member.stated = Some(view);
        member.known[own_index] = Some(Dated::new(view));
        Some(())
    }
}

/// Delivers a reply; a member that isn't up loses it.
fn deliver(reply: Reply<View>, members: &mut [Member]) {
    let member = &mut members[reply.to];
    if member.is_up {
        reply.merge_into(&mut member.known);
    }
}

impl Model for ViewModel {
    type State = ViewState;
    type Action = ViewAction;

    fn init_states(&self) -> Vec<ViewState> {
        vec![ViewState { members: vec![Member::new(true); MEMBERS], reply: None }]
    }

    fn actions(&self, state: &ViewState, actions: &mut Vec<ViewAction>) {
        actions.push(ViewAction::Tick);
        for (i, member) in state.members.iter().enumerate() {
            if !member.is_up {
                actions.push(ViewAction::Start(i));
                continue;
            }
            actions.push(ViewAction::Kill(i));
            if member.stated.is_some() {
                actions.push(ViewAction::Change(i));
            }
            if state.reply.is_none() {
                let others = (0..MEMBERS).filter(|j| *j != i && state.members[*j].is_up);
                actions.extend(others.map(|from| ViewAction::Reply { to: i, from }));
            }
        }
        if state.reply.is_some() {
            actions.extend([ViewAction::Deliver, ViewAction::Lose]);
        }
    }

    fn next_state(&self, state: &ViewState, action: ViewAction) -> Option<ViewState> {
        let mut next = state.clone();
        match action {
            ViewAction::Tick => self.tick(&mut next),
            ViewAction::Change(i) => self.change(&mut next.members[i], i)?,
            ViewAction::Reply { to, from } => {
                next.reply = Some(Reply { to, known: state.members[from].known.clone() });
            }
            ViewAction::Deliver => deliver(next.reply.take()?, &mut next.members),
            ViewAction::Lose => next.reply = None,
            ViewAction::Kill(i) => next.members[i] = Member::new(false),
            ViewAction::Start(i) => next.members[i].is_up = true,
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(UNIQUE_NUMBERS, |_: &ViewModel, state: &ViewState| {
                let agreed: Vec<View> = state.members.iter().filter_map(Member::agreed).collect();
                agreed.iter().all(|a| agreed.iter().all(|b| a.number != b.number || a == b))
            }),
            Property::sometimes(ALL_AGREE, |_: &ViewModel, state: &ViewState| {
                state.members.iter().all(|member| member.agreed().is_some_and(|view| view.content))
            }),
        ]
    }
}

/// Result of checking all states.
struct CheckResult {
    states: usize,
    is_violated: bool,
    all_can_agree: bool,
}

fn check(model: ViewModel) -> CheckResult {
    let checker = model.checker().threads(4).spawn_bfs().join();
    CheckResult {
        states: checker.unique_state_count(),
        is_violated: checker.discovery(UNIQUE_NUMBERS).is_some(),
        all_can_agree: checker.discovery(ALL_AGREE).is_some(),
    }
}

/// If two agreed views had the same number, members could act on different views that they take for the same.
/// The model must also find a violation when a changed view keeps its number.
#[test]
fn two_agreed_views_never_have_the_same_number() {
    let result = check(ViewModel { wait: OPPOSITE_WAIT_TICKS, highest_number: 2, renumbers: true });
    println!("{} states", result.states);
    assert!(!result.is_violated, "two agreed views have the same number");
    assert!(result.all_can_agree && result.states > 10_000, "{} states", result.states);
    let without_new_number =
        check(ViewModel { wait: OPPOSITE_WAIT_TICKS, highest_number: 2, renumbers: false });
    assert!(without_new_number.is_violated, "a change without a new number");
}
