//! The custody of a seat and the agreement on views as small models, checked exhaustively.
//!
//! Time goes by in ticks for all members alike; what membership believes, which messages come, when, and who dies or
//! comes back without a memory is up to the checker, so that cuts, heals, suspicions, refutations, pauses, losses and
//! late messages are all in it. A word counts for `VALID` ticks; a member waits `WAIT` before an opposite one.

use stateright::{Checker, Model, Property};

const VALID: u8 = 1;
const WAIT: u8 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Say {
    Held,
    Free,
}

/// A word of a member on the one seat, and its age in ticks.
type Word = Option<(Say, u8)>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    up: bool,
    /// What membership makes it believe of the seat's gateway.
    present: bool,
    /// Its last word, and ticks since, up to `WAIT`.
    last: Word,
    /// Ticks since its start, up to `WAIT`.
    age: u8,
    /// The words of all that it knows, its own in its own place.
    words: Vec<Word>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    members: Vec<Member>,
    /// An answer under way: to whom, and the words that it holds.
    answer: Option<(usize, Vec<Word>)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Believe(usize),
    Answer(usize, usize),
    Deliver,
    Lose,
    Die(usize),
    Start(usize),
}

/// Seat 0 of a fleet of so many members.
struct Custody {
    members: usize,
    wait: u8,
    needed: usize,
}

fn older(word: Word) -> Word {
    word.and_then(|(say, age)| (age < VALID).then_some((say, age + 1)))
}

impl Custody {
    fn says(&self, member: &Member, say: Say) -> bool {
        member.up && member.words.iter().filter(|w| w.is_some_and(|(s, _)| s == say)).count() >= self.needed
    }
    /// The member brings its word to what it believes, as far as it may.
    fn speak(&self, member: &mut Member, own: usize) {
        if !member.up || member.age < self.wait {
            return;
        }
        let wanted = if member.present || own == 0 { Say::Held } else { Say::Free };
        let may = member.last.is_none_or(|(last, age)| last == wanted || age >= self.wait);
        if may {
            member.last = Some((wanted, 0));
            member.words[own] = Some((wanted, 0));
        } else {
            member.words[own] = None;
        }
    }
}

impl Model for Custody {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let member = Member { up: true, present: true, last: None, age: 0, words: vec![None; self.members] };
        vec![State { members: vec![member; self.members], answer: None }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        actions.push(Step::Tick);
        for (i, member) in state.members.iter().enumerate() {
            if !member.up {
                actions.push(Step::Start(i));
                continue;
            }
            actions.push(Step::Die(i));
            if i != 0 {
                actions.push(Step::Believe(i));
            }
            if state.answer.is_none() {
                let others = (0..self.members).filter(|j| *j != i && state.members[*j].up);
                actions.extend(others.map(|j| Step::Answer(i, j)));
            }
        }
        if state.answer.is_some() {
            actions.extend([Step::Deliver, Step::Lose]);
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::Tick => {
                for (i, member) in next.members.iter_mut().enumerate() {
                    member.age = (member.age + 1).min(self.wait);
                    member.last = member.last.map(|(say, age)| (say, (age + 1).min(self.wait)));
                    member.words.iter_mut().for_each(|word| *word = older(*word));
                    self.speak(member, i);
                }
                next.answer = next.answer.map(|(to, words)| (to, words.into_iter().map(older).collect()));
            }
            Step::Believe(i) => {
                next.members[i].present = !next.members[i].present;
                let mut member = next.members[i].clone();
                self.speak(&mut member, i);
                next.members[i] = member;
            }
            // The question and the answer's making fall together: what counts is that no word in it seems younger.
            Step::Answer(to, from) => next.answer = Some((to, state.members[from].words.clone())),
            Step::Deliver => {
                let (to, words) = next.answer.take()?;
                let member = &mut next.members[to];
                for (seat, word) in words.into_iter().enumerate().filter(|(seat, _)| *seat != to) {
                    let younger = |held: (Say, u8)| word.is_some_and(|(_, age)| age < held.1);
                    if member.up && member.words[seat].is_none_or(younger) {
                        member.words[seat] = word;
                    }
                }
            }
            Step::Lose => next.answer = None,
            Step::Die(i) => {
                let dead =
                    Member { up: false, present: true, last: None, age: 0, words: vec![None; self.members] };
                next.members[i] = dead;
            }
            Step::Start(i) => next.members[i].up = true,
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "a seat is never both its own gateway's and the others'",
                |model: &Custody, state: &State| {
                    let held = model.says(&state.members[0], Say::Held);
                    !(held && state.members.iter().skip(1).any(|m| model.says(m, Say::Free)))
                },
            ),
            Property::sometimes("its own gateway has it", |model: &Custody, state: &State| {
                model.says(&state.members[0], Say::Held)
            }),
            Property::sometimes("the others have it", |model: &Custody, state: &State| {
                state.members.iter().skip(1).any(|m| model.says(m, Say::Free))
            }),
        ]
    }
}

fn check(model: Custody) -> (usize, bool, bool) {
    let checker = model.checker().threads(4).spawn_bfs().join();
    let broken = checker.discovery("a seat is never both its own gateway's and the others'").is_some();
    let both = checker.discovery("its own gateway has it").is_some()
        && checker.discovery("the others have it").is_some();
    (checker.unique_state_count(), broken, both)
}

#[test]
fn a_seat_has_one_user_whatever_happens_and_each_can_have_it() {
    let (states, broken, both) = check(Custody { members: 3, wait: WAIT, needed: 2 });
    println!("{states} states");
    assert!(!broken && both && states > 10_000, "{states} states, broken {broken}, both {both}");
}

#[test]
fn without_the_wait_or_the_majority_a_seat_has_two() {
    assert!(
        check(Custody { members: 3, wait: VALID, needed: 2 }).1,
        "words that are out of date by then still count"
    );
    assert!(check(Custody { members: 3, wait: WAIT, needed: 1 }).1, "one word is no majority");
}

/// A view: its number, and which of two contents.
type View = (u8, bool);

/// Views as they were said, and how long ago.
type Words = Vec<Option<(View, u8)>>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Holder {
    up: bool,
    age: u8,
    /// What it says, once it says anything.
    own: Option<View>,
    /// Words of all, with their ages, its own in its own place.
    words: Words,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Views {
    members: Vec<Holder>,
    answer: Option<(usize, Words)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Turn {
    Tick,
    /// Membership makes it see other things.
    Change(usize),
    Answer(usize, usize),
    Deliver,
    Lose,
    Die(usize),
    Start(usize),
}

/// Three members that number their views.
struct Agreement {
    wait: u8,
    highest: u8,
    /// Whether a change takes a new number, as it must.
    renumbers: bool,
}

impl Agreement {
    fn speak(&self, member: &mut Holder, own: usize) {
        if !member.up || member.age < self.wait {
            return;
        }
        let seen = member.words.iter().flatten().map(|(view, _)| *view);
        let (mut number, content) = member.own.unwrap_or((1, false));
        number = seen.filter(|v| v.1 == content).map(|v| v.0).max().unwrap_or(0).max(number);
        member.own = Some((number, content));
        member.words[own] = Some(((number, content), 0));
    }
    fn agreed(member: &Holder) -> Option<View> {
        let own = member.own.filter(|_| member.up)?;
        (member.words.iter().filter(|w| w.is_some_and(|(view, _)| view == own)).count() >= 2).then_some(own)
    }
}

impl Model for Agreement {
    type State = Views;
    type Action = Turn;

    fn init_states(&self) -> Vec<Views> {
        let member = Holder { up: true, age: 0, own: None, words: vec![None; 3] };
        vec![Views { members: vec![member; 3], answer: None }]
    }

    fn actions(&self, state: &Views, actions: &mut Vec<Turn>) {
        actions.push(Turn::Tick);
        for (i, member) in state.members.iter().enumerate() {
            if !member.up {
                actions.push(Turn::Start(i));
                continue;
            }
            actions.push(Turn::Die(i));
            if member.own.is_some() {
                actions.push(Turn::Change(i));
            }
            if state.answer.is_none() {
                let others = (0..3).filter(|j| *j != i && state.members[*j].up);
                actions.extend(others.map(|j| Turn::Answer(i, j)));
            }
        }
        if state.answer.is_some() {
            actions.extend([Turn::Deliver, Turn::Lose]);
        }
    }

    fn next_state(&self, state: &Views, turn: Turn) -> Option<Views> {
        let mut next = state.clone();
        let grown =
            |word: Option<(View, u8)>| word.and_then(|(v, age)| (age < VALID).then_some((v, age + 1)));
        match turn {
            Turn::Tick => {
                for (i, member) in next.members.iter_mut().enumerate() {
                    member.age = (member.age + 1).min(self.wait);
                    member.words.iter_mut().for_each(|word| *word = grown(*word));
                    self.speak(member, i);
                }
                next.answer = next.answer.map(|(to, words)| (to, words.into_iter().map(grown).collect()));
            }
            Turn::Change(i) => {
                let member = &mut next.members[i];
                let (number, content) = member.own?;
                let seen = member.words.iter().flatten().map(|(view, _)| view.0).max().unwrap_or(0);
                let number = if self.renumbers { number.max(seen) + 1 } else { number };
                if number > self.highest {
                    return None;
                }
                member.own = Some((number, !content));
                member.words[i] = Some(((number, !content), 0));
            }
            Turn::Answer(to, from) => next.answer = Some((to, state.members[from].words.clone())),
            Turn::Deliver => {
                let (to, words) = next.answer.take()?;
                let member = &mut next.members[to];
                for (seat, word) in words.into_iter().enumerate().filter(|(seat, _)| *seat != to) {
                    let younger = |held: (View, u8)| word.is_some_and(|(_, age)| age < held.1);
                    if member.up && member.words[seat].is_none_or(younger) {
                        member.words[seat] = word;
                    }
                }
            }
            Turn::Lose => next.answer = None,
            Turn::Die(i) => next.members[i] = Holder { up: false, age: 0, own: None, words: vec![None; 3] },
            Turn::Start(i) => next.members[i].up = true,
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one view by one number", |_: &Agreement, state: &Views| {
                let agreed: Vec<View> = state.members.iter().filter_map(Agreement::agreed).collect();
                agreed.iter().all(|a| agreed.iter().all(|b| a.0 != b.0 || a.1 == b.1))
            }),
            Property::sometimes("all agree on the second content", |_: &Agreement, state: &Views| {
                state.members.iter().all(|m| Agreement::agreed(m).is_some_and(|view| view.1))
            }),
        ]
    }
}

#[test]
fn two_agreed_views_never_stand_by_one_number() {
    let check = |model: Agreement| {
        let checker = model.checker().threads(4).spawn_bfs().join();
        let reached = checker.discovery("all agree on the second content").is_some();
        (checker.unique_state_count(), checker.discovery("one view by one number").is_some(), reached)
    };
    let (states, broken, reached) = check(Agreement { wait: WAIT, highest: 2, renumbers: true });
    println!("{states} states");
    assert!(!broken && reached && states > 10_000, "{states} states, broken {broken}, reached {reached}");
    assert!(check(Agreement { wait: WAIT, highest: 2, renumbers: false }).1, "a change without a new number");
}
