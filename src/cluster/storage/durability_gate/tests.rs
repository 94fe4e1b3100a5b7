//! Tests the order in which the durability gate releases effects. A unit test, as the gate is not public.

use super::{DurabilityGate, MachineId};
use crate::decision::Micros;

/// A message must not be sent before the changes that it depends on are stored, nor before an earlier message
/// that waits: otherwise another gateway could act on state that this one loses in a restart.
#[test]
fn effects_wait_for_all_earlier_changes_and_keep_their_order() {
    let machine = MachineId { boot: 1, uptime: Micros(50) };
    let mut gate: DurabilityGate<u32> = DurabilityGate::new(machine, Micros(1000));
    gate.on_opened();
    assert_eq!(gate.submit(vec![1, 2]), [1, 2], "effects pass when nothing has changed");
    let first = gate.next_batch();
    assert!(gate.submit(vec![3]).is_empty());
    let second = gate.next_batch();
    assert!(gate.submit(vec![4, 5]).is_empty());
    assert_eq!(gate.on_stored(first), [3]);
    assert!(gate.submit(vec![6]).is_empty(), "a new effect waits behind earlier ones");
    assert_eq!(
        gate.on_stored(second + 7),
        [4, 5, 6],
        "a batch number never allocated must not count as stored"
    );
    let third = gate.next_batch();
    assert!(gate.submit(vec![7]).is_empty());
    assert!(gate.on_failed() && !gate.on_failed());
    let after_failure = (gate.on_stored(third), gate.waiting());
    assert_eq!(after_failure, (vec![], 0), "effects whose changes were not stored are dropped on failure");
    let times = (gate.local_to_machine_time(Micros(1010)), gate.machine_to_local_time(Micros(60)));
    assert_eq!(times, (Micros(60), Micros(1010)));
    assert_eq!(gate.machine_to_local_time(Micros(20)), Micros(970), "a time before this process started");
}
