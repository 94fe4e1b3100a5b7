//! A folder on disk that an earlier build wrote (`tests/fixtures/disk`) is read as that build meant it, and the same
//! events are written as the same bytes.
//!
//! One gateway of three is driven by datagrams alone: it holds a branch's writes in every state, records of the ledger
//! at every point of their life, and a rollout in every form.

use crate::cluster::ledger::{
    AbandonedRequest, Ballot, LedgerMessage, LedgerSettings, Record, RecordId, RecordSnapshot, SentAttempt,
};
use crate::cluster::rollout::{
    ClassCounts, ClassRow, CountRow, HaltReason, OutcomeTotals, Pause, PerArm, RolloutCommand, RolloutEnd,
    RolloutKey, RolloutMessage, RolloutSettings, RuleConfig, RuleSet,
};
use crate::cluster::write_queue::{
    Dot, LogEntry, LogPage, QueueMessage, ReplicatedWrite, Write, WriteOutcome, WriteQueueSettings,
    WriteState, WriteStatus,
};
use crate::cluster::{
    ClusterNode, ClusterNotice, Effect, Event, MachineId, MemberMetadata, Settings, StorageWrite,
    CAPABILITY_LEDGER, CAPABILITY_ROLLOUT, LEDGER_TICK_INTERVAL, MAX_DATAGRAM_BYTES,
};
use crate::decision::Micros;
use crate::proxy::cluster_transport::disk::{Disk, DiskEvent};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

type Stored = BTreeMap<Vec<u8>, Vec<u8>>;

const FLEET: &str = "norte";
const SEATS: [&str; 3] = ["a", "b", "c"];
/// What carries a message of these parts, by its place among all that datagrams carry.
const OF_LEDGER: u32 = 5;
const OF_ROLLOUT: u32 = 6;
const OF_BRANCH: u32 = 7;
/// Bytes before what a datagram carries.
const PRELUDE: usize = 11;

/// The start of the machine, its time and the process' own time when the fixture's process began.
const BOOT: u64 = 0x00c0_ffee;
const UPTIME: Micros = Micros(1_000_000_000);
const BEGAN: Micros = Micros(5_000_000);
/// Once it holds its votes the messages come.
const TOLD_AT: Micros = Micros(21_000_000);
const ENDED: Micros = Micros(23_400_000);

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

/// A folder of its own for each test that asks.
fn folder() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("fixture-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn seats_number() -> u64 {
    xxh3_64(SEATS.join("\n").as_bytes())
}

fn datagram<M: Serialize>(kind: u32, seat: u16, message: &M) -> Vec<u8> {
    let body = postcard::to_allocvec(&(kind, seats_number(), seat, message)).expect("it can be written");
    let mut bytes = b"SH\x01".to_vec();
    bytes.extend((xxh3_64(FLEET.as_bytes()) as u32).to_le_bytes());
    bytes.extend((xxh3_64(&body) as u32).to_le_bytes());
    bytes.extend(body);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
    bytes
}

/// What a datagram of this kind says.
fn said<M: DeserializeOwned>(kind: u32, bytes: &[u8]) -> Option<M> {
    let body = bytes.get(PRELUDE..)?;
    let (found, _) = postcard::take_from_bytes::<u32>(body).ok()?;
    (found == kind).then(|| {
        let (_, _, _, message) = postcard::from_bytes::<(u32, u64, u16, M)>(body).expect("it can be read");
        message
    })
}

fn settings(machine: MachineId) -> Settings {
    let metadata = MemberMetadata {
        zone: "east".into(),
        version: "1".into(),
        capabilities: CAPABILITY_LEDGER | CAPABILITY_ROLLOUT,
        advertise: None,
    };
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    Settings {
        cluster: FLEET.into(),
        name: "b".into(),
        metadata,
        peers: [("a".to_string(), at(1)), ("b".to_string(), at(2)), ("c".to_string(), at(3))].into(),
        probe_period: Duration::from_secs(1),
        seats: SEATS.map(str::to_string).to_vec(),
        ledger: Some(LedgerSettings {
            replicas: 3,
            lease: Micros(2_000_000),
            record_lifetime: Micros(10_000_000),
        }),
        rules: Some(RuleSet(vec![RuleConfig { max_attempts: Some(3), ..RuleConfig::default() }])),
        branch: Some(WriteQueueSettings {
            seats: vec![0, 1, 2],
            max_pending: 100,
            max_pending_per_customer: 50,
            max_age: Micros(3_600_000_000),
            uplink_timeout: Micros(600_000),
            send_timeout: Micros(4_000_000),
            max_in_flight: 10,
            max_sends_per_second: 100,
            blocking_classes: vec![1],
        }),
        disk: Some(machine),
    }
}

/// A gateway on a disk that takes each batch at once.
struct Node {
    fleet: ClusterNode,
    now: Micros,
    stored: Stored,
    batches: Vec<(u64, Vec<StorageWrite>)>,
    notices: Vec<ClusterNotice>,
    orphans: Vec<AbandonedRequest>,
    sent: Vec<Vec<u8>>,
}

impl Node {
    fn begin(machine: MachineId, now: Micros, stored: &Stored) -> Node {
        let fleet =
            ClusterNode::new(settings(machine), now, Micros(1_790_000_000_000_000), 7).expect("sound");
        let (batches, notices, orphans, sent) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let stored = stored.clone();
        let read =
            stored.iter().map(|(k, v)| StorageWrite { key: k.clone(), value: Some(v.clone()) }).collect();
        let mut node = Node { fleet, now, stored, batches, notices, orphans, sent };
        node.event(Event::StorageLoaded { writes: read });
        node
    }

    fn event(&mut self, event: Event<'_>) {
        let mut effects = Vec::new();
        self.fleet.handle(self.now, event, &mut effects);
        while let Some(at) = effects.iter().position(|effect| matches!(effect, Effect::PersistBatch { .. })) {
            let Effect::PersistBatch { batch, writes: puts } = effects.remove(at) else {
                unreachable!("it was found there")
            };
            for put in &puts {
                match &put.value {
                    Some(value) => drop(self.stored.insert(put.key.clone(), value.clone())),
                    None => drop(self.stored.remove(&put.key)),
                }
            }
            self.batches.push((batch, puts));
            self.fleet.handle(self.now, Event::StorageSynced { batch }, &mut effects);
        }
        for effect in effects {
            match effect {
                Effect::Notify(notice) => self.notices.push(notice),
                Effect::RequestAbandoned(orphan) => self.orphans.push(orphan),
                Effect::Send { bytes, .. } => self.sent.push(bytes),
                _ => {}
            }
        }
    }

    fn run_until(&mut self, until: Micros) {
        while self.now < until {
            self.now = self.now + LEDGER_TICK_INTERVAL;
            self.event(Event::LedgerTick);
        }
    }

    fn hear<M: Serialize>(&mut self, kind: u32, seat: u16, message: &M) {
        let from = SocketAddr::from(([127, 0, 0, 1], 1));
        self.event(Event::Datagram { from, bytes: &datagram(kind, seat, message) });
    }

    /// Answers every question for pages of names with an empty page without a vote: the branch begins anew.
    fn answer_pages(&mut self) {
        let asked: Vec<u64> = self
            .sent
            .iter()
            .filter_map(|bytes| match said::<QueueMessage>(OF_BRANCH, bytes)? {
                QueueMessage::QueryPage { round, .. } => Some(round),
                _ => None,
            })
            .collect();
        for number in asked {
            let page = LogPage { round: number, entries: Vec::new(), has_more: false, has_vote: false };
            self.hear(OF_BRANCH, 0, &QueueMessage::Page(page));
        }
    }

    /// Asks for a promise; what the holder answers.
    fn prepare(&mut self, id: RecordId, ballot: Ballot) -> LedgerMessage {
        self.sent.clear();
        self.hear(OF_LEDGER, 2, &LedgerMessage::Prepare { id, ballot });
        let answers: Vec<LedgerMessage> =
            self.sent.iter().filter_map(|bytes| said(OF_LEDGER, bytes)).collect();
        answers.into_iter().next().expect("an answer")
    }
}

fn dot(number: u32) -> Dot {
    Dot { seat: 0, process: 0xa1b2_c3d4, number }
}

/// Every state of a write.
fn states() -> [WriteState; 8] {
    [
        WriteState::Pending(0),
        WriteState::Pending(3),
        WriteState::Sent(2),
        WriteState::Ended(WriteOutcome::Expired),
        WriteState::Ended(WriteOutcome::Blocked(dot(3))),
        WriteState::Ended(WriteOutcome::Superseded(Dot { seat: 2, process: 77, number: 500 })),
        WriteState::Ended(WriteOutcome::Unknown),
        WriteState::Ended(WriteOutcome::Completed(204)),
    ]
}

fn write(number: u32) -> Write {
    Write {
        dot: dot(number),
        customer: 900 + u64::from(number),
        object: 0x1234_5678_9abc_0000 + u64::from(number),
        class: number as u16 % 3,
        key: if number.is_multiple_of(2) { u64::MAX - u64::from(number) } else { 0 },
        position: 40 + u64::from(number),
        dependencies: if number == 1 { Vec::new() } else { vec![dot(number - 1), dot(number + 100)] },
        payload: vec![number as u8; 20],
    }
}

fn replicate(number: u32, state: WriteState, age: Micros, since_first_send: Option<Micros>) -> QueueMessage {
    QueueMessage::Replicate(ReplicatedWrite { write: Box::new(write(number)), state, age, since_first_send })
}

/// A record of the fixture, by what happens to it.
fn id(which: u64) -> RecordId {
    RecordId { customer: 4_000 + which, key: 0xfeed_0000_0000_0000 + which }
}
const PROMISED: u64 = 1;
const OWNED: u64 = 2;
const OFFERED: u64 = 3;
const ANSWERED: u64 = 4;
const FREED: u64 = 5;
const FORGOTTEN: u64 = 6;

fn ballot(number: u32) -> Ballot {
    Ballot { number, process: 0x0bad_cafe_0000_0009, claim: 31 }
}

fn record(
    fence: u32,
    owned: bool,
    lease_ms: u32,
    attempts: Vec<SentAttempt>,
    response: Option<Vec<u8>>,
) -> Record {
    Record { request_digest: 0xd1_6e57, fence, owned, lease_ms, attempts, response }
}

fn attempts() -> Vec<SentAttempt> {
    vec![SentAttempt { endpoint: 11, record_age_ms: 5 }, SentAttempt { endpoint: 12, record_age_ms: 340 }]
}

fn put_record(node: &mut Node, which: u64, sequence: u32, age: Micros, record: Record) {
    let (id, ballot, since_promise) = (id(which), ballot(1), Micros(10_000));
    node.hear(OF_LEDGER, 2, &LedgerMessage::Accept { id, ballot, sequence, since_promise, age, record });
}

fn terms() -> RolloutSettings {
    RolloutSettings {
        stage_shares: vec![100, 500, 2_500, 10_000],
        bake_s: 30,
        max_stage_s: 900,
        false_halt_rate: 0.01,
        margin: 0.02,
        min_canary_requests: 250,
    }
}

fn order(
    number: u64,
    stage: u8,
    (changes, is_paused): (u32, bool),
    end: Option<RolloutEnd>,
) -> RolloutCommand {
    let old = RuleSet(vec![RuleConfig { max_attempts: Some(3), ..RuleConfig::default() }]);
    let new = RuleSet(vec![
        RuleConfig {
            class: Some("look".into()),
            plan: Some("team".into()),
            zone: Some("east".into()),
            zone_weights: [("east".to_string(), 120), ("west".to_string(), 80)].into(),
            label_weights: [("blue".to_string(), 55)].into(),
            max_attempts: Some(2),
            give_up_percent: Some(45),
            slow_start_percent: Some(30),
        },
        RuleConfig::default(),
    ]);
    let key = RolloutKey { number, confirmed: stage > 0, id: 0x5eed_0000 + number };
    RolloutCommand {
        key,
        stage,
        pause: Pause { changes, is_paused },
        end,
        settings: terms(),
        baseline: old,
        canary: new,
    }
}

/// Every form of an order, by name.
fn orders() -> Vec<(&'static str, RolloutCommand)> {
    let worse = HaltReason::CanaryWorse { scope: "class 2".into(), log_evidence: 5.75, log_threshold: 5.298 };
    vec![
        ("announced", order(1, 0, (0, false), None)),
        ("running", order(2, 2, (2, false), None)),
        ("paused", order(3, 3, (3, true), None)),
        ("done", order(4, 4, (0, false), Some(RolloutEnd::Completed))),
        ("aborted", order(5, 1, (1, true), Some(RolloutEnd::Aborted))),
        (
            "undecided",
            order(6, 2, (0, false), Some(RolloutEnd::Halted { seat: 2, reason: HaltReason::Undecided })),
        ),
        ("worse", order(7, 3, (2, false), Some(RolloutEnd::Halted { seat: 0, reason: worse }))),
    ]
}

/// Drives a gateway on an empty disk through all that the fixture holds. Returns it with what its disk held after each
/// order.
fn told() -> (Node, Vec<(&'static str, Vec<u8>)>) {
    let mut node = Node::begin(MachineId { boot: BOOT, uptime: UPTIME }, BEGAN, &Stored::new());
    node.run_until(BEGAN + LEDGER_TICK_INTERVAL);
    node.answer_pages();
    node.run_until(TOLD_AT - Micros(1_000_000));
    drop(node.prepare(id(FORGOTTEN), ballot(1)));
    node.run_until(TOLD_AT);
    let votes = node.fleet.ledger().is_some_and(|ledger| ledger.replica().has_vote(node.now));
    assert!(
        votes && node.fleet.write_queue().is_some_and(|queue| queue.replica().has_vote()),
        "it has its votes"
    );
    for (number, state) in (1..).zip(states()) {
        let sent_ago = matches!(
            state,
            WriteState::Sent(_) | WriteState::Ended(WriteOutcome::Unknown | WriteOutcome::Completed(_))
        );
        let sent_ago = sent_ago.then_some(Micros(150_000 + u64::from(number)));
        let age = Micros(700_000 + u64::from(number));
        node.hear(OF_BRANCH, 0, &replicate(number, state, age, sent_ago));
    }
    for which in [OWNED, OFFERED, ANSWERED, FREED] {
        let promise = node.prepare(id(which), ballot(1));
        assert_eq!(promise, LedgerMessage::Promise { id: id(which), ballot: ballot(1), held: None });
    }
    put_record(&mut node, OWNED, 1, Micros(0), record(1, true, 5_000, attempts()[..1].to_vec(), None));
    for which in [OFFERED, FREED] {
        node.hear(
            OF_LEDGER,
            2,
            &LedgerMessage::StoreRequest { id: id(which), ballot: ballot(1), request: b"a request".to_vec() },
        );
    }
    put_record(&mut node, OFFERED, 1, Micros(20_000), record(2, true, 300, attempts(), None));
    put_record(&mut node, ANSWERED, 1, Micros(2_000), record(1, true, 2_000, attempts(), None));
    put_record(&mut node, FREED, 1, Micros(3_000), record(3, false, 2_000, Vec::new(), None));
    node.run_until(node.now + Micros(400_000));
    put_record(&mut node, OWNED, 2, Micros(400_000), record(1, true, 5_000, attempts(), None));
    let answer = Some(b"200 and an answer".to_vec());
    put_record(&mut node, ANSWERED, 2, Micros(402_000), record(1, true, 2_000, attempts(), answer));
    // A write ends later than it was heard of, and was first sent earlier than was known.
    let (age, sent_ago) = (Micros(1_100_003), Some(Micros(900_000)));
    let done = WriteState::Ended(WriteOutcome::Completed(500));
    node.hear(OF_BRANCH, 2, &replicate(3, done, age, sent_ago));
    let again = replicate(9, WriteState::Sent(0), Micros(50), Some(Micros(40)));
    node.hear(OF_BRANCH, 2, &again);
    node.run_until(ENDED - Micros(400_000));
    assert_eq!(node.orphans.len(), 1, "the one whose owner is silent");
    // What was offered is put there with the next change.
    drop(node.prepare(id(OFFERED), ballot(2)));
    drop(node.prepare(id(PROMISED), ballot(3)));
    let mut on_disk = Vec::new();
    for (name, order) in orders() {
        node.hear(OF_ROLLOUT, 2, &RolloutMessage::Command { command: Box::new(order), is_leader: false });
        node.run_until(node.now + LEDGER_TICK_INTERVAL);
        on_disk.push((name, node.stored.get(&b"order"[..]).cloned().expect("it is there")));
    }
    node.run_until(ENDED);
    (node, on_disk)
}

/// One line for each key, sorted.
fn listed<'a>(stored: impl IntoIterator<Item = (&'a [u8], &'a [u8])>) -> String {
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    stored.into_iter().map(|(key, value)| format!("{}\t{}\n", hex(key), hex(value))).collect()
}

fn list_of(stored: &Stored) -> String {
    listed(stored.iter().map(|(key, value)| (key.as_slice(), value.as_slice())))
}

/// What the build of the fixture left, read through this build's disk from a copy.
fn on_disk() -> Stored {
    let copy = folder();
    std::fs::copy(fixtures().join("disk/fleet.redb"), copy.join("fleet.redb")).expect("copied");
    let (disk, mut words) = Disk::open(&copy);
    let Some(DiskEvent::Loaded(puts)) = words.blocking_recv() else { panic!("it was not read") };
    drop(disk);
    assert!(words.blocking_recv().is_none(), "the thread has ended");
    assert!(!copy.join("fleet.redb.bad").exists(), "it is sound");
    std::fs::remove_dir_all(copy).expect("removed");
    puts.into_iter().map(|put| (put.key, put.value.expect("a value"))).collect()
}

fn text(name: &str) -> String {
    std::fs::read_to_string(fixtures().join(name)).expect("a fixture")
}

/// The command in `tests/fixtures/README.md` runs this on the build whose files are wanted; it writes over none.
#[test]
#[ignore = "makes the fixtures"]
fn make_the_fixtures() {
    let into = fixtures().join("disk");
    assert!(!into.join("fleet.redb").exists(), "fixtures are never rewritten");
    let (node, orders) = told();
    let (disk, mut words) = Disk::open(&into);
    assert!(matches!(words.blocking_recv(), Some(DiskEvent::Loaded(puts)) if puts.is_empty()));
    for (batch, puts) in &node.batches {
        assert!(disk.submit(*batch, puts.clone()));
        assert!(matches!(words.blocking_recv(), Some(DiskEvent::Synced(held)) if held == *batch));
    }
    drop(disk);
    assert!(words.blocking_recv().is_none());
    std::fs::write(into.join("stored.tsv"), list_of(&node.stored)).expect("written");
    let names = orders.iter().map(|(name, value)| (name.as_bytes(), value.as_slice()));
    std::fs::write(into.join("orders.tsv"), listed(names)).expect("written");
    for (name, report) in reports() {
        let into = fixtures().join(format!("rollout/report-{name}.json"));
        assert!(!into.exists(), "fixtures are never rewritten");
        std::fs::write(into, report).expect("written");
    }
}

#[test]
fn the_same_events_are_written_as_the_same_bytes() {
    let (node, orders) = told();
    assert_eq!(list_of(&node.stored), text("disk/stored.tsv"));
    let names = orders.iter().map(|(name, value)| (name.as_bytes(), value.as_slice()));
    assert_eq!(listed(names), text("disk/orders.tsv"));
}

#[test]
fn the_file_of_the_build_before_holds_what_that_build_listed() {
    assert_eq!(list_of(&on_disk()), text("disk/stored.tsv"));
}

/// A second after the fixture's process ended, the next one begins, whose own clock began elsewhere.
const NEXT_BEGAN: Micros = Micros(100_000_000);
const AFTER: Micros = Micros(1_000_000);

fn next_process(boot: u64) -> Node {
    let uptime = UPTIME + (ENDED - BEGAN) + AFTER;
    Node::begin(MachineId { boot, uptime }, NEXT_BEGAN, &on_disk())
}

/// A time of the fixture's process on the next one's clock.
fn then(at: Micros) -> Micros {
    NEXT_BEGAN - AFTER - (ENDED - at)
}

/// The writes of the fixture, with the times of the process that held them.
fn entries() -> Vec<LogEntry> {
    let (heard, late) = (TOLD_AT, TOLD_AT + Micros(400_000));
    let under_way = Micros(100_000);
    let mut entries: Vec<LogEntry> = (1..)
        .zip(states())
        .map(|(number, state)| LogEntry {
            write: write(number),
            state,
            accepted_at: heard - Micros(700_000 + u64::from(number)),
            first_sent_at: matches!(
                state,
                WriteState::Sent(_) | WriteState::Ended(WriteOutcome::Unknown | WriteOutcome::Completed(_))
            )
            .then(|| heard - Micros(150_000 + u64::from(number)) - under_way),
            ended_at: state.is_ended().then_some(heard),
        })
        .collect();
    entries[2].state = WriteState::Ended(WriteOutcome::Completed(500));
    entries[2].first_sent_at = Some(late - Micros(900_000) - under_way);
    entries[2].ended_at = Some(late);
    let (born, sent) = (late - Micros(50), Some(late - Micros(40) - under_way));
    entries.push(LogEntry {
        write: write(9),
        state: WriteState::Sent(0),
        accepted_at: born,
        first_sent_at: sent,
        ended_at: None,
    });
    entries
}

fn check_writes(node: &Node, told: impl Fn(Dot, Micros) -> Micros) {
    let branch = node.fleet.write_queue().expect("it is of one");
    for entry in entries() {
        let dot = entry.write.dot;
        assert_eq!(node.fleet.write_status(dot), Some(WriteStatus::Known(entry.state)));
        // When a write ended is not read, but counted anew.
        let over = entry.ended_at.map(|_| node.now);
        let (born, sent) = (told(dot, entry.accepted_at), entry.first_sent_at.map(|time| told(dot, time)));
        let expected = LogEntry { accepted_at: born, first_sent_at: sent, ended_at: over, ..entry };
        assert_eq!(branch.replica().log().get(dot), Some(&expected), "{dot}");
    }
    assert_eq!(branch.replica().log().pending_count(), 3);
}

fn seen(sequence: u32, born: Micros, at: Micros, record: Record) -> Option<RecordSnapshot> {
    let now = NEXT_BEGAN;
    Some(RecordSnapshot {
        ballot: ballot(1),
        sequence,
        record,
        age: now - then(born),
        since_write: now - then(at),
    })
}

#[test]
fn the_next_process_reads_what_the_build_before_meant() {
    let mut node = next_process(BOOT);
    // Two of them are of claims of its own: on the branch's record and the rollout's.
    let votes = (true, true);
    assert_eq!(node.notices, [ClusterNotice::StorageLoaded { writes: 9, records: 7, votes }]);
    check_writes(&node, |_, time| then(time));
    let (first, late) = (TOLD_AT, TOLD_AT + Micros(400_000));
    let new = ballot(9);
    use LedgerMessage::{Locked, Preempted, Promise};
    assert_eq!(node.prepare(id(FORGOTTEN), new), Promise { id: id(FORGOTTEN), ballot: new, held: None });
    let owned = seen(2, first, late, record(1, true, 5_000, attempts(), None)).expect("it is there");
    assert_eq!(node.prepare(id(OWNED), new), Locked { id: id(OWNED), ballot: new, held: owned });
    let offered = record(2, true, 300, attempts(), None);
    let offered = seen(1, first - Micros(20_000), first, offered);
    // These were promised to later ballots.
    for (which, by) in [(OFFERED, ballot(2)), (PROMISED, ballot(3))] {
        assert_eq!(
            node.prepare(id(which), ballot(1)),
            Preempted { id: id(which), ballot: ballot(1), promised: by }
        );
    }
    assert_eq!(node.prepare(id(OFFERED), new), Promise { id: id(OFFERED), ballot: new, held: offered });
    let answered = record(1, true, 2_000, attempts(), Some(b"200 and an answer".to_vec()));
    let answered = seen(2, first - Micros(2_000), late, answered).expect("it is there");
    assert_eq!(node.prepare(id(ANSWERED), new), Locked { id: id(ANSWERED), ballot: new, held: answered });
    let freed = record(3, false, 2_000, Vec::new(), None);
    let freed = seen(1, first - Micros(3_000), first, freed);
    assert_eq!(node.prepare(id(FREED), new), Promise { id: id(FREED), ballot: new, held: freed });
    // It was offered to be finished by the process before, and is offered again once that is long enough ago.
    node.run_until(node.now + LEDGER_TICK_INTERVAL);
    let request = b"a request".to_vec();
    let orphan = AbandonedRequest { id: id(OFFERED), request_digest: 0xd1_6e57, request };
    assert_eq!(node.orphans, [orphan]);
    let rollout = node.fleet.routing_in_force().expect("it takes part");
    let (_, order) = orders().pop().expect("the last");
    assert_eq!(
        (rollout.key, rollout.baseline, rollout.canary),
        (Some(order.key), order.baseline, order.canary)
    );
    assert_eq!((rollout.counts_outcomes, rollout.canary_share), (false, 0));
}

#[test]
fn after_a_start_of_the_machine_writes_alone_are_remembered() {
    let mut node = next_process(BOOT + 1);
    let votes = (true, false);
    assert_eq!(node.notices, [ClusterNotice::StorageLoaded { writes: 9, records: 0, votes }]);
    // Each is as old as it was when it was put there: these two were heard of again.
    check_writes(&node, |of, time| {
        let put_at = if [dot(3), dot(9)].contains(&of) { TOLD_AT + Micros(400_000) } else { TOLD_AT };
        NEXT_BEGAN - (put_at - time)
    });
    node.run_until(node.now + LEDGER_TICK_INTERVAL);
    let left: Vec<&Vec<u8>> = node.stored.keys().filter(|key| key.first() == Some(&b'r')).collect();
    assert!(left.is_empty(), "its records say nothing any more: {left:?}");
}

#[test]
fn every_form_of_an_order_is_read_and_written_as_before() {
    let hex = |text: &str| -> Vec<u8> {
        (0..text.len() / 2).map(|i| u8::from_str_radix(&text[2 * i..2 * i + 2], 16).expect("hex")).collect()
    };
    let text = text("disk/orders.tsv");
    let found: Vec<(String, Vec<u8>)> = text
        .lines()
        .filter_map(|line| line.split_once('\t'))
        .map(|(name, value)| (String::from_utf8(hex(name)).expect("a name"), hex(value)))
        .collect();
    assert_eq!(found.len(), orders().len());
    for ((name, order), (found_name, bytes)) in orders().into_iter().zip(found) {
        assert_eq!(name, found_name);
        assert_eq!(postcard::from_bytes::<RolloutCommand>(&bytes).expect("it can be read"), order, "{name}");
        assert_eq!(postcard::to_allocvec(&order).expect("it can be written"), bytes, "{name}");
    }
}

fn counts(base: u64) -> ClassCounts {
    let (on_time, late, failed, rejected) = (base + 50, base + 7, base + 3, base + 1);
    let baseline = OutcomeTotals { on_time, late, failed, rejected };
    let (on_time, late, failed, rejected) = (base + 60, base + 8, base + 4, base + 2);
    let canary = OutcomeTotals { on_time, late, failed, rejected };
    ClassCounts {
        outcomes: PerArm { baseline, canary },
        response_times: PerArm { baseline: [1, 2, 3, 4, 5], canary: [6, 7, 8, 9, 10] },
        canary_failures: 2,
        log_prices: [0.1, 0.2, 0.3, 0.4],
    }
}

/// What operators read, as JSON: of each form of an order, and at a gateway that collects the counts.
fn reports() -> Vec<(&'static str, String)> {
    let mut reports = Vec::new();
    for (name, order) in orders() {
        let key = order.key;
        let mut node = Node::begin(MachineId { boot: BOOT, uptime: UPTIME }, BEGAN, &Stored::new());
        node.hear(OF_ROLLOUT, 2, &RolloutMessage::Command { command: Box::new(order), is_leader: false });
        for (seat, stage) in [(0u16, 2u8), (2, 3)] {
            let row = CountRow {
                key,
                process: 5,
                sequence: 1,
                zone: "west".to_string(),
                stage,
                has_ended: stage == 3,
                classes: vec![ClassRow { class: 1, counts: counts(u64::from(seat) * 100) }],
            };
            node.hear(OF_ROLLOUT, seat, &RolloutMessage::Counts(Box::new(row.clone())));
            // One that can't be.
            let classes = vec![ClassRow { class: 64, counts: ClassCounts::default() }];
            let row = CountRow { sequence: 2, classes, ..row };
            node.hear(OF_ROLLOUT, seat, &RolloutMessage::Counts(Box::new(row)));
        }
        node.run_until(BEGAN + Micros(1_000_000));
        let report = node.fleet.rollout_report(node.now).expect("there is one");
        reports.push((name, serde_json::to_string_pretty(&report).expect("it can be written")));
    }
    reports
}

#[test]
fn operators_read_the_same_of_every_form_of_a_rollout() {
    for (name, report) in reports() {
        assert_eq!(report, text(&format!("rollout/report-{name}.json")), "{name}");
    }
}
