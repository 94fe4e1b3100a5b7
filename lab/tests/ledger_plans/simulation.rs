//! Simulation of the ledger's nodes under virtual time, with a network that delays, loses and duplicates messages and
//! with clocks that drift. The safety invariants are checked after each event.

use crate::plan::{ClientRequest, Fault};
use quota_gateway::cluster::ledger::{
    AbandonedRequest, AddressedMessage, ClaimId, ClaimOutcome, LedgerEffect, LedgerMessage, LedgerNode,
    LedgerSettings, RecordChange, RecordId,
};
use quota_gateway::cluster::Micros;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub const SEATS: usize = 5;
pub const MS: u64 = 1_000;
pub const SETTINGS: LedgerSettings =
    LedgerSettings { replicas: 3, lease: Micros(300 * MS), record_lifetime: Micros(4_000 * MS) };
/// Start of the plan in microseconds: by then all replicas have a vote.
pub const PLAN_START: u64 = 9_000 * MS;
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
    /// Number of processes started on this node.
    pub process: u64,
    pub paused: bool,
    /// Clock drift, in parts per ten thousand.
    pub rate: i64,
    /// Offset of the node's clock from the virtual time, in microseconds.
    pub offset: u64,
    /// Datagrams that arrived while the process was paused.
    pub pending_datagrams: Vec<(usize, LedgerMessage)>,
}

pub struct OpenRequest {
    pub record: u64,
    pub opened_at: u64,
    pub delay_ms: u16,
    pub work_ms: u16,
    pub sends_response: bool,
    /// Whether a replica reported the request, so that it is handled for its owner.
    pub for_owner: bool,
    /// Whether its owner has given the record up without a response.
    pub given_up: bool,
    /// Number of the write to the record that announces the attempt, once it was made.
    pub send_write: Option<u32>,
}

/// Observed history of a record.
#[derive(Default)]
pub struct RecordHistory {
    pub began_at: u64,
    pub fence: u32,
    /// Time at which a response was confirmed.
    pub response_confirmed_at: Option<u64>,
}

/// Number of events of each kind that the plans reached.
#[derive(Default)]
pub struct Counts {
    /// Confirmed owners.
    pub owners: u32,
    /// Confirmed owners that took the record over from another.
    pub takeovers: u32,
    /// Responses read from the record.
    pub responses_read: u32,
    /// Abandoned requests offered to another gateway.
    pub abandoned: u32,
    /// Abandoned requests that were left alone, as their owner had released them.
    pub left_alone: u32,
    /// Abandoned requests that were run though their owner had released them.
    pub run_after_release: u32,
}

pub struct Simulation {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub queue: BinaryHeap<Reverse<(u64, u64, Scheduled)>>,
    pub serial: u64,
    pub rng: ChaCha8Rng,
    pub blocked_paths: Vec<(usize, usize)>,
    pub network: (u8, u8, u16),
    pub open_requests: BTreeMap<(usize, u64, ClaimId), OpenRequest>,
    pub history: BTreeMap<u64, RecordHistory>,
    pub counts: Counts,
    pub violation: Option<&'static str>,
    /// Records that an owner has released without a response, as a quorum has confirmed: then it refuses its client.
    pub released: BTreeSet<u64>,
    /// Last claim outcome by record.
    pub last_outcomes: BTreeMap<u64, ClaimOutcome>,
}

pub fn record_id(record: u64) -> RecordId {
    RecordId { customer: record, key: record * 31 }
}

impl Counts {
    pub fn add(&mut self, other: &Counts) {
        self.owners += other.owners;
        self.takeovers += other.takeovers;
        self.responses_read += other.responses_read;
        self.abandoned += other.abandoned;
        self.left_alone += other.left_alone;
        self.run_after_release += other.run_after_release;
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
            pending_datagrams: Vec::new(),
        };
        let nodes = (0..SEATS).map(node).collect();
        let mut simulation = Simulation {
            now: 0,
            nodes,
            queue: BinaryHeap::new(),
            serial: 0,
            rng,
            blocked_paths: Vec::new(),
            network: (0, 0, 2),
            open_requests: BTreeMap::new(),
            history: BTreeMap::new(),
            counts: Counts::default(),
            violation: None,
            released: BTreeSet::new(),
            last_outcomes: BTreeMap::new(),
        };
        (0..SEATS).for_each(|seat| simulation.start(seat));
        simulation.run_until(PLAN_START);
        simulation
    }
    pub fn local_time(&self, seat: usize) -> Micros {
        let node = &self.nodes[seat];
        Micros(node.offset + (self.now as i64 + self.now as i64 * node.rate / 10_000) as u64)
    }
    pub fn push(&mut self, at: u64, event: Scheduled) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial, event)));
    }
    pub fn start(&mut self, seat: usize) {
        if self.nodes[seat].ledger.is_some() {
            return;
        }
        let (now, process) = (self.local_time(seat), self.rng.random());
        self.nodes[seat].process += 1;
        self.nodes[seat].paused = false;
        self.nodes[seat].ledger = Some(LedgerNode::new(SETTINGS, seat as u16, SEATS, 1, process, now));
        self.push(self.now, Scheduled::Tick(seat));
    }
    pub fn inject(&mut self, fault: &Fault) {
        match *fault {
            Fault::Kill(seat) => {
                self.nodes[seat].ledger = None;
                self.nodes[seat].pending_datagrams.clear();
                self.open_requests.retain(|(node, ..), _| *node != seat);
            }
            Fault::Start(seat) => self.start(seat),
            Fault::Pause(seat, paused) => self.pause(seat, paused),
            Fault::Cut(a, b) if a != b => self.blocked_paths.push((a, b)),
            Fault::Cut(..) => {}
            Fault::Isolate(seat, outbound, inbound) => {
                let others = (0..SEATS).filter(|other| *other != seat);
                let paths = others.flat_map(|other| [(outbound, (seat, other)), (inbound, (other, seat))]);
                self.blocked_paths.extend(paths.filter(|(is_blocked, _)| *is_blocked).map(|(_, path)| path));
            }
            Fault::Heal => self.blocked_paths.clear(),
            Fault::Network(loss, duplication, delay) => self.network = (loss, duplication, delay),
        }
    }
    pub fn pause(&mut self, seat: usize, paused: bool) {
        self.nodes[seat].paused = paused;
        if !paused {
            // Datagrams that arrived during the pause are delivered at once, in order of arrival.
            for (from, message) in std::mem::take(&mut self.nodes[seat].pending_datagrams) {
                self.deliver(seat, from, message);
            }
        }
    }
    pub fn run_ledger<T>(
        &mut self,
        seat: usize,
        action: impl FnOnce(&mut LedgerNode, Micros, &mut Vec<LedgerEffect>) -> T,
    ) -> Option<T> {
        let (now, mut effects) = (self.local_time(seat), Vec::new());
        let result = action(self.nodes[seat].ledger.as_mut()?, now, &mut effects);
        for effect in effects {
            match effect {
                LedgerEffect::Send(AddressedMessage { to, message }) => {
                    self.send(seat, usize::from(to), message)
                }
                LedgerEffect::ClaimResolved { claim, outcome } => {
                    self.on_claim_resolved(seat, claim, outcome)
                }
                LedgerEffect::RequestAbandoned(request) => self.on_request_abandoned(seat, request),
                // The plans have no second process in a seat.
                LedgerEffect::ReplyForOtherProcess { .. } => {}
            }
        }
        Some(result)
    }
    pub fn send(&mut self, from: usize, to: usize, message: LedgerMessage) {
        let (loss, duplication, delay) = self.network;
        if self.blocked_paths.contains(&(from, to)) {
            return;
        }
        let copies = if self.rng.random_range(0..100) < duplication { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_range(0..100) >= loss {
                let at = self.now + 200 + self.rng.random_range(0..=u64::from(delay) * MS);
                self.push(at, Scheduled::Datagram(from, to, message.clone()));
            }
        }
    }
    pub fn deliver(&mut self, seat: usize, from: usize, message: LedgerMessage) {
        self.run_ledger(seat, |ledger, now, effects| ledger.on_message(now, from as u16, message, effects));
    }

    pub fn request(&mut self, request: &ClientRequest) {
        self.open(request, false);
    }

    fn open(&mut self, request: &ClientRequest, for_owner: bool) {
        let seat = request.seat;
        if self.nodes[seat].paused || self.nodes[seat].ledger.is_none() {
            return;
        }
        let mut effects = Vec::new();
        let now = self.local_time(seat);
        let Some(ledger) = self.nodes[seat].ledger.as_mut() else { return };
        let Some(claim) = ledger.open(now, record_id(request.record), 5, |_| true, &mut effects) else {
            return;
        };
        ledger.attach_request(claim, request.record.to_le_bytes().to_vec());
        let open_request = OpenRequest {
            record: request.record,
            opened_at: self.now,
            delay_ms: request.delay_ms,
            work_ms: request.work_ms,
            sends_response: request.sends_response,
            for_owner,
            given_up: false,
            send_write: None,
        };
        let process = self.nodes[seat].process;
        self.open_requests.insert((seat, process, claim), open_request);
        self.push(self.now + 20 * MS, Scheduled::ContactAll(seat, process, claim));
        for effect in effects {
            match effect {
                LedgerEffect::Send(AddressedMessage { to, message }) => {
                    self.send(seat, usize::from(to), message)
                }
                LedgerEffect::ClaimResolved { claim, outcome } => {
                    self.on_claim_resolved(seat, claim, outcome)
                }
                LedgerEffect::RequestAbandoned(request) => self.on_request_abandoned(seat, request),
                // The plans have no second process in a seat.
                LedgerEffect::ReplyForOtherProcess { .. } => {}
            }
        }
    }

    /// The gateway that is offered an abandoned request handles it as if the client had sent the request again there.
    pub fn on_request_abandoned(&mut self, seat: usize, abandoned: AbandonedRequest) {
        self.counts.abandoned += 1;
        if abandoned.request != abandoned.id.customer.to_le_bytes() || abandoned.request_digest != 5 {
            self.violation = Some("an abandoned request differs from the one that was attached");
        }
        let record = abandoned.id.customer;
        let (delay_ms, work_ms, sends_response) = (0, 30, true);
        let request = ClientRequest { after: 0, seat, record, delay_ms, work_ms, sends_response };
        self.open(&request, true);
    }

    pub fn on_claim_resolved(&mut self, seat: usize, claim: ClaimId, outcome: ClaimOutcome) {
        let key = (seat, self.nodes[seat].process, claim);
        let Some(open_request) = self.open_requests.get(&key) else { return };
        let (record, opened_at, delay_ms, work_ms) =
            (open_request.record, open_request.opened_at, open_request.delay_ms, open_request.work_ms);
        self.last_outcomes.insert(record, outcome.clone());
        let history = self.history.entry(record).or_default();
        let is_within_lifetime = self.now < history.began_at + SETTINGS.record_lifetime.0 * 8 / 10;
        match outcome {
            ClaimOutcome::Acquired { released: true, .. } if open_request.for_owner => {
                self.counts.left_alone += 1;
                self.push(self.now, Scheduled::Release(seat, key.1, claim, false));
            }
            ClaimOutcome::Acquired { .. } => {
                self.counts.run_after_release +=
                    u32::from(open_request.for_owner && self.released.contains(&record));
                if is_within_lifetime && history.response_confirmed_at.is_some_and(|at| at < opened_at) {
                    self.violation = Some("a confirmed response was not read");
                }
                self.push(self.now + u64::from(delay_ms) * MS, Scheduled::Write(seat, key.1, claim));
            }
            ClaimOutcome::Confirmed(_) if open_request.given_up => {
                self.released.insert(record);
            }
            ClaimOutcome::Confirmed(write_number) => {
                let node = &self.nodes[seat];
                let Some(ledger_record) =
                    node.ledger.as_ref().and_then(|ledger| ledger.claim(claim)).map(|claim| claim.record())
                else {
                    return;
                };
                if write_number == 1 {
                    if ledger_record.fence == 0 {
                        self.violation = Some("an owner has no fence");
                    } else if ledger_record.fence == 1 {
                        *history = RecordHistory { began_at: opened_at, ..RecordHistory::default() };
                    } else if is_within_lifetime && ledger_record.fence <= history.fence {
                        self.violation = Some("a fence did not rise");
                    }
                    self.counts.owners += 1;
                    self.counts.takeovers += u32::from(ledger_record.fence > 1);
                    history.fence = history.fence.max(ledger_record.fence);
                }
                if ledger_record.response.is_some() {
                    history.response_confirmed_at = Some(self.now);
                }
                if open_request.send_write == Some(write_number) {
                    let sends_response = open_request.sends_response;
                    let at = self.now + u64::from(work_ms) * MS;
                    self.push(at, Scheduled::Release(seat, key.1, claim, sends_response));
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
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            self.step(event);
            self.check();
        }
        self.now = until;
    }

    pub fn step(&mut self, event: Scheduled) {
        match event {
            Scheduled::Datagram(from, to, message) => match self.nodes[to].paused {
                true if self.nodes[to].ledger.is_some() => {
                    self.nodes[to].pending_datagrams.push((from, message))
                }
                true => {}
                false => self.deliver(to, from, message),
            },
            Scheduled::Tick(seat) => {
                if self.nodes[seat].ledger.is_some() {
                    if !self.nodes[seat].paused {
                        self.run_ledger(seat, |ledger, now, effects| ledger.tick(now, effects));
                    }
                    self.push(self.now + 20 * MS, Scheduled::Tick(seat));
                }
            }
            Scheduled::ContactAll(seat, process, claim) => {
                if !self.defer_or_drop(seat, process, Scheduled::ContactAll(seat, process, claim)) {
                    self.run_ledger(seat, |ledger, now, effects| ledger.contact_all(now, claim, effects));
                }
            }
            Scheduled::Write(seat, process, claim) => {
                if self.defer_or_drop(seat, process, Scheduled::Write(seat, process, claim)) {
                    return;
                }
                let write_number = self.run_ledger(seat, |ledger, now, effects| {
                    ledger.write(now, claim, RecordChange::AddAttempt(1), effects)
                });
                if let Some(open_request) = self.open_requests.get_mut(&(seat, process, claim)) {
                    open_request.send_write = write_number.flatten();
                }
            }
            Scheduled::Release(seat, process, claim, sends_response) => {
                if self.defer_or_drop(seat, process, Scheduled::Release(seat, process, claim, sends_response))
                {
                    return;
                }
                if let Some(open_request) = self.open_requests.get_mut(&(seat, process, claim)) {
                    open_request.given_up = !sends_response;
                }
                let answer = sends_response.then(|| b"done".to_vec());
                self.run_ledger(seat, |ledger, now, effects| ledger.release(now, claim, answer, effects));
            }
        }
    }

    /// Defers an event of a paused process until the process resumes and drops that of an ended process.
    /// Returns whether the event must not run now.
    pub fn defer_or_drop(&mut self, seat: usize, process: u64, event: Scheduled) -> bool {
        let node = &self.nodes[seat];
        if node.ledger.is_none() || node.process != process {
            return true;
        }
        if node.paused {
            self.push(self.now + 10 * MS, event);
        }
        self.nodes[seat].paused
    }

    pub fn check(&mut self) {
        let mut owners: BTreeMap<u64, u32> = BTreeMap::new();
        for ((seat, process, claim), open_request) in &self.open_requests {
            let node = &self.nodes[*seat];
            let is_running = !node.paused && node.process == *process;
            let has_lease = node
                .ledger
                .as_ref()
                .and_then(|ledger| ledger.claim(*claim))
                .is_some_and(|claim| claim.has_lease(self.local_time(*seat)));
            if is_running && has_lease {
                *owners.entry(open_request.record).or_default() += 1;
            }
        }
        if owners.values().any(|count| *count > 1) {
            self.violation = Some("two owners may act at the same time");
        }
    }
}
