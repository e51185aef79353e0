//! How an engine behaves without faults.

use std::time::Duration;

/// Speed, size and abilities of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Time between two tokens of a stream.
    pub token_interval: Duration,
    /// Part by which a full batch slows every stream down; 0 means that batching costs nothing.
    pub batch_slowdown: f64,
    /// Requests that are computed at once.
    pub max_batch: usize,
    /// Requests that wait at most; one more is refused with 503.
    pub max_waiting: usize,
    /// Time to the first token for each token of the prompt that is not cached.
    pub prefill_per_token: Duration,
    /// Prefix blocks that the cache holds.
    pub cache_blocks: usize,
    /// Age of the load that is reported.
    pub report_lag: Duration,
    /// Age at which cache events are published.
    pub event_lag: Duration,
    /// Share of cache events that are never published, 0 to 1.
    pub event_loss: f64,
    /// Whether load orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Whether a version can be loaded beside the one that serves.
    pub loads_beside: bool,
    /// Time that loading takes after the weights were read.
    pub load_time: Duration,
    /// Whether KV cache can be exported and imported.
    pub supports_kv_transfer: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            token_interval: Duration::from_millis(20),
            batch_slowdown: 0.0,
            max_batch: 32,
            max_waiting: 256,
            prefill_per_token: Duration::from_micros(200),
            cache_blocks: 1024,
            report_lag: Duration::from_secs(1),
            event_lag: Duration::from_millis(500),
            event_loss: 0.05,
            checks_fencing: true,
            loads_beside: false,
            load_time: Duration::from_millis(50),
            supports_kv_transfer: true,
        }
    }
}
