//! Rate limit of this host's link, shared by chunk fetches and the chunk server.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use settings::TransferSettings;
use spread::LinkPacer;

/// A [`LinkPacer`] that several tasks can wait on.
#[derive(Debug)]
pub(crate) struct SharedPacer {
    pacer: Mutex<LinkPacer>,
}

impl SharedPacer {
    pub(crate) fn new(settings: &TransferSettings) -> Self {
        let rate = settings.link_bytes_per_s as f64;
        let pacer = LinkPacer::new(rate, 1.0 - settings.live_share, Instant::now());
        Self {
            pacer: Mutex::new(pacer),
        }
    }

    /// Waits until `bytes` may be transferred.
    pub(crate) async fn acquire(&self, bytes: u64) {
        let wait = self.with_pacer(|it| it.take(bytes, Instant::now()));
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Returns the maximum size of one write.
    pub(crate) fn max_write_bytes(&self) -> usize {
        self.with_pacer(|it| it.max_write_bytes())
    }

    /// Takes the token gap of live requests, or `None` if there are none. During a transfer, adapts the share of the
    /// link to it; otherwise, records it as the baseline.
    pub(crate) fn observe_token_gap(&self, gap: Option<Duration>, is_transferring: bool) {
        let Some(gap) = gap else { return };
        self.with_pacer(|it| {
            if is_transferring {
                it.adapt_share(gap, Instant::now());
            } else {
                it.record_idle_gap(gap);
            }
        });
    }

    fn with_pacer<T>(&self, operation: impl FnOnce(&mut LinkPacer) -> T) -> T {
        operation(
            &mut self
                .pacer
                .lock()
                .expect("no thread panics while it holds the pacer lock"),
        )
    }
}
