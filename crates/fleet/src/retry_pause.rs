//! Pauses between calls that fail.

use std::time::Duration;

/// Returns the pause before the next try after `failures` in a row; `jitter` is uniform in 0..1, because processes that fail
/// together must not come back together.
pub fn retry_pause(failures: u32, jitter: f64) -> Duration {
    let base = FIRST_PAUSE * 2_u32.pow(failures.min(MAX_DOUBLINGS));
    base.mul_f64(0.5 + jitter / 2.0)
}

/// Half the pause after the first failure: some round trips to the store.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Doublings up to the longest pause (0.8 s), which bounds how late the end of an outage is noticed.
const MAX_DOUBLINGS: u32 = 3;
