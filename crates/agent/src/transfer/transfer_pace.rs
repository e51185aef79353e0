//! The pace of this host's link, shared by the fetches and the chunk server.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use settings::TransferSettings;
use spread::LinkPacer;

/// Puts one lock around the pace and waits as it says.
#[derive(Debug)]
pub(crate) struct TransferPace {
    pace: Mutex<LinkPacer>,
}

impl TransferPace {
    pub(crate) fn new(settings: &TransferSettings) -> Self {
        let rate = settings.link_bytes_per_s as f64;
        let pace = LinkPacer::new(rate, 1.0 - settings.live_share, Instant::now());
        Self {
            pace: Mutex::new(pace),
        }
    }

    /// Waits until `bytes` may pass the link.
    pub(crate) async fn take(&self, bytes: u64) {
        let wait = self.with(|it| it.take(bytes, Instant::now()));
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Returns the bytes that should leave at once.
    pub(crate) fn piece_bytes(&self) -> usize {
        self.with(|it| it.max_write_bytes())
    }

    /// Notes the token gap that live requests see; `None` when there are none.
    pub(crate) fn observe(&self, gap: Option<Duration>, is_transferring: bool) {
        let Some(gap) = gap else { return };
        self.with(|it| {
            if is_transferring {
                it.adapt_share(gap, Instant::now());
            } else {
                it.record_idle_gap(gap);
            }
        });
    }

    fn with<T>(&self, act: impl FnOnce(&mut LinkPacer) -> T) -> T {
        act(&mut self
            .pace
            .lock()
            .expect("no holder of the pace's lock panics"))
    }
}
