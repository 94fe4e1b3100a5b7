//! The ledger under virtual time: random plans of deaths, pauses, cuts, loss, doubles, late datagrams and clocks that
//! run at rates of their own, and after each event what must hold always.

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use quota_gateway::cluster::ledger::{
    AbandonedRequest, AddressedMessage, ClaimId, ClaimOutcome, LedgerEffect, LedgerMessage, LedgerNode,
    LedgerSettings, RecordChange, RecordId,
};
use quota_gateway::cluster::Micros;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const SEATS: usize = 5;
const MS: u64 = 1_000;
const SETTINGS: LedgerSettings =
    LedgerSettings { replicas: 3, lease: Micros(300 * MS), record_lifetime: Micros(4_000 * MS) };
/// When all have a vote and the plan begins, and how long it lasts.
const BEGIN: u64 = 9_000 * MS;
const RECORDS: u64 = 3;

#[derive(Debug, Clone)]
enum Fault {
    Kill(usize),
    Start(usize),
    Pause(usize, bool),
    Cut(usize, usize),
    /// Nobody hears it, or it hears nobody, or both.
    Alone(usize, bool, bool),
    Heal,
    /// Loss and doubles in percent, the longest delay in milliseconds.
    Weather(u8, u8, u16),
}

fn fault() -> impl Strategy<Value = Fault> {
    let one = 0..SEATS;
    prop_oneof![
        3 => one.clone().prop_map(Fault::Kill),
        3 => one.clone().prop_map(Fault::Start),
        3 => (one.clone(), any::<bool>()).prop_map(|(i, on)| Fault::Pause(i, on)),
        2 => (one.clone(), one.clone()).prop_map(|(i, j)| Fault::Cut(i, j)),
        5 => (one, any::<bool>(), any::<bool>()).prop_map(|(i, to, from)| Fault::Alone(i, to, from)),
        2 => Just(Fault::Heal),
        2 => (0..40u8, 0..30u8, 0..400u16).prop_map(|(l, d, ms)| Fault::Weather(l, d, ms)),
    ]
}

/// What a client wants: a record at a gateway, after how long its work is sent and done, and whether it ends with an
/// answer.
#[derive(Debug, Clone)]
struct Wish {
    after: u16,
    seat: usize,
    record: u64,
    held_ms: u16,
    work_ms: u16,
    answers: bool,
}

fn wish() -> impl Strategy<Value = Wish> {
    (0..120u16, 0..SEATS, 0..RECORDS, 0..60u16, 0..900u16, any::<bool>()).prop_map(
        |(after, seat, record, held_ms, work_ms, answers)| Wish {
            after,
            seat,
            record,
            held_ms,
            work_ms,
            answers,
        },
    )
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Datagram(usize, usize, LedgerMessage),
    Beat(usize),
    Hurry(usize, u64, ClaimId),
    Send(usize, u64, ClaimId),
    End(usize, u64, ClaimId, bool),
}

struct Node {
    ledger: Option<LedgerNode>,
    /// Which of its processes.
    life: u64,
    paused: bool,
    /// Parts in ten thousand that its clock runs faster, and its offset.
    rate: i64,
    offset: u64,
    waiting: Vec<(usize, LedgerMessage)>,
}

struct Working {
    record: u64,
    opened: u64,
    held_ms: u16,
    work_ms: u16,
    answers: bool,
    /// The number of the write that says that it is about to send.
    sent: Option<u32>,
}

/// What is known of a record from outside.
#[derive(Default)]
struct Known {
    began: u64,
    fence: u32,
    /// When an answer was confirmed.
    answered: Option<u64>,
}

struct World {
    now: u64,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(u64, u64, What)>>,
    serial: u64,
    rng: ChaCha8Rng,
    cut: Vec<(usize, usize)>,
    weather: (u8, u8, u16),
    working: BTreeMap<(usize, u64, ClaimId), Working>,
    known: BTreeMap<u64, Known>,
    /// Owners that were confirmed, such that came after another, answers that were read, and requests of dead owners that
    /// were offered to be finished.
    seen: (u32, u32, u32, u32),
    broken: Option<&'static str>,
    /// Findings of claims by record, the last of each.
    last: BTreeMap<u64, ClaimOutcome>,
}

fn id(record: u64) -> RecordId {
    RecordId { customer: record, key: record * 31 }
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let node = |_| Node {
            ledger: None,
            life: 0,
            paused: false,
            rate: rng.random_range(-200..=200),
            offset: rng.random_range(0..1_000_000_000),
            waiting: Vec::new(),
        };
        let nodes = (0..SEATS).map(node).collect();
        let mut world = World {
            now: 0,
            nodes,
            queue: BinaryHeap::new(),
            serial: 0,
            rng,
            cut: Vec::new(),
            weather: (0, 0, 2),
            working: BTreeMap::new(),
            known: BTreeMap::new(),
            seen: (0, 0, 0, 0),
            broken: None,
            last: BTreeMap::new(),
        };
        (0..SEATS).for_each(|seat| world.start(seat));
        world.run_until(BEGIN);
        world
    }
    fn local(&self, seat: usize) -> Micros {
        let node = &self.nodes[seat];
        Micros(node.offset + (self.now as i64 + self.now as i64 * node.rate / 10_000) as u64)
    }
    fn push(&mut self, at: u64, what: What) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial, what)));
    }
    fn start(&mut self, seat: usize) {
        if self.nodes[seat].ledger.is_some() {
            return;
        }
        let (now, life) = (self.local(seat), self.rng.random());
        self.nodes[seat].life += 1;
        self.nodes[seat].paused = false;
        self.nodes[seat].ledger = Some(LedgerNode::new(SETTINGS, seat as u16, SEATS, 1, life, now));
        self.push(self.now, What::Beat(seat));
    }
    fn strike(&mut self, fault: &Fault) {
        match *fault {
            Fault::Kill(seat) => {
                self.nodes[seat].ledger = None;
                self.nodes[seat].waiting.clear();
                self.working.retain(|(node, ..), _| *node != seat);
            }
            Fault::Start(seat) => self.start(seat),
            Fault::Pause(seat, on) => self.pause(seat, on),
            Fault::Cut(a, b) if a != b => self.cut.push((a, b)),
            Fault::Cut(..) => {}
            Fault::Alone(seat, to, from) => {
                let others = (0..SEATS).filter(|other| *other != seat);
                let ways = others.flat_map(|other| [(to, (seat, other)), (from, (other, seat))]);
                self.cut.extend(ways.filter(|(cut, _)| *cut).map(|(_, way)| way));
            }
            Fault::Heal => self.cut.clear(),
            Fault::Weather(loss, doubled, delay) => self.weather = (loss, doubled, delay),
        }
    }
    fn pause(&mut self, seat: usize, on: bool) {
        self.nodes[seat].paused = on;
        if !on {
            // What came in meanwhile is read at once, in the order in which it came.
            for (from, message) in std::mem::take(&mut self.nodes[seat].waiting) {
                self.hear(seat, from, message);
            }
        }
    }
    fn act<T>(
        &mut self,
        seat: usize,
        act: impl FnOnce(&mut LedgerNode, Micros, &mut Vec<LedgerEffect>) -> T,
    ) -> Option<T> {
        let (now, mut out) = (self.local(seat), Vec::new());
        let done = act(self.nodes[seat].ledger.as_mut()?, now, &mut out);
        for one in out {
            match one {
                LedgerEffect::Send(AddressedMessage { to, message }) => {
                    self.post(seat, usize::from(to), message)
                }
                LedgerEffect::ClaimResolved { claim, outcome } => self.found(seat, claim, outcome),
                LedgerEffect::RequestAbandoned(request) => self.finish(seat, request),
            }
        }
        Some(done)
    }
    fn post(&mut self, from: usize, to: usize, message: LedgerMessage) {
        let (loss, doubled, delay) = self.weather;
        if self.cut.contains(&(from, to)) {
            return;
        }
        let copies = if self.rng.random_range(0..100) < doubled { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_range(0..100) >= loss {
                let at = self.now + 200 + self.rng.random_range(0..=u64::from(delay) * MS);
                self.push(at, What::Datagram(from, to, message.clone()));
            }
        }
    }
    fn hear(&mut self, seat: usize, from: usize, message: LedgerMessage) {
        self.act(seat, |ledger, now, out| ledger.on_message(now, from as u16, message, out));
    }

    fn wish(&mut self, wish: &Wish) {
        let seat = wish.seat;
        if self.nodes[seat].paused || self.nodes[seat].ledger.is_none() {
            return;
        }
        let mut out = Vec::new();
        let now = self.local(seat);
        let Some(ledger) = self.nodes[seat].ledger.as_mut() else { return };
        let Some(claim) = ledger.open(now, id(wish.record), 5, |_| true, &mut out) else { return };
        ledger.attach_request(claim, wish.record.to_le_bytes().to_vec());
        let work = Working {
            record: wish.record,
            opened: self.now,
            held_ms: wish.held_ms,
            work_ms: wish.work_ms,
            answers: wish.answers,
            sent: None,
        };
        let life = self.nodes[seat].life;
        self.working.insert((seat, life, claim), work);
        self.push(self.now + 20 * MS, What::Hurry(seat, life, claim));
        for one in out {
            match one {
                LedgerEffect::Send(AddressedMessage { to, message }) => {
                    self.post(seat, usize::from(to), message)
                }
                LedgerEffect::ClaimResolved { claim, outcome } => self.found(seat, claim, outcome),
                LedgerEffect::RequestAbandoned(request) => self.finish(seat, request),
            }
        }
    }

    /// What a dead owner left is finished by whom it is offered to, as if its client had come again there.
    fn finish(&mut self, seat: usize, abandoned: AbandonedRequest) {
        self.seen.3 += 1;
        if abandoned.request != abandoned.id.customer.to_le_bytes() || abandoned.request_digest != 5 {
            self.broken = Some("a request that nobody left");
        }
        let record = abandoned.id.customer;
        self.wish(&Wish { after: 0, seat, record, held_ms: 0, work_ms: 30, answers: true });
    }

    fn found(&mut self, seat: usize, claim: ClaimId, outcome: ClaimOutcome) {
        let key = (seat, self.nodes[seat].life, claim);
        let Some(work) = self.working.get(&key) else { return };
        let (record, opened, held, took) = (work.record, work.opened, work.held_ms, work.work_ms);
        self.last.insert(record, outcome.clone());
        let known = self.known.entry(record).or_default();
        let lives = self.now < known.began + SETTINGS.record_lifetime.0 * 8 / 10;
        match outcome {
            ClaimOutcome::Acquired { .. } => {
                if lives && known.answered.is_some_and(|at| at < opened) {
                    self.broken = Some("an answer that was confirmed was not read");
                }
                self.push(self.now + u64::from(held) * MS, What::Send(seat, key.1, claim));
            }
            ClaimOutcome::Confirmed(number) => {
                let node = &self.nodes[seat];
                let Some(written) = node.ledger.as_ref().and_then(|d| d.claim(claim)).map(|c| c.record())
                else {
                    return;
                };
                if number == 1 {
                    if written.fence == 0 {
                        self.broken = Some("an owner without a fence");
                    } else if written.fence == 1 {
                        *known = Known { began: opened, ..Known::default() };
                    } else if lives && written.fence <= known.fence {
                        self.broken = Some("a fence did not rise");
                    }
                    self.seen.0 += 1;
                    self.seen.1 += u32::from(written.fence > 1);
                    known.fence = known.fence.max(written.fence);
                }
                if written.response.is_some() {
                    known.answered = Some(self.now);
                }
                if work.sent == Some(number) {
                    let answers = work.answers;
                    let at = self.now + u64::from(took) * MS;
                    self.push(at, What::End(seat, key.1, claim, answers));
                }
            }
            ClaimOutcome::Completed(_) => {
                self.seen.2 += 1;
                self.working.remove(&key);
            }
            ClaimOutcome::InProgress(_)
            | ClaimOutcome::KeyReused
            | ClaimOutcome::Unavailable
            | ClaimOutcome::Lost => {
                self.working.remove(&key);
            }
        }
    }

    fn run_until(&mut self, until: u64) {
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, what))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            self.step(what);
            self.check();
        }
        self.now = until;
    }

    fn step(&mut self, what: What) {
        match what {
            What::Datagram(from, to, message) => match self.nodes[to].paused {
                true if self.nodes[to].ledger.is_some() => self.nodes[to].waiting.push((from, message)),
                true => {}
                false => self.hear(to, from, message),
            },
            What::Beat(seat) => {
                if self.nodes[seat].ledger.is_some() {
                    if !self.nodes[seat].paused {
                        self.act(seat, |ledger, now, out| ledger.tick(now, out));
                    }
                    self.push(self.now + 20 * MS, What::Beat(seat));
                }
            }
            What::Hurry(seat, life, claim) => {
                if !self.later(seat, life, What::Hurry(seat, life, claim)) {
                    self.act(seat, |ledger, now, out| ledger.contact_all(now, claim, out));
                }
            }
            What::Send(seat, life, claim) => {
                if self.later(seat, life, What::Send(seat, life, claim)) {
                    return;
                }
                let number = self
                    .act(seat, |ledger, now, out| ledger.write(now, claim, RecordChange::AddAttempt(1), out));
                if let Some(work) = self.working.get_mut(&(seat, life, claim)) {
                    work.sent = number.flatten();
                }
            }
            What::End(seat, life, claim, answers) => {
                if self.later(seat, life, What::End(seat, life, claim, answers)) {
                    return;
                }
                let answer = answers.then(|| b"done".to_vec());
                self.act(seat, |ledger, now, out| ledger.release(now, claim, answer, out));
            }
        }
    }

    /// What a paused process would do it does when it wakes; a dead one never.
    fn later(&mut self, seat: usize, life: u64, what: What) -> bool {
        let node = &self.nodes[seat];
        if node.ledger.is_none() || node.life != life {
            return true;
        }
        if node.paused {
            self.push(self.now + 10 * MS, what);
        }
        self.nodes[seat].paused
    }

    fn check(&mut self) {
        let mut owners: BTreeMap<u64, u32> = BTreeMap::new();
        for ((seat, life, claim), work) in &self.working {
            let node = &self.nodes[*seat];
            let awake = !node.paused && node.life == *life;
            let held = node
                .ledger
                .as_ref()
                .and_then(|d| d.claim(*claim))
                .is_some_and(|c| c.has_lease(self.local(*seat)));
            if awake && held {
                *owners.entry(work.record).or_default() += 1;
            }
        }
        if owners.values().any(|count| *count > 1) {
            self.broken = Some("two owners may act at one time");
        }
    }
}

type Steps = Vec<(u16, Result<Wish, Fault>)>;

fn plan() -> impl Strategy<Value = (u64, Steps)> {
    let step = prop_oneof![
        5 => wish().prop_map(|w| (w.after, Ok(w))),
        1 => (0..700u16, fault()).prop_map(|(after, fault)| (after, Err(fault))),
    ];
    (any::<u64>(), prop::collection::vec(step, 5..90))
}

fn play(seed: u64, steps: &Steps) -> World {
    let mut world = World::new(seed);
    for (after, step) in steps {
        world.run_until(world.now + u64::from(*after) * MS);
        match step {
            Ok(wish) => world.wish(wish),
            Err(fault) => world.strike(fault),
        }
        if world.broken.is_some() {
            break;
        }
    }
    world.run_until(world.now + 1_000 * MS);
    world
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), ..ProptestConfig::default() })]
    #[test]
    fn whatever_happens_a_record_has_one_owner_a_rising_fence_and_keeps_its_answer((seed, steps) in plan()) {
        let mut world = play(seed, &steps);
        prop_assert_eq!(world.broken, None);
        // Once nothing fails any more, and all have a vote again, each record is to be had, also a dead owner's.
        world.strike(&Fault::Heal);
        world.strike(&Fault::Weather(0, 0, 2));
        for seat in 0..SEATS {
            world.start(seat);
            world.pause(seat, false);
        }
        world.run_until(world.now + SETTINGS.vote_delay().0 * 11 / 10);
        // One dead holder is in nobody's way, whatever it said before.
        for record in 0..RECORDS {
            world.wish(&Wish { after: 0, seat: 1, record, held_ms: 0, work_ms: 900, answers: false });
        }
        world.run_until(world.now + 300 * MS);
        world.strike(&Fault::Kill(1));
        world.run_until(world.now + 400 * MS);
        world.last.clear();
        for record in 0..RECORDS {
            let wish = Wish { after: 0, seat: 0, record, held_ms: 0, work_ms: 1, answers: true };
            world.wish(&wish);
        }
        world.run_until(world.now + 500 * MS);
        for record in 0..RECORDS {
            let had = matches!(world.last.get(&record), Some(ClaimOutcome::Confirmed(_)));
            prop_assert!(had, "record {}: {:?}", record, world.last.get(&record));
        }
    }
}

fn cases() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(64)
}

#[test]
fn plans_come_to_takeovers_and_answers_that_are_read() {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let (mut owners, mut heirs, mut read, mut left) = (0, 0, 0, 0);
    for _ in 0..40 {
        let (seed, steps) = plan().new_tree(&mut runner).expect("a plan").current();
        let seen = play(seed, &steps).seen;
        (owners, heirs, read, left) = (owners + seen.0, heirs + seen.1, read + seen.2, left + seen.3);
    }
    let enough = owners > 100 && heirs > 30 && read > 10 && left > 10;
    assert!(enough, "{owners} owners, {heirs} heirs, {read} answers read, {left} left and offered");
}

#[test]
fn nothing_is_offered_to_be_finished_while_its_owner_works() {
    for seed in 0..20 {
        let wishes = (0..60).map(|i| {
            let wish = Wish {
                after: 70,
                seat: (i + seed as usize) % SEATS,
                record: i as u64,
                held_ms: (i % 7) as u16 * 10,
                work_ms: (i % 5) as u16 * 500,
                answers: i % 3 > 0,
            };
            (70, Ok(wish))
        });
        let world = play(seed, &wishes.collect());
        assert!(world.seen.0 > 40, "seed {seed}: {} owners", world.seen.0);
        assert_eq!((world.seen.3, world.broken), (0, None), "seed {seed}: nobody died");
    }
}
