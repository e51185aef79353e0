//! Exponential backoff with jitter.

use std::time::Duration;

/// Returns the delay before the next attempt after `failures` consecutive failures.
///
/// `jitter` is uniform in 0..1, so that processes that failed at the same time do not retry at the same time.
pub fn retry_backoff(failures: u32, jitter: f64) -> Duration {
    let base = BASE_BACKOFF * 2_u32.pow(failures.min(MAX_DOUBLINGS));
    base.mul_f64(0.5 + jitter / 2.0)
}

/// Half the maximum delay after the first failure: a few round trips to the store.
const BASE_BACKOFF: Duration = Duration::from_millis(100);

/// Doublings up to the longest delay (0.8 s), which bounds how late the end of an outage is detected.
const MAX_DOUBLINGS: u32 = 3;
