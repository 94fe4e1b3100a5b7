//! A waker that records that it was woken.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Wake, Waker};

/// Wakes another waker, and records that it did.
#[derive(Debug)]
pub struct WakeFlag {
    waker: Waker,
    is_woken: AtomicBool,
}

impl WakeFlag {
    /// Returns a flag that is not set, and wakes `waker`.
    pub fn new(waker: Waker) -> Arc<WakeFlag> {
        Arc::new(WakeFlag { waker, is_woken: AtomicBool::new(false) })
    }

    /// Whether the waker was woken.
    pub fn is_woken(&self) -> bool {
        self.is_woken.load(Ordering::Relaxed)
    }
}

impl Wake for WakeFlag {
    fn wake(self: Arc<WakeFlag>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<WakeFlag>) {
        self.is_woken.store(true, Ordering::Relaxed);
        self.waker.wake_by_ref();
    }
}
