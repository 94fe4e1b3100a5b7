//! A folder on disk that an earlier build wrote (`tests/fixtures/disk`) is read as that build meant it, and the same
//! events are written as the same bytes.
//!
//! After an upgrade the new program reads what the old one stored: a field in another place would make it forget or
//! misread what the old one promised to others.

mod driver;
mod scenario;

use crate::cluster::ledger::{AbandonedRequest, LedgerMessage, Record, RecordSnapshot};
use crate::cluster::rollout::{ClassCounts, ClassRow, CountRow, RolloutCommand, RolloutMessage};
use crate::cluster::write_queue::{Dot, LogEntry, WriteOutcome, WriteState, WriteStatus};
use crate::cluster::{ClusterNotice, MachineId, LEDGER_TICK_INTERVAL};
use crate::decision::Micros;
use crate::proxy::cluster_transport::disk::{Disk, DiskEvent};
use driver::{Driver, Stored, BEGAN, BOOT, ENDED, MESSAGES_AT, OF_ROLLOUT, UPTIME};
use scenario::{
    attempts, ballot, commands, counts, dot, id, record, run_scenario, states, write, ANSWERED, FORGOTTEN,
    OFFERED, OWNED, PROMISED, RELEASED,
};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

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

/// One line for each key, sorted.
fn listing<'a>(stored: impl IntoIterator<Item = (&'a [u8], &'a [u8])>) -> String {
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    stored.into_iter().map(|(key, value)| format!("{}\t{}\n", hex(key), hex(value))).collect()
}

fn listing_of(stored: &Stored) -> String {
    listing(stored.iter().map(|(key, value)| (key.as_slice(), value.as_slice())))
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
    let (driver, commands) = run_scenario();
    let (disk, mut words) = Disk::open(&into);
    assert!(matches!(words.blocking_recv(), Some(DiskEvent::Loaded(puts)) if puts.is_empty()));
    for (batch, puts) in &driver.batches {
        assert!(disk.submit(*batch, puts.clone()));
        assert!(matches!(words.blocking_recv(), Some(DiskEvent::Synced(held)) if held == *batch));
    }
    drop(disk);
    assert!(words.blocking_recv().is_none());
    std::fs::write(into.join("stored.tsv"), listing_of(&driver.stored)).expect("written");
    let names = commands.iter().map(|(name, value)| (name.as_bytes(), value.as_slice()));
    std::fs::write(into.join("orders.tsv"), listing(names)).expect("written");
    for (name, report) in reports() {
        let into = fixtures().join(format!("rollout/report-{name}.json"));
        assert!(!into.exists(), "fixtures are never rewritten");
        std::fs::write(into, report).expect("written");
    }
}

#[test]
fn the_same_events_are_written_as_the_same_bytes() {
    let (driver, commands) = run_scenario();
    assert_eq!(listing_of(&driver.stored), text("disk/stored.tsv"));
    let names = commands.iter().map(|(name, value)| (name.as_bytes(), value.as_slice()));
    assert_eq!(listing(names), text("disk/orders.tsv"));
}

#[test]
fn the_file_of_the_build_before_holds_what_that_build_listed() {
    assert_eq!(listing_of(&on_disk()), text("disk/stored.tsv"));
}

/// A second after the fixture's process ended, the next one begins, whose own clock began elsewhere.
const NEXT_BEGAN: Micros = Micros(100_000_000);
const AFTER: Micros = Micros(1_000_000);

fn next_process(boot: u64) -> Driver {
    let uptime = UPTIME + (ENDED - BEGAN) + AFTER;
    Driver::start(MachineId { boot, uptime }, NEXT_BEGAN, &on_disk())
}

/// A time of the fixture's process on the next one's clock.
fn on_next_clock(at: Micros) -> Micros {
    NEXT_BEGAN - AFTER - (ENDED - at)
}

/// The writes of the fixture, with the times of the process that held them.
fn entries() -> Vec<LogEntry> {
    let (heard, late) = (MESSAGES_AT, MESSAGES_AT + Micros(400_000));
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

fn check_writes(driver: &Driver, told: impl Fn(Dot, Micros) -> Micros) {
    let branch = driver.fleet.write_queue().expect("it is of one");
    for entry in entries() {
        let dot = entry.write.dot;
        assert_eq!(driver.fleet.write_status(dot), Some(WriteStatus::Known(entry.state)));
        // When a write ended is not read, but counted anew.
        let over = entry.ended_at.map(|_| driver.now);
        let (born, sent) = (told(dot, entry.accepted_at), entry.first_sent_at.map(|time| told(dot, time)));
        let expected = LogEntry { accepted_at: born, first_sent_at: sent, ended_at: over, ..entry };
        assert_eq!(branch.replica().log().get(dot), Some(&expected), "{dot}");
    }
    assert_eq!(branch.replica().log().pending_count(), 3);
}

fn snapshot(sequence: u32, born: Micros, at: Micros, record: Record) -> Option<RecordSnapshot> {
    let now = NEXT_BEGAN;
    Some(RecordSnapshot {
        ballot: ballot(1),
        sequence,
        record,
        age: now - on_next_clock(born),
        since_write: now - on_next_clock(at),
    })
}

#[test]
fn the_next_process_reads_what_the_build_before_meant() {
    let mut driver = next_process(BOOT);
    // Two of them are of claims of its own: on the branch's record and the rollout's.
    let votes = (true, true);
    assert_eq!(driver.notices, [ClusterNotice::StorageLoaded { writes: 9, records: 7, votes }]);
    check_writes(&driver, |_, time| on_next_clock(time));
    let (first, late) = (MESSAGES_AT, MESSAGES_AT + Micros(400_000));
    let new = ballot(9);
    use LedgerMessage::{Locked, Preempted, Promise};
    assert_eq!(driver.prepare(id(FORGOTTEN), new), Promise { id: id(FORGOTTEN), ballot: new, held: None });
    let owned = snapshot(2, first, late, record(1, true, 5_000, attempts(), None)).expect("it is there");
    assert_eq!(driver.prepare(id(OWNED), new), Locked { id: id(OWNED), ballot: new, held: owned });
    let offered = record(2, true, 300, attempts(), None);
    let offered = snapshot(1, first - Micros(20_000), first, offered);
    // These were promised to later ballots.
    for (which, by) in [(OFFERED, ballot(2)), (PROMISED, ballot(3))] {
        assert_eq!(
            driver.prepare(id(which), ballot(1)),
            Preempted { id: id(which), ballot: ballot(1), promised: by }
        );
    }
    assert_eq!(driver.prepare(id(OFFERED), new), Promise { id: id(OFFERED), ballot: new, held: offered });
    let answered = record(1, true, 2_000, attempts(), Some(b"200 and an answer".to_vec()));
    let answered = snapshot(2, first - Micros(2_000), late, answered).expect("it is there");
    assert_eq!(driver.prepare(id(ANSWERED), new), Locked { id: id(ANSWERED), ballot: new, held: answered });
    let released = record(3, false, 2_000, Vec::new(), None);
    let released = snapshot(1, first - Micros(3_000), first, released);
    assert_eq!(driver.prepare(id(RELEASED), new), Promise { id: id(RELEASED), ballot: new, held: released });
    // It was offered to be finished by the process before, and is offered again once that is long enough ago.
    driver.run_until(driver.now + LEDGER_TICK_INTERVAL);
    let request = b"a request".to_vec();
    let orphan = AbandonedRequest { id: id(OFFERED), request_digest: 0xd1_6e57, request };
    assert_eq!(driver.orphans, [orphan]);
    let rollout = driver.fleet.routing_in_force().expect("it takes part");
    let (_, command) = commands().pop().expect("the last");
    assert_eq!(
        (rollout.key, rollout.baseline, rollout.canary),
        (Some(command.key), command.baseline, command.canary)
    );
    assert_eq!((rollout.counts_outcomes, rollout.canary_share), (false, 0));
}

#[test]
fn after_a_start_of_the_machine_writes_alone_are_remembered() {
    let mut driver = next_process(BOOT + 1);
    let votes = (true, false);
    assert_eq!(driver.notices, [ClusterNotice::StorageLoaded { writes: 9, records: 0, votes }]);
    // Each is as old as it was when it was put there: these two were heard of again.
    check_writes(&driver, |of, time| {
        let put_at = if [dot(3), dot(9)].contains(&of) { MESSAGES_AT + Micros(400_000) } else { MESSAGES_AT };
        NEXT_BEGAN - (put_at - time)
    });
    driver.run_until(driver.now + LEDGER_TICK_INTERVAL);
    let left: Vec<&Vec<u8>> = driver.stored.keys().filter(|key| key.first() == Some(&b'r')).collect();
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
    assert_eq!(found.len(), commands().len());
    for ((name, command), (found_name, bytes)) in commands().into_iter().zip(found) {
        assert_eq!(name, found_name);
        assert_eq!(
            postcard::from_bytes::<RolloutCommand>(&bytes).expect("it can be read"),
            command,
            "{name}"
        );
        assert_eq!(postcard::to_allocvec(&command).expect("it can be written"), bytes, "{name}");
    }
}

/// What operators read, as JSON: of each form of an command, and at a gateway that collects the counts.
fn reports() -> Vec<(&'static str, String)> {
    let mut reports = Vec::new();
    for (name, command) in commands() {
        let key = command.key;
        let mut driver = Driver::start(MachineId { boot: BOOT, uptime: UPTIME }, BEGAN, &Stored::new());
        driver.receive(
            OF_ROLLOUT,
            2,
            &RolloutMessage::Command { command: Box::new(command), is_leader: false },
        );
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
            driver.receive(OF_ROLLOUT, seat, &RolloutMessage::Counts(Box::new(row.clone())));
            // One that can't be.
            let classes = vec![ClassRow { class: 64, counts: ClassCounts::default() }];
            let row = CountRow { sequence: 2, classes, ..row };
            driver.receive(OF_ROLLOUT, seat, &RolloutMessage::Counts(Box::new(row)));
        }
        driver.run_until(BEGAN + Micros(1_000_000));
        let report = driver.fleet.rollout_report(driver.now).expect("there is one");
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
