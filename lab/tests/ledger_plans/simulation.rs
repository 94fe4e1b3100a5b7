//! The ledger's nodes under virtual time: a network that delays, loses and doubles messages, clocks that run at rates of
//! their own, and after each event what must hold always.

use crate::plan::{ClientRequest, Fault};
use quota_gateway::cluster::ledger::{
    AbandonedRequest, AddressedMessage, ClaimId, ClaimOutcome, LedgerEffect, LedgerMessage, LedgerNode,
    LedgerSettings, RecordChange, RecordId,
};
use quota_gateway::cluster::Micros;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

pub const SEATS: usize = 5;
pub const MS: u64 = 1_000;
pub const SETTINGS: LedgerSettings =
    LedgerSettings { replicas: 3, lease: Micros(300 * MS), record_lifetime: Micros(4_000 * MS) };
/// When all have a vote and the plan begins, and how long it lasts.
pub const BEGIN: u64 = 9_000 * MS;
pub const RECORDS: u64 = 3;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scheduled {
    Datagram(usize, usize, LedgerMessage),
    Tick(usize),
    ContactAll(usize, u64, ClaimId),
    Write(usize, u64, ClaimId),
    Release(usize, u64, ClaimId, bool),
}

pub struct Node {
    pub ledger: Option<LedgerNode>,
    /// Which of its processes.
    pub process: u64,
    pub paused: bool,
    /// Parts in ten thousand that its clock runs faster, and its offset.
    pub rate: i64,
    pub offset: u64,
    pub waiting: Vec<(usize, LedgerMessage)>,
}

pub struct OpenRequest {
    pub record: u64,
    pub opened: u64,
    pub delay_ms: u16,
    pub work_ms: u16,
    pub answers: bool,
    /// The number of the write that says that it is about to send.
    pub sent: Option<u32>,
}

/// What is known of a record from outside.
#[derive(Default)]
pub struct RecordHistory {
    pub began: u64,
    pub fence: u32,
    /// When an answer was confirmed.
    pub answered: Option<u64>,
}

/// What the plans came to.
#[derive(Default)]
pub struct Counts {
    /// Owners that were confirmed.
    pub owners: u32,
    /// Of them such that came after another.
    pub takeovers: u32,
    /// Responses that were read from the record.
    pub responses_read: u32,
    /// Requests of dead owners that were offered to be finished.
    pub abandoned: u32,
}

pub struct Simulation {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub queue: BinaryHeap<Reverse<(u64, u64, Scheduled)>>,
    pub serial: u64,
    pub rng: ChaCha8Rng,
    pub cut: Vec<(usize, usize)>,
    pub network: (u8, u8, u16),
    pub open_requests: BTreeMap<(usize, u64, ClaimId), OpenRequest>,
    pub history: BTreeMap<u64, RecordHistory>,
    pub counts: Counts,
    pub violation: Option<&'static str>,
    /// Outcomes of claims by record, the last of each.
    pub last: BTreeMap<u64, ClaimOutcome>,
}

pub fn id(record: u64) -> RecordId {
    RecordId { customer: record, key: record * 31 }
}

impl Counts {
    pub fn add(&mut self, other: &Counts) {
        self.owners += other.owners;
        self.takeovers += other.takeovers;
        self.responses_read += other.responses_read;
        self.abandoned += other.abandoned;
    }
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let node = |_| Node {
            ledger: None,
            process: 0,
            paused: false,
            rate: rng.random_range(-200..=200),
            offset: rng.random_range(0..1_000_000_000),
            waiting: Vec::new(),
        };
        let nodes = (0..SEATS).map(node).collect();
        let mut simulation = Simulation {
            now: 0,
            nodes,
            queue: BinaryHeap::new(),
            serial: 0,
            rng,
            cut: Vec::new(),
            network: (0, 0, 2),
            open_requests: BTreeMap::new(),
            history: BTreeMap::new(),
            counts: Counts::default(),
            violation: None,
            last: BTreeMap::new(),
        };
        (0..SEATS).for_each(|seat| simulation.start(seat));
        simulation.run_until(BEGIN);
        simulation
    }
    pub fn local(&self, seat: usize) -> Micros {
        let node = &self.nodes[seat];
        Micros(node.offset + (self.now as i64 + self.now as i64 * node.rate / 10_000) as u64)
    }
    pub fn push(&mut self, at: u64, what: Scheduled) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial, what)));
    }
    pub fn start(&mut self, seat: usize) {
        if self.nodes[seat].ledger.is_some() {
            return;
        }
        let (now, process) = (self.local(seat), self.rng.random());
        self.nodes[seat].process += 1;
        self.nodes[seat].paused = false;
        self.nodes[seat].ledger = Some(LedgerNode::new(SETTINGS, seat as u16, SEATS, 1, process, now));
        self.push(self.now, Scheduled::Tick(seat));
    }
    pub fn inject(&mut self, fault: &Fault) {
        match *fault {
            Fault::Kill(seat) => {
                self.nodes[seat].ledger = None;
                self.nodes[seat].waiting.clear();
                self.open_requests.retain(|(node, ..), _| *node != seat);
            }
            Fault::Start(seat) => self.start(seat),
            Fault::Pause(seat, on) => self.pause(seat, on),
            Fault::Cut(a, b) if a != b => self.cut.push((a, b)),
            Fault::Cut(..) => {}
            Fault::Isolate(seat, to, from) => {
                let others = (0..SEATS).filter(|other| *other != seat);
                let ways = others.flat_map(|other| [(to, (seat, other)), (from, (other, seat))]);
                self.cut.extend(ways.filter(|(cut, _)| *cut).map(|(_, way)| way));
            }
            Fault::Heal => self.cut.clear(),
            Fault::Network(loss, doubled, delay) => self.network = (loss, doubled, delay),
        }
    }
    pub fn pause(&mut self, seat: usize, on: bool) {
        self.nodes[seat].paused = on;
        if !on {
            // What came in meanwhile is read at once, in the order in which it came.
            for (from, message) in std::mem::take(&mut self.nodes[seat].waiting) {
                self.hear(seat, from, message);
            }
        }
    }
    pub fn act<T>(
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
    pub fn post(&mut self, from: usize, to: usize, message: LedgerMessage) {
        let (loss, doubled, delay) = self.network;
        if self.cut.contains(&(from, to)) {
            return;
        }
        let copies = if self.rng.random_range(0..100) < doubled { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_range(0..100) >= loss {
                let at = self.now + 200 + self.rng.random_range(0..=u64::from(delay) * MS);
                self.push(at, Scheduled::Datagram(from, to, message.clone()));
            }
        }
    }
    pub fn hear(&mut self, seat: usize, from: usize, message: LedgerMessage) {
        self.act(seat, |ledger, now, out| ledger.on_message(now, from as u16, message, out));
    }

    pub fn request(&mut self, request: &ClientRequest) {
        let seat = request.seat;
        if self.nodes[seat].paused || self.nodes[seat].ledger.is_none() {
            return;
        }
        let mut out = Vec::new();
        let now = self.local(seat);
        let Some(ledger) = self.nodes[seat].ledger.as_mut() else { return };
        let Some(claim) = ledger.open(now, id(request.record), 5, |_| true, &mut out) else { return };
        ledger.attach_request(claim, request.record.to_le_bytes().to_vec());
        let work = OpenRequest {
            record: request.record,
            opened: self.now,
            delay_ms: request.delay_ms,
            work_ms: request.work_ms,
            answers: request.answers,
            sent: None,
        };
        let process = self.nodes[seat].process;
        self.open_requests.insert((seat, process, claim), work);
        self.push(self.now + 20 * MS, Scheduled::ContactAll(seat, process, claim));
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
    pub fn finish(&mut self, seat: usize, abandoned: AbandonedRequest) {
        self.counts.abandoned += 1;
        if abandoned.request != abandoned.id.customer.to_le_bytes() || abandoned.request_digest != 5 {
            self.violation = Some("a request that nobody left");
        }
        let record = abandoned.id.customer;
        self.request(&ClientRequest { after: 0, seat, record, delay_ms: 0, work_ms: 30, answers: true });
    }

    pub fn found(&mut self, seat: usize, claim: ClaimId, outcome: ClaimOutcome) {
        let key = (seat, self.nodes[seat].process, claim);
        let Some(work) = self.open_requests.get(&key) else { return };
        let (record, opened, held, took) = (work.record, work.opened, work.delay_ms, work.work_ms);
        self.last.insert(record, outcome.clone());
        let history = self.history.entry(record).or_default();
        let lives = self.now < history.began + SETTINGS.record_lifetime.0 * 8 / 10;
        match outcome {
            ClaimOutcome::Acquired { .. } => {
                if lives && history.answered.is_some_and(|at| at < opened) {
                    self.violation = Some("an answer that was confirmed was not read");
                }
                self.push(self.now + u64::from(held) * MS, Scheduled::Write(seat, key.1, claim));
            }
            ClaimOutcome::Confirmed(number) => {
                let node = &self.nodes[seat];
                let Some(written) = node.ledger.as_ref().and_then(|d| d.claim(claim)).map(|c| c.record())
                else {
                    return;
                };
                if number == 1 {
                    if written.fence == 0 {
                        self.violation = Some("an owner without a fence");
                    } else if written.fence == 1 {
                        *history = RecordHistory { began: opened, ..RecordHistory::default() };
                    } else if lives && written.fence <= history.fence {
                        self.violation = Some("a fence did not rise");
                    }
                    self.counts.owners += 1;
                    self.counts.takeovers += u32::from(written.fence > 1);
                    history.fence = history.fence.max(written.fence);
                }
                if written.response.is_some() {
                    history.answered = Some(self.now);
                }
                if work.sent == Some(number) {
                    let answers = work.answers;
                    let at = self.now + u64::from(took) * MS;
                    self.push(at, Scheduled::Release(seat, key.1, claim, answers));
                }
            }
            ClaimOutcome::Completed(_) => {
                self.counts.responses_read += 1;
                self.open_requests.remove(&key);
            }
            ClaimOutcome::InProgress(_)
            | ClaimOutcome::KeyReused
            | ClaimOutcome::Unavailable
            | ClaimOutcome::Lost => {
                self.open_requests.remove(&key);
            }
        }
    }

    pub fn run_until(&mut self, until: u64) {
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, what))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            self.step(what);
            self.check();
        }
        self.now = until;
    }

    pub fn step(&mut self, what: Scheduled) {
        match what {
            Scheduled::Datagram(from, to, message) => match self.nodes[to].paused {
                true if self.nodes[to].ledger.is_some() => self.nodes[to].waiting.push((from, message)),
                true => {}
                false => self.hear(to, from, message),
            },
            Scheduled::Tick(seat) => {
                if self.nodes[seat].ledger.is_some() {
                    if !self.nodes[seat].paused {
                        self.act(seat, |ledger, now, out| ledger.tick(now, out));
                    }
                    self.push(self.now + 20 * MS, Scheduled::Tick(seat));
                }
            }
            Scheduled::ContactAll(seat, process, claim) => {
                if !self.later(seat, process, Scheduled::ContactAll(seat, process, claim)) {
                    self.act(seat, |ledger, now, out| ledger.contact_all(now, claim, out));
                }
            }
            Scheduled::Write(seat, process, claim) => {
                if self.later(seat, process, Scheduled::Write(seat, process, claim)) {
                    return;
                }
                let number = self
                    .act(seat, |ledger, now, out| ledger.write(now, claim, RecordChange::AddAttempt(1), out));
                if let Some(work) = self.open_requests.get_mut(&(seat, process, claim)) {
                    work.sent = number.flatten();
                }
            }
            Scheduled::Release(seat, process, claim, answers) => {
                if self.later(seat, process, Scheduled::Release(seat, process, claim, answers)) {
                    return;
                }
                let answer = answers.then(|| b"done".to_vec());
                self.act(seat, |ledger, now, out| ledger.release(now, claim, answer, out));
            }
        }
    }

    /// What a paused process would do it does when it wakes; a dead one never.
    pub fn later(&mut self, seat: usize, process: u64, what: Scheduled) -> bool {
        let node = &self.nodes[seat];
        if node.ledger.is_none() || node.process != process {
            return true;
        }
        if node.paused {
            self.push(self.now + 10 * MS, what);
        }
        self.nodes[seat].paused
    }

    pub fn check(&mut self) {
        let mut owners: BTreeMap<u64, u32> = BTreeMap::new();
        for ((seat, process, claim), work) in &self.open_requests {
            let node = &self.nodes[*seat];
            let awake = !node.paused && node.process == *process;
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
            self.violation = Some("two owners may act at one time");
        }
    }
}
