//! Permits that are shared with another process.

use super::Permits;

#[test]
fn permits_reserved_for_another_process_are_returned() {
    let permits = Permits::new(8);
    let held = permits.try_acquire();
    permits.reserve_for_other_process(4);
    assert_eq!((permits.available(), permits.in_use()), (3, 1));
    permits.reserve_for_other_process(100);
    assert_eq!((permits.available(), permits.in_use()), (0, 1), "one of eight stays, and it is taken");
    drop(held);
    assert_eq!((permits.available(), permits.in_use()), (1, 0));
    permits.reserve_for_other_process(0);
    assert_eq!((permits.available(), permits.in_use()), (8, 0));
}
