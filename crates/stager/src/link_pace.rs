//! Spaces pieces out on a link that live streams share.

use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

/// Lets one piece after another start, no faster than a share of the link carries them.
#[derive(Debug)]
pub(crate) struct LinkPace {
    bytes_per_second: f64,
    free_at: Mutex<Option<Instant>>,
}

impl LinkPace {
    /// Creates the pace of a link of `link_mbps` megabits a second.
    pub(crate) fn new(link_mbps: f64) -> Self {
        Self {
            bytes_per_second: link_mbps * 1_000_000.0 / 8.0 * LINK_SHARE,
            free_at: Mutex::new(None),
        }
    }

    /// Waits until `bytes` may start.
    pub(crate) async fn wait(&self, bytes: usize) {
        let start = {
            let now = Instant::now();
            let mut free_at = self.free_at.lock().expect("no holder of the lock panics");
            let start = free_at.map_or(now, |it| it.max(now));
            *free_at = Some(start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second));
            start
        };
        tokio::time::sleep_until(start).await;
    }
}

/// Share of the link that pieces may take; the rest keeps the queue in front of live streams short.
const LINK_SHARE: f64 = 0.93;
