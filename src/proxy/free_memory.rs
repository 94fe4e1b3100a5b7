//! Returns memory that is no longer in use to the operating system. The allocator keeps what a crowd of connections has
//! freed, which would count against the limit that both processes of a hand-over share.

use super::lifecycle::permits::Permits;
use super::memory_budget::MemoryBudget;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often the memory in use is looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Memory is returned once at least this many bytes are no longer in use.
const MIN_FREED_BYTES: usize = 1_000_000;

/// Returns freed memory from time to time, until the task is dropped.
pub async fn return_freed_memory(budget: Rc<MemoryBudget>, client_permits: Rc<Permits>) {
    let mut most_in_use = 0;
    loop {
        sleep(CHECK_INTERVAL).await;
        let in_use = budget.bytes_in_use(client_permits.in_use());
        most_in_use = in_use.max(most_in_use);
        if most_in_use - in_use >= MIN_FREED_BYTES {
            trim();
            most_in_use = in_use;
        }
    }
}

#[cfg(all(target_os = "linux", target_env = "gnu"))]
fn trim() {
    // SAFETY: malloc_trim(3) takes no pointer and may be called at any time from any thread.
    #[allow(unsafe_code)]
    let _ = unsafe { libc::malloc_trim(0) };
}

#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
fn trim() {}
