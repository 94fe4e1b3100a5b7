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

#[test]
fn permits_do_not_count_as_in_use_while_the_last_one_is_waited_for() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let permits = Permits::new(8);
        let held = permits.try_acquire();
        let mut unused = std::pin::pin!(permits.wait_until_unused());
        let timed_out = tokio::time::timeout(std::time::Duration::from_millis(30), unused.as_mut()).await;
        assert!(timed_out.is_err());
        assert_eq!((permits.available(), permits.in_use()), (7, 1));
        drop(held);
        unused.await;
    });
}
