//! Compatibility tests of the stored form. A storage file of an earlier build (`tests/fixtures/disk`) is read back
//! with the same meaning, and the same events are written as the same bytes.
//!
//! After an upgrade the new program reads the storage file of the old one. A field at another position would make it
//! lose or misread promises that the old program made to other gateways.

mod driver;
mod scenario;

use crate::cluster::ledger::{AbandonedRequest, LedgerMessage, Record, RecordSnapshot};
use crate::cluster::rollout::{ClassCounts, ClassRow, CountRow, RolloutCommand, RolloutMessage};
use crate::cluster::write_queue::{Dot, LogEntry, WriteOutcome, WriteState, WriteStatus};
use crate::cluster::{ClusterNotice, MachineId, LEDGER_TICK_INTERVAL};
use crate::decision::Micros;
use crate::proxy::cluster_transport::disk::{Disk, DiskEvent};
use driver::{
    Driver, StoredEntries, BOOT_ID, ENDED_AT, MESSAGES_AT, ROLLOUT_PAYLOAD, STARTED_AT, UPTIME_AT_START,
};
use scenario::{
    attempts, ballot, branch_write, class_counts, commands, dot, id, record, run_scenario, write_states,
    ABANDONED, COMPLETED, EXPIRED, OWNED, PROMISED, RELEASED,
};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

fn fixtures_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

/// Creates a new temporary folder for each call.
fn temporary_folder() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("fixture-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Lists keys and values in hexadecimal, one line for each key, in the given order.
fn hex_listing<'a>(stored: impl IntoIterator<Item = (&'a [u8], &'a [u8])>) -> String {
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    stored.into_iter().map(|(key, value)| format!("{}\t{}\n", hex(key), hex(value))).collect()
}

fn stored_listing(stored: &StoredEntries) -> String {
    hex_listing(stored.iter().map(|(key, value)| (key.as_slice(), value.as_slice())))
}

/// Reads the fixture's storage file with this build, from a copy.
fn read_fixture_file() -> StoredEntries {
    let copy = temporary_folder();
    std::fs::copy(fixtures_folder().join("disk/fleet.redb"), copy.join("fleet.redb")).expect("copied");
    let (disk, mut events) = Disk::open(&copy);
    let Some(DiskEvent::Loaded(writes)) = events.blocking_recv() else {
        panic!("the fixture was not loaded")
    };
    drop(disk);
    assert!(events.blocking_recv().is_none(), "the storage thread has ended");
    assert!(!copy.join("fleet.redb.bad").exists(), "the fixture is a valid file");
    std::fs::remove_dir_all(copy).expect("removed");
    writes.into_iter().map(|write| (write.key, write.value.expect("a value"))).collect()
}

fn fixture_text(name: &str) -> String {
    std::fs::read_to_string(fixtures_folder().join(name)).expect("a fixture")
}

/// Writes the fixtures with the build that runs it; the command is in `tests/fixtures/README.md`. Never overwrites a
/// file.
#[test]
#[ignore = "makes the fixtures"]
fn make_the_fixtures() {
    let folder = fixtures_folder().join("disk");
    assert!(!folder.join("fleet.redb").exists(), "fixtures are never rewritten");
    let (driver, commands) = run_scenario();
    let (disk, mut events) = Disk::open(&folder);
    assert!(matches!(events.blocking_recv(), Some(DiskEvent::Loaded(writes)) if writes.is_empty()));
    for (batch, writes) in &driver.batches {
        assert!(disk.submit(*batch, writes.clone()));
        assert!(matches!(events.blocking_recv(), Some(DiskEvent::Synced(synced)) if synced == *batch));
    }
    drop(disk);
    assert!(events.blocking_recv().is_none());
    std::fs::write(folder.join("stored.tsv"), stored_listing(&driver.stored)).expect("written");
    let named_commands = commands.iter().map(|(name, value)| (name.as_bytes(), value.as_slice()));
    std::fs::write(folder.join("orders.tsv"), hex_listing(named_commands)).expect("written");
    for (name, report) in reports() {
        let path = fixtures_folder().join(format!("rollout/report-{name}.json"));
        assert!(!path.exists(), "fixtures are never rewritten");
        std::fs::write(path, report).expect("written");
    }
}

#[test]
fn same_events_are_stored_as_the_bytes_of_the_fixture() {
    let (driver, commands) = run_scenario();
    assert_eq!(stored_listing(&driver.stored), fixture_text("disk/stored.tsv"));
    let named_commands = commands.iter().map(|(name, value)| (name.as_bytes(), value.as_slice()));
    assert_eq!(hex_listing(named_commands), fixture_text("disk/orders.tsv"));
}

#[test]
fn file_of_the_earlier_build_holds_the_listed_entries() {
    assert_eq!(stored_listing(&read_fixture_file()), fixture_text("disk/stored.tsv"));
}

/// Start of the next process on its own clock, which has another origin than that of the fixture's process.
const NEXT_STARTED_AT: Micros = Micros(100_000_000);
/// Time between the end of the fixture's process and the start of the next one.
const DOWNTIME: Micros = Micros(1_000_000);

fn next_process(boot: u64) -> Driver {
    let uptime = UPTIME_AT_START + (ENDED_AT - STARTED_AT) + DOWNTIME;
    Driver::start(MachineId { boot, uptime }, NEXT_STARTED_AT, &read_fixture_file())
}

/// Converts a time of the fixture's process to the clock of the next process.
fn to_next_clock(at: Micros) -> Micros {
    NEXT_STARTED_AT - DOWNTIME - (ENDED_AT - at)
}

/// The writes of the fixture, with times on the clock of the fixture's process.
fn expected_entries() -> Vec<LogEntry> {
    let (first, second) = (MESSAGES_AT, MESSAGES_AT + Micros(400_000));
    let max_transit_time = Micros(100_000);
    let mut entries: Vec<LogEntry> = (1..)
        .zip(write_states())
        .map(|(number, state)| LogEntry {
            write: branch_write(number),
            state,
            accepted_at: first - Micros(700_000 + u64::from(number)),
            first_sent_at: matches!(
                state,
                WriteState::Sent(_) | WriteState::Ended(WriteOutcome::Unknown | WriteOutcome::Completed(_))
            )
            .then(|| first - Micros(150_000 + u64::from(number)) - max_transit_time),
            ended_at: state.is_ended().then_some(first),
        })
        .collect();
    entries[2].state = WriteState::Ended(WriteOutcome::Completed(500));
    entries[2].first_sent_at = Some(second - Micros(900_000) - max_transit_time);
    entries[2].ended_at = Some(second);
    let (accepted_at, first_sent_at) = (second - Micros(50), Some(second - Micros(40) - max_transit_time));
    entries.push(LogEntry {
        write: branch_write(9),
        state: WriteState::Sent(0),
        accepted_at,
        first_sent_at,
        ended_at: None,
    });
    entries
}

fn check_writes(driver: &Driver, restored_time: impl Fn(Dot, Micros) -> Micros) {
    let queue = driver.node.write_queue().expect("the gateway belongs to a branch");
    for entry in expected_entries() {
        let dot = entry.write.dot;
        assert_eq!(driver.node.write_status(dot), Some(WriteStatus::Known(entry.state)));
        // The time at which a write ended is not restored; it is set to the time of loading.
        let ended_at = entry.ended_at.map(|_| driver.now);
        let (accepted_at, first_sent_at) =
            (restored_time(dot, entry.accepted_at), entry.first_sent_at.map(|time| restored_time(dot, time)));
        let expected = LogEntry { accepted_at, first_sent_at, ended_at, ..entry };
        assert_eq!(queue.replica().log().get(dot), Some(&expected), "{dot}");
    }
    assert_eq!(queue.replica().log().pending_count(), 3);
}

fn snapshot(
    sequence: u32,
    record_began: Micros,
    written_at: Micros,
    record: Record,
) -> Option<RecordSnapshot> {
    let now = NEXT_STARTED_AT;
    Some(RecordSnapshot {
        ballot: ballot(1),
        sequence,
        record,
        age: now - to_next_clock(record_began),
        since_write: now - to_next_clock(written_at),
    })
}

#[test]
fn next_process_restores_the_state_of_the_earlier_build() {
    let mut driver = next_process(BOOT_ID);
    // Two of the 7 records are those of the gateway's own claims, for the leases of the branch and of the rollout.
    let votes = (true, true);
    assert_eq!(driver.notices, [ClusterNotice::StorageLoaded { writes: 9, records: 7, votes }]);
    check_writes(&driver, |_, time| to_next_clock(time));
    let (first, second) = (MESSAGES_AT, MESSAGES_AT + Micros(400_000));
    let new = ballot(9);
    use LedgerMessage::{Locked, Preempted, Promise};
    assert_eq!(driver.prepare(id(EXPIRED), new), Promise { id: id(EXPIRED), ballot: new, held: None });
    let owned = snapshot(2, first, second, record(1, true, 5_000, attempts(), None)).expect("a snapshot");
    assert_eq!(driver.prepare(id(OWNED), new), Locked { id: id(OWNED), ballot: new, held: owned });
    let abandoned = record(2, true, 300, attempts(), None);
    let abandoned = snapshot(1, first - Micros(20_000), first, abandoned);
    // These records were promised to higher ballots.
    for (number, promised) in [(ABANDONED, ballot(2)), (PROMISED, ballot(3))] {
        assert_eq!(
            driver.prepare(id(number), ballot(1)),
            Preempted { id: id(number), ballot: ballot(1), promised }
        );
    }
    assert_eq!(
        driver.prepare(id(ABANDONED), new),
        Promise { id: id(ABANDONED), ballot: new, held: abandoned }
    );
    let completed = record(1, true, 2_000, attempts(), Some(b"200 and an answer".to_vec()));
    let completed = snapshot(2, first - Micros(2_000), second, completed).expect("a snapshot");
    assert_eq!(
        driver.prepare(id(COMPLETED), new),
        Locked { id: id(COMPLETED), ballot: new, held: completed }
    );
    let released = record(3, false, 2_000, Vec::new(), None);
    let released = snapshot(1, first - Micros(3_000), first, released);
    assert_eq!(driver.prepare(id(RELEASED), new), Promise { id: id(RELEASED), ballot: new, held: released });
    // The earlier process had offered this request to be finished. It is offered again after a time-out.
    driver.run_until(driver.now + LEDGER_TICK_INTERVAL);
    let request = b"a request".to_vec();
    let abandoned_request = AbandonedRequest { id: id(ABANDONED), request_digest: 0xd1_6e57, request };
    assert_eq!(driver.abandoned_requests, [abandoned_request]);
    let rollout = driver.node.routing_in_force().expect("rollouts are configured");
    let (_, command) = commands().pop().expect("the last command");
    assert_eq!(
        (rollout.key, rollout.baseline, rollout.canary),
        (Some(command.key), command.baseline, command.canary)
    );
    assert_eq!((rollout.counts_outcomes, rollout.canary_share), (false, 0));
}

#[test]
fn after_a_reboot_only_writes_are_restored() {
    let mut driver = next_process(BOOT_ID + 1);
    let votes = (true, false);
    assert_eq!(driver.notices, [ClusterNotice::StorageLoaded { writes: 9, records: 0, votes }]);
    // After a reboot, each write is as old as when it was stored. These two were stored again at the second update.
    check_writes(&driver, |dot_of_write, time| {
        let stored_at = if [dot(3), dot(9)].contains(&dot_of_write) {
            MESSAGES_AT + Micros(400_000)
        } else {
            MESSAGES_AT
        };
        NEXT_STARTED_AT - (stored_at - time)
    });
    driver.run_until(driver.now + LEDGER_TICK_INTERVAL);
    let remaining_records: Vec<&Vec<u8>> =
        driver.stored.keys().filter(|key| key.first() == Some(&b'r')).collect();
    assert!(remaining_records.is_empty(), "records must be removed after a reboot: {remaining_records:?}");
}

#[test]
fn rollout_commands_match_their_stored_form() {
    let hex = |text: &str| -> Vec<u8> {
        (0..text.len() / 2).map(|i| u8::from_str_radix(&text[2 * i..2 * i + 2], 16).expect("hex")).collect()
    };
    let text = fixture_text("disk/orders.tsv");
    let found: Vec<(String, Vec<u8>)> = text
        .lines()
        .filter_map(|line| line.split_once('\t'))
        .map(|(name, value)| (String::from_utf8(hex(name)).expect("a name"), hex(value)))
        .collect();
    assert_eq!(found.len(), commands().len());
    for ((name, command), (found_name, bytes)) in commands().into_iter().zip(found) {
        assert_eq!(name, found_name);
        assert_eq!(
            postcard::from_bytes::<RolloutCommand>(&bytes).expect("a valid command"),
            command,
            "{name}"
        );
        assert_eq!(postcard::to_allocvec(&command).expect("a valid command"), bytes, "{name}");
    }
}

/// The JSON reports for operators, one for each form of a rollout command, at a gateway that collects the counts.
fn reports() -> Vec<(&'static str, String)> {
    let mut reports = Vec::new();
    for (name, command) in commands() {
        let key = command.key;
        let mut driver = Driver::start(
            MachineId { boot: BOOT_ID, uptime: UPTIME_AT_START },
            STARTED_AT,
            &StoredEntries::new(),
        );
        driver.receive(
            ROLLOUT_PAYLOAD,
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
                classes: vec![ClassRow { class: 1, counts: class_counts(u64::from(seat) * 100) }],
            };
            driver.receive(ROLLOUT_PAYLOAD, seat, &RolloutMessage::Counts(Box::new(row.clone())));
            // A row with an invalid class number; it is rejected and counted.
            let classes = vec![ClassRow { class: 64, counts: ClassCounts::default() }];
            let row = CountRow { sequence: 2, classes, ..row };
            driver.receive(ROLLOUT_PAYLOAD, seat, &RolloutMessage::Counts(Box::new(row)));
        }
        driver.run_until(STARTED_AT + Micros(1_000_000));
        let report = driver.node.rollout_report(driver.now).expect("a rollout");
        reports.push((name, serde_json::to_string_pretty(&report).expect("a valid report")));
    }
    reports
}

#[test]
fn rollout_reports_match_the_fixtures() {
    for (name, report) in reports() {
        assert_eq!(report, fixture_text(&format!("rollout/report-{name}.json")), "{name}");
    }
}
