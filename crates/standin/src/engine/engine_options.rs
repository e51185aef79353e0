//! Configuration of a simulated engine.

use std::time::Duration;

/// Speed, capacity and supported features of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Time between two tokens of a stream.
    pub token_interval: Duration,
    /// Size of an additional field of each streamed event, in bytes.
    pub event_padding: usize,
    /// Relative increase of the token interval when the batch is full; 0 means that batching has no cost.
    pub batch_slowdown: f64,
    /// Maximum number of requests in the batch.
    pub max_batch: usize,
    /// Maximum number of waiting requests; further ones are refused with status 503.
    pub max_waiting: usize,
    /// Prefill time per prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Delay before a load report is published.
    pub report_lag: Duration,
    /// Delay before a cache event is published.
    pub event_lag: Duration,
    /// Fraction of cache events that are lost, from 0 to 1.
    pub event_loss: f64,
    /// Whether load orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// Whether a version can be loaded while another one is being served.
    pub loads_beside: bool,
    /// Additional loading time after the weights were fetched.
    pub load_time: Duration,
    /// Whether the KV cache of a request can be exported and imported.
    pub supports_kv_transfer: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            token_interval: Duration::from_millis(20),
            event_padding: 0,
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
