//! The ledger's own holders and claimants, checked exhaustively: every order of messages, late, doubled and lost
//! ones, holders that die and forget, leases that run out.
//!
//! Time goes by in steps for all alike; what takes rates of clocks and whole lives is in `ledger_plans.rs`.

use quota_gateway::cluster::ledger::{
    AddressedMessage, Ballot, LedgerClient, LedgerMessage, LedgerSettings, RecordChange, RecordId, Replica,
};
use quota_gateway::cluster::Micros;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

const ID: RecordId = RecordId { customer: 7, key: 9 };
const REPLICAS: usize = 3;
/// Longer than a round may take; a lease is over after two.
const STEP: u64 = 120_000;
const SETTINGS: LedgerSettings =
    LedgerSettings { replicas: REPLICAS, lease: Micros(200_000), record_lifetime: Micros(60_000_000) };

/// A message under way: to a holder, or from one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Post {
    To(usize, LedgerMessage),
    From(usize, LedgerMessage),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    replicas: Vec<Replica>,
    claims: Vec<Option<LedgerClient>>,
    net: BTreeSet<Post>,
    asks: u8,
    hurries: u8,
    deaths: u8,
    /// Messages that were doubled or came late so far.
    odd: u8,
    /// Writes that were confirmed: ballot, server, fence.
    confirmed: BTreeSet<(Ballot, u64, u32)>,
}

/// What becomes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Answer {
    Comes,
    Lost,
    Later,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// Time goes by. What is under way is lost, but for one that comes late.
    Tick(Option<Post>),
    Ask(usize),
    Send(usize),
    Hurry(usize),
    Free(usize),
    /// It comes, and its answer; with `true` it comes once more.
    Deliver(Post, Answer, bool),
    Forget(usize),
}

struct Ledger {
    claimants: usize,
    asks: u8,
    /// So many claimants ask all holders at once.
    hasty: usize,
    /// So often in all a claimant finds its first holders slow and asks the others.
    hurries: u8,
    deaths: u8,
    odd: u8,
    ticks: u64,
    frees: bool,
    /// A deliberate mistake, to see that the properties can fail.
    broken: Option<Broken>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Broken {
    /// A holder that forgot votes at once.
    VotesAtOnce,
    /// A claimant acts until its work ends, whatever its lease.
    NoLease,
}

impl Ledger {
    /// The holders' clocks began long ago, so that all have a vote.
    fn start(&self) -> u64 {
        SETTINGS.vote_delay().0 + 1
    }
    fn may_act(&self, claim: &LedgerClient, now: u64) -> bool {
        match self.broken {
            Some(Broken::NoLease) => claim.is_owner() && claim.is_confirmed() && claim.record().owned,
            _ => claim.has_lease(Micros(now)),
        }
    }
    fn post(state: &mut State, sends: Vec<AddressedMessage>) {
        state.net.extend(
            sends.into_iter().map(|addressed| Post::To(usize::from(addressed.to), addressed.message)),
        );
    }
    /// A holder's word comes to the claimants.
    fn tell(state: &mut State, holder: usize, message: &LedgerMessage) {
        let mut sends = Vec::new();
        for claim in state.claims.iter_mut().flatten() {
            claim.on_message(Micros(state.now), holder as u16, message.clone(), &mut sends);
            if claim.is_owner() && claim.is_confirmed() && claim.record().owned {
                let server = claim.record().attempts.last().map_or(0, |attempt| attempt.endpoint);
                state.confirmed.insert((claim.ballot(), server, claim.record().fence));
            }
        }
        Ledger::post(state, sends);
    }
}

impl Model for Ledger {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: self.start(),
            replicas: vec![Replica::new(SETTINGS, Micros(0)); REPLICAS],
            claims: vec![None; self.claimants],
            net: BTreeSet::new(),
            asks: 0,
            hurries: 0,
            deaths: 0,
            odd: 0,
            confirmed: BTreeSet::new(),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        let odd = state.odd < self.odd;
        if state.now < self.start() + self.ticks * STEP {
            actions.push(Step::Tick(None));
            actions.extend(state.net.iter().filter(|_| odd).map(|post| Step::Tick(Some(post.clone()))));
        }
        for (i, claim) in state.claims.iter().enumerate() {
            let turn = i == 0 || state.claims[i - 1].is_some();
            if state.asks < self.asks && claim.is_none() && turn {
                actions.push(Step::Ask(i));
            }
            if claim.as_ref().is_some_and(|c| !c.is_owner() && !c.is_finished()) {
                actions.push(Step::Send(i));
            }
            if state.hurries < self.hurries && claim.as_ref().is_some_and(LedgerClient::is_waiting) {
                actions.push(Step::Hurry(i));
            }
            if self.frees
                && claim.as_ref().is_some_and(|c| c.is_owner() && c.is_confirmed() && c.record().owned)
            {
                actions.push(Step::Free(i));
            }
        }
        for post in &state.net {
            actions.push(Step::Deliver(post.clone(), Answer::Comes, false));
            actions.push(Step::Deliver(post.clone(), Answer::Lost, false));
            if odd {
                actions.push(Step::Deliver(post.clone(), Answer::Comes, true));
                actions.push(Step::Deliver(post.clone(), Answer::Later, false));
            }
        }
        if state.deaths < self.deaths {
            actions.extend((0..REPLICAS).map(Step::Forget));
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        let now = Micros(state.now);
        let mut sends = Vec::new();
        match step {
            Step::Tick(late) => {
                next.now += STEP;
                next.odd += u8::from(late.is_some());
                next.net = late.into_iter().collect();
            }
            Step::Ask(i) => {
                next.asks += 1;
                let ballot = Ballot { number: 1, process: i as u64 + 1, claim: u64::from(next.asks) };
                // Each asks those nearest to it first.
                let replicas = (0..REPLICAS).map(|h| ((h + i) % REPLICAS) as u16).collect();
                let mut claim = LedgerClient::begin(ID, 5, ballot, replicas, SETTINGS, now, &mut sends);
                if i < self.hasty {
                    claim.contact_all(&mut sends);
                }
                next.claims[i] = Some(claim);
            }
            Step::Send(i) => {
                next.claims[i].as_mut()?.write(now, RecordChange::AddAttempt(i as u64), &mut sends)?;
            }
            Step::Hurry(i) => {
                next.hurries += 1;
                next.claims[i].as_mut()?.contact_all(&mut sends);
            }
            Step::Free(i) => {
                next.claims[i].as_mut()?.write(now, RecordChange::Release, &mut sends)?;
            }
            Step::Deliver(post, fate, again) => {
                next.odd += u8::from(again || fate == Answer::Later);
                if !again {
                    next.net.remove(&post);
                }
                match post {
                    Post::To(h, message) => {
                        let answer = next.replicas[h].on_message(now, message);
                        match (answer, fate) {
                            (Some(answer), Answer::Comes) => Ledger::tell(&mut next, h, &answer),
                            (Some(answer), Answer::Later) => drop(next.net.insert(Post::From(h, answer))),
                            _ => {}
                        }
                    }
                    Post::From(h, message) => Ledger::tell(&mut next, h, &message),
                }
            }
            Step::Forget(h) => {
                next.deaths += 1;
                let since = if self.broken == Some(Broken::VotesAtOnce) { Micros(0) } else { now };
                next.replicas[h] = Replica::new(SETTINGS, since);
            }
        }
        Ledger::post(&mut next, sends);
        // What a holder counts of its refusals tells no states apart.
        next.replicas.iter_mut().for_each(|h| h.rejections = Default::default());
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never two owners that may act at one time", |model: &Ledger, state: &State| {
                let acting = state.claims.iter().flatten().filter(|c| model.may_act(c, state.now));
                acting.count() < 2
            }),
            Property::always(
                "a confirmed write is read by all later owners, under a higher fence",
                |_: &Ledger, state: &State| {
                    let later =
                        |claim: &LedgerClient, ballot: Ballot| claim.is_owner() && claim.ballot() > ballot;
                    state.confirmed.iter().all(|(ballot, server, fence)| {
                        state.claims.iter().flatten().filter(|c| later(c, *ballot)).all(|c| {
                            c.record().fence > *fence
                                && c.record().attempts.iter().any(|attempt| attempt.endpoint == *server)
                        })
                    })
                },
            ),
            Property::sometimes("a record is taken over", |_: &Ledger, state: &State| {
                state.claims.iter().flatten().any(|c| c.is_owner() && c.record().fence > 1)
            }),
            Property::sometimes("an owner acts", |model: &Ledger, state: &State| {
                state.claims.iter().flatten().any(|c| model.may_act(c, state.now))
            }),
        ]
    }
}

fn explored(model: Ledger) -> (usize, Vec<&'static str>) {
    // A mistake that was found is enough: the other states of a broken ledger tell nothing.
    let checker = model.checker().threads(4).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    (checker.unique_state_count(), checker.discoveries().into_keys().collect())
}

/// What CI looks at. `LEDGER_MODEL=deaths,odd,frees,hurries` looks at more, for an hour and with much memory.
const MODEL: Ledger = Ledger {
    claimants: 2,
    asks: 2,
    hasty: 1,
    hurries: 0,
    deaths: 0,
    odd: 0,
    ticks: 2,
    frees: false,
    broken: None,
};

fn fails(found: &[&str]) -> bool {
    found.iter().any(|name| name.starts_with("never") || name.starts_with("a confirmed"))
}

#[test]
fn two_claimants_and_three_holders_never_make_two_owners() {
    let more = std::env::var("LEDGER_MODEL").unwrap_or_default();
    let number = |place: usize| more.split(',').nth(place).and_then(|n| n.parse().ok()).unwrap_or(0u8);
    let (deaths, odd, frees) = (number(0), number(1), number(2) > 0);
    let hurries = number(3);
    let (states, found) = explored(Ledger { deaths, odd, frees, hurries, ..MODEL });
    println!("{states} states, {found:?}");
    assert!(states > 100_000, "{states} states");
    assert!(found.contains(&"a record is taken over") && found.contains(&"an owner acts"), "{found:?}");
    assert!(!fails(&found), "{found:?}");
}

#[test]
fn the_properties_fail_for_a_holder_that_votes_at_once_and_for_an_owner_without_a_lease() {
    for (broken, deaths) in [(Broken::VotesAtOnce, 1), (Broken::NoLease, 0)] {
        let (_, found) = explored(Ledger { deaths, broken: Some(broken), ..MODEL });
        assert!(fails(&found), "{found:?}");
    }
}
