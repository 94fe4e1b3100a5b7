//! The order in which effects wait for the storage. A unit test, as the gate is no part of the library's interface.

use super::{DurabilityGate, MachineId};
use crate::decision::Micros;

/// A message must not go out before the changes that it rests on are stored, nor before one that waits: another gateway
/// could act on what this one forgets.
#[test]
fn effects_wait_for_all_changes_before_them_and_keep_their_order() {
    let machine = MachineId { boot: 1, uptime: Micros(50) };
    let mut gate: DurabilityGate<u32> = DurabilityGate::new(machine, Micros(1000));
    gate.on_opened();
    assert_eq!(gate.pass(vec![1, 2]), [1, 2], "nothing was changed");
    let first = gate.next_batch();
    assert!(gate.pass(vec![3]).is_empty());
    let second = gate.next_batch();
    assert!(gate.pass(vec![4, 5]).is_empty());
    assert_eq!(gate.on_stored(first), [3]);
    assert!(gate.pass(vec![6]).is_empty(), "behind those before it");
    assert_eq!(gate.on_stored(second + 7), [4, 5, 6], "no batch that was never given counts");
    let third = gate.next_batch();
    assert!(gate.pass(vec![7]).is_empty());
    assert!(gate.on_failed() && !gate.on_failed());
    let after_failure = (gate.on_stored(third), gate.waiting());
    assert_eq!(after_failure, (vec![], 0), "what a failed storage did not hold is never said");
    let times = (gate.local_to_machine_time(Micros(1010)), gate.machine_to_local_time(Micros(60)));
    assert_eq!(times, (Micros(60), Micros(1010)));
    assert_eq!(gate.machine_to_local_time(Micros(20)), Micros(970), "from before this process");
}
