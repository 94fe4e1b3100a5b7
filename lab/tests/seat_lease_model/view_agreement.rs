//! Invariant 8: two agreed views never have one number.

use crate::dated::{age_all, Dated, Known, Reply};
use crate::OPPOSITE_WAIT_TICKS;
use stateright::{Checker, Model, Property};

const ONE_VIEW_BY_NUMBER: &str = "one view by one number";
const ALL_AGREE: &str = "all agree on the second content";
const MEMBERS: usize = 3;
const MAJORITY: usize = 2;

/// A numbered view. Two contents are enough: membership sees one thing or another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct View {
    number: u8,
    content: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    is_up: bool,
    /// Ticks since its start, up to the wait.
    age: u8,
    /// What it states, once it states anything.
    own: Option<View>,
    known: Known<View>,
}

impl Member {
    fn new(is_up: bool) -> Member {
        Member { is_up, age: 0, own: None, known: vec![None; MEMBERS] }
    }

    /// The view that it takes for agreed.
    fn agreed(&self) -> Option<View> {
        let own = self.own.filter(|_| self.is_up)?;
        let same = self.known.iter().flatten().filter(|dated| dated.value == own);
        (same.count() >= MAJORITY).then_some(own)
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
    /// Membership makes it see other things.
    Change(usize),
    Reply {
        to: usize,
        from: usize,
    },
    Deliver,
    Lose,
    Die(usize),
    Start(usize),
}

/// Three members that number their views.
struct ViewModel {
    wait: u8,
    /// Where the numbers end, so that there are finitely many states.
    highest_number: u8,
    /// Whether a change takes a new number, as it must.
    renumbers: bool,
}

impl ViewModel {
    /// The member states its view, by the highest number under which that content is known.
    fn update_statement(&self, member: &mut Member, own: usize) {
        if !member.is_up || member.age < self.wait {
            return;
        }
        let mut view = member.own.unwrap_or(View { number: 1, content: false });
        let known = member.known.iter().flatten().map(|dated| dated.value);
        let same = known.filter(|known| known.content == view.content).map(|known| known.number);
        view.number = same.max().unwrap_or(0).max(view.number);
        member.own = Some(view);
        member.known[own] = Some(Dated::new(view));
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

    /// A member's content changes; none where its number would leave the model.
    fn change(&self, member: &mut Member, own: usize) -> Option<()> {
        let View { number, content } = member.own?;
        let highest_known = member.known.iter().flatten().map(|dated| dated.value.number).max().unwrap_or(0);
        let number = if self.renumbers { number.max(highest_known) + 1 } else { number };
        if number > self.highest_number {
            return None;
        }
        let view = View { number, content: !content };
        member.own = Some(view);
        member.known[own] = Some(Dated::new(view));
        Some(())
    }
}

/// A reply arrives; at a member that is not up it is lost.
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
            actions.push(ViewAction::Die(i));
            if member.own.is_some() {
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
            ViewAction::Die(i) => next.members[i] = Member::new(false),
            ViewAction::Start(i) => next.members[i].is_up = true,
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_VIEW_BY_NUMBER, |_: &ViewModel, state: &ViewState| {
                let agreed: Vec<View> = state.members.iter().filter_map(Member::agreed).collect();
                agreed.iter().all(|a| agreed.iter().all(|b| a.number != b.number || a == b))
            }),
            Property::sometimes(ALL_AGREE, |_: &ViewModel, state: &ViewState| {
                state.members.iter().all(|member| member.agreed().is_some_and(|view| view.content))
            }),
        ]
    }
}

/// What a check of all states found.
struct Verdict {
    states: usize,
    is_violated: bool,
    all_can_agree: bool,
}

fn check(model: ViewModel) -> Verdict {
    let checker = model.checker().threads(4).spawn_bfs().join();
    Verdict {
        states: checker.unique_state_count(),
        is_violated: checker.discovery(ONE_VIEW_BY_NUMBER).is_some(),
        all_can_agree: checker.discovery(ALL_AGREE).is_some(),
    }
}

#[test]
fn two_agreed_views_never_have_one_number() {
    let verdict = check(ViewModel { wait: OPPOSITE_WAIT_TICKS, highest_number: 2, renumbers: true });
    println!("{} states", verdict.states);
    assert!(!verdict.is_violated, "two agreed views by one number");
    assert!(verdict.all_can_agree && verdict.states > 10_000, "{} states", verdict.states);
    let without_new_number =
        check(ViewModel { wait: OPPOSITE_WAIT_TICKS, highest_number: 2, renumbers: false });
    assert!(without_new_number.is_violated, "a change without a new number");
}
