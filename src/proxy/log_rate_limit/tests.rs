//! Tests the rate limit of log lines.

use super::LogRateLimiter;
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn allows_one_line_in_ten_seconds() {
    let (limiter, start) = (LogRateLimiter::default(), Instant::now());
    let lines = (0..250).filter(|i| limiter.try_log(start + Duration::from_millis(100 * i))).count();
    assert_eq!(lines, 3, "at 0, 10 and 20 s");
}
