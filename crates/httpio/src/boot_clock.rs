//! Time since the host was booted, including time in suspension.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since boot. Unlike `Instant`, it advances while the host is suspended.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or_default(),
        u32::try_from(time.tv_nsec).unwrap_or_default(),
    )
}
