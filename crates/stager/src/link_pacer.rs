//! Rate limiting of piece transfers on a link that also carries live streams.

use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

/// Spaces the starts of piece transfers, so that they use at most a share of the bandwidth of the link.
#[derive(Debug)]
pub(crate) struct LinkPacer {
    bytes_per_second: f64,
    next_start: Mutex<Option<Instant>>,
}

impl LinkPacer {
    /// Creates the pacer of a link with a bandwidth of `link_mbps` megabits per second.
    pub(crate) fn new(link_mbps: f64) -> Self {
        Self {
            bytes_per_second: link_mbps * 1_000_000.0 / 8.0 * LINK_SHARE,
            next_start: Mutex::new(None),
        }
    }

    /// Waits until a transfer of `bytes` may start and reserves the link for its duration.
    pub(crate) async fn wait(&self, bytes: usize) {
        let start = {
            let now = Instant::now();
            let mut next_start = self
                .next_start
                .lock()
                .expect("no thread panics while it holds the pacer lock");
            let start = next_start.map_or(now, |it| it.max(now));
            *next_start =
                Some(start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second));
            start
        };
        tokio::time::sleep_until(start).await;
    }
}

/// Share of the bandwidth that pieces may use. The rest keeps the transmit queue short, in which live streams wait.
const LINK_SHARE: f64 = 0.93;
