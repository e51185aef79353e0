//! What operators and the size of a deployment decide about a spread.

use std::time::Duration;

/// Limits that a tracker plans within; see `docs/WEIGHTS.md`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpreadPolicy {
    /// Copies of a version that may leave the origin.
    pub origin_copies: u32,
    /// Chunks of a group that a region fetches from the origin at once.
    pub origin_fetches: usize,
    /// Chunks of a group that a region fetches from each other region at once.
    pub region_fetches: usize,
    /// Chunks of a group that a host sends at once.
    pub host_uploads: u32,
    /// Copies of a group that a host sends before others are preferred whatever their load.
    pub host_sent_copies: f64,
    /// Silence after which a host no longer counts as live.
    pub host_timeout: Duration,
    /// Time after which a fetch without result is given to another host.
    pub fetch_timeout: Duration,
    /// Time without an offer after which one more region may ask the origin for a chunk.
    pub patience: Duration,
    /// How chunks find their way.
    pub strategy: SpreadStrategy,
}

/// How chunks find their way; all but the first are there to be measured against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SpreadStrategy {
    /// One entry of each chunk a region, then rarest first between the hosts of the region.
    #[default]
    Regional,
    /// Every host fetches everything from the origin.
    OriginOnly,
    /// Whole copies go down a binary tree of hosts, whose root fetches from the origin.
    BinaryTree,
    /// Any chunk from any holder, whatever its rarity or region.
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
            patience: Duration::from_secs(60),
            strategy: SpreadStrategy::Regional,
        }
    }
}
