//! Exhaustive model check of the ledger's replicas and clients: every order of messages, with delay, duplication
//! and loss, replicas that restart without their state, and leases that expire.
//!
//! All processes share one clock, which advances in steps. Clock drift and records that expire are tested in
//! `ledger_plans/`.

use quota_gateway::cluster::ledger::{
    AddressedMessage, Ballot, LedgerClient, LedgerMessage, LedgerSettings, RecordChange, RecordId, Replica,
};
use quota_gateway::cluster::Micros;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

const ID: RecordId = RecordId { customer: 7, key: 9 };
const REPLICAS: usize = 3;
/// Microseconds per tick: longer than the time limit of one round; a lease expires within two ticks.
const STEP: u64 = 120_000;
const SETTINGS: LedgerSettings =
    LedgerSettings { replicas: REPLICAS, lease: Micros(200_000), record_lifetime: Micros(60_000_000) };

/// A message in transit to or from a replica.
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
    network: BTreeSet<InFlight>,
    claims_made: u8,
    contact_alls: u8,
    replica_restarts: u8,
    /// Number of messages duplicated or delayed so far.
    reordered: u8,
    /// Confirmed writes: ballot, endpoint, fence.
    confirmed: BTreeSet<(Ballot, u64, u32)>,
}

/// What happens to the reply of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ReplyFate {
    Delivered,
    Lost,
    Delayed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// Time advances by `STEP`. All messages in transit are lost, except the given one, which is delayed.
    Tick(Option<InFlight>),
    Claim(usize),
    Write(usize),
    ContactAll(usize),
    Release(usize),
    /// Delivers a message; the flag keeps a duplicate of it in transit.
    Deliver(InFlight, ReplyFate, bool),
    RestartReplica(usize),
}

struct LedgerModel {
    clients: usize,
    claims_made: u8,
    /// Number of clients that contact all replicas from the start.
    contacting_all: usize,
    /// Limit on how often clients contact the remaining replicas because the first ones are slow.
    contact_alls: u8,
    replica_restarts: u8,
    reordered: u8,
    ticks: u64,
    releases: bool,
    /// A deliberate defect, which shows that the properties can fail.
    defect: Option<Defect>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Defect {
    /// A replica that lost its state votes without waiting.
    VotesWithoutWait,
    /// An owner acts until it releases the record, even after its lease expired.
    IgnoresLease,
}

impl LedgerModel {
    /// Start time: late enough after the replicas' creation at 0 that all of them have a vote.
    fn start_time(&self) -> u64 {
        SETTINGS.vote_delay().0 + 1
    }
    fn may_act(&self, claim: &LedgerClient, now: u64) -> bool {
        match self.defect {
            Some(Defect::IgnoresLease) => claim.is_owner() && claim.is_confirmed() && claim.record().owned,
            _ => claim.has_lease(Micros(now)),
        }
    }
    fn send(state: &mut State, sends: Vec<AddressedMessage>) {
        state.network.extend(
            sends
                .into_iter()
                .map(|addressed| InFlight::ToReplica(usize::from(addressed.to), addressed.message)),
        );
    }
    /// Delivers the reply of a replica to all clients.
    fn deliver_reply(state: &mut State, replica: usize, message: &LedgerMessage) {
        let mut sends = Vec::new();
        for claim in state.claims.iter_mut().flatten() {
            claim.on_message(Micros(state.now), replica as u16, message.clone(), &mut sends);
            if claim.is_owner() && claim.is_confirmed() && claim.record().owned {
                let endpoint = claim.record().attempts.last().map_or(0, |attempt| attempt.endpoint);
                state.confirmed.insert((claim.ballot(), endpoint, claim.record().fence));
            }
        }
        LedgerModel::send(state, sends);
    }
}

impl State {
    /// Delivers a message and, unless it is duplicated, removes it from the network.
    fn deliver(&mut self, message: InFlight, reply: ReplyFate, duplicated: bool) {
        let now = Micros(self.now);
        self.reordered += u8::from(duplicated || reply == ReplyFate::Delayed);
        if !duplicated {
            self.network.remove(&message);
        }
        match message {
            InFlight::ToReplica(seat, message) => {
                let answer = self.replicas[seat].on_message(now, message);
                match (answer, reply) {
                    (Some(answer), ReplyFate::Delivered) => LedgerModel::deliver_reply(self, seat, &answer),
                    (Some(answer), ReplyFate::Delayed) => {
                        self.network.insert(InFlight::FromReplica(seat, answer));
                    }
                    _ => {}
                }
            }
            InFlight::FromReplica(seat, message) => LedgerModel::deliver_reply(self, seat, &message),
        }
    }
}

impl Model for LedgerModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: self.start_time(),
            replicas: vec![Replica::new(SETTINGS, Micros(0)); REPLICAS],
            claims: vec![None; self.clients],
            network: BTreeSet::new(),
            claims_made: 0,
            contact_alls: 0,
            replica_restarts: 0,
            reordered: 0,
            confirmed: BTreeSet::new(),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        let reordered = state.reordered < self.reordered;
        if state.now < self.start_time() + self.ticks * STEP {
            actions.push(Step::Tick(None));
            actions.extend(
                state.network.iter().filter(|_| reordered).map(|message| Step::Tick(Some(message.clone()))),
            );
        }
        for (i, claim) in state.claims.iter().enumerate() {
            let previous_has_claimed = i == 0 || state.claims[i - 1].is_some();
            if state.claims_made < self.claims_made && claim.is_none() && previous_has_claimed {
                actions.push(Step::Claim(i));
            }
            if claim.as_ref().is_some_and(|claim| !claim.is_owner() && !claim.is_finished()) {
                actions.push(Step::Write(i));
            }
            if state.contact_alls < self.contact_alls && claim.as_ref().is_some_and(LedgerClient::is_waiting)
            {
                actions.push(Step::ContactAll(i));
            }
            if self.releases
                && claim
                    .as_ref()
                    .is_some_and(|claim| claim.is_owner() && claim.is_confirmed() && claim.record().owned)
            {
                actions.push(Step::Release(i));
            }
        }
        for message in &state.network {
            actions.push(Step::Deliver(message.clone(), ReplyFate::Delivered, false));
            actions.push(Step::Deliver(message.clone(), ReplyFate::Lost, false));
            if reordered {
                actions.push(Step::Deliver(message.clone(), ReplyFate::Delivered, true));
                actions.push(Step::Deliver(message.clone(), ReplyFate::Delayed, false));
            }
        }
        if state.replica_restarts < self.replica_restarts {
            actions.extend((0..REPLICAS).map(Step::RestartReplica));
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        let now = Micros(state.now);
        let mut sends = Vec::new();
        match step {
            Step::Tick(delayed) => {
                next.now += STEP;
                next.reordered += u8::from(delayed.is_some());
                next.network = delayed.into_iter().collect();
            }
            Step::Claim(i) => {
                next.claims_made += 1;
                let ballot = Ballot { number: 1, process: i as u64 + 1, claim: u64::from(next.claims_made) };
                // Each client contacts different replicas first.
                let replicas = (0..REPLICAS).map(|replica| ((replica + i) % REPLICAS) as u16).collect();
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
            Step::Deliver(message, reply, duplicated) => next.deliver(message, reply, duplicated),
            Step::RestartReplica(replica) => {
                next.replica_restarts += 1;
                let since = if self.defect == Some(Defect::VotesWithoutWait) { Micros(0) } else { now };
                next.replicas[replica] = Replica::new(SETTINGS, since);
            }
        }
        LedgerModel::send(&mut next, sends);
        // The rejection counters don't influence behaviour; cleared so that they don't multiply the states.
        next.replicas.iter_mut().for_each(|replica| replica.rejections = Default::default());
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "never two owners that may act at the same time",
                |model: &LedgerModel, state: &State| {
                    let acting =
                        state.claims.iter().flatten().filter(|claim| model.may_act(claim, state.now));
                    acting.count() < 2
                },
            ),
            Property::always(
                "a confirmed write is read by all later owners, under a higher fence",
                |_: &LedgerModel, state: &State| {
                    let is_later_owner =
                        |claim: &LedgerClient, ballot: Ballot| claim.is_owner() && claim.ballot() > ballot;
                    state.confirmed.iter().all(|(ballot, endpoint, fence)| {
                        state.claims.iter().flatten().filter(|claim| is_later_owner(claim, *ballot)).all(
                            |claim| {
                                claim.record().fence > *fence
                                    && claim
                                        .record()
                                        .attempts
                                        .iter()
                                        .any(|attempt| attempt.endpoint == *endpoint)
                            },
                        )
                    })
                },
            ),
            Property::sometimes("a record is taken over", |_: &LedgerModel, state: &State| {
                state.claims.iter().flatten().any(|claim| claim.is_owner() && claim.record().fence > 1)
            }),
            Property::sometimes("an owner acts", |model: &LedgerModel, state: &State| {
                state.claims.iter().flatten().any(|claim| model.may_act(claim, state.now))
            }),
        ]
    }
}

fn explore(model: LedgerModel) -> (usize, Vec<&'static str>) {
    // The first failure suffices: the remaining states of a defective model give no further information.
    let checker = model.checker().threads(4).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    (checker.unique_state_count(), checker.discoveries().into_keys().collect())
}

/// The model that CI checks. `LEDGER_MODEL=replica_restarts,reordered,releases,contact_alls` (numbers) checks
/// a larger one, which takes an hour and much memory.
const CI_MODEL: LedgerModel = LedgerModel {
    clients: 2,
    claims_made: 2,
    contacting_all: 1,
    contact_alls: 0,
    replica_restarts: 0,
    reordered: 0,
    ticks: 2,
    releases: false,
    defect: None,
};

fn is_violated(discoveries: &[&str]) -> bool {
    discoveries.iter().any(|name| name.starts_with("never") || name.starts_with("a confirmed"))
}

/// Two gateways that act on one record at the same time send a request twice; an owner that misses a confirmed write
/// repeats what was already done. Messages are lost and leases expire between any two steps.
#[test]
fn two_clients_never_own_a_record_at_the_same_time() {
    let limits = std::env::var("LEDGER_MODEL").unwrap_or_default();
    let number =
        |position: usize| limits.split(',').nth(position).and_then(|n| n.parse().ok()).unwrap_or(0u8);
    let (replica_restarts, reordered, releases) = (number(0), number(1), number(2) > 0);
    let contact_alls = number(3);
    let (states, discoveries) =
        explore(LedgerModel { replica_restarts, reordered, releases, contact_alls, ..CI_MODEL });
    println!("{states} states, {discoveries:?}");
    assert!(states > 100_000, "{states} states");
    assert!(
        discoveries.contains(&"a record is taken over") && discoveries.contains(&"an owner acts"),
        "{discoveries:?}"
    );
    assert!(!is_violated(&discoveries), "{discoveries:?}");
}

/// A model check that cannot fail proves nothing: each of two known defects must violate a safety property.
#[test]
fn properties_fail_for_a_replica_that_votes_without_wait_and_an_owner_that_ignores_its_lease() {
    for (defect, replica_restarts) in [(Defect::VotesWithoutWait, 1), (Defect::IgnoresLease, 0)] {
        let (_, discoveries) = explore(LedgerModel { replica_restarts, defect: Some(defect), ..CI_MODEL });
        assert!(is_violated(&discoveries), "{discoveries:?}");
    }
}
