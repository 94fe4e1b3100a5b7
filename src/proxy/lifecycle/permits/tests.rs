//! Permits reserved for another process.

use super::Permits;

#[test]
fn reserved_permits_become_available_again() {
    let permits = Permits::new(8);
    let held = permits.try_acquire();
    permits.reserve_for_other_process(4);
    assert_eq!((permits.available(), permits.in_use()), (3, 1));
    permits.reserve_for_other_process(100);
    assert_eq!(
        (permits.available(), permits.in_use()),
        (0, 1),
        "one of eight permits is kept, and it is in use"
    );
    drop(held);
    assert_eq!((permits.available(), permits.in_use()), (1, 0));
    permits.reserve_for_other_process(0);
    assert_eq!((permits.available(), permits.in_use()), (8, 0));
}
