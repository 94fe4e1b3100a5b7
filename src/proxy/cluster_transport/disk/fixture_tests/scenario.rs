//! The contents of the fixture: writes of a branch in every state, ledger records at every stage of their life cycle,
//! and a rollout command in every form.

use super::driver::{
    Driver, StoredEntries, BOOT_ID, ENDED_AT, LEDGER_PAYLOAD, MESSAGES_AT, ROLLOUT_PAYLOAD, STARTED_AT,
    UPTIME_AT_START, WRITE_QUEUE_PAYLOAD,
};
use crate::cluster::ledger::{Ballot, LedgerMessage, Record, RecordId, SentAttempt};
use crate::cluster::rollout::{
    ClassCounts, HaltReason, OutcomeTotals, Pause, PerArm, RolloutCommand, RolloutEnd, RolloutKey,
    RolloutMessage, RolloutSettings, RuleConfig, RuleSet,
};
use crate::cluster::write_queue::{Dot, QueueMessage, ReplicatedWrite, Write, WriteOutcome, WriteState};
use crate::cluster::{MachineId, LEDGER_TICK_INTERVAL};
use crate::decision::Micros;

pub fn dot(number: u32) -> Dot {
    Dot { seat: 0, process: 0xa1b2_c3d4, number }
}

/// All states of a write.
pub fn write_states() -> [WriteState; 8] {
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

pub fn branch_write(number: u32) -> Write {
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

pub fn replicate(
    number: u32,
    state: WriteState,
    age: Micros,
    since_first_send: Option<Micros>,
) -> QueueMessage {
    QueueMessage::Replicate(ReplicatedWrite {
        write: Box::new(branch_write(number)),
        state,
        age,
        since_first_send,
    })
}

/// The name of a ledger record of the fixture. The constants below number the records by what happens to them.
pub fn id(index: u64) -> RecordId {
    RecordId { customer: 4_000 + index, key: 0xfeed_0000_0000_0000 + index }
}
pub const PROMISED: u64 = 1;
pub const OWNED: u64 = 2;
pub const ABANDONED: u64 = 3;
pub const COMPLETED: u64 = 4;
pub const RELEASED: u64 = 5;
pub const EXPIRED: u64 = 6;

pub fn ballot(number: u32) -> Ballot {
    Ballot { number, process: 0x0bad_cafe_0000_0009, claim: 31 }
}

pub fn record(
    fence: u32,
    owned: bool,
    lease_ms: u32,
    attempts: Vec<SentAttempt>,
    response: Option<Vec<u8>>,
) -> Record {
    Record { request_digest: 0xd1_6e57, fence, owned, lease_ms, attempts, response }
}

pub fn attempts() -> Vec<SentAttempt> {
    vec![SentAttempt { endpoint: 11, record_age_ms: 5 }, SentAttempt { endpoint: 12, record_age_ms: 340 }]
}

pub fn accept_record(driver: &mut Driver, index: u64, sequence: u32, age: Micros, record: Record) {
    let (id, ballot, since_promise) = (id(index), ballot(1), Micros(10_000));
    driver.receive(
        LEDGER_PAYLOAD,
        2,
        &LedgerMessage::Accept { id, ballot, sequence, since_promise, age, record },
    );
}

pub fn rollout_settings() -> RolloutSettings {
    RolloutSettings {
        stage_shares: vec![100, 500, 2_500, 10_000],
        bake_s: 30,
        max_stage_s: 900,
        false_halt_rate: 0.01,
        margin: 0.02,
        min_canary_requests: 250,
    }
}

pub fn command(
    number: u64,
    stage: u8,
    (changes, is_paused): (u32, bool),
    end: Option<RolloutEnd>,
) -> RolloutCommand {
    let baseline = RuleSet(vec![RuleConfig { max_attempts: Some(3), ..RuleConfig::default() }]);
    let canary = RuleSet(vec![
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
        settings: rollout_settings(),
        baseline,
        canary,
    }
}

/// All forms of a rollout command, by name.
pub fn commands() -> Vec<(&'static str, RolloutCommand)> {
    let canary_worse =
        HaltReason::CanaryWorse { scope: "class 2".into(), log_evidence: 5.75, log_threshold: 5.298 };
    vec![
        ("announced", command(1, 0, (0, false), None)),
        ("running", command(2, 2, (2, false), None)),
        ("paused", command(3, 3, (3, true), None)),
        ("done", command(4, 4, (0, false), Some(RolloutEnd::Completed))),
        ("aborted", command(5, 1, (1, true), Some(RolloutEnd::Aborted))),
        (
            "undecided",
            command(6, 2, (0, false), Some(RolloutEnd::Halted { seat: 2, reason: HaltReason::Undecided })),
        ),
        ("worse", command(7, 3, (2, false), Some(RolloutEnd::Halted { seat: 0, reason: canary_worse }))),
    ]
}

/// Starts a gateway with empty storage and runs it until it has its votes.
fn driver_with_votes() -> Driver {
    let mut driver = Driver::start(
        MachineId { boot: BOOT_ID, uptime: UPTIME_AT_START },
        STARTED_AT,
        &StoredEntries::new(),
    );
    driver.run_until(STARTED_AT + LEDGER_TICK_INTERVAL);
    driver.reply_to_page_queries();
    driver.run_until(MESSAGES_AT - Micros(1_000_000));
    drop(driver.prepare(id(EXPIRED), ballot(1)));
    driver.run_until(MESSAGES_AT);
    let votes_in_ledger = driver.node.ledger().is_some_and(|ledger| ledger.replica().has_vote(driver.now));
    assert!(
        votes_in_ledger && driver.node.write_queue().is_some_and(|queue| queue.replica().has_vote()),
        "the gateway has its votes"
    );
    driver
}

/// Sends the gateway the writes of the branch, one in each state.
fn receive_writes(driver: &mut Driver) {
    for (number, state) in (1..).zip(write_states()) {
        let was_sent = matches!(
            state,
            WriteState::Sent(_) | WriteState::Ended(WriteOutcome::Unknown | WriteOutcome::Completed(_))
        );
        let since_first_send = was_sent.then_some(Micros(150_000 + u64::from(number)));
        let age = Micros(700_000 + u64::from(number));
        driver.receive(WRITE_QUEUE_PAYLOAD, 0, &replicate(number, state, age, since_first_send));
    }
}

/// Sends the gateway the ledger records, one at each stage of their life cycle.
fn receive_records(driver: &mut Driver) {
    for index in [OWNED, ABANDONED, COMPLETED, RELEASED] {
        let promise = driver.prepare(id(index), ballot(1));
        assert_eq!(promise, LedgerMessage::Promise { id: id(index), ballot: ballot(1), held: None });
    }
    accept_record(driver, OWNED, 1, Micros(0), record(1, true, 5_000, attempts()[..1].to_vec(), None));
    for index in [ABANDONED, RELEASED] {
        driver.receive(
            LEDGER_PAYLOAD,
            2,
            &LedgerMessage::StoreRequest { id: id(index), ballot: ballot(1), request: b"a request".to_vec() },
        );
    }
    accept_record(driver, ABANDONED, 1, Micros(20_000), record(2, true, 300, attempts(), None));
    accept_record(driver, COMPLETED, 1, Micros(2_000), record(1, true, 2_000, attempts(), None));
    accept_record(driver, RELEASED, 1, Micros(3_000), record(3, false, 2_000, Vec::new(), None));
    driver.run_until(driver.now + Micros(400_000));
    accept_record(driver, OWNED, 2, Micros(400_000), record(1, true, 5_000, attempts(), None));
    let response = Some(b"200 and an answer".to_vec());
    accept_record(driver, COMPLETED, 2, Micros(402_000), record(1, true, 2_000, attempts(), response));
}

/// Runs a gateway with empty storage through all events of the fixture. Returns the gateway, and the stored value of
/// each rollout command by name.
pub fn run_scenario() -> (Driver, Vec<(&'static str, Vec<u8>)>) {
    let mut driver = driver_with_votes();
    receive_writes(&mut driver);
    receive_records(&mut driver);
    // Write 3 ends after it was first received, and was first sent earlier than the gateway knew.
    let (age, since_first_send) = (Micros(1_100_003), Some(Micros(900_000)));
    let completed = WriteState::Ended(WriteOutcome::Completed(500));
    driver.receive(WRITE_QUEUE_PAYLOAD, 2, &replicate(3, completed, age, since_first_send));
    let new_write = replicate(9, WriteState::Sent(0), Micros(50), Some(Micros(40)));
    driver.receive(WRITE_QUEUE_PAYLOAD, 2, &new_write);
    driver.run_until(ENDED_AT - Micros(400_000));
    assert_eq!(
        driver.abandoned_requests.len(),
        1,
        "only the record whose owner's lease ran out is abandoned"
    );
    // The time at which a request was offered is stored with the next change of its record.
    drop(driver.prepare(id(ABANDONED), ballot(2)));
    drop(driver.prepare(id(PROMISED), ballot(3)));
    let mut stored_commands = Vec::new();
    for (name, command) in commands() {
        driver.receive(
            ROLLOUT_PAYLOAD,
            2,
            &RolloutMessage::Command { command: Box::new(command), is_leader: false },
        );
        driver.run_until(driver.now + LEDGER_TICK_INTERVAL);
        stored_commands
            .push((name, driver.stored.get(&b"order"[..]).cloned().expect("the command is stored")));
    }
    driver.run_until(ENDED_AT);
    (driver, stored_commands)
}

pub fn class_counts(base: u64) -> ClassCounts {
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
