//! The ledger's own replicas and clients, checked exhaustively: every order of messages, late, doubled and lost
//! ones, replicas that die and forget, leases that run out.
//!
//! Time goes by in steps for all alike; what takes rates of clocks and whole lives is in `ledger_plans/`.

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

/// A message under way: to a replica, or from one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum InFlight {
    ToReplica(usize, LedgerMessage),
    FromReplica(usize, LedgerMessage),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    replicas: Vec<Replica>,
    claims: Vec<Option<LedgerClient>>,
    net: BTreeSet<InFlight>,
    claims_made: u8,
    contact_alls: u8,
    deaths: u8,
    /// Messages that were doubled or came late so far.
    reordered: u8,
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
    Tick(Option<InFlight>),
    Claim(usize),
    Write(usize),
    ContactAll(usize),
    Release(usize),
    /// It comes, and its answer; with `true` it comes once more.
    Deliver(InFlight, Answer, bool),
    Forget(usize),
}

struct Ledger {
    clients: usize,
    claims_made: u8,
    /// So many clients ask all replicas at once.
    contacting_all: usize,
    /// So often in all a client finds its first replicas slow and asks the others.
    contact_alls: u8,
    deaths: u8,
    reordered: u8,
    ticks: u64,
    releases: bool,
    /// A deliberate mistake, to see that the properties can fail.
    broken: Option<Broken>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Broken {
    /// A replica that forgot votes at once.
    VotesAtOnce,
    /// A client acts until its work ends, whatever its lease.
    NoLease,
}

impl Ledger {
    /// The replicas' clocks began long ago, so that all have a vote.
    fn start(&self) -> u64 {
        SETTINGS.vote_delay().0 + 1
    }
    fn may_act(&self, claim: &LedgerClient, now: u64) -> bool {
        match self.broken {
            Some(Broken::NoLease) => claim.is_owner() && claim.is_confirmed() && claim.record().owned,
            _ => claim.has_lease(Micros(now)),
        }
    }
    fn send(state: &mut State, sends: Vec<AddressedMessage>) {
        state.net.extend(
            sends
                .into_iter()
                .map(|addressed| InFlight::ToReplica(usize::from(addressed.to), addressed.message)),
        );
    }
    /// A reply of a replica reaches the clients.
    fn deliver_reply(state: &mut State, replica: usize, message: &LedgerMessage) {
        let mut sends = Vec::new();
        for claim in state.claims.iter_mut().flatten() {
            claim.on_message(Micros(state.now), replica as u16, message.clone(), &mut sends);
            if claim.is_owner() && claim.is_confirmed() && claim.record().owned {
                let server = claim.record().attempts.last().map_or(0, |attempt| attempt.endpoint);
                state.confirmed.insert((claim.ballot(), server, claim.record().fence));
            }
        }
        Ledger::send(state, sends);
    }
}

impl State {
    /// A message arrives; if not `again`, it is gone then.
    fn deliver(&mut self, message: InFlight, reply: Answer, again: bool) {
        let now = Micros(self.now);
        self.reordered += u8::from(again || reply == Answer::Later);
        if !again {
            self.net.remove(&message);
        }
        match message {
            InFlight::ToReplica(seat, message) => {
                let answer = self.replicas[seat].on_message(now, message);
                match (answer, reply) {
                    (Some(answer), Answer::Comes) => Ledger::deliver_reply(self, seat, &answer),
                    (Some(answer), Answer::Later) => {
                        self.net.insert(InFlight::FromReplica(seat, answer));
                    }
                    _ => {}
                }
            }
            InFlight::FromReplica(seat, message) => Ledger::deliver_reply(self, seat, &message),
        }
    }
}

impl Model for Ledger {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: self.start(),
            replicas: vec![Replica::new(SETTINGS, Micros(0)); REPLICAS],
            claims: vec![None; self.clients],
            net: BTreeSet::new(),
            claims_made: 0,
            contact_alls: 0,
            deaths: 0,
            reordered: 0,
            confirmed: BTreeSet::new(),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        let reordered = state.reordered < self.reordered;
        if state.now < self.start() + self.ticks * STEP {
            actions.push(Step::Tick(None));
            actions.extend(
                state.net.iter().filter(|_| reordered).map(|message| Step::Tick(Some(message.clone()))),
            );
        }
        for (i, claim) in state.claims.iter().enumerate() {
            let turn = i == 0 || state.claims[i - 1].is_some();
            if state.claims_made < self.claims_made && claim.is_none() && turn {
                actions.push(Step::Claim(i));
            }
            if claim.as_ref().is_some_and(|c| !c.is_owner() && !c.is_finished()) {
                actions.push(Step::Write(i));
            }
            if state.contact_alls < self.contact_alls && claim.as_ref().is_some_and(LedgerClient::is_waiting)
            {
                actions.push(Step::ContactAll(i));
            }
            if self.releases
                && claim.as_ref().is_some_and(|c| c.is_owner() && c.is_confirmed() && c.record().owned)
            {
                actions.push(Step::Release(i));
            }
        }
        for message in &state.net {
            actions.push(Step::Deliver(message.clone(), Answer::Comes, false));
            actions.push(Step::Deliver(message.clone(), Answer::Lost, false));
            if reordered {
                actions.push(Step::Deliver(message.clone(), Answer::Comes, true));
                actions.push(Step::Deliver(message.clone(), Answer::Later, false));
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
                next.reordered += u8::from(late.is_some());
                next.net = late.into_iter().collect();
            }
            Step::Claim(i) => {
                next.claims_made += 1;
                let ballot = Ballot { number: 1, process: i as u64 + 1, claim: u64::from(next.claims_made) };
                // Each asks those nearest to it first.
                let replicas = (0..REPLICAS).map(|h| ((h + i) % REPLICAS) as u16).collect();
                let mut claim = LedgerClient::begin(ID, 5, ballot, replicas, SETTINGS, now, &mut sends);
                if i < self.contacting_all {
                    claim.contact_all(&mut sends);
                }
                next.claims[i] = Some(claim);
            }
            Step::Write(i) => {
                next.claims[i].as_mut()?.write(now, RecordChange::AddAttempt(i as u64), &mut sends)?;
            }
            Step::ContactAll(i) => {
                next.contact_alls += 1;
                next.claims[i].as_mut()?.contact_all(&mut sends);
            }
            Step::Release(i) => {
                next.claims[i].as_mut()?.write(now, RecordChange::Release, &mut sends)?;
            }
            Step::Deliver(message, reply, again) => next.deliver(message, reply, again),
            Step::Forget(h) => {
                next.deaths += 1;
                let since = if self.broken == Some(Broken::VotesAtOnce) { Micros(0) } else { now };
                next.replicas[h] = Replica::new(SETTINGS, since);
            }
        }
        Ledger::send(&mut next, sends);
        // What a replica counts of its rejections tells no states apart.
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

/// What CI looks at. `LEDGER_MODEL=deaths,reordered,releases,contact_alls` looks at more, for an hour and with much memory.
const MODEL: Ledger = Ledger {
    clients: 2,
    claims_made: 2,
    contacting_all: 1,
    contact_alls: 0,
    deaths: 0,
    reordered: 0,
    ticks: 2,
    releases: false,
    broken: None,
};

fn fails(found: &[&str]) -> bool {
    found.iter().any(|name| name.starts_with("never") || name.starts_with("a confirmed"))
}

#[test]
fn two_clients_and_three_replicas_never_make_two_owners() {
    let more = std::env::var("LEDGER_MODEL").unwrap_or_default();
    let number = |place: usize| more.split(',').nth(place).and_then(|n| n.parse().ok()).unwrap_or(0u8);
    let (deaths, reordered, releases) = (number(0), number(1), number(2) > 0);
    let contact_alls = number(3);
    let (states, found) = explored(Ledger { deaths, reordered, releases, contact_alls, ..MODEL });
    println!("{states} states, {found:?}");
    assert!(states > 100_000, "{states} states");
    assert!(found.contains(&"a record is taken over") && found.contains(&"an owner acts"), "{found:?}");
    assert!(!fails(&found), "{found:?}");
}

#[test]
fn properties_fail_for_replica_that_votes_at_once_and_for_owner_without_lease() {
    for (broken, deaths) in [(Broken::VotesAtOnce, 1), (Broken::NoLease, 0)] {
        let (_, found) = explored(Ledger { deaths, broken: Some(broken), ..MODEL });
        assert!(fails(&found), "{found:?}");
    }
}
