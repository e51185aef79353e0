//! Limits and strategy of weight distribution.

use std::time::Duration;

/// Limits within which a tracker plans fetches; see `docs/WEIGHTS.md`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpreadPolicy {
    /// Number of copies of a version that may be fetched from the origin. A chunk that stays without an offer may be
    /// fetched once more per [`origin_fallback_delay`](Self::origin_fallback_delay).
    pub origin_copies: u32,
    /// Maximum number of concurrent fetches of a region from the origin, per group.
    pub origin_fetches: usize,
    /// Maximum number of concurrent fetches of a region from each other region, per group.
    pub region_fetches: usize,
    /// Maximum number of concurrent uploads of a host, per group.
    pub host_uploads: u32,
    /// Number of copies of a group that a host sends before holders below this limit are preferred, whatever their
    /// load.
    pub host_sent_copies: f64,
    /// Time without a report after which a host is considered dead.
    pub host_timeout: Duration,
    /// Time after which an unfinished fetch may be reassigned to another host.
    pub fetch_timeout: Duration,
    /// Time without an offer after which one more region may fetch a chunk from the origin.
    pub origin_fallback_delay: Duration,
    /// Algorithm that selects the sources of chunks.
    pub strategy: SpreadStrategy,
}

/// Algorithm that selects the sources of chunks. All but [`Regional`](Self::Regional) are baselines for benchmarks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SpreadStrategy {
    /// Each chunk is imported into a region once and then exchanged between its hosts, rarest chunk first.
    #[default]
    Regional,
    /// Every host fetches every chunk from the origin.
    OriginOnly,
    /// Copies flow down a binary tree of hosts, whose root fetches from the origin.
    BinaryTree,
    /// Hosts fetch random chunks from random holders, whatever the rarity of the chunk or the region of the holder.
    RandomPeers,
}

impl Default for SpreadPolicy {
    fn default() -> Self {
        Self {
            origin_copies: 1,
            origin_fetches: 3,
            region_fetches: 2,
            host_uploads: 3,
            host_sent_copies: 1.15,
            host_timeout: Duration::from_secs(4),
            fetch_timeout: Duration::from_secs(30),
            origin_fallback_delay: Duration::from_secs(60),
            strategy: SpreadStrategy::Regional,
        }
    }
}
